"""The way of one request through this instance: place, attempt, retry, outcome."""

from collections.abc import Callable, Generator
from dataclasses import dataclass, field

from sparline._ids import BackendServerId
from sparline._metrics import Metrics
from sparline.backends import AttemptContext, BackendAddress, attempt
from sparline.dispatch._retry_budget import RetryBudget
from sparline.dispatch._waiting_room import WaitingRoom
from sparline.quarantine import CrashTable, ProbeResult, ServerEndDetector, Verdict
from sparline.requests import (
    Answer,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    Origin,
    Outcome,
    Reason,
    Request,
    TargetKind,
    not_run,
    unknown,
)
from sparline.routing import (
    BackendState,
    CandidateFinder,
    LoadTable,
    Policy,
    PrefixMap,
    Refuse,
    RemoteCandidate,
    Reservation,
    RunHere,
    SendAway,
    WaitHere,
    best_local,
)

MAX_ATTEMPTS = 4
WAIT_SLICE_MS = 100.0

# After these ends another attempt makes no sense: nobody waits for its answer.
_FINAL_REASONS = (Reason.CALLER_GONE, Reason.DEADLINE_PASSED)

# After these a backend server may have ended with the request.
_BROKEN = (Reason.BROKEN_BEFORE_ANSWER, Reason.BROKEN_IN_ANSWER)

# These say something about the backend server, the others about the request.
_SERVER_FAULTS = (
    Reason.CONNECT_FAILED,
    Reason.BACKEND_REFUSED,
    Reason.BROKEN_BEFORE_ANSWER,
    Reason.BROKEN_IN_ANSWER,
    Reason.BACKEND_FAILED,
)

RelaySender = Callable[[Request, RemoteCandidate, int], Answer]
Parts = Generator[AnswerPart, None, AnswerEnd]


@dataclass(slots=True)
class _Progress:
    """Hold what earlier attempts at one request left behind."""

    tokens_passed: int  # tokens that the caller already has
    attempts: int = 0  # attempts begun
    may_have_run: bool = False  # whether an attempt ended without proof
    head_passed: bool = False  # whether the caller has the answer's head
    excluded: set[str] = field(default_factory=set)  # backend servers and zones that failed


@dataclass(frozen=True, slots=True)
class DispatchParts:
    """Hold what a dispatcher works with."""

    finder: CandidateFinder  # finds candidates
    policy: Policy  # chooses between them
    loads: LoadTable  # load of this zone
    prefixes: PrefixMap  # where prompts were read
    metrics: Metrics  # counters
    relay: RelaySender  # sends to other zones
    connect_timeout_ms: float  # longest wait for a connection
    crashes: CrashTable  # backend servers that ended under requests
    ends: ServerEndDetector  # whether those that broke an answer off have ended


class Dispatcher:
    """Run requests; each gets exactly one end."""

    def __init__(self, parts: DispatchParts) -> None:
        """Start with an empty waiting room."""
        self._parts = parts
        self._budget = RetryBudget()
        self.waiting_room = WaitingRoom(self._place_here)
        parts.loads.own_waiting = self.waiting_room.counts

    def run(self, request: Request, resume_from: int = 0) -> Answer:
        """Yield the answer; the last part is its one end."""
        progress = _Progress(tokens_passed=resume_from)
        self._budget.earn()
        while True:
            if self._verdict(request) is Verdict.QUARANTINED:
                yield unknown(Reason.QUARANTINED)
                return
            end = yield from self._try_once(request, progress)
            stop = self._reason_to_stop(request, progress, end)
            if stop is not None:
                final = _final_end(progress, end, stop)
                assert final.outcome is not Outcome.not_run or not progress.may_have_run, (
                    f"request {request.request_id} would be called not run"
                )
                yield final
                return
            self._parts.metrics.retries.labels(end.reason).inc()

    def _verdict(self, request: Request) -> Verdict:
        """Return what may be done with a request; its digest is worked out only if it matters."""
        if self._parts.crashes.is_empty:
            return Verdict.CLEAR
        digest = request.digest()
        return Verdict.CLEAR if digest is None else self._parts.crashes.verdict(digest)

    def takes_relayed(self, request: Request) -> bool:
        """Tell whether a request from another zone may run here now."""
        assert request.origin is Origin.RELAY, "only relayed requests are offered"
        candidates = self._parts.finder.find(request)
        return self._parts.policy.takes_relayed(request, candidates)

    def _try_once(self, request: Request, progress: _Progress) -> Parts:
        assert request.repeatable or not progress.may_have_run, (
            f"request {request.request_id} may not be repeated and may have run"
        )
        progress.attempts += 1
        place = self._find_place(request, frozenset(progress.excluded))
        match place:
            case Refuse(reason, retry_after_ms):
                return not_run(reason, retry_after_ms)
            case SendAway(candidate):
                end = yield from self._send_away(request, candidate, progress)
            case reservation:
                end = yield from self._run_here(request, reservation, progress)
        if end.outcome is Outcome.unknown:
            progress.may_have_run = True
        return end

    def _find_place(
        self, request: Request, excluded: frozenset[str]
    ) -> Reservation | SendAway | Refuse:
        decision = self._decide(request, excluded)
        if not isinstance(decision, WaitHere):
            return decision
        waiter = self.waiting_room.enter(request, excluded)
        try:
            while isinstance(decision, WaitHere):
                if not request.still_wanted():
                    return Refuse(Reason.CALLER_GONE, 0)
                reservation = self.waiting_room.wait(waiter, WAIT_SLICE_MS)
                if reservation is not None:
                    return reservation
                decision = self._decide(request, excluded)
            return decision
        finally:
            self.waiting_room.leave(waiter)

    def _decide(
        self, request: Request, excluded: frozenset[str]
    ) -> Reservation | SendAway | Refuse | WaitHere:
        """Decide, and take the place at once so that nobody else counts on it."""
        if request.left_ms() <= 0:
            return Refuse(Reason.DEADLINE_PASSED, 0)
        candidates = self._parts.finder.find(request, excluded)
        decision = self._parts.policy.decide(request, candidates)
        if isinstance(decision, RunHere):
            return Reservation(decision.candidate.estimate.backend, request)
        return decision

    def _place_here(self, request: Request, excluded: frozenset[str]) -> Reservation | None:
        candidates = self._parts.finder.find(request, excluded)
        best = best_local(request, candidates)
        return Reservation(best.estimate.backend, request) if best else None

    def _run_here(self, request: Request, reservation: Reservation, progress: _Progress) -> Parts:
        self._parts.metrics.attempts.labels("here").inc()
        backend = reservation.backend
        member = backend.member
        context = AttemptContext(
            backend_server=BackendServerId(member.id),
            address=BackendAddress(member.ip, member.port),
            connect_timeout_ms=self._parts.connect_timeout_ms,
            resume_from=progress.tokens_passed,
            priority=self._parts.policy.engine_priority(request),
        )
        try:
            for part in attempt(request, context):
                if isinstance(part, AnswerEnd):
                    self._note_end(request, reservation, part, progress)
                    return part
                if isinstance(part, AnswerChunk):
                    reservation.first_token()
                    self._parts.prefixes.note(
                        request.prefix_keys, context.backend_server, backend.incarnation
                    )
                yield from _pass_on(part, request, progress)
        finally:
            reservation.release()
            self.waiting_room.pump()
        raise AssertionError("an attempt ended without an end")

    def _note_end(
        self, request: Request, reservation: Reservation, end: AnswerEnd, progress: _Progress
    ) -> None:
        backend = reservation.backend
        if end.reason in _SERVER_FAULTS:
            if end.reason is Reason.CONNECT_FAILED:
                self._parts.loads.note_unreachable(backend)
            else:
                self._parts.loads.note_failure(backend)
            progress.excluded.add(backend.member.id)
            self._note_crash(request, backend, end)
        elif end.outcome is Outcome.complete:
            self._parts.loads.note_success(backend)
            if (digest := request.digest()) is not None:
                self._parts.crashes.note_complete_answer(digest)

    def _note_crash(self, request: Request, backend: BackendState, end: AnswerEnd) -> None:
        """Count a backend server that ended while it ran a request."""
        digest = request.digest() if end.reason in _BROKEN else None
        if digest is None:
            return
        server_id = BackendServerId(f"{backend.member.id}@{backend.incarnation}")
        address = (backend.member.ip, backend.member.port)
        if self._parts.ends.probe(server_id, address) is ProbeResult.REFUSED:
            self._parts.crashes.note_end(digest, server_id)

    def _send_away(
        self, request: Request, candidate: RemoteCandidate, progress: _Progress
    ) -> Parts:
        assert request.origin is Origin.CALLER, "a relayed request would be relayed again"
        allowed = self._parts.finder.catalog.allowed_regions(request.residency_rule)
        assert candidate.region in allowed, f"region {candidate.region} is not allowed"
        self._parts.metrics.attempts.labels("away").inc()
        self._parts.metrics.sent_away.labels(candidate.region).inc()
        for part in self._parts.relay(request, candidate, progress.tokens_passed):
            if isinstance(part, AnswerEnd):
                if part.outcome is not Outcome.complete:
                    progress.excluded.add(candidate.zone)
                return part
            yield from _pass_on(part, request, progress)
        raise AssertionError("a relay ended without an end")

    def _reason_to_stop(
        self, request: Request, progress: _Progress, end: AnswerEnd
    ) -> Reason | None:
        """Return why there is no further attempt, None if there is one."""
        if (
            end.outcome is Outcome.complete
            or end.reason in (*_FINAL_REASONS, Reason.QUARANTINED)
            or progress.attempts >= MAX_ATTEMPTS
        ):
            return end.reason
        if not _may_try_again(request, progress, end):
            return end.reason
        if progress.may_have_run and self._verdict(request) is not Verdict.CLEAR:
            return end.reason
        if end.reason in (Reason.DEADLINE_UNREACHABLE, Reason.OVERLOADED, Reason.NO_BACKEND):
            return end.reason
        return None if self._budget.spend() else Reason.RETRY_BUDGET


def _may_try_again(request: Request, progress: _Progress, end: AnswerEnd) -> bool:
    if not request.body.replayable:
        return False
    if end.outcome is Outcome.not_run:
        return True
    resumable = request.kind is TargetKind.ENGINE or not progress.head_passed
    return request.repeatable and resumable


def _final_end(progress: _Progress, end: AnswerEnd, reason: Reason) -> AnswerEnd:
    """Never call a request not run if an earlier attempt may have run."""
    if end.outcome is Outcome.not_run and progress.may_have_run:
        return unknown(reason)
    return AnswerEnd(end.outcome, reason, end.retry_after_ms)


def _pass_on(
    part: AnswerPart, request: Request, progress: _Progress
) -> Generator[AnswerPart, None, None]:
    """Pass a part on; a resumed answer has one head and each token once."""
    if isinstance(part, AnswerHead):
        if progress.head_passed:
            return
        progress.head_passed = True
    else:
        progress.tokens_passed += request.kind is TargetKind.ENGINE
    yield part
