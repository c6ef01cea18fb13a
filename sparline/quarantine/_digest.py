"""What a request and its repeats have in common."""

import hashlib
from collections.abc import Iterable
from typing import NewType

# Names a request by its content, the same for each repeat and in each instance.
RequestDigest = NewType("RequestDigest", bytes)

# Long enough that nobody can make two contents of one digest (bytes).
DIGEST_BYTES = 16
# Digits of a digest in log lines (hexadecimal).
LOGGED_DIGITS = 16
LENGTH_BYTES = 8


def digest_of(parts: Iterable[bytes]) -> RequestDigest:
    """Return the digest of a request's parts; where one part ends matters."""
    found = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        found.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        found.update(part)
    return RequestDigest(found.digest())


def logged(digest: RequestDigest) -> str:
    """Return a digest as log lines name it."""
    return digest.hex()[:LOGGED_DIGITS]
