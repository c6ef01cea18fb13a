"""Admission level of one service in one region: which requests are admitted while capacity is scarce.

Answers a load that exceeds the capacity of a region for seconds (2 to 3 times its mean, then far
below it). If each instance judges each request on its own, urgent requests are refused in one place
while less urgent ones are accepted in another, and goodput falls as demand rises. The level is one
number for all instances of the region: requests with lower keys are admitted first. Its budget
follows what was missed, which is admitted cost that was then refused for lack of capacity or
answered too late.

Costs are in credit tokens (or requests, for services without prompts), rates in cost per second,
times in ms.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from sparline.decisions._admission_keys import (
    ADJUSTMENT_MS,
    BUCKET_KEYS,
    BUCKETS,
    FLOOR_POSITIONS,
    KEYS_PER_RANK,
    OPEN_LEVEL,
    OPENING_MS,
    POSITIONS,
)
from sparline.decisions._smoothed_rate import SmoothedRate
from sparline.decisions._unrelated_misses import UnrelatedMisses

# What is measured
DEMAND_SMOOTHING_MS = 1_000.0  # time constant of the demand by bucket
RATE_SMOOTHING_MS = 300.0  # time constant of all other rates: how soon a change is seen
CAPACITY_ROUNDS = 4  # the capacity is the highest rate answered in the last of these rounds

# When the budget falls, and how far
TOLERATED_MISSES = 0.05  # part of the admitted cost
SCARCE_OCCUPANCY = 0.8  # mean of the region's servers; below it, misses have other causes than load
MAX_FALL = 0.5  # lowest factor by which one adjustment lowers the budget
DRAINING_SHARE = 0.8  # of the capacity, after a fall; the rest of the capacity drains the queue
ROUNDS_AFTER_FALL = 3  # without a further change, as reports show the effect that late

# How the budget rises again
STEADY_SHARE = 0.97  # of the capacity, once the queue has drained
MAX_RESTORED_SHARE = 0.25  # of the demand: largest step back to the steady budget
KEEPING_UP_SHARE = 0.92  # of what was started; the queue grows if less than this is answered
RISE_RESTART_SHARE = 0.25  # of the tolerated misses; more restart the rise with its first step
# Each round without a miss adds the cube of its number to the rise, up to this number. Seven such
# steps are the whole demand, which leaves one of the eight rounds of `OPENING_MS` for the report.
RISE_STEPS = 7
RISE_UNIT = 1 / sum(number**3 for number in range(1, RISE_STEPS + 1))  # first step, of the demand

# When the level opens
OPEN_FACTOR = 1.05  # budget over demand from which the level is open
MAX_BUDGET_FACTOR = 1.06  # budget over demand at which the budget stops
ROUNDS_AFTER_OPENING = 4  # in which an open level is still announced and demand is reported


@dataclass(frozen=True, slots=True)
class RoundReport:
    """Hold what one instance, or all of a region, counted in a round."""

    demand: Mapping[int, float]  # cost of what was asked, by bucket
    admitted: float  # cost of what the level admitted
    missed: float  # cost of what was then refused or late
    answered: float  # cost of what got its first event or answer, or failed otherwise
    refused: float = 0.0  # part of what was missed that servers refused as full


class LevelController:
    """Adjusts the level of one service in one region; the caller passes the time in (ms)."""

    def __init__(
        self, patience_ms: Mapping[int, float], level: int = OPEN_LEVEL, floor: int = 0
    ) -> None:
        """Start from a known level; `patience_ms` is the longest deadline of each rank."""
        self.level = level
        self.floor = floor
        self.budget_per_s: float | None = None  # None until demand is known
        self.quiet_rounds = 0  # rounds in which the level was open and nothing was missed
        self.patience_ms = patience_ms
        self._demand: dict[int, SmoothedRate] = {}
        self._admitted = SmoothedRate(RATE_SMOOTHING_MS)
        self._missed = SmoothedRate(RATE_SMOOTHING_MS)
        self._refused = SmoothedRate(RATE_SMOOTHING_MS)
        self._answered = SmoothedRate(RATE_SMOOTHING_MS)
        self._asked = SmoothedRate(RATE_SMOOTHING_MS)
        self._recent: list[float] = []  # answered per second, in the last rounds
        self._capacity = 0.0  # estimate of the cost per second that servers can answer
        self._sum: dict[int, float] = {}
        self._sum_admitted = self._sum_missed = self._sum_answered = self._sum_refused = 0.0
        self._stepped_at_ms: float | None = None
        self._good_rounds = 0
        self._rounds_since_fall = ROUNDS_AFTER_FALL  # none so far
        self._shut_since_ms: dict[int, float] = {}
        self._unrelated = UnrelatedMisses()

    def note(self, report: RoundReport) -> None:
        """Add an instance's report to the current round."""
        for bucket, cost in report.demand.items():
            if 0 <= bucket < BUCKETS:
                self._sum[bucket] = self._sum.get(bucket, 0.0) + cost
        self._sum_admitted += report.admitted
        self._sum_missed += report.missed
        self._sum_answered += report.answered
        self._sum_refused += report.refused

    @property
    def asked_per_s(self) -> float:
        """Return the demand, smoothed over less time than that of each bucket."""
        return self._asked.per_s

    @property
    def missed_share(self) -> float:
        """Return the smoothed part of the admitted cost that was missed, at most 1."""
        missed, admitted = self._missed.per_s, self._admitted.per_s
        return min(missed / admitted, 1.0) if admitted > 0 else 0.0

    def is_done(self) -> bool:
        """Tell whether the level has been open and without misses for long enough to be dropped."""
        return self.quiet_rounds > ROUNDS_AFTER_OPENING

    def step(self, now: float, occupancy: float | None = None) -> int:
        """End a round: adjust budget, level and floor to the reports; return the level.

        `occupancy` is the mean occupancy of the region's servers, 0 to 1, None if it is not known.
        The first call begins the measurement. Its reports are discarded, because at first only
        instances with misses report.
        """
        began_at_ms, self._stepped_at_ms = self._stepped_at_ms, now
        total = RoundReport(
            self._sum,
            self._sum_admitted,
            self._sum_missed,
            self._sum_answered,
            self._sum_refused,
        )
        self._sum = {}
        self._sum_admitted = self._sum_missed = self._sum_answered = self._sum_refused = 0.0
        if began_at_ms is None or now <= began_at_ms:
            return self.level
        span_ms = now - began_at_ms
        self._measure(total, span_ms)
        room = 0.0 if occupancy is None else max(1 - occupancy / SCARCE_OCCUPANCY, 0.0)
        self._adjust(now, span_ms, room)
        self._set_level()
        self._set_floor(now)
        is_quiet = self.level == OPEN_LEVEL and total.missed <= 0
        self.quiet_rounds = self.quiet_rounds + 1 if is_quiet else 0
        return self.level

    def _measure(self, total: RoundReport, span_ms: float) -> None:
        for bucket in total.demand:
            self._demand.setdefault(bucket, SmoothedRate(DEMAND_SMOOTHING_MS))
        for bucket, rate in self._demand.items():
            rate.add(total.demand.get(bucket, 0.0), span_ms)
        self._asked.add(sum(total.demand.values()), span_ms)
        self._admitted.add(total.admitted, span_ms)
        self._missed.add(total.missed, span_ms)
        self._refused.add(total.refused, span_ms)
        self._answered.add(total.answered, span_ms)

    def _tolerated(self, now: float) -> float:
        return TOLERATED_MISSES + self._unrelated.tolerated_share(now)

    def _adjust(self, now: float, span_ms: float, room: float) -> None:
        """Adjust the budget; `room` is the free part of what may be occupied, 0 if none is."""
        asked, share = self.asked_per_s, self.missed_share
        if self.budget_per_s is None:
            # An inherited level stands for the demand below it.
            self.budget_per_s = (
                asked if self.level == OPEN_LEVEL else self._demand_below(self.level)
            )
            self._capacity = self.budget_per_s
        self._recent = [*self._recent, self._answered.per_s][-CAPACITY_ROUNDS:]
        self._unrelated.learn(now, self._admitted.per_s, share)
        tolerated = self._tolerated(now)
        self._rounds_since_fall += 1
        if self._refused.per_s > tolerated * self._admitted.per_s:
            # Servers that refuse are full, whatever load is known of them.
            room = 0.0
        if room > 0 and self.level < OPEN_LEVEL:
            rise = asked * MAX_RESTORED_SHARE * room * span_ms / ADJUSTMENT_MS
            self.budget_per_s = min(self.budget_per_s + rise, asked * MAX_BUDGET_FACTOR)
        elif share > tolerated and not room:
            self._good_rounds = 0
            self._fall(now, share)
        elif self.level == OPEN_LEVEL:
            # Without misses, more demand alone does not close the level.
            self.budget_per_s = asked * MAX_BUDGET_FACTOR
        elif self._rounds_since_fall > ROUNDS_AFTER_FALL:
            related = max(share - (tolerated - TOLERATED_MISSES), 0.0)
            self._rise(asked, related / TOLERATED_MISSES, span_ms)

    def _fall(self, now: float, share: float) -> None:
        """Lower the budget to less than what was answered, so that the queue drains."""
        assert self.budget_per_s is not None
        self._unrelated.note_cut(now, self._admitted.per_s, share)
        answered = max(self._recent)
        if self.budget_per_s <= answered and self._rounds_since_fall <= ROUNDS_AFTER_FALL:
            return
        self._capacity = min(answered, self.budget_per_s)
        self.budget_per_s = max(self._capacity * DRAINING_SHARE, self.budget_per_s * MAX_FALL)
        self._rounds_since_fall = 0

    def _rise(self, asked: float, part: float, span_ms: float) -> None:
        """Raise the budget: to the capacity in large steps, beyond it in growing ones.

        `part` is the missed share as part of what is tolerated.
        """
        assert self.budget_per_s is not None
        if self.budget_per_s < self._capacity * STEADY_SHARE:
            self.budget_per_s = min(
                self._capacity * STEADY_SHARE, self.budget_per_s + asked * MAX_RESTORED_SHARE
            )
            return
        if part > RISE_RESTART_SHARE:
            self._good_rounds = 0
        started = self._admitted.per_s - self._missed.per_s
        if self.level < OPEN_LEVEL and self._answered.per_s < KEEPING_UP_SHARE * started:
            self._good_rounds = 0
            self._capacity = max(self._recent)
            self.budget_per_s = min(self.budget_per_s, self._capacity * STEADY_SHARE)
            return
        self._good_rounds = min(self._good_rounds + 1, RISE_STEPS)
        rise = asked * RISE_UNIT * self._good_rounds**3 * (1 - part)
        self.budget_per_s += rise * span_ms / ADJUSTMENT_MS
        self.budget_per_s = min(self.budget_per_s, asked * MAX_BUDGET_FACTOR)

    def _demand_below(self, level: int) -> float:
        whole, part = divmod(level, BUCKET_KEYS)
        below = sum(rate.per_s for bucket, rate in self._demand.items() if bucket < whole)
        edge = self._demand.get(whole)
        return below + (edge.per_s * part / BUCKET_KEYS if edge else 0.0)

    def _set_level(self) -> None:
        assert self.budget_per_s is not None
        asked = self.asked_per_s
        if self.budget_per_s >= asked * OPEN_FACTOR:
            self.level = OPEN_LEVEL
            return
        # What the floor admits above the level is part of the budget.
        floor_part = self.floor / POSITIONS
        left = (self.budget_per_s - floor_part * asked) / (1 - floor_part)
        scale = asked / max(sum(one.per_s for one in self._demand.values()), 1e-9)
        for bucket in sorted(self._demand):
            per_s = self._demand[bucket].per_s * scale
            if per_s > left:
                self.level = bucket * BUCKET_KEYS + int(BUCKET_KEYS * max(left, 0.0) / per_s)
                return
            left -= per_s
        self.level = (max(self._demand, default=BUCKETS - 1) + 1) * BUCKET_KEYS

    def _set_floor(self, now: float) -> None:
        """Set the floor while a rank that is asked for has been shut out for as long as it waits."""
        asked_ranks = {
            bucket * BUCKET_KEYS // KEYS_PER_RANK
            for bucket, rate in self._demand.items()
            if rate.per_s > 0
        }
        shut = {rank for rank in asked_ranks if self.level <= rank * KEYS_PER_RANK}
        self._shut_since_ms = {rank: self._shut_since_ms.get(rank, now) for rank in shut}
        longest = max(self.patience_ms.values(), default=OPENING_MS)
        is_starved = any(
            now - since_ms >= self.patience_ms.get(rank, longest)
            for rank, since_ms in self._shut_since_ms.items()
        )
        self.floor = FLOOR_POSITIONS if is_starved else 0
