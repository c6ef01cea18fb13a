"""Refill parameters of a quota, including the part of the operators' tolerance that is used."""

from dataclasses import dataclass

from sparline._hashing import hash64
from sparline._ids import OrganisationId
from sparline.routes import Quota

# Fraction of the operators' tolerance over a quota that is added to its burst, so that callers at
# their limit lose nothing to late updates. The rest covers what is admitted before updates arrive.
USED_TOLERANCE_FRACTION = 0.1
# Fraction of the burst that is available initially when prior use is unknown and there is no
# tolerance, so that the first request is admitted.
INITIAL_FRACTION = 0.1
KEY_MASK = 0xFFFF_FFFF


@dataclass(frozen=True, slots=True)
class QuotaTolerance:
    """Define how far operators tolerate use above a quota."""

    window_s: float = 1.0  # length of the window in which use is measured
    excess: float = 0.0  # tolerated excess, as a fraction of what a quota allows in a window
    slack: float = 0.0  # tolerated units in addition to that

    def tolerated_units(self, quota: Quota) -> float:
        """Return the units tolerated above a quota in a window."""
        return self.excess * (quota.per_s * self.window_s + quota.burst) + self.slack


NO_TOLERANCE = QuotaTolerance()


@dataclass(frozen=True, slots=True)
class QuotaParameters:
    """Define the refill parameters of a quota's token bucket."""

    per_s: float  # units added each second
    max_level: float  # upper bound of the level
    initial_level: float  # level when prior use is unknown


def make_quota_parameters(quota: Quota, tolerance: QuotaTolerance) -> QuotaParameters:
    """Return the refill parameters of a quota.

    The initial level stays within the tolerance, so that a restart doesn't grant a second burst.
    """
    extra_units = USED_TOLERANCE_FRACTION * tolerance.tolerated_units(quota)
    return QuotaParameters(
        quota.per_s,
        quota.burst + extra_units,
        max(extra_units, INITIAL_FRACTION * quota.burst),
    )


def quota_key(organisation: OrganisationId) -> int:
    """Return the compact key that identifies an organisation in messages between instances."""
    return hash64(f"quota/{organisation}") & KEY_MASK
