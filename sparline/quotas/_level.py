"""Remaining level of one quota, as estimated by the quota coordinator of a region.

What other regions admit is known only after a network delay and a gossip round, so their use is
extrapolated at its recent rate and corrected by their next update. A silent region is assumed to
use its share of the quota, whatever it used before: it assumes the same of this region, so that
both together stay within the quota.
"""

import math
from dataclasses import dataclass

from sparline._ids import RegionName
from sparline.quotas._terms import QuotaParameters

# Time constant of the decay of a region's reported use in its extrapolated rate (ms): two gossip
# rounds, since their updates may arrive close together.
RATE_DECAY_MS = 500.0
MS_PER_S = 1000.0


@dataclass(slots=True)
class _RemoteUse:
    """Track the reported and assumed use of another region."""

    recent_units: float = 0.0  # reported units, decaying exponentially
    assumed_units: float = 0.0  # units subtracted from the level since its last update
    updated_at_ms: float | None = None  # time of its last update, None without one
    is_silent: bool = False  # whether it has become silent since then
    level_at_update: float = 0.0  # level at its last update

    def rate_per_s(self) -> float:
        """Return its extrapolated use in units per second."""
        return self.recent_units / RATE_DECAY_MS * MS_PER_S


class FleetLevel:
    """Estimate the remaining level of one quota across all regions.

    Call `advance_to` with the current time before `subtract` and `apply_update`.
    """

    def __init__(self, parameters: QuotaParameters, level: float, now: float) -> None:
        """Start from the given level at the time `now`."""
        self._parameters = parameters
        self._level = level
        self._at_ms = now
        self._remote_uses: dict[RegionName, _RemoteUse] = {}

    def set_parameters(self, parameters: QuotaParameters) -> None:
        """Switch to other refill parameters; units above the new upper bound are discarded."""
        self._parameters = parameters
        self._level = min(self._level, parameters.max_level)

    def subtract(self, units: float) -> None:
        """Subtract units admitted in the own region; negative units are returned to the quota."""
        self._level = min(self._level - units, self._parameters.max_level)

    def advance_to(self, now: float, silent_shares: dict[RegionName, float]) -> float:
        """Advance the level to `now` and return it.

        `silent_shares` maps each silent region to its share of the quota.
        """
        elapsed_s = max(now - self._at_ms, 0.0) / MS_PER_S
        self._at_ms = max(now, self._at_ms)
        if elapsed_s <= 0:
            return self._level
        used = 0.0
        for region in self._remote_uses.keys() | silent_shares.keys():
            used += self._assume_use(region, silent_shares.get(region), elapsed_s)
        gained = self._parameters.per_s * elapsed_s
        self._level = min(self._level + gained, self._parameters.max_level) - used
        return self._level

    def _assume_use(
        self, region: RegionName, silent_share: float | None, elapsed_s: float
    ) -> float:
        """Return the units a region is assumed to have used in the elapsed time."""
        remote = self._remote_uses.setdefault(region, _RemoteUse())
        share = 1.0 if silent_share is None else silent_share
        rate_per_s = share * self._parameters.per_s
        if silent_share is None:
            rate_per_s = min(remote.rate_per_s(), rate_per_s)
        used = rate_per_s * elapsed_s
        if silent_share is not None and not remote.is_silent:
            # It may have used its share of the accumulated level before its silence was detected.
            remote.is_silent = True
            used += silent_share * max(remote.level_at_update, 0.0)
        remote.assumed_units += used
        return used

    def apply_update(self, region: RegionName, units: float, now: float) -> None:
        """Replace the assumed use of a region by the units it reports since its last update."""
        remote = self._remote_uses.setdefault(region, _RemoteUse())
        self._level = min(self._level + remote.assumed_units - units, self._parameters.max_level)
        remote.assumed_units = 0.0
        remote.is_silent = False
        remote.level_at_update = self._level
        if remote.updated_at_ms is not None:
            remote.recent_units *= math.exp(-(now - remote.updated_at_ms) / RATE_DECAY_MS)
            remote.recent_units += max(units, 0.0)
        remote.updated_at_ms = now
