"""Table of backend server exits by the parts of the prompts that were running.

Facts of several instances are merged as sets, so that source, repetition and order don't matter.
`sparline.decisions` tells which parts are to blame.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable

from sparline._clock import now_ms
from sparline._ids import BackendServerId, PartDigest
from sparline.decisions import (
    MIN_ANSWERS_BESIDE,
    MIN_BLAMED_EXITS,
    MIN_SUSPECTED_EXITS,
    PartEvidence,
    blame_ms,
    blamed_parts,
    is_suspected,
)
from sparline.quarantine._crash_table import FactSource, count_exits
from sparline.quarantine._interrupted_request import KIND_BITS, InterruptedRequest, ServerKind
from sparline.quarantine._part_facts import PartChange, PartFact, QuarantinedPart
from sparline.quarantine._part_record import PartRecord, exit_key, kind_of
from sparline.quarantine._request_sample import RequestSample, sample_of

# Most parts with exits, at some 1 kB each. Above that a tenth is evicted at a time, those with the
# fewest exits first.
MAX_RECORDS = 2_048
EVICTED_FRACTION = 0.1
# A part without new exits for this long is dropped, and one in quarantine when it is neither asked for
# (ms).
RECORD_TTL_MS = 600_000.0
QUARANTINED_RECORD_TTL_MS = 86_400_000.0
# A part that was answered completely here within this time is usually answered (ms). It may be running
# on each of several servers that fail at the same time without being the cause.
ANSWERED_TTL_MS = 60_000.0
# Most complete answers remembered for that, and most exits whose interrupted requests are sampled.
MAX_ANSWERED = 4_096
MAX_EXIT_SAMPLES = 1_024


class PartTable:
    """Count server exits by part, with bounded memory, and tell which parts are in quarantine."""

    def __init__(
        self,
        on_change: Callable[[PartChange], None] = lambda _change: None,
        on_quarantine: Callable[[QuarantinedPart, bool], None] = lambda _part, _is_new: None,
    ) -> None:
        """Create an empty table.

        `on_change` is called with each change, `on_quarantine` with each part that is put in
        quarantine (True) or released (False).
        """
        self._records: dict[PartDigest, PartRecord] = {}
        # Times of complete answers, by part and kind of server.
        self._answered_at_ms: OrderedDict[tuple[PartDigest, int], float] = OrderedDict()
        self._exit_samples: OrderedDict[int, RequestSample] = OrderedDict()
        self._answers = 0  # complete answers to requests with parts
        self._quarantined: frozenset[PartDigest] = frozenset()
        # Incarnations whose exits a part in quarantine explains.
        self._explained: frozenset[int] = frozenset()
        self._on_change = on_change
        self._on_quarantine = on_quarantine

    @property
    def is_empty(self) -> bool:
        """Return whether there is no record, so that computing digests can be skipped."""
        return not self._records

    def exits(self, part: PartDigest) -> int:
        """Return the number of a part's exits that are not excused."""
        record = self._records.get(part)
        return len(record.counted) if record else 0

    def earlier_exits(
        self, parts: Iterable[PartDigest], server_id: BackendServerId, kind: ServerKind
    ) -> int:
        """Return how many exits of one server under any of some parts are known, excused or not."""
        found = (self._records.get(part) for part in parts)
        return max(
            (
                count_exits(server_id, lambda one: exit_key(one, kind), record.exits)
                for record in found
                if record is not None
            ),
            default=0,
        )

    def exited_at_ms(self, parts: Iterable[PartDigest]) -> float:
        """Return the time of the newest exit under any of some parts, 0 if none is known (ms)."""
        found = (self._records.get(part) for part in parts)
        return max((one.exited_at_ms for one in found if one is not None), default=0.0)

    def explains(self, incarnation_key: int) -> bool:
        """Tell whether a part in quarantine explains the exit of an incarnation, given its key."""
        return incarnation_key >> KIND_BITS in self._explained

    def quarantined_among(self, parts: Iterable[PartDigest]) -> PartDigest | None:
        """Return the first of some parts that is in quarantine, and record that it is asked for."""
        if not self._quarantined:
            return None
        for part in parts:
            if part in self._quarantined and self._is_blamed_now(part):
                self._records[part].asked_at_ms = now_ms()
                return part
        return None

    def is_suspect(self, parts: Iterable[PartDigest]) -> bool:
        """Tell whether any of some parts may be the cause of exits that nothing explains."""
        return any(self._is_suspect(part) for part in parts)

    def _is_suspect(self, part: PartDigest) -> bool:
        record = self._records.get(part)
        if record is None or len(record.counted) < MIN_SUSPECTED_EXITS:
            return False
        if self._is_usually_answered(part):
            return False
        explained = frozenset(one for one in record.exits if one >> KIND_BITS in self._explained)
        return is_suspected(self._evidence(part, record), explained)

    def quarantined(self) -> list[QuarantinedPart]:
        """Return the parts in quarantine."""
        return [
            self._describe(part) for part in sorted(self._quarantined) if self._is_blamed_now(part)
        ]

    def _is_blamed_now(self, part: PartDigest) -> bool:
        record = self._records[part]
        limit_ms = blame_ms(self._evidence(part, record))
        return limit_ms is None or now_ms() - record.exited_at_ms < limit_ms

    def _describe(self, part: PartDigest) -> QuarantinedPart:
        record = self._records[part]
        evidence = self._evidence(part, record)
        age_ms = now_ms() - record.exited_at_ms
        overlapping = evidence.attributable - evidence.exits
        return QuarantinedPart(
            part, evidence.exits, overlapping, evidence.carriers, evidence.bystanders, age_ms
        )

    def note_exit(
        self,
        request: InterruptedRequest,
        server_id: BackendServerId,
        learnt: FactSource = FactSource.HERE,
    ) -> None:
        """Record that a server exited while it may have been running a request."""
        key = exit_key(server_id, request.kind)
        sample = sample_of(request.request_id)
        known = self._exit_samples.setdefault(key, RequestSample())
        self._exit_samples[key] = known.merged(sample)
        if len(self._exit_samples) > MAX_EXIT_SAMPLES:
            self._exit_samples.popitem(last=False)
        for part in request.parts:
            exits = frozenset((key,))
            adds_nothing = learnt is FactSource.HERE and self._adds_nothing(part, key, request)
            overlapping = exits if adds_nothing else frozenset()
            none = frozenset[int]()
            fact = PartFact(part, exits, none, overlapping, sample, RequestSample(), 0.0)
            self._merge(fact, learnt)

    def _adds_nothing(self, part: PartDigest, key: int, request: InterruptedRequest) -> bool:
        """Tell whether an exit adds nothing against a part that is usually answered.

        That is so if the request was sent before another exit that counts against the part, or if an
        exit under the part has interrupted it before.
        """
        record = self._records.get(part)
        if record is None or key in record.exits or not record.counted:
            return False
        if not self._was_answered(part, request.kind):
            return False
        is_repeat = sample_of(request.request_id).hashes <= record.carriers.hashes
        return is_repeat or request.sent_at_ms <= record.exited_at_ms

    def note_answered(self, parts: Iterable[PartDigest], kind: ServerKind) -> None:
        """Record that a server has answered a request with some parts completely."""
        now = now_ms()
        self._answers += 1
        for part in parts:
            self._answered_at_ms[part, kind.key] = now
            self._answered_at_ms.move_to_end((part, kind.key))
            if len(self._answered_at_ms) > MAX_ANSWERED:
                self._answered_at_ms.popitem(last=False)
            if record := self._records.get(part):
                self._clear(part, {one for one in record.attributable if kind_of(one) == kind.key})

    def release(self, part: PartDigest) -> bool:
        """Excuse a part of all its exits; return False if none are known."""
        record = self._records.get(part)
        if record is None or not record.attributable:
            return False
        self._clear(part, record.attributable)
        return True

    def _clear(self, part: PartDigest, exits: Iterable[int]) -> None:
        cleared = frozenset(exits)
        if cleared:
            none = RequestSample()
            fact = PartFact(part, cleared, cleared, frozenset(), none, none, 0.0)
            self._merge(fact, FactSource.HERE)

    def _was_answered(self, part: PartDigest, kind: ServerKind) -> bool:
        answered_at_ms = self._answered_at_ms.get((part, kind.key))
        return answered_at_ms is not None and now_ms() - answered_at_ms < ANSWERED_TTL_MS

    def take(self, facts: Iterable[PartFact]) -> list[PartChange]:
        """Merge facts from a peer; return the resulting changes."""
        changes = [self._merge(fact, FactSource.PEER) for fact in facts]
        return [one for one in changes if one is not None]

    def _merge(self, fact: PartFact, learnt: FactSource) -> PartChange | None:
        now = now_ms()
        record = self._records.setdefault(fact.part, PartRecord())
        before = record.counted
        if not before:
            record.answers_before = self._answers
            record.peer_answers_beside = 0
        if fact.exits - record.exits:
            record.exited_at_ms = max(record.exited_at_ms, now - max(fact.age_ms, 0.0))
        size = record.size
        has_new_requests = record.add_requests(fact.carriers, fact.bystanders)
        record.exits |= fact.exits
        record.cleared |= fact.cleared & record.exits
        record.overlapping |= fact.overlapping & record.exits
        record.trim()
        has_changed = record.size != size
        has_more_answers = self._take_answers_beside(record, fact)
        if has_changed or has_new_requests or has_more_answers:
            self._update_quarantine(fact.part)
        if not has_changed:
            return None
        record.changed_at_ms = now
        after = record.counted
        is_nearly_blamed = len(after | before) >= MIN_BLAMED_EXITS - 1
        is_urgent = is_nearly_blamed or not self._is_usually_answered(fact.part)
        change = PartChange(
            self._fact_of(fact.part, record, now), len(after), len(before), learnt, is_urgent
        )
        self._on_change(change)
        self._evict(fact.part)
        return change

    def _take_answers_beside(self, record: PartRecord, fact: PartFact) -> bool:
        """Take a peer's number of answers beside a part; return whether it is higher."""
        if fact.answers_beside <= record.peer_answers_beside:
            return False
        if fact.exits.isdisjoint(record.attributable):
            # They came beside exits that are excused here.
            return False
        record.peer_answers_beside = fact.answers_beside
        return True

    def _answers_beside(self, record: PartRecord) -> int:
        """Return the most answers beside a part that one instance has seen, as far as they matter."""
        own = self._answers - record.answers_before
        return min(max(own, record.peer_answers_beside), MIN_ANSWERS_BESIDE)

    def _is_usually_answered(self, part: PartDigest) -> bool:
        """Tell whether any kind of server has answered a part lately."""
        since = now_ms() - ANSWERED_TTL_MS
        return any(
            self._answered_at_ms.get((part, kind_of(one)), 0.0) > since
            for one in self._records[part].exits
        )

    def _update_quarantine(self, changed: PartDigest) -> None:
        """Decide again which parts are to blame, after a change of one record."""
        record = self._records[changed]
        is_concerned = len(record.exits) >= MIN_BLAMED_EXITS or changed in self._quarantined
        if not is_concerned:
            return
        evidence = {
            part: self._evidence(part, one)
            for part, one in self._records.items()
            if len(one.counted) >= MIN_BLAMED_EXITS
        }
        before, self._quarantined = self._quarantined, blamed_parts(evidence)
        self._explained = frozenset(
            one >> KIND_BITS for part in self._quarantined for one in evidence[part].attributable
        )
        for part in sorted(self._quarantined ^ before):
            self._on_quarantine(self._describe(part), part in self._quarantined)

    def _evidence(self, part: PartDigest, record: PartRecord) -> PartEvidence:
        counted = record.counted
        return PartEvidence(
            exits=counted,
            attributable=record.attributable,
            carriers=record.carriers.count(),
            bystanders=self._bystanders(record, counted).count(),
            answers_beside=self._answers_beside(record),
            was_answered=self._is_usually_answered(part),
            is_blamed=part in self._quarantined,
        )

    def _bystanders(self, record: PartRecord, exits: Iterable[int]) -> RequestSample:
        merged = record.bystanders.merged(record.carriers)
        for one in exits:
            merged = merged.merged(self._exit_samples.get(one, RequestSample()))
        return merged

    def _evict(self, newest: PartDigest) -> None:
        """Evict the records with the fewest exits when there are too many, never the newest."""
        if len(self._records) <= MAX_RECORDS:
            return
        order = sorted(
            (one for one in self._records if one != newest and one not in self._quarantined),
            key=lambda one: (len(self._records[one].counted), self._records[one].exited_at_ms),
        )
        for part in order[: int(MAX_RECORDS * EVICTED_FRACTION)]:
            del self._records[part]

    def facts(self, limit: int, changed_within_ms: float) -> list[PartFact]:
        """Return at most `limit` facts to send to peers: of quarantined parts and recent changes.

        When there are more, half of them are the most important ones and the others are a random
        sample.
        """
        now = now_ms()
        chosen = [
            part
            for part, one in self._records.items()
            if part in self._quarantined or now - one.changed_at_ms <= changed_within_ms
        ]
        chosen.sort(key=self._importance, reverse=True)
        if len(chosen) > limit:
            top_count = limit - limit // 2
            chosen = chosen[:top_count] + random.sample(chosen[top_count:], limit - top_count)
        return [self._fact_of(part, self._records[part], now) for part in chosen]

    def _importance(self, part: PartDigest) -> tuple[bool, bool, int, float]:
        """Return a sort key that is higher for parts that peers need to know of."""
        record = self._records[part]
        return (
            part in self._quarantined,
            not self._is_usually_answered(part),
            len(record.counted),
            record.changed_at_ms,
        )

    def _fact_of(self, part: PartDigest, record: PartRecord, now: float) -> PartFact:
        return PartFact(
            part,
            frozenset(record.exits),
            frozenset(record.cleared),
            # Excused ones are left out, which bounds the size of a datagram.
            frozenset(record.overlapping - record.cleared),
            record.carriers,
            self._bystanders(record, record.exits),
            now - record.exited_at_ms,
            self._answers_beside(record) if record.counted else 0,
        )

    def forget_old(self) -> None:
        """Drop the records of parts without recent exits, and of those that nobody asks for."""
        now = now_ms()
        old = [
            part
            for part, one in self._records.items()
            if now - max(one.exited_at_ms, one.asked_at_ms) > self._ttl_ms(part)
        ]
        for part in old:
            self._release_forgotten(part)
            del self._records[part]

    def _release_forgotten(self, part: PartDigest) -> None:
        if part in self._quarantined:
            self._on_quarantine(self._describe(part), False)
            self._quarantined -= {part}

    def _ttl_ms(self, part: PartDigest) -> float:
        return QUARANTINED_RECORD_TTL_MS if part in self._quarantined else RECORD_TTL_MS
