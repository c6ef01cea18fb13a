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
# Part of a limit that every instance may use without asking, divided by their number.
FLOOR_PART = 0.05


class View(Enum):
    """Name how much of the home region an owner sees."""

    WHOLE = "whole"  # every instance that the list calls live, and for long enough
    PARTIAL = "partial"  # others may hold shares that were not reported


@dataclass(frozen=True, slots=True)
class LimitTerms:
    """Hold what the owner must know of a limit."""

    limit_per_s: float  # from the file in force
    instances: int  # instances that may take the organisation's requests
    view: View  # how much of the home region the owner sees


@dataclass(frozen=True, slots=True)
class Reported:
    """Hold what one instance reports of an organisation."""

    demand_per_s: float  # requests that arrive there
    held_per_s: float  # share that it enforces


@dataclass(slots=True)
class _Held:
    """Hold the newest report of one instance and what it was given since."""

    demand_per_s: float  # requests that arrive there
    above_per_s: float  # share above the floor
    at_ms: float  # when it reported


@dataclass(slots=True)
class _OwnedLimit:
    """Hold the reports on one organisation."""

    pool: float | None = None  # what is divided in a partial view, None in a whole one
    reports: dict[InstanceId, _Held] = field(default_factory=dict)


class LimitOwner:
    """Divide limits between the instances that report demand."""

    def __init__(self) -> None:
        """Start with no report."""
        self._limits: dict[OrganisationId, _OwnedLimit] = {}

    def answer(
        self,
        organisation: OrganisationId,
        reporter: InstanceId,
        demand: Reported,
        terms: LimitTerms,
    ) -> float:
        """Take a report and return the reporter's share: a floor, and a part by demand.

        The parts above the floor never sum to more than the pool, so that all shares
        together stay within the limit.
        """
        limit = self._limits.setdefault(organisation, _OwnedLimit())
        floor = floor_of(terms.limit_per_s, terms.instances)
        above = max(demand.held_per_s - floor, 0.0)
        if limit.pool is not None and reporter not in limit.reports:
            limit.pool += above
        limit.reports[reporter] = _Held(demand.demand_per_s, above, now_ms())
        self._forget_silent(limit)
        pool = self._pool(limit, terms)
        others = sum(one.above_per_s for one in limit.reports.values()) - above
        # What others still hold is theirs until they report a smaller share.
        granted = max(min(_part_by_demand(limit, reporter) * pool, pool - others), 0.0)
        assert granted + others <= max(pool, others) + 1e-6, f"{organisation} is over its limit"
        limit.reports[reporter].above_per_s = granted
        return floor + granted

    def _pool(self, limit: _OwnedLimit, terms: LimitTerms) -> float:
        whole = terms.limit_per_s * (1 - FLOOR_PART)
        if terms.view is View.WHOLE:
            limit.pool = None
            return whole
        if limit.pool is None:
            limit.pool = sum(one.above_per_s for one in limit.reports.values())
        return min(limit.pool, whole)

    def _forget_silent(self, limit: _OwnedLimit) -> None:
        horizon_ms = now_ms() - REPORT_TTL_MS
        silent = [one for one, held in limit.reports.items() if held.at_ms < horizon_ms]
        for one in silent:
            held = limit.reports.pop(one)
            if limit.pool is not None:
                # It may hold its share still.
                limit.pool -= held.above_per_s

    def drop(self, organisations: set[OrganisationId]) -> None:
        """Forget limits that this instance does not own any more."""
        for organisation in organisations:
            self._limits.pop(organisation, None)

    def owned(self) -> set[OrganisationId]:
        """Return the limits on which there are reports."""
        return set(self._limits)


def floor_of(limit_per_s: float, instances: int) -> float:
    """Return the share that an instance has without asking."""
    return limit_per_s * FLOOR_PART / max(instances, 1)


def _part_by_demand(limit: _OwnedLimit, reporter: InstanceId) -> float:
    total = sum(report.demand_per_s for report in limit.reports.values())
    if total <= 0:
        return 1 / len(limit.reports)
    return limit.reports[reporter].demand_per_s / total
