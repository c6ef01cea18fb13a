"""Use of each quota in one region, kept by the region's quota coordinator."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._ids import RegionName
from sparline.quotas._allowance import Report
from sparline.quotas._level import FleetLevel
from sparline.quotas._terms import Terms

# A region is silent when its coordinator was not heard from for this long (ms): a gossip round, the
# network delay and a margin.
SILENT_MS = 450.0
# A changed total is repeated in each gossip round for this long (ms), so that it still arrives
# after a network partition.
TOLD_AGAIN_MS = 12_000.0
# Most totals in a datagram, the newest first: at some 12 bytes each it stays below 1,400 bytes.
MOST_TOLD = 90
# When little quota is left, totals are sent at once. The least interval grows with the number of
# regions (ms for each), so that a coordinator receives at most a hundred messages a second from all
# others.
PRESSED_MS_A_REGION = 10.0
PRESSED_LEAST_MS = 60.0
# Quotas without use and instances without reports for this long are dropped (ms).
IDLE_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class RegionTotal:
    """Represent the units that a region has admitted against one quota."""

    key: int  # quota key of the organisation
    total: float  # units since its coordinator started counting


@dataclass(slots=True)
class _Kept:
    """Hold the state of one organisation's quota."""

    level: FleetLevel  # remaining units
    used_at_ms: float  # time of the last use
    total: float = 0.0  # units admitted by this region
    told: float = 0.0  # value of `total` last sent to other regions
    total_at_ms: float = 0.0  # time when `total` last changed


class Account:
    """Aggregate the reports of a region's instances and the totals of other regions.

    Every instance may become the coordinator of its region.
    """

    def __init__(
        self,
        region: RegionName,
        terms_of: Callable[[int], Terms | None],
        parts: Callable[[], dict[RegionName, float]],
    ) -> None:
        """Create the aggregate of a region.

        `terms_of` returns the refill parameters of a quota by its key, None for an unknown key;
        `parts` returns the share of each region in a quota, by the instances that may admit
        requests there.
        """
        self._region = region
        self._terms_of = terms_of
        self._parts = parts
        self._kept: dict[int, _Kept] = {}
        self._totals: dict[
            int, float
        ] = {}  # of dropped quotas: other coordinators still remember them
        self._members: dict[tuple[str, int], dict[int, float]] = {}
        self._member_at_ms: dict[tuple[str, int], float] = {}
        self._holders: dict[tuple[str, int], dict[int, float]] = {}
        self._heard_at_ms: dict[RegionName, float] = {}
        self._told_at_ms = 0.0
        self._is_pressed = False

    def take_report(self, member: tuple[str, int], report: Report, now: float) -> dict[int, float]:
        """Apply the report of an instance; return the remaining units by quota key.

        `member` identifies one run of an instance; its totals restart from zero with each run.
        """
        told = self._members.setdefault(member, {})
        self._member_at_ms[member] = now
        silent = self._silent_parts(now)
        left: dict[int, float] = {}
        for use in report.uses:
            terms = self._terms_of(use.key)
            if terms is None:
                continue
            known = use.key in self._kept
            kept = self._keep(use.key, terms, use.level, now)
            kept.level.at(now, silent)
            units = use.total - told[use.key] if use.key in told else use.unsaid
            told[use.key] = use.total
            if known or use.level is None:
                # A level taken over from the instance's report already includes its own use.
                kept.level.use(units)
            self._note_used(kept, units, now)
            left[use.key] = kept.level.at(now, silent)
            regions = len(silent) + len(self._heard_at_ms) + 1
            if kept.total - kept.told > max(left[use.key], 0.0) / (2 * regions):
                self._is_pressed = True
        return left

    def is_word_due(self, now: float) -> bool:
        """Return whether totals should be sent to other regions before the next gossip round."""
        regions = len(self._heard_at_ms) + 1
        since_ms = now - self._told_at_ms
        return self._is_pressed and since_ms >= max(PRESSED_LEAST_MS, PRESSED_MS_A_REGION * regions)

    def _keep(self, key: int, terms: Terms, told: float | None, now: float) -> _Kept:
        kept = self._kept.get(key)
        if kept is None:
            # The previous coordinator is gone; instances still hold the level that it last
            # reported.
            first = terms.first * self._parts().get(self._region, 1.0)
            level = first if told is None else min(told, terms.most)
            total = self._totals.get(key, 0.0)
            kept = self._kept[key] = _Kept(FleetLevel(terms, level, now), now, total, total)
        kept.level.change(terms)
        return kept

    def _note_used(self, kept: _Kept, units: float, now: float) -> None:
        kept.used_at_ms = now
        if units:
            kept.total += units
            kept.total_at_ms = now

    def totals(self, now: float) -> list[RegionTotal]:
        """Return the recently changed totals to send to other regions' coordinators."""
        self._told_at_ms = now
        self._is_pressed = False
        for kept in self._kept.values():
            kept.told = kept.total
        lately = [
            (kept.total_at_ms, key, kept.total)
            for key, kept in self._kept.items()
            if kept.total_at_ms and now - kept.total_at_ms < TOLD_AGAIN_MS
        ]
        lately.sort(reverse=True)
        return [RegionTotal(key, total) for _, key, total in lately[:MOST_TOLD]]

    def take_totals(
        self, region: RegionName, holder: tuple[str, int], totals: list[RegionTotal], now: float
    ) -> None:
        """Apply the totals of another region; `holder` identifies one run of its coordinator."""
        silent = self._silent_parts(now)
        told = self._holders.setdefault(holder, {})
        used: dict[int, float] = {}
        for one in totals:
            # The first total of a coordinator includes units admitted before it was known here.
            used[one.key] = one.total - told.get(one.key, one.total)
            told[one.key] = one.total
            terms = self._terms_of(one.key)
            if terms is not None and one.key not in self._kept:
                self._keep(one.key, terms, None, now)
        for key, kept in self._kept.items():
            kept.level.at(now, silent)
            kept.level.take_word(region, used.get(key, 0.0), now)
            if used.get(key):
                kept.used_at_ms = now
        self._heard_at_ms[region] = now

    def _silent_parts(self, now: float) -> dict[RegionName, float]:
        return {
            region: part
            for region, part in self._parts().items()
            if region != self._region
            and now - self._heard_at_ms.get(region, float("-inf")) > SILENT_MS
        }

    def forget_idle(self, now: float) -> None:
        """Drop quotas and instances that have been idle for `IDLE_MS`."""
        silent = self._silent_parts(now)
        # A quota in debt is kept: dropping it would cancel the debt.
        idle = [
            key
            for key, one in self._kept.items()
            if now - one.used_at_ms >= IDLE_MS and one.level.at(now, silent) > 0
        ]
        for key in idle:
            self._totals[key] = self._kept.pop(key).total
        gone = [one for one, at_ms in self._member_at_ms.items() if now - at_ms >= IDLE_MS]
        for member in gone:
            del self._members[member]
            del self._member_at_ms[member]

    def __len__(self) -> int:
        """Return the number of quotas with state."""
        return len(self._kept)
