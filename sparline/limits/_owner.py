"""The owner of a limit: one instance that divides it by demand, for as long as it lives.

The owner keeps nothing that can't be lost: each report carries what its sender holds.
An owner that can't see the whole home region does not know who else holds a share, so
it only divides again what its reporters hold. That keeps the sum from growing on two
sides of a cut.
"""

from dataclasses import dataclass, field
from enum import Enum

from sparline._clock import now_ms
from sparline._ids import InstanceId, OrganisationId

# A reporter that has been silent for so long holds its share no more than the
# lease of that share says, and its demand counts as none.
REPORT_TTL_MS = 10_000.0
# Part of a limit that is divided evenly, so that new demand finds a share.
EVEN_PART = 0.1


class View(Enum):
    """Name how much of the home region an owner sees."""

    WHOLE = "whole"
    PARTIAL = "partial"


@dataclass(slots=True)
class _Reported:
    """Hold the newest report of one instance."""

    demand_per_s: float  # requests that arrived there
    held_per_s: float  # share that it enforces
    at_ms: float  # when it reported


@dataclass(slots=True)
class _OwnedLimit:
    """Hold the reports on one organisation."""

    since_ms: float  # when the first report came
    reports: dict[InstanceId, _Reported] = field(default_factory=dict)


class LimitOwner:
    """Divide limits between the instances that report demand."""

    def __init__(self, settle_ms: float) -> None:
        """Start with no report; a new owner listens for `settle_ms` before it raises shares."""
        self._settle_ms = settle_ms
        self._limits: dict[OrganisationId, _OwnedLimit] = {}

    def report(
        self,
        organisation: OrganisationId,
        reporter: InstanceId,
        demand_per_s: float,
        held_per_s: float,
    ) -> None:
        """Take one report."""
        limit = self._limits.setdefault(organisation, _OwnedLimit(now_ms()))
        limit.reports[reporter] = _Reported(demand_per_s, held_per_s, now_ms())

    def share(
        self, organisation: OrganisationId, reporter: InstanceId, limit_per_s: float, view: View
    ) -> float:
        """Return the share of one reporter; the shares given never sum to more than the pool."""
        limit = self._limits[organisation]
        self._forget_silent(limit)
        settled = now_ms() - limit.since_ms >= self._settle_ms
        held = sum(one.held_per_s for one in limit.reports.values())
        pool = limit_per_s if view is View.WHOLE and settled else min(limit_per_s, held)
        shares = _divide(pool, {one: report.demand_per_s for one, report in limit.reports.items()})
        granted = shares[reporter]
        others = held - limit.reports[reporter].held_per_s
        # What others still hold is theirs until they report a smaller share.
        granted = max(min(granted, pool - others), 0.0)
        limit.reports[reporter].held_per_s = granted
        total = sum(one.held_per_s for one in limit.reports.values())
        assert total <= max(pool, others) + 1e-6, (
            f"shares of {organisation} sum to {total}, not {pool}"
        )
        return granted

    def _forget_silent(self, limit: _OwnedLimit) -> None:
        horizon_ms = now_ms() - REPORT_TTL_MS
        silent = [one for one, report in limit.reports.items() if report.at_ms < horizon_ms]
        for one in silent:
            del limit.reports[one]

    def drop(self, organisations: set[OrganisationId]) -> None:
        """Forget limits that this instance does not own any more."""
        for organisation in organisations:
            self._limits.pop(organisation, None)

    def owned(self) -> set[OrganisationId]:
        """Return the limits on which there are reports."""
        return set(self._limits)


def _divide(pool: float, demands: dict[InstanceId, float]) -> dict[InstanceId, float]:
    """Divide a pool by demand; an even part goes to each reporter."""
    even = pool * EVEN_PART / len(demands)
    total = sum(demands.values())
    rest = pool - even * len(demands)
    if total <= 0:
        return dict.fromkeys(demands, pool / len(demands))
    return {one: even + rest * demand / total for one, demand in demands.items()}
