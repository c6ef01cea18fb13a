"""Table of backend server crashes by the request that was running.

A crash is named an "end" in identifiers, metrics and messages.
Facts of several instances are merged as sets, so that source, repetition and order don't matter. A
complete answer clears the crashes before it: a request that crashes every server never gets one.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import BackendServerId
from sparline.decisions import EndEvidence, Liveness, counted_exit
from sparline.quarantine._digest import RequestDigest

# Crashes that make a request a suspect. A request that ran beside others on two servers that
# crashed one after the other is usually not the cause, so it may still be sent, but once for each
# arrival from a caller, without retries.
MIN_SUSPECT_ENDS = 2
# Crashes that put a request in quarantine: operators tolerate three.
MIN_QUARANTINE_ENDS = 3
# After this long (ms), doubled with each further crash, a request in quarantine is tried again as a
# suspect. A false positive fails one caller's request for that time; trying a request that does
# crash servers costs an engine with everything that runs there, and its cold start.
QUARANTINE_MS = 120_000.0
MAX_QUARANTINE_MS = 3_600_000.0
# The record of a request without a new crash for this long (ms), or for twice its quarantine if
# that is longer, is dropped.
RECORD_TTL_MS = 600_000.0
# Most records kept, at some 0.5 kB each. Above that a tenth is evicted at a time, those with the
# fewest crashes first, so that the loss of many servers at once evicts no suspect.
MAX_RECORDS = 2_560
EVICTED_FRACTION = 0.1
# A request that was answered completely here within this time is not blamed for crashes (ms): when
# many callers send the same request, it may be running on each of several servers that fail at the
# same time without being the cause.
ANSWERED_TTL_MS = 60_000.0
# Most complete answers remembered for that, at some 0.15 kB each.
MAX_ANSWERED = 2_048
# Most crashes remembered for one request: more than the longest quarantine needs.
MAX_ENDS_PER_REQUEST = 12
INCARNATION_KEY_MASK = 0xFFFF_FFFF


class Verdict(Enum):
    """Classify how a request may be sent."""

    CLEAR = "clear"  # sent without restriction
    SUSPECT = "suspect"  # sent once, to a server with as few others as possible
    QUARANTINED = "quarantined"  # not sent to any backend server


class FactSource(Enum):
    """Name the source of a crash fact."""

    HERE = "here"  # this instance's own connections
    PEER = "peer"  # another instance


@dataclass(frozen=True, slots=True)
class CrashFact:
    """Represent the server crashes attributed to one request."""

    digest: RequestDigest  # content digest of the request
    ended: frozenset[int]  # keys of the server incarnations that crashed
    cleared: frozenset[int]  # those of them cleared by a complete answer
    age_ms: float  # time since the newest crash


@dataclass(frozen=True, slots=True)
class CrashChange:
    """Represent a change in the record of one request."""

    fact: CrashFact  # state after the change
    ends: int  # crashes not cleared after the change
    ends_before: int  # crashes not cleared before the change
    learnt: FactSource  # source of the change

    @property
    def concerns_suspect(self) -> bool:
        """Return whether the request was ever a suspect; every instance is informed at once."""
        return len(self.fact.ended) >= MIN_SUSPECT_ENDS


@dataclass(slots=True)
class _Record:
    """Hold the crashes attributed to one request."""

    ended: set[int] = field(default_factory=set)  # keys of the server incarnations that crashed
    cleared: set[int] = field(default_factory=set)  # those cleared by a complete answer
    ended_at_ms: float = 0.0  # time of the newest crash
    changed_at_ms: float = 0.0  # time of the last change in this instance

    @property
    def was_suspect(self) -> bool:
        """Return whether the request was ever a suspect; peers are told when it is cleared."""
        return len(self.ended) >= MIN_SUSPECT_ENDS


class CrashTable:
    """Count server crashes by request, with bounded memory."""

    def __init__(
        self,
        on_change: Callable[[CrashChange], None] = lambda _change: None,
        on_evicted: Callable[[RequestDigest, int], None] = lambda _digest, _ends: None,
        is_explained: Callable[[int], bool] = lambda _key: False,
    ) -> None:
        """Create an empty table.

        `on_change` is called with each change, `on_evicted` with the digest and crash count of
        each evicted suspect. `is_explained` tells whether the crash of an incarnation, given its key,
        is known to have another cause; it then counts against no request.
        """
        self._records: dict[RequestDigest, _Record] = {}
        self._answered_at_ms: OrderedDict[RequestDigest, float] = OrderedDict()  # complete answers
        self._on_change = on_change
        self._on_evicted = on_evicted
        self._is_explained = is_explained

    @property
    def is_empty(self) -> bool:
        """Return whether there is no record, so that computing a digest can be skipped."""
        return not self._records

    def ends(self, digest: RequestDigest) -> int:
        """Return the number of a request's crashes that are not cleared."""
        record = self._records.get(digest)
        return self._ends(record) if record else 0

    def _ends(self, record: _Record) -> int:
        return sum(not self._is_explained(key) for key in record.ended - record.cleared)

    def exited_at_ms(self, digest: RequestDigest) -> float:
        """Return the time of the newest exit under a request, 0 if none is known (ms)."""
        record = self._records.get(digest)
        return record.ended_at_ms if record else 0.0

    def earlier_exits(self, digest: RequestDigest, server_id: BackendServerId) -> int:
        """Return how many exits of one server under a request are known, cleared or not."""
        record = self._records.get(digest)
        return count_exits(server_id, server_incarnation_key, record.ended) if record else 0

    def verdict(self, digest: RequestDigest) -> Verdict:
        """Return how a request may be sent now."""
        record = self._records.get(digest)
        if record is None or self._ends(record) < MIN_SUSPECT_ENDS:
            return Verdict.CLEAR
        if self._quarantine_left_ms(record) > 0:
            return Verdict.QUARANTINED
        return Verdict.SUSPECT

    def quarantine_left_ms(self, digest: RequestDigest) -> float:
        """Return the remaining quarantine of a request (ms)."""
        record = self._records.get(digest)
        return self._quarantine_left_ms(record) if record else 0.0

    def _quarantine_left_ms(self, record: _Record) -> float:
        ends = self._ends(record)
        if ends < MIN_QUARANTINE_ENDS:
            return 0.0
        return max(record.ended_at_ms + _quarantine_ms(ends) - now_ms(), 0.0)

    def quarantined(self) -> int:
        """Return the number of requests in quarantine."""
        return sum(self._quarantine_left_ms(one) > 0 for one in self._records.values())

    def note_end(
        self,
        digest: RequestDigest,
        server_id: BackendServerId,
        learnt: FactSource = FactSource.HERE,
    ) -> None:
        """Record that a server crashed while it may have been running a request."""
        if self._was_answered(digest):
            return
        fact = CrashFact(digest, frozenset((server_incarnation_key(server_id),)), frozenset(), 0.0)
        self._merge(fact, learnt)

    def note_complete_answer(self, digest: RequestDigest) -> None:
        """Record that a server has answered a request completely."""
        self._answered_at_ms[digest] = now_ms()
        self._answered_at_ms.move_to_end(digest)
        if len(self._answered_at_ms) > MAX_ANSWERED:
            self._answered_at_ms.popitem(last=False)
        record = self._records.get(digest)
        if record is None:
            return
        if not record.was_suspect:
            # It was never restricted, so peers need no update.
            del self._records[digest]
            return
        self._merge(CrashFact(digest, frozenset(), frozenset(record.ended), 0.0), FactSource.HERE)

    def _was_answered(self, digest: RequestDigest) -> bool:
        answered_at_ms = self._answered_at_ms.get(digest)
        return answered_at_ms is not None and now_ms() - answered_at_ms < ANSWERED_TTL_MS

    def take(self, facts: Iterable[CrashFact]) -> list[CrashChange]:
        """Merge facts from a peer; return the resulting changes."""
        changes = [self._merge(self._clear_if_answered(fact), FactSource.PEER) for fact in facts]
        return [one for one in changes if one is not None]

    def _clear_if_answered(self, fact: CrashFact) -> CrashFact:
        """Return a peer's fact, with its crashes cleared if the request was recently answered."""
        return replace(fact, cleared=fact.ended) if self._was_answered(fact.digest) else fact

    def _merge(self, fact: CrashFact, learnt: FactSource) -> CrashChange | None:
        now = now_ms()
        record = self._records.get(fact.digest)
        if record is None:
            record = self._records[fact.digest] = _Record()
        ends_before_merge = self._ends(record)
        known_keys = len(record.ended) + len(record.cleared)
        new_ends = fact.ended - record.ended
        if new_ends:
            record.ended_at_ms = max(record.ended_at_ms, now - max(fact.age_ms, 0.0))
        record.ended |= fact.ended
        record.cleared |= fact.cleared & record.ended
        _trim_ends(record)
        if len(record.ended) + len(record.cleared) == known_keys:
            return None
        record.changed_at_ms = now
        change = CrashChange(
            _fact_of(fact.digest, record, now), self._ends(record), ends_before_merge, learnt
        )
        self._on_change(change)
        self._evict(fact.digest)
        return change

    def _evict(self, newest: RequestDigest) -> None:
        """Evict the records with the fewest crashes when there are too many, never the newest."""
        if len(self._records) <= MAX_RECORDS:
            return
        order = sorted(
            (one for one in self._records if one != newest),
            key=lambda one: (self._ends(self._records[one]), self._records[one].ended_at_ms),
        )
        for digest in order[: int(MAX_RECORDS * EVICTED_FRACTION)]:
            ends = self._ends(self._records.pop(digest))
            if ends >= MIN_SUSPECT_ENDS:
                self._on_evicted(digest, ends)

    def facts(self, limit: int, first_crash_ms: float, suspect_ms: float) -> list[CrashFact]:
        """Return the recently changed facts to send to peers, at most `limit`.

        When there are more, half of them are those with the most crashes and the others are a
        random sample. `first_crash_ms` and `suspect_ms` are the maximum age of a change, for requests
        with one crash and with more.
        """
        now = now_ms()
        changed = [
            (digest, one)
            for digest, one in self._records.items()
            if now - one.changed_at_ms <= (suspect_ms if one.was_suspect else first_crash_ms)
        ]
        changed.sort(key=lambda pair: (len(pair[1].ended), pair[1].changed_at_ms), reverse=True)
        if len(changed) > limit:
            top_count = limit - limit // 2
            changed = changed[:top_count] + random.sample(changed[top_count:], limit - top_count)
        return [_fact_of(digest, one, now) for digest, one in changed]

    def forget_old(self) -> None:
        """Drop the records of requests without recent crashes."""
        now = now_ms()
        self._records = {
            digest: one
            for digest, one in self._records.items()
            if now - one.ended_at_ms < max(RECORD_TTL_MS, 2 * _quarantine_ms(self._ends(one)))
        }


def server_incarnation_key(server_id: BackendServerId) -> int:
    """Return a compact key of one server incarnation, equal in each instance."""
    return hash64(server_id) & INCARNATION_KEY_MASK


def count_exits(
    server_id: BackendServerId,
    key_of: Callable[[BackendServerId], int],
    keys: Collection[int],
) -> int:
    """Return how many exits of one server are among some keys.

    A server that is restarted under its id exits under a further counted id each time.
    """
    count = 0
    while key_of(counted_exit(server_id, EndEvidence.WITNESSED, Liveness.PROVEN, count)) in keys:
        count += 1
    return count


def _quarantine_ms(ends: int) -> float:
    if ends < MIN_QUARANTINE_ENDS:
        return 0.0
    return min(QUARANTINE_MS * 2.0 ** (ends - MIN_QUARANTINE_ENDS), MAX_QUARANTINE_MS)


def _trim_ends(record: _Record) -> None:
    """Bound the crashes remembered for one request, dropping cleared ones first."""
    excess = len(record.ended) - MAX_ENDS_PER_REQUEST
    if excess <= 0:
        return
    dropped = sorted(record.ended, key=lambda key: (key not in record.cleared, key))[:excess]
    record.ended.difference_update(dropped)
    record.cleared.difference_update(dropped)


def _fact_of(digest: RequestDigest, record: _Record, now: float) -> CrashFact:
    age_ms = now - record.ended_at_ms
    return CrashFact(digest, frozenset(record.ended), frozenset(record.cleared), age_ms)
