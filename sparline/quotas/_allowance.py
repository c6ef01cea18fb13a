"""Local admission by quota in one instance, between answers of its region's quota coordinator."""

import math
import random
from collections import OrderedDict
from dataclasses import dataclass, field

from sparline._ids import OrganisationId
from sparline.quotas._terms import QuotaBounds, Terms, make_terms, quota_key
from sparline.routes import Organisation

# Admitted units are reported at this interval while much quota is left (ms), and at once when
# little is left. The least interval grows with the number of instances in the region (ms for each),
# so that the coordinator receives no more than some hundred reports a second from all of them.
CALM_MS = 1_000.0
PRESSED_MS_AN_INSTANCE = 3.0
PRESSED_LEAST_MS = 20.0
# The coordinator counts as gone when a report is unanswered for this long (ms), a few times the
# network delay within a region.
ANSWER_MS = 700.0
# A report is sent again when it is unanswered for this long (ms).
AGAIN_MS = 200.0
# For this long after an answer the refill of the whole fleet is credited here, afterwards only this
# instance's share (ms): other instances use the quota too, and a stopped coordinator sends no
# updates.
FRESH_MS = 150.0
# An answer older than this is ignored, since the use by others since then is unknown (ms).
WORD_MS = 3_000.0
# A new coordinator takes over the level of an answer that is not older than this (ms).
REMEMBERED_MS = 10_000.0
# An organisation without requests for this long is dropped (ms).
IDLE_MS = 60_000.0
# Callers over the quota are told to retry once it has refilled. The delay is multiplied by a random
# factor from this range, so that retries don't coincide, and bounded by these delays (ms).
SPREAD = (1.0, 1.5)
LEAST_WAIT_MS = 50.0
MOST_WAIT_MS = 10_000.0
# Most organisations in a report: at some 22 bytes each it stays below 1,400 bytes.
MOST_USES = 56
# Most reports that may await an answer.
MOST_OPEN_REPORTS = 16
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class Use:
    """Represent the units that an instance has admitted against one quota."""

    key: int  # quota key of the organisation
    total: float  # units admitted since the instance started
    unsaid: float  # units of them not included in the last answer
    level: float | None  # remaining units by the last answer, None without one


@dataclass(frozen=True, slots=True)
class Report:
    """Report the units admitted by an instance to the coordinator."""

    sequence: int  # repeated in the answer
    uses: list[Use]  # of the organisations with requests since the last report


@dataclass(frozen=True, slots=True)
class Left:
    """Represent the remaining quota as estimated by an instance."""

    units: float  # negative when in debt
    is_fleets: bool  # whether that is of the whole quota, not of the instance's share
    word_age_ms: float | None  # age of the coordinator's last answer, None without one


@dataclass(slots=True)
class _Count:
    """Count the units admitted against one quota since the instance started.

    It is kept when the share is dropped: the coordinator remembers the total, and would take a
    total that restarts from zero for returned units.
    """

    total: float = 0.0  # units admitted
    told: float = 0.0  # value of `total` last reported
    answered: float = 0.0  # value of `total` included in the last answer


@dataclass(slots=True)
class _Share:
    """Hold this instance's state of one organisation's quota."""

    count: _Count  # admitted units
    terms: Terms  # refill parameters
    level: float  # remaining units, negative when in debt
    at_ms: float  # time of `level`
    asked_at_ms: float  # time of the last request
    is_short: bool = False  # whether a request was refused since the last answer
    has_word: bool = False  # whether the level is the fleet's, not this instance's share
    word_at_ms: float = float("-inf")  # time of the last answer
    word_level: float = 0.0  # remaining units by it, less all that this instance admitted


@dataclass(slots=True)
class _Sent:
    """Hold a sent report until it is answered."""

    at_ms: float  # time of sending
    totals: dict[int, float] = field(default_factory=dict)  # reported totals by quota key


class Allowance:
    """Admit requests by quota; the owner transports reports and answers."""

    def __init__(self, bounds: QuotaBounds, chance: random.Random) -> None:
        """Start without any answer from a coordinator."""
        self._bounds = bounds
        self._chance = chance
        self._shares: dict[int, _Share] = {}
        self._counts: dict[int, _Count] = {}
        self._sent: OrderedDict[int, _Sent] = OrderedDict()
        self._sequence = 0
        self._reported_at_ms = 0.0

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
        terms = make_terms(organisation.quota, self._bounds)
        share = self._shares.get(key)
        if share is None:
            part = terms.first / max(instances, 1)
            count = self._counts.setdefault(key, _Count())
            share = self._shares[key] = _Share(count, terms, part, now, now)
        share.terms = terms
        share.asked_at_ms = now
        self._move(share, instances, now)
        if share.level <= 0:
            share.is_short = True
            return self._wait_ms(share, instances)
        share.level -= cost
        share.count.total += cost
        return None

    def is_guess(self, organisation: OrganisationId, now: float) -> bool:
        """Return whether the coordinator's last answer is too old for the level to be exact."""
        share = self._shares.get(quota_key(organisation))
        return share is not None and now - share.word_at_ms > FRESH_MS

    def settle(self, organisation: OrganisationId, units: float) -> None:
        """Charge more for a request that ran again, or return units that did not run (negative)."""
        share = self._shares.get(quota_key(organisation))
        if share is not None:
            share.level = min(share.level - units, share.terms.most)
            share.count.total += units

    def _move(self, share: _Share, instances: int, now: float) -> None:
        """Advance a level to `now`; without a current answer only this instance's share is used."""
        if share.has_word and self._is_word_old(share, now):
            share.has_word = False
            share.level = min(share.level, share.terms.most / max(instances, 1))
        parts = max(instances, 1)
        most = share.terms.most if share.has_word else share.terms.most / parts
        whole_ms, part_ms = self._elapsed(share, now)
        gained = share.terms.per_s * (whole_ms + part_ms / parts) / MS_PER_S
        share.level = min(share.level + gained, max(most, share.level))
        share.at_ms = max(now, share.at_ms)

    def _elapsed(self, share: _Share, now: float) -> tuple[float, float]:
        """Return the time since the last update while the answer was fresh, and after it (ms)."""
        elapsed_ms = max(now - share.at_ms, 0.0)
        if not share.has_word:
            return 0.0, elapsed_ms
        whole_ms = min(max(share.word_at_ms + FRESH_MS - share.at_ms, 0.0), elapsed_ms)
        return whole_ms, elapsed_ms - whole_ms

    def _is_word_old(self, share: _Share, now: float) -> bool:
        if now - share.word_at_ms > WORD_MS:
            return True
        return self.is_unanswered(now)

    def _wait_ms(self, share: _Share, instances: int) -> float:
        per_s = share.terms.per_s / (1 if share.has_word else max(instances, 1))
        wait_ms = (1.0 - share.level) / per_s * MS_PER_S
        return min(max(wait_ms, LEAST_WAIT_MS) * self._chance.uniform(*SPREAD), MOST_WAIT_MS)

    def is_report_due(self, siblings: int, now: float) -> bool:
        """Return whether to report now; `siblings` is the number of instances in the region."""
        since_ms = now - self._reported_at_ms
        if since_ms < max(PRESSED_LEAST_MS, PRESSED_MS_AN_INSTANCE * siblings):
            return False
        if self._sent and since_ms >= AGAIN_MS:
            # The last report or its answer may have been lost.
            return True
        calm = since_ms < CALM_MS
        return any(_matters(one, siblings, calm) for one in self._shares.values())

    def report(self, now: float) -> Report:
        """Create a report of the units admitted since the last one."""
        self._sequence += 1
        self._reported_at_ms = now
        sent = _Sent(now)
        uses = []
        for key, share in self._shares.items():
            if share.count.total == share.count.answered and share.has_word and not share.is_short:
                continue
            if len(uses) >= MOST_USES:
                break
            share.count.told = share.count.total
            sent.totals[key] = share.count.total
            level = share.word_level if now - share.word_at_ms < REMEMBERED_MS else None
            uses.append(
                Use(key, share.count.total, share.count.total - share.count.answered, level)
            )
        self._sent[self._sequence] = sent
        if len(self._sent) > MOST_OPEN_REPORTS:
            self._sent.popitem(last=False)
        return Report(self._sequence, uses)

    def is_unanswered(self, now: float) -> bool:
        """Return whether the coordinator has failed to answer within `ANSWER_MS`."""
        oldest = next(iter(self._sent.values()), None)
        return oldest is not None and now - oldest.at_ms > ANSWER_MS

    def take_word(self, sequence: int, levels: dict[int, float], now: float) -> None:
        """Apply the coordinator's answer to a report, unless a newer one has been applied."""
        sent = self._sent.get(sequence)
        if sent is None:
            return
        for older in [one for one in self._sent if one <= sequence]:
            del self._sent[older]
        for key, level in levels.items():
            share = self._shares.get(key)
            if share is None or key not in sent.totals:
                continue
            share.count.answered = sent.totals[key]
            share.level = min(level - (share.count.total - share.count.answered), share.terms.most)
            share.word_level = share.level
            share.at_ms = now
            share.word_at_ms = now
            share.has_word = True
            share.is_short = False

    def forget_idle(self, now: float) -> None:
        """Drop the state of organisations idle for `IDLE_MS`, unless they are in debt."""
        self._shares = {
            key: one
            for key, one in self._shares.items()
            if now - one.asked_at_ms < IDLE_MS or _owes(one, now)
        }

    def left(self, organisation: OrganisationId, now: float) -> Left | None:
        """Return the estimated remaining quota, None when it is unused here."""
        share = self._shares.get(quota_key(organisation))
        if share is None:
            return None
        age_ms = now - share.word_at_ms if math.isfinite(share.word_at_ms) else None
        return Left(share.level, share.has_word, age_ms)


def _owes(share: _Share, now: float) -> bool:
    """Return whether a quota is still in debt, assuming that nobody else has used it since."""
    gained = share.terms.per_s * max(now - share.at_ms, 0.0) / MS_PER_S
    return share.level + gained < 0


def _matters(share: _Share, siblings: int, calm: bool) -> bool:
    """Return whether the units admitted since the last report affect what others may admit."""
    if share.is_short:
        return True
    if share.count.total == share.count.told and share.has_word:
        return False
    if not calm or not share.has_word:
        return True
    # This way all siblings together spend at most half of the remaining units before reporting.
    return share.count.total - share.count.told > max(share.level, 0.0) / (2 * max(siblings, 1))
