"""A fast hash of text, the same in every process."""

from collections.abc import Iterable

import xxhash


def hash64(text: str) -> int:
    """Return a 64-bit hash; not for secrets."""
    return xxhash.xxh64_intdigest(text.encode())


def hash_parts(parts: Iterable[bytes | bytearray]) -> int:
    """Return a 64-bit hash of several parts and their lengths; not for secrets."""
    hasher = xxhash.xxh64()
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.intdigest()
