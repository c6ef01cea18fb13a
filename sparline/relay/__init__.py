"""Request relay between zones: at most one hop, with final admission by the receiver."""

from sparline.relay._receiver import RelayReceiver
from sparline.relay._sender import RelaySender

__all__ = ["RelayReceiver", "RelaySender"]
