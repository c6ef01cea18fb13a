"""Organisations: their API keys, the regions that may run their requests, and their quotas."""

import hashlib
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NewType

from sparline._ids import OrganisationId, RegionName

# Identifies a key without revealing it; only digests of keys are stored or sent to peers.
KeyDigest = NewType("KeyDigest", bytes)

# Long enough that nobody can construct a key with the digest of another key.
DIGEST_BYTES = 16


class QuotaUnit(Enum):
    """Name the unit in which a quota is counted."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """Limit the rate at which an organisation may use all instances together."""

    unit: QuotaUnit  # unit that is counted
    per_s: float  # units added each second
    burst: float  # most units that may accumulate
    default_cost: float  # units of a request that states no token count

    def cost(self, tokens: int | None) -> float:
        """Return the units that a request costs, from the token count that it states."""
        if self.unit is QuotaUnit.REQUESTS:
            return 1.0
        return self.default_cost if tokens is None else float(tokens)


@dataclass(frozen=True, slots=True)
class Organisation:
    """Describe one organisation."""

    id: OrganisationId  # name given by the operators
    keys: frozenset[KeyDigest]  # digests of the keys that its callers present
    priority: int | None  # 0 is the most urgent, None where the route decides
    allowed_regions: frozenset[RegionName]  # regions that may run its requests, empty for all
    quota: Quota | None  # None for no limit

    def allows(self, region: RegionName) -> bool:
        """Tell whether its requests may run in a region."""
        return not self.allowed_regions or region in self.allowed_regions


@dataclass(frozen=True, slots=True)
class Organisations:
    """Find organisations by name and by key."""

    by_id: dict[OrganisationId, Organisation]  # all organisations
    by_key: dict[KeyDigest, Organisation]  # by the digest of each key


def digest_of_key(key: bytes) -> KeyDigest:
    """Return the digest that identifies a key; looking it up reveals nothing about the key."""
    return KeyDigest(hashlib.sha256(key).digest()[:DIGEST_BYTES])


def make_organisations(organisations: Iterable[Organisation]) -> Organisations:
    """Index organisations; the caller has checked that their names and keys are unique."""
    by_id = {organisation.id: organisation for organisation in organisations}
    by_key = {key: organisation for organisation in by_id.values() for key in organisation.keys}
    return Organisations(by_id, by_key)
