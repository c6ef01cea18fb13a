"""CBOR encoding of the messages between instances."""

from typing import get_args

import cbor2
from result import Err, Result

from sparline._cbor import pack, unpack
from sparline.schema._gossip import CrashNews
from sparline.schema._messages import (
    Heartbeat,
    Hello,
    LimitReport,
    LimitShares,
    Records,
    RecordsPull,
    RelayBody,
    RelayChunk,
    RelayEnd,
    RelayGrant,
    RelayHead,
    RelayOffer,
    RelayRefusal,
    ZoneLoad,
    ZoneSummary,
)

Message = (
    Hello
    | Heartbeat
    | ZoneLoad
    | ZoneSummary
    | RecordsPull
    | Records
    | LimitReport
    | LimitShares
    | RelayOffer
    | RelayGrant
    | RelayRefusal
    | RelayBody
    | RelayHead
    | RelayChunk
    | RelayEnd
    | CrashNews
)

MESSAGE_TYPES = get_args(Message)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return pack(message)


def encode_frame(encoded: list[bytes]) -> bytes:
    """Encode a frame that carries several encoded messages."""
    return cbor2.dumps(encoded)


def decode_frame(data: bytes | str) -> Result[list[bytes], str]:
    """Split a frame into its encoded messages."""
    if isinstance(data, str):
        return Err("expected a binary frame, found a text frame")
    return unpack(data, list[bytes])


def decode(data: bytes | str) -> Result[Message, str]:
    """Decode a received message."""
    if isinstance(data, str):
        return Err("expected a binary frame, found a text frame")
    return unpack(data, Message)
