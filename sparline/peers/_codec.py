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

MESSAGE_TYPES = get_args(Message)


def encode(message: Message) -> bytes:
    """Return a message as sent."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def decode(data: bytes | str) -> Result[Message, str]:
    """Read a message as received."""
    if isinstance(data, str):
        return Err("expected a binary frame, found a text frame")
    try:
        return Ok(msgspec.convert(cbor2.loads(data), Message, builtin_types=(bytes,)))
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError) as error:
        return Err(f"expected a message of this version, found {len(data)} bytes: {error}")
