"""Use of each quota in one region, kept by the region's quota coordinator."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._ids import RegionName
from sparline.quotas._allowance import UsageReport
from sparline.quotas._level import FleetLevel
from sparline.quotas._terms import QuotaParameters

# A region is silent when its coordinator was not heard from for this long (ms): a gossip round, the
# network delay and a margin.
REGION_SILENT_MS = 450.0
# A changed total is repeated in each gossip round for this long (ms), so that it still arrives
# after a network partition.
REPEAT_TOTALS_MS = 12_000.0
# Most totals in a datagram, the newest first: at some 12 bytes each it stays below 1,400 bytes.
MAX_TOTALS = 90
# When little quota is left, totals are sent at once. The minimum interval grows with the number of
# regions (ms for each), so that a coordinator receives at most a hundred messages a second from all
# others.
SEND_INTERVAL_PER_REGION_MS = 10.0
MIN_SEND_INTERVAL_MS = 60.0
# Quotas without use and instances without reports for this long are dropped (ms).
IDLE_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class RegionTotal:
    """Represent the units that a region has admitted against one quota."""

    key: int  # quota key of the organisation
    total: float  # units since its coordinator started counting


@dataclass(slots=True)
class _QuotaState:
    """Hold the state of one organisation's quota."""

    level: FleetLevel  # remaining units
    used_at_ms: float  # time of the last use
    total: float = 0.0  # units admitted by this region
    sent_total: float = 0.0  # value of `total` last sent to other regions
    total_changed_at_ms: float = 0.0  # time when `total` last changed


class QuotaCoordinator:
    """Aggregate the reports of a region's instances and the totals of other regions.

    Every instance may become the coordinator of its region.
    """

    def __init__(
        self,
        region: RegionName,
        parameters_of: Callable[[int], QuotaParameters | None],
        region_shares: Callable[[], dict[RegionName, float]],
    ) -> None:
        """Start without any reports.

        `parameters_of` returns the refill parameters of a quota by its key, None for an unknown
        key; `region_shares` returns the share of each region in a quota, in proportion to the
        instances that may admit requests there.
        """
        self._region = region
        self._parameters_of = parameters_of
        self._region_shares = region_shares
        self._states: dict[int, _QuotaState] = {}
        # Other coordinators still remember the totals of dropped quotas, and would count a total
        # that restarts from zero as returned units.
        self._dropped_totals: dict[int, float] = {}
        self._member_totals: dict[tuple[str, int], dict[int, float]] = {}
        self._member_reported_at_ms: dict[tuple[str, int], float] = {}
        self._coordinator_totals: dict[tuple[str, int], dict[int, float]] = {}
        self._region_heard_at_ms: dict[RegionName, float] = {}
        self._totals_sent_at_ms = 0.0
        self._is_send_urgent = False

    def take_report(
        self, member: tuple[str, int], report: UsageReport, now: float
    ) -> dict[int, float]:
        """Apply the report of an instance; return the remaining units by quota key.

        `member` identifies one run of an instance; its totals restart from zero with each run.
        """
        seen_totals = self._member_totals.setdefault(member, {})
        self._member_reported_at_ms[member] = now
        silent = self._silent_shares(now)
        left: dict[int, float] = {}
        for use in report.uses:
            parameters = self._parameters_of(use.key)
            if parameters is None:
                continue
            known = use.key in self._states
            state = self._ensure_state(use.key, parameters, use.level, now)
            state.level.advance_to(now, silent)
            units = use.total - seen_totals[use.key] if use.key in seen_totals else use.unsaid
            seen_totals[use.key] = use.total
            if known or use.level is None:
                # A level taken over from the instance's report already includes its own use.
                state.level.subtract(units)
            self._record_use(state, units, now)
            left[use.key] = state.level.advance_to(now, silent)
            regions = len(silent) + len(self._region_heard_at_ms) + 1
            if state.total - state.sent_total > max(left[use.key], 0.0) / (2 * regions):
                self._is_send_urgent = True
        return left

    def are_totals_due(self, now: float) -> bool:
        """Return whether totals should be sent to other regions before the next gossip round."""
        regions = len(self._region_heard_at_ms) + 1
        since_ms = now - self._totals_sent_at_ms
        return self._is_send_urgent and since_ms >= max(
            MIN_SEND_INTERVAL_MS, SEND_INTERVAL_PER_REGION_MS * regions
        )

    def _ensure_state(
        self, key: int, parameters: QuotaParameters, reported_level: float | None, now: float
    ) -> _QuotaState:
        state = self._states.get(key)
        if state is None:
            # The previous coordinator is gone; instances still hold the level that it last
            # reported.
            initial_level = parameters.initial_level * self._region_shares().get(self._region, 1.0)
            level = (
                initial_level
                if reported_level is None
                else min(reported_level, parameters.max_level)
            )
            total = self._dropped_totals.get(key, 0.0)
            state = self._states[key] = _QuotaState(
                FleetLevel(parameters, level, now), now, total, total
            )
        state.level.set_parameters(parameters)
        return state

    def _record_use(self, state: _QuotaState, units: float, now: float) -> None:
        state.used_at_ms = now
        if units:
            state.total += units
            state.total_changed_at_ms = now

    def totals(self, now: float) -> list[RegionTotal]:
        """Return the recently changed totals to send to other regions' coordinators."""
        self._totals_sent_at_ms = now
        self._is_send_urgent = False
        for state in self._states.values():
            state.sent_total = state.total
        recent = [
            (state.total_changed_at_ms, key, state.total)
            for key, state in self._states.items()
            if state.total_changed_at_ms and now - state.total_changed_at_ms < REPEAT_TOTALS_MS
        ]
        recent.sort(reverse=True)
        return [RegionTotal(key, total) for _, key, total in recent[:MAX_TOTALS]]

    def take_totals(
        self,
        region: RegionName,
        coordinator: tuple[str, int],
        totals: list[RegionTotal],
        now: float,
    ) -> None:
        """Apply the totals of another region; `coordinator` identifies one run of its sender."""
        silent = self._silent_shares(now)
        seen_totals = self._coordinator_totals.setdefault(coordinator, {})
        used: dict[int, float] = {}
        for one in totals:
            # The first total of a coordinator includes units admitted before it was known here.
            used[one.key] = one.total - seen_totals.get(one.key, one.total)
            seen_totals[one.key] = one.total
            parameters = self._parameters_of(one.key)
            if parameters is not None and one.key not in self._states:
                self._ensure_state(one.key, parameters, None, now)
        for key, state in self._states.items():
            state.level.advance_to(now, silent)
            state.level.apply_update(region, used.get(key, 0.0), now)
            if used.get(key):
                state.used_at_ms = now
        self._region_heard_at_ms[region] = now

    def _silent_shares(self, now: float) -> dict[RegionName, float]:
        return {
            region: share
            for region, share in self._region_shares().items()
            if region != self._region
            and now - self._region_heard_at_ms.get(region, float("-inf")) > REGION_SILENT_MS
        }

    def forget_idle(self, now: float) -> None:
        """Drop quotas and instances that have been idle for `IDLE_MS`."""
        silent = self._silent_shares(now)
        # A quota in debt is kept: dropping it would cancel the debt.
        idle = [
            key
            for key, one in self._states.items()
            if now - one.used_at_ms >= IDLE_MS and one.level.advance_to(now, silent) > 0
        ]
        for key in idle:
            self._dropped_totals[key] = self._states.pop(key).total
        gone = [one for one, at_ms in self._member_reported_at_ms.items() if now - at_ms >= IDLE_MS]
        for member in gone:
            del self._member_totals[member]
            del self._member_reported_at_ms[member]

    def __len__(self) -> int:
        """Return the number of quotas with state."""
        return len(self._states)
