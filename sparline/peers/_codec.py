"""Messages between instances as CBOR."""

from typing import get_args

import cbor2
import msgspec
from result import Err, Ok, Result

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
)

_BAD_DATA = (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError)

MESSAGE_TYPES = get_args(Message)


def encode(message: Message) -> bytes:
    """Return a message as sent."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def encode_frame(encoded: list[bytes]) -> bytes:
    """Return one frame that carries several encoded messages."""
    return cbor2.dumps(encoded)


def decode_frame(data: bytes | str) -> Result[list[bytes], str]:
    """Read the encoded messages of one frame."""
    if isinstance(data, str):
        return Err("expected a binary frame, found a text frame")
    try:
        return Ok(msgspec.convert(cbor2.loads(data), list[bytes], builtin_types=(bytes,)))
    except _BAD_DATA as error:
        return Err(f"expected a list of messages, found {len(data)} bytes: {error}")


def decode(data: bytes | str) -> Result[Message, str]:
    """Read a message as received."""
    if isinstance(data, str):
        return Err("expected a binary frame, found a text frame")
    try:
        return Ok(msgspec.convert(cbor2.loads(data), Message, builtin_types=(bytes,)))
    except _BAD_DATA as error:
        return Err(f"expected a message of this version, found {len(data)} bytes: {error}")
