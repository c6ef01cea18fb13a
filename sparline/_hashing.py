"""A fast hash of text, the same in every process."""

import xxhash


def hash64(text: str) -> int:
    """Return a 64-bit hash; not for secrets."""
    return xxhash.xxh64_intdigest(text.encode())
