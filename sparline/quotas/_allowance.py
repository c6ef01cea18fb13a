"""Local admission by quota in one instance, between answers of its region's quota coordinator."""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from sparline._ids import OrganisationId
from sparline.quotas._terms import QuotaParameters, QuotaTolerance, make_quota_parameters, quota_key
from sparline.routes import Organisation

# Admitted units are reported at this interval while much quota is left (ms), and at once when
# little is left. The minimum interval grows with the number of instances in the region (ms for
# each), so that the coordinator receives no more than some hundred reports a second from all of
# them.
REPORT_INTERVAL_MS = 1_000.0
REPORT_INTERVAL_PER_INSTANCE_MS = 3.0
MIN_REPORT_INTERVAL_MS = 20.0
# The coordinator counts as gone when a report is unanswered for this long (ms), a few times the
# network delay within a region.
ANSWER_TIMEOUT_MS = 700.0
# A report is sent again when it is unanswered for this long (ms).
RESEND_AFTER_MS = 200.0
# For this long after an answer the refill of the whole fleet is credited here, afterwards only this
# instance's share (ms): other instances use the quota too, and a stopped coordinator sends no
# updates.
FRESH_ANSWER_MS = 150.0
# An answer older than this is ignored, since the use by others since then is unknown (ms).
MAX_ANSWER_AGE_MS = 3_000.0
# A new coordinator takes over the level of an answer that is not older than this (ms).
MAX_HANDOVER_AGE_MS = 10_000.0
# An organisation without requests for this long is dropped (ms).
IDLE_MS = 60_000.0
# Callers over the quota are told to retry once it has refilled. The delay is multiplied by a random
# factor from this range, so that retries don't coincide, and bounded by these delays (ms).
RETRY_JITTER = (1.0, 1.5)
MIN_RETRY_DELAY_MS = 50.0
MAX_RETRY_DELAY_MS = 10_000.0
# Most organisations in a report: at some 22 bytes each it stays below 1,400 bytes.
MAX_USES = 56
# Most reports that may await an answer.
MAX_UNANSWERED_REPORTS = 16
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class QuotaUsage:
    """Represent the units that an instance has admitted against one quota."""

    key: int  # quota key of the organisation
    total: float  # units admitted since the instance started
    unsaid: float  # units of them not included in the last answer
    level: float | None  # remaining units by the last answer, None without a recent one


@dataclass(frozen=True, slots=True)
class UsageReport:
    """Report the units admitted by an instance to the coordinator."""

    sequence: int  # repeated in the answer
    uses: list[QuotaUsage]  # of the organisations with requests since the last report


@dataclass(frozen=True, slots=True)
class RemainingQuota:
    """Represent the remaining quota as estimated by an instance."""

    units: float  # negative when in debt
    is_fleet_wide: bool  # whether `units` is of the whole quota, not of the instance's share
    word_age_ms: float | None  # age of the coordinator's last answer, None without one


@dataclass(slots=True)
class _AdmittedUnits:
    """Count the units admitted against one quota since the instance started.

    It is kept when the quota state is dropped: the coordinator remembers the total, and would count
    a total that restarts from zero as returned units.
    """

    total: float = 0.0  # units admitted
    reported: float = 0.0  # value of `total` last reported
    acknowledged: float = 0.0  # value of `total` included in the last answer


@dataclass(slots=True)
class _QuotaState:
    """Hold this instance's state of one organisation's quota."""

    admitted: _AdmittedUnits
    parameters: QuotaParameters
    level: float  # remaining units, negative when in debt
    at_ms: float  # time of `level`
    requested_at_ms: float  # time of the last request
    has_refused: bool = False  # whether a request was refused since the last answer
    has_answer: bool = False  # whether `level` is the fleet's, not this instance's share
    answered_at_ms: float = float("-inf")  # time of the last answer
    answered_level: float = 0.0  # remaining units by it, less those admitted here that it omits


@dataclass(slots=True)
class _SentReport:
    """Hold a sent report until it is answered."""

    at_ms: float  # time of sending
    totals: dict[int, float] = field(default_factory=dict)  # reported totals by quota key


class QuotaLimiter:
    """Admit requests by quota; the caller sends the reports and passes on the answers."""

    def __init__(self, tolerance: QuotaTolerance, rng: random.Random) -> None:
        """Start without any answer from a coordinator."""
        self._tolerance = tolerance
        self._rng = rng
        self._states: dict[int, _QuotaState] = {}
        self._admitted: dict[int, _AdmittedUnits] = {}
        self._unanswered: OrderedDict[int, _SentReport] = OrderedDict()
        self._sequence = 0
        self._last_report_at_ms = 0.0

    def admit(
        self, organisation: Organisation, cost: float, instances: int, now: float
    ) -> float | None:
        """Return None when a request is admitted, else the delay before a retry (ms).

        A request may cost more than the remaining units: the level becomes negative, and nothing is
        admitted until it has refilled. `instances` is the number of instances that share the quota
        evenly while there is no answer from a coordinator.
        """
        if organisation.quota is None:
            return None
        key = quota_key(organisation.id)
        parameters = make_quota_parameters(organisation.quota, self._tolerance)
        state = self._states.get(key)
        if state is None:
            initial_share = parameters.initial_level / max(instances, 1)
            admitted = self._admitted.setdefault(key, _AdmittedUnits())
            state = self._states[key] = _QuotaState(admitted, parameters, initial_share, now, now)
        state.parameters = parameters
        state.requested_at_ms = now
        self._advance(state, instances, now)
        if state.level <= 0:
            state.has_refused = True
            return self._retry_delay_ms(state, instances)
        state.level -= cost
        state.admitted.total += cost
        return None

    def is_estimate(self, organisation: OrganisationId, now: float) -> bool:
        """Return whether the coordinator's last answer is too old for the level to be exact."""
        state = self._states.get(quota_key(organisation))
        return state is not None and now - state.answered_at_ms > FRESH_ANSWER_MS

    def settle(self, organisation: OrganisationId, units: float) -> None:
        """Charge more for a request that ran again, or return units that did not run (negative)."""
        state = self._states.get(quota_key(organisation))
        if state is not None:
            state.level = min(state.level - units, state.parameters.max_level)
            state.admitted.total += units

    def _advance(self, state: _QuotaState, instances: int, now: float) -> None:
        """Advance a level to `now`; without a current answer only this instance's share is used."""
        if state.has_answer and self._is_answer_expired(state, now):
            state.has_answer = False
            state.level = min(state.level, state.parameters.max_level / max(instances, 1))
        sharers = max(instances, 1)
        most = (
            state.parameters.max_level if state.has_answer else state.parameters.max_level / sharers
        )
        fresh_ms, stale_ms = self._elapsed_ms(state, now)
        gained = state.parameters.per_s * (fresh_ms + stale_ms / sharers) / MS_PER_S
        state.level = min(state.level + gained, max(most, state.level))
        state.at_ms = max(now, state.at_ms)

    def _elapsed_ms(self, state: _QuotaState, now: float) -> tuple[float, float]:
        """Return the time since the last update while the answer was fresh, and after it (ms)."""
        elapsed_ms = max(now - state.at_ms, 0.0)
        if not state.has_answer:
            return 0.0, elapsed_ms
        fresh_ms = min(max(state.answered_at_ms + FRESH_ANSWER_MS - state.at_ms, 0.0), elapsed_ms)
        return fresh_ms, elapsed_ms - fresh_ms

    def _is_answer_expired(self, state: _QuotaState, now: float) -> bool:
        if now - state.answered_at_ms > MAX_ANSWER_AGE_MS:
            return True
        return self.is_unanswered(now)

    def _retry_delay_ms(self, state: _QuotaState, instances: int) -> float:
        per_s = state.parameters.per_s / (1 if state.has_answer else max(instances, 1))
        delay_ms = (1.0 - state.level) / per_s * MS_PER_S
        return min(
            max(delay_ms, MIN_RETRY_DELAY_MS) * self._rng.uniform(*RETRY_JITTER), MAX_RETRY_DELAY_MS
        )

    def is_report_due(self, region_instances: int, now: float) -> bool:
        """Return whether to report now; `region_instances` counts the instances of the region."""
        since_ms = now - self._last_report_at_ms
        if since_ms < max(
            MIN_REPORT_INTERVAL_MS, REPORT_INTERVAL_PER_INSTANCE_MS * region_instances
        ):
            return False
        if self._unanswered and since_ms >= RESEND_AFTER_MS:
            # The last report or its answer may have been lost.
            return True
        is_within_interval = since_ms < REPORT_INTERVAL_MS
        return any(
            _affects_others(one, region_instances, is_within_interval)
            for one in self._states.values()
        )

    def report(self, now: float) -> UsageReport:
        """Create a report of the units admitted since the last one."""
        self._sequence += 1
        self._last_report_at_ms = now
        sent = _SentReport(now)
        uses = []
        for key, state in self._states.items():
            if (
                state.admitted.total == state.admitted.acknowledged
                and state.has_answer
                and not state.has_refused
            ):
                continue
            if len(uses) >= MAX_USES:
                break
            state.admitted.reported = state.admitted.total
            sent.totals[key] = state.admitted.total
            level = (
                state.answered_level if now - state.answered_at_ms < MAX_HANDOVER_AGE_MS else None
            )
            uses.append(
                QuotaUsage(
                    key,
                    state.admitted.total,
                    state.admitted.total - state.admitted.acknowledged,
                    level,
                )
            )
        self._unanswered[self._sequence] = sent
        if len(self._unanswered) > MAX_UNANSWERED_REPORTS:
            self._unanswered.popitem(last=False)
        return UsageReport(self._sequence, uses)

    def is_unanswered(self, now: float) -> bool:
        """Return whether the coordinator has failed to answer within `ANSWER_TIMEOUT_MS`."""
        oldest = next(iter(self._unanswered.values()), None)
        return oldest is not None and now - oldest.at_ms > ANSWER_TIMEOUT_MS

    def apply_answer(self, sequence: int, levels: dict[int, float], now: float) -> None:
        """Apply the coordinator's answer to a report, unless a newer one has been applied."""
        sent = self._unanswered.get(sequence)
        if sent is None:
            return
        for older in [one for one in self._unanswered if one <= sequence]:
            del self._unanswered[older]
        for key, level in levels.items():
            state = self._states.get(key)
            if state is None or key not in sent.totals:
                continue
            state.admitted.acknowledged = sent.totals[key]
            state.level = min(
                level - (state.admitted.total - state.admitted.acknowledged),
                state.parameters.max_level,
            )
            state.answered_level = state.level
            state.at_ms = now
            state.answered_at_ms = now
            state.has_answer = True
            state.has_refused = False

    def forget_idle(self, now: float) -> None:
        """Drop the state of organisations idle for `IDLE_MS`, unless they are in debt."""
        self._states = {
            key: one
            for key, one in self._states.items()
            if now - one.requested_at_ms < IDLE_MS or _is_in_debt(one, now)
        }

    def left(self, organisation: OrganisationId, now: float) -> RemainingQuota | None:
        """Return the estimated remaining quota, None when it is unused here."""
        state = self._states.get(quota_key(organisation))
        if state is None:
            return None
        age_ms = now - state.answered_at_ms if math.isfinite(state.answered_at_ms) else None
        return RemainingQuota(state.level, state.has_answer, age_ms)


def _is_in_debt(state: _QuotaState, now: float) -> bool:
    """Return whether a quota is still in debt, assuming that nobody else has used it since."""
    gained = state.parameters.per_s * max(now - state.at_ms, 0.0) / MS_PER_S
    return state.level + gained < 0


def _affects_others(state: _QuotaState, region_instances: int, is_within_interval: bool) -> bool:
    """Return whether the units admitted since the last report affect what others may admit."""
    if state.has_refused:
        return True
    if state.admitted.total == state.admitted.reported and state.has_answer:
        return False
    if not is_within_interval or not state.has_answer:
        return True
    # This way all instances together spend at most half of the remaining units before reporting.
    return state.admitted.total - state.admitted.reported > max(state.level, 0.0) / (
        2 * max(region_instances, 1)
    )
