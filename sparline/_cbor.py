"""Structs as CBOR."""

from types import UnionType
from typing import Any, TypeVar, get_args

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


class TaggedReader:
    """Read messages of several kinds, array-like structs that begin with their tags.

    msgspec prepares a union for each call, which takes longer than to convert a small message.
    """

    def __init__(self, kinds: UnionType) -> None:
        """Read one of several kinds."""
        self._kinds = kinds
        self._by_tag: dict[object, type] = {
            one.__struct_config__.tag: one for one in get_args(kinds)
        }

    def read(self, data: bytes) -> Result[Any, str]:
        """Read a message as received; the same as `unpack` of the union."""
        try:
            items = cbor2.loads(data)
            if isinstance(items, list) and items and isinstance(items[0], str):
                kind = self._by_tag.get(items[0])
                if kind is not None:
                    return Ok(msgspec.convert(items, kind, builtin_types=(bytes,)))
        except _BAD_DATA:
            # The union's own error names all kinds.
            return unpack(data, self._kinds)
        return unpack(data, self._kinds)
