"""Which backend servers have ended under which requests, as far as the fleet knows.

Facts of several instances are merged as sets, so that it does not matter who tells what, how often
and in which order. A whole answer excuses the ends before it: a request that ends whatever runs it
never has one.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import BackendServerId
from sparline.quarantine._digest import RequestDigest

# Ends from which on a request is a suspect: what runs beside others on two servers that end one after
# the other is mostly innocent, so it may still be sent, once a try (count).
SUSPECT_ENDS = 2
# Ends from which on it is sent nowhere (count): operators bear three.
MOST_ENDS = 3
# A request in quarantine is tried again, as a suspect, after this long (ms), twice as long with each
# further end. A wrong suspicion costs one caller one request for that time; a right one costs an engine
# with all that runs there, and its cold start.
QUARANTINE_MS = 120_000.0
LONGEST_QUARANTINE_MS = 3_600_000.0
# What is known of a request that nothing has ended under for so long is forgotten (ms).
KEPT_MS = 600_000.0
# Requests that are remembered (count): some 0.5 kB each. Beyond that a tenth goes at a time, those with
# the fewest ends first, so that a loss of many servers at once pushes no suspect out.
MOST_RECORDS = 2_560
PUSHED_OUT_SHARE = 0.1
# A request that was answered whole here so lately is sound (ms): callers that all ask the same have it
# on every server that is lost in one moment, and are not to be turned away for it.
SOUND_MS = 60_000.0
# Whole answers that are remembered for that (count): some 0.15 kB each.
MOST_SOUND = 2_048
# Ends of one request that are remembered (count): more than the longest quarantine needs.
MOST_KEPT_ENDS = 12
START_KEY_BITS = 0xFFFF_FFFF


class Verdict(Enum):
    """Say what may be done with a request."""

    CLEAR = "clear"  # nothing speaks against it
    SUSPECT = "suspect"  # it is sent once a try, beside as few others as can be
    QUARANTINED = "quarantined"  # it is sent to no backend server


class Learnt(Enum):
    """Say how an instance came to know something."""

    HERE = "here"  # from its own connections
    PEER = "peer"  # from another instance


@dataclass(frozen=True, slots=True)
class CrashFact:
    """Tell which servers have ended under one request."""

    digest: RequestDigest  # the request
    ended: frozenset[int]  # keys of the starts of servers that ended
    cleared: frozenset[int]  # those of them that a whole answer has excused
    age_ms: float  # how long ago the newest of them ended


@dataclass(frozen=True, slots=True)
class CrashChange:
    """Hold what has changed in what is known of one request."""

    fact: CrashFact  # as it stands now
    ends: int  # ends that count now
    ends_before: int  # ends that counted before
    learnt: Learnt  # from whom

    @property
    def concerns_suspect(self) -> bool:
        """Tell whether every instance should know at once."""
        return len(self.fact.ended) >= SUSPECT_ENDS


@dataclass(slots=True)
class _Record:
    """Hold what is known of one request."""

    ended: set[int] = field(default_factory=set)  # keys of starts
    cleared: set[int] = field(default_factory=set)  # those that a whole answer has excused
    ended_at_ms: float = 0.0  # when the newest end was
    changed_at_ms: float = 0.0  # when this instance last learnt something

    @property
    def ends(self) -> int:
        return len(self.ended - self.cleared)

    @property
    def is_suspect(self) -> bool:
        """Tell whether it has been a suspect; one that was cleared is still told of."""
        return len(self.ended) >= SUSPECT_ENDS


class CrashTable:
    """Count the ends under requests, bounded in memory."""

    def __init__(
        self,
        on_change: Callable[[CrashChange], None] = lambda _change: None,
        on_pushed_out: Callable[[RequestDigest, int], None] = lambda _digest, _ends: None,
    ) -> None:
        """Start with nothing.

        `on_change` is told of each change, `on_pushed_out` of each suspect that found no room any
        more, with its ends.
        """
        self._records: dict[RequestDigest, _Record] = {}
        self._sound: OrderedDict[RequestDigest, float] = OrderedDict()  # last whole answers
        self._on_change = on_change
        self._on_pushed_out = on_pushed_out

    @property
    def is_empty(self) -> bool:
        """Tell whether nothing speaks against any request, so that no digest has to be worked out."""
        return not self._records

    def ends(self, digest: RequestDigest) -> int:
        """Return how many ends under a request count."""
        record = self._records.get(digest)
        return record.ends if record else 0

    def verdict(self, digest: RequestDigest) -> Verdict:
        """Return what may be done with a request now."""
        record = self._records.get(digest)
        if record is None or record.ends < SUSPECT_ENDS:
            return Verdict.CLEAR
        if self._quarantine_left_ms(record) > 0:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT

    def quarantine_left_ms(self, digest: RequestDigest) -> float:
        """Return how much longer a request is sent nowhere."""
        record = self._records.get(digest)
        return self._quarantine_left_ms(record) if record else 0.0

    def _quarantine_left_ms(self, record: _Record) -> float:
        if record.ends < MOST_ENDS:
            return 0.0
        return max(record.ended_at_ms + _quarantine_ms(record.ends) - now_ms(), 0.0)

    def quarantined(self) -> int:
        """Return how many requests are sent nowhere."""
        return sum(self._quarantine_left_ms(one) > 0 for one in self._records.values())

    def note_end(
        self, digest: RequestDigest, server_id: BackendServerId, learnt: Learnt = Learnt.HERE
    ) -> None:
        """Note that a server ended while it may have run a request."""
        if self._is_sound(digest):
            return
        fact = CrashFact(digest, frozenset((start_key(server_id),)), frozenset(), 0.0)
        self._merge(fact, learnt)

    def note_whole(self, digest: RequestDigest) -> None:
        """Note that a server has answered a request to the end."""
        self._sound[digest] = now_ms()
        self._sound.move_to_end(digest)
        if len(self._sound) > MOST_SOUND:
            self._sound.popitem(last=False)
        record = self._records.get(digest)
        if record is None:
            return
        if not record.is_suspect:
            # Nobody is careful with it, and nobody has to be told.
            del self._records[digest]
            return
        self._merge(CrashFact(digest, frozenset(), frozenset(record.ended), 0.0), Learnt.HERE)

    def _is_sound(self, digest: RequestDigest) -> bool:
        answered_at_ms = self._sound.get(digest)
        return answered_at_ms is not None and now_ms() - answered_at_ms < SOUND_MS

    def take(self, facts: Iterable[CrashFact]) -> list[CrashChange]:
        """Take in what a peer told; return what was news."""
        changes = [self._merge(self._excused(fact), Learnt.PEER) for fact in facts]
        return [one for one in changes if one is not None]

    def _excused(self, fact: CrashFact) -> CrashFact:
        """Return a peer's fact; what is known to be sound here is excused."""
        return replace(fact, cleared=fact.ended) if self._is_sound(fact.digest) else fact

    def _merge(self, fact: CrashFact, learnt: Learnt) -> CrashChange | None:
        now = now_ms()
        record = self._records.get(fact.digest)
        if record is None:
            record = self._records[fact.digest] = _Record()
        before = record.ends
        known = len(record.ended) + len(record.cleared)
        new_ends = fact.ended - record.ended
        if new_ends:
            record.ended_at_ms = max(record.ended_at_ms, now - max(fact.age_ms, 0.0))
        record.ended |= fact.ended
        record.cleared |= fact.cleared & record.ended
        _cut(record)
        if len(record.ended) + len(record.cleared) == known:
            return None
        record.changed_at_ms = now
        change = CrashChange(_fact_of(fact.digest, record, now), record.ends, before, learnt)
        self._on_change(change)
        self._bound(fact.digest)
        return change

    def _bound(self, newest: RequestDigest) -> None:
        """Push out what matters least where there is too much, never the newest."""
        if len(self._records) <= MOST_RECORDS:
            return
        order = sorted(
            (one for one in self._records if one != newest),
            key=lambda one: (self._records[one].ends, self._records[one].ended_at_ms),
        )
        for digest in order[: int(MOST_RECORDS * PUSHED_OUT_SHARE)]:
            ends = self._records.pop(digest).ends
            if ends >= SUSPECT_ENDS:
                self._on_pushed_out(digest, ends)

    def facts(self, most: int, singles_ms: float, suspects_ms: float) -> list[CrashFact]:
        """Return what is to be told: what has changed lately.

        Where that is more than `most`, half of it are those with the most ends, and the others take
        turns by chance. `singles_ms` and `suspects_ms` say what counts as lately, for requests with one end and with
        more.
        """
        now = now_ms()
        told = [
            (digest, one)
            for digest, one in self._records.items()
            if now - one.changed_at_ms <= (suspects_ms if one.is_suspect else singles_ms)
        ]
        told.sort(key=lambda pair: (len(pair[1].ended), pair[1].changed_at_ms), reverse=True)
        if len(told) > most:
            first = most - most // 2
            told = told[:first] + random.sample(told[first:], most - first)
        return [_fact_of(digest, one, now) for digest, one in told]

    def forget_old(self) -> None:
        """Forget requests that nothing has ended under for long."""
        now = now_ms()
        self._records = {
            digest: one
            for digest, one in self._records.items()
            if now - one.ended_at_ms < max(KEPT_MS, 2 * _quarantine_ms(one.ends))
        }


def start_key(server_id: BackendServerId) -> int:
    """Return the short name of a server's start, the same in each instance."""
    return hash64(server_id) & START_KEY_BITS


def _quarantine_ms(ends: int) -> float:
    if ends < MOST_ENDS:
        return 0.0
    return min(QUARANTINE_MS * 2.0 ** (ends - MOST_ENDS), LONGEST_QUARANTINE_MS)


def _cut(record: _Record) -> None:
    """Bound what is remembered of one request; excused ends go first."""
    excess = len(record.ended) - MOST_KEPT_ENDS
    if excess <= 0:
        return
    gone = sorted(record.ended, key=lambda key: (key not in record.cleared, key))[:excess]
    record.ended.difference_update(gone)
    record.cleared.difference_update(gone)


def _fact_of(digest: RequestDigest, record: _Record, now: float) -> CrashFact:
    age_ms = now - record.ended_at_ms
    return CrashFact(digest, frozenset(record.ended), frozenset(record.cleared), age_ms)
