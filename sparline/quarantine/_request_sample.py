"""Samples of requests that instances merge to estimate how many there are.

A sample holds the smallest hashes of a set of requests ("bottom-k sketch"). The sample of a union is
made of the samples, so that requests that several instances have seen count once.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from sparline._hashing import hash64
from sparline._ids import RequestId

# Hashes in a sample: it distinguishes sets whose sizes differ twofold.
MAX_HASHES = 8
HASH_SPACE = 2**32


@dataclass(frozen=True, slots=True)
class RequestSample:
    """Hold the smallest hashes of a set of requests."""

    hashes: frozenset[int] = frozenset()  # at most MAX_HASHES

    def merged(self, other: "RequestSample") -> "RequestSample":
        """Return the sample of the union of both sets."""
        return make_sample(self.hashes | other.hashes)

    def count(self) -> float:
        """Return the estimated number of requests in the set; exact below `MAX_HASHES`."""
        if len(self.hashes) < MAX_HASHES:
            return float(len(self.hashes))
        return (MAX_HASHES - 1) * HASH_SPACE / max(max(self.hashes), 1)


def make_sample(hashes: Iterable[int]) -> RequestSample:
    """Return the sample of a set of hashes."""
    return RequestSample(frozenset(sorted(set(hashes))[:MAX_HASHES]))


def sample_of(request_id: RequestId) -> RequestSample:
    """Return the sample of a single request."""
    return RequestSample(frozenset((hash64(request_id) % HASH_SPACE,)))
