"""Base classes of the generated structs."""

import msgspec


class StrictNode(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Refuse unknown fields; the base of settings and declarations."""


class WireNode(msgspec.Struct, frozen=True, array_like=True):
    """Encode as an array without field names; the base of nested message parts."""


class WireMessage(WireNode, frozen=True, array_like=True, tag=True):
    """Carry the name of the message first; the base of messages between instances."""
