"""Digests that identify a request and its repeats, and parts that prompts have in common."""

import hashlib
from collections.abc import Iterable
from typing import NewType

from sparline._ids import PartDigest

# Identifies a request by its content: equal for each repeat and in each instance.
RequestDigest = NewType("RequestDigest", bytes)

# Long enough that nobody can construct two contents with the same digest.
DIGEST_BYTES = 16
# Long enough that nobody can find another name with the digest of a given part. Datagrams list many.
PART_DIGEST_BYTES = 8
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


def digest_of_part(name: str) -> PartDigest:
    """Return the digest of a part by the name that callers give it."""
    content = name.encode(errors="surrogatepass")
    return PartDigest(hashlib.blake2b(content, digest_size=PART_DIGEST_BYTES).digest())


def short_hex(digest: RequestDigest | PartDigest) -> str:
    """Return the shortened digest for log lines."""
    return digest.hex()[:LOG_DIGITS]
