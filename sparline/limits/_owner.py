"""Division of a limit by demand at the single instance that owns it.

The owner can lose its state safely because each report carries the share that its sender
holds. An owner that can't reach the whole home region does not know which other instances
hold shares. It then only redistributes the shares of its reporters, which keeps the total
from growing on both sides of a network partition.
"""

from dataclasses import dataclass, field
from enum import Enum

from sparline._clock import now_ms
from sparline._ids import InstanceId, OrganisationId

# A report expires after this long (ms): the demand of its sender then counts as zero, and its
# share can be granted to others. In a partial view the share is taken out of the pool instead.
REPORT_TTL_MS = 10_000.0
# Fraction of a limit that is divided evenly between all instances and needs no report.
FLOOR_FRACTION = 0.05


class RegionView(Enum):
    """Enumerate how much of the home region an owner can see."""

    WHOLE = "whole"  # all live instances, unchanged for long enough
    PARTIAL = "partial"  # other instances may hold unreported shares


@dataclass(frozen=True, slots=True)
class LimitTerms:
    """Describe a limit to its owner."""

    limit_per_s: float  # from the current declaration file
    instances: int  # instances that may receive the organisation's requests
    view: RegionView  # how much of the home region the owner can see


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Hold one instance's report on an organisation."""

    demand_per_s: float  # rate of arriving requests
    held_per_s: float  # share that the instance enforces


@dataclass(slots=True)
class _InstanceReport:
    """Hold an instance's latest report and the share granted in response."""

    demand_per_s: float  # rate of arriving requests
    above_floor_per_s: float  # share in excess of the floor
    at_ms: float  # when the report arrived


@dataclass(slots=True)
class _OwnedLimit:
    """Hold the reports for one organisation."""

    pool: float | None = None  # rate to divide in a partial view, None in a whole view
    reports: dict[InstanceId, _InstanceReport] = field(default_factory=dict)


class LimitOwner:
    """Divide limits between reporting instances."""

    def __init__(self) -> None:
        """Start without reports."""
        self._limits: dict[OrganisationId, _OwnedLimit] = {}

    def answer(
        self,
        organisation: OrganisationId,
        reporter: InstanceId,
        demand: DemandReport,
        terms: LimitTerms,
    ) -> float:
        """Process a report and return the reporter's share: the floor plus a part by demand.

        The parts above the floor never sum to more than the pool, so the total of all
        shares stays within the limit.
        """
        limit = self._limits.setdefault(organisation, _OwnedLimit())
        floor = floor_per_s(terms.limit_per_s, terms.instances)
        above_floor = max(demand.held_per_s - floor, 0.0)
        if limit.pool is not None and reporter not in limit.reports:
            limit.pool += above_floor
        limit.reports[reporter] = _InstanceReport(demand.demand_per_s, above_floor, now_ms())
        self._expire_reports(limit)
        pool = self._pool(limit, terms)
        held_by_others = sum(one.above_floor_per_s for one in limit.reports.values()) - above_floor
        # Shares of other instances stay reserved until they report smaller ones.
        granted = max(min(_demand_fraction(limit, reporter) * pool, pool - held_by_others), 0.0)
        assert granted + held_by_others <= max(pool, held_by_others) + 1e-6, (
            f"{organisation}: shares exceed the limit"
        )
        limit.reports[reporter].above_floor_per_s = granted
        return floor + granted

    def _pool(self, limit: _OwnedLimit, terms: LimitTerms) -> float:
        whole_view_pool = terms.limit_per_s * (1 - FLOOR_FRACTION)
        if terms.view is RegionView.WHOLE:
            limit.pool = None
            return whole_view_pool
        if limit.pool is None:
            limit.pool = sum(one.above_floor_per_s for one in limit.reports.values())
        return min(limit.pool, whole_view_pool)

    def _expire_reports(self, limit: _OwnedLimit) -> None:
        oldest_ms = now_ms() - REPORT_TTL_MS
        expired = [one for one, held in limit.reports.items() if held.at_ms < oldest_ms]
        for one in expired:
            held = limit.reports.pop(one)
            if limit.pool is not None:
                # The instance may still be enforcing its share.
                limit.pool -= held.above_floor_per_s

    def drop(self, organisations: set[OrganisationId]) -> None:
        """Drop limits that this instance no longer owns."""
        for organisation in organisations:
            self._limits.pop(organisation, None)

    def owned(self) -> set[OrganisationId]:
        """Return the organisations for which reports are held."""
        return set(self._limits)


def floor_per_s(limit_per_s: float, instances: int) -> float:
    """Return the share that each instance has without reporting."""
    return limit_per_s * FLOOR_FRACTION / max(instances, 1)


def _demand_fraction(limit: _OwnedLimit, reporter: InstanceId) -> float:
    total = sum(report.demand_per_s for report in limit.reports.values())
    if total <= 0:
        return 1 / len(limit.reports)
    return limit.reports[reporter].demand_per_s / total
