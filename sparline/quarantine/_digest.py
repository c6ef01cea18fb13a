"""Content digests that identify a request and its repeats."""

import hashlib
from collections.abc import Iterable
from typing import NewType

# Identifies a request by its content: equal for each repeat and in each instance.
RequestDigest = NewType("RequestDigest", bytes)

# Long enough that nobody can construct two contents with the same digest.
DIGEST_BYTES = 16
# Hexadecimal digits of a digest in log lines.
LOG_DIGITS = 16
# Size of the length that is hashed before each part.
PART_LENGTH_BYTES = 8


def digest_of(parts: Iterable[bytes]) -> RequestDigest:
    """Return the digest of a request's parts; moving bytes between parts changes it."""
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        hasher.update(len(part).to_bytes(PART_LENGTH_BYTES, "big"))
        hasher.update(part)
    return RequestDigest(hasher.digest())


def short_hex(digest: RequestDigest) -> str:
    """Return the shortened digest for log lines."""
    return digest.hex()[:LOG_DIGITS]
