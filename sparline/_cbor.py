"""Structs as CBOR."""

from typing import Any, TypeVar

import cbor2
import msgspec
from result import Err, Ok, Result

Kind = TypeVar("Kind")

_BAD_DATA = (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError)


def pack(message: msgspec.Struct) -> bytes:
    """Return a struct as sent."""
    return cbor2.dumps(msgspec.to_builtins(message, builtin_types=(bytes,)))


def unpack(data: bytes, kind: type[Kind] | Any) -> Result[Kind, str]:
    """Read a struct as received."""
    try:
        return Ok(msgspec.convert(cbor2.loads(data), kind, builtin_types=(bytes,)))
    except _BAD_DATA as error:
        return Err(f"expected {kind}, found {len(data)} bytes: {error}")
