"""Peer-to-peer layer: links between instances, membership and dissemination of updates."""

from sparline.peers._codec import MESSAGE_TYPES, Message, decode, encode
from sparline.peers._link import EncodedMessage, PeerLink
from sparline.peers._membership import Membership
from sparline.peers._mesh import MAX_MESSAGE_BYTES, Dialer, Mesh, Receiver, read_hello
from sparline.peers._rendezvous import highest_ranked, ranked
from sparline.peers._server import stop_serving
from sparline.peers._spread import Scope, next_hops, scope_of

__all__ = [
    "Dialer",
    "EncodedMessage",
    "MAX_MESSAGE_BYTES",
    "MESSAGE_TYPES",
    "Membership",
    "Mesh",
    "Message",
    "PeerLink",
    "Receiver",
    "Scope",
    "decode",
    "encode",
    "highest_ranked",
    "next_hops",
    "ranked",
    "read_hello",
    "scope_of",
    "stop_serving",
]
