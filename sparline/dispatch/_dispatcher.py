"""The request lifecycle at one instance: reserve a slot, attempt, retry, report the outcome."""

from collections.abc import Callable, Generator
from dataclasses import dataclass, field

from sparline._ids import BackendServerId
from sparline._metrics import Metrics
from sparline.backends import AttemptContext, BackendAddress, attempt
from sparline.dispatch._retry_budget import RetryBudget
from sparline.dispatch._waiting_room import WaitQueue
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
    RelayToZone,
    RemoteCandidate,
    Reservation,
    RunLocally,
    WaitLocally,
    best_local,
)

MAX_ATTEMPTS = 4  # per request
# A queued request repeats its routing decision at this interval.
WAIT_INTERVAL_MS = 100.0

# Not retried: the caller no longer waits for an answer.
_FINAL_REASONS = (Reason.CALLER_GONE, Reason.DEADLINE_PASSED)

# The request may have crashed the backend server.
_BROKEN_REASONS = (Reason.BROKEN_BEFORE_ANSWER, Reason.BROKEN_IN_ANSWER)

# Failures of the backend server, which is ejected for a time and excluded from retries; other
# reasons do not count against it.
_SERVER_FAULTS = (
    Reason.CONNECT_FAILED,
    Reason.BACKEND_REFUSED,
    Reason.BROKEN_BEFORE_ANSWER,
    Reason.BROKEN_IN_ANSWER,
    Reason.BACKEND_FAILED,
)

SendRelay = Callable[[Request, RemoteCandidate, int], Answer]
AnswerParts = Generator[AnswerPart, None, AnswerEnd]


@dataclass(slots=True)
class _Progress:
    """Hold the state of one request across its attempts."""

    tokens_forwarded: int  # tokens already passed to the caller
    attempts: int = 0  # attempts started
    may_have_run: bool = False  # whether an attempt ended without proof that it did not run
    head_forwarded: bool = False  # whether the response head was passed to the caller
    excluded: set[str] = field(default_factory=set)  # backend servers and zones that failed


@dataclass(frozen=True, slots=True)
class DispatcherDependencies:
    """Hold the dependencies of a dispatcher."""

    finder: CandidateFinder  # finds the candidates for a request
    policy: Policy  # chooses among the candidates
    loads: LoadTable  # load of this zone's backend servers
    prefixes: PrefixMap  # backend servers that have processed a prompt prefix
    metrics: Metrics  # metrics of this instance
    relay: SendRelay  # relays a request to another zone
    connect_timeout_ms: float  # connect timeout at backend servers
    crashes: CrashTable  # crashes of backend servers by request digest
    ends: ServerEndDetector  # probes whether a backend server that broke a response has crashed


class Dispatcher:
    """Run requests and give each exactly one `AnswerEnd`."""

    def __init__(self, parts: DispatcherDependencies) -> None:
        """Create a dispatcher whose queued requests are counted by the load table."""
        self._dependencies = parts
        self._budget = RetryBudget()
        self.wait_queue = WaitQueue(self._reserve_local)
        parts.loads.own_waiting_counts = self.wait_queue.counts

    def run(self, request: Request, resume_from: int = 0) -> Answer:
        """Yield the response parts; the last part is the only `AnswerEnd`."""
        progress = _Progress(tokens_forwarded=resume_from)
        self._budget.earn()
        while True:
            if self._verdict(request) is Verdict.QUARANTINED:
                yield unknown(Reason.QUARANTINED)
                return
            end = yield from self._run_attempt(request, progress)
            stop_reason = self._stop_reason(request, progress, end)
            if stop_reason is not None:
                final = _final_end(progress, end, stop_reason)
                assert final.outcome is not Outcome.not_run or not progress.may_have_run, (
                    f"request {request.request_id} would be reported as not run but may have run"
                )
                yield final
                return
            self._dependencies.metrics.retries.labels(end.reason).inc()

    def _verdict(self, request: Request) -> Verdict:
        """Return the quarantine verdict; the digest is computed only if there are known crashes."""
        if self._dependencies.crashes.is_empty:
            return Verdict.CLEAR
        digest = request.digest()
        return Verdict.CLEAR if digest is None else self._dependencies.crashes.verdict(digest)

    def accepts_relayed(self, request: Request) -> bool:
        """Return whether a request relayed from another zone may run here now."""
        assert request.origin is Origin.RELAY, "the request was not relayed from another zone"
        candidates = self._dependencies.finder.find(request)
        return self._dependencies.policy.accepts_relayed(request, candidates)

    def _run_attempt(self, request: Request, progress: _Progress) -> AnswerParts:
        assert request.repeatable or not progress.may_have_run, (
            f"request {request.request_id} is not repeatable and may have run"
        )
        progress.attempts += 1
        placement = self._reserve_or_route(request, frozenset(progress.excluded))
        match placement:
            case Refuse(reason, retry_after_ms):
                return not_run(reason, retry_after_ms)
            case RelayToZone(candidate):
                end = yield from self._relay_to_zone(request, candidate, progress)
            case reservation:
                end = yield from self._run_locally(request, reservation, progress)
        if end.outcome is Outcome.unknown:
            progress.may_have_run = True
        return end

    def _reserve_or_route(
        self, request: Request, excluded: frozenset[str]
    ) -> Reservation | RelayToZone | Refuse:
        decision = self._decide(request, excluded)
        if not isinstance(decision, WaitLocally):
            return decision
        waiter = self.wait_queue.enter(request, excluded)
        try:
            while isinstance(decision, WaitLocally):
                if not request.still_wanted():
                    return Refuse(Reason.CALLER_GONE, 0)
                reservation = self.wait_queue.wait(waiter, WAIT_INTERVAL_MS)
                if reservation is not None:
                    return reservation
                decision = self._decide(request, excluded)
            return decision
        finally:
            self.wait_queue.leave(waiter)

    def _decide(
        self, request: Request, excluded: frozenset[str]
    ) -> Reservation | RelayToZone | Refuse | WaitLocally:
        """Decide, and reserve the slot at once so that no other request is given it."""
        if request.left_ms() <= 0:
            return Refuse(Reason.DEADLINE_PASSED, 0)
        candidates = self._dependencies.finder.find(request, excluded)
        decision = self._dependencies.policy.decide(request, candidates)
        if isinstance(decision, RunLocally):
            return Reservation(decision.candidate.estimate.backend, request)
        return decision

    def _reserve_local(self, request: Request, excluded: frozenset[str]) -> Reservation | None:
        candidates = self._dependencies.finder.find(request, excluded)
        best = best_local(request, candidates)
        return Reservation(best.estimate.backend, request) if best else None

    def _run_locally(
        self, request: Request, reservation: Reservation, progress: _Progress
    ) -> AnswerParts:
        self._dependencies.metrics.attempts.labels("here").inc()
        backend = reservation.backend
        member = backend.member
        context = AttemptContext(
            backend_server=BackendServerId(member.id),
            address=BackendAddress(member.ip, member.port),
            connect_timeout_ms=self._dependencies.connect_timeout_ms,
            resume_from=progress.tokens_forwarded,
            priority=self._dependencies.policy.engine_priority(request),
        )
        try:
            for part in attempt(request, context):
                if isinstance(part, AnswerEnd):
                    self._record_end(request, reservation, part, progress)
                    return part
                if isinstance(part, AnswerChunk):
                    reservation.note_first_token()
                    self._dependencies.prefixes.note(
                        request.prefix_keys, context.backend_server, backend.incarnation
                    )
                yield from _forward(part, request, progress)
        finally:
            reservation.release()
            self.wait_queue.place_waiting()
        raise AssertionError("an attempt finished without an AnswerEnd")

    def _record_end(
        self, request: Request, reservation: Reservation, end: AnswerEnd, progress: _Progress
    ) -> None:
        backend = reservation.backend
        if end.reason in _SERVER_FAULTS:
            if end.reason is Reason.CONNECT_FAILED:
                self._dependencies.loads.note_unreachable(backend)
            else:
                self._dependencies.loads.note_failure(backend)
            progress.excluded.add(backend.member.id)
            self._record_crash(request, backend, end)
        elif end.outcome is Outcome.complete:
            self._dependencies.loads.note_success(backend)
            if (digest := request.digest()) is not None:
                self._dependencies.crashes.note_complete_answer(digest)

    def _record_crash(self, request: Request, backend: BackendState, end: AnswerEnd) -> None:
        """Record a crash if the backend server that broke the response refuses connections."""
        digest = request.digest() if end.reason in _BROKEN_REASONS else None
        if digest is None:
            return
        server_id = BackendServerId(f"{backend.member.id}@{backend.incarnation}")
        address = (backend.member.ip, backend.member.port)
        if self._dependencies.ends.probe(server_id, address) is ProbeResult.REFUSED:
            self._dependencies.crashes.note_end(digest, server_id)

    def _relay_to_zone(
        self, request: Request, candidate: RemoteCandidate, progress: _Progress
    ) -> AnswerParts:
        assert request.origin is Origin.CALLER, "a relayed request must not be relayed again"
        allowed = self._dependencies.finder.catalog.allowed_regions(request.residency_rule)
        assert candidate.region in allowed, (
            f"region {candidate.region} is not allowed by the residency rule"
        )
        self._dependencies.metrics.attempts.labels("away").inc()
        self._dependencies.metrics.sent_away.labels(candidate.region).inc()
        for part in self._dependencies.relay(request, candidate, progress.tokens_forwarded):
            if isinstance(part, AnswerEnd):
                if part.outcome is not Outcome.complete:
                    progress.excluded.add(candidate.zone)
                return part
            yield from _forward(part, request, progress)
        raise AssertionError("a relay finished without an AnswerEnd")

    def _stop_reason(self, request: Request, progress: _Progress, end: AnswerEnd) -> Reason | None:
        """Return the reason not to retry, or None to retry."""
        if (
            end.outcome is Outcome.complete
            or end.reason in (*_FINAL_REASONS, Reason.QUARANTINED)
            or progress.attempts >= MAX_ATTEMPTS
        ):
            return end.reason
        if not _may_retry(request, progress, end):
            return end.reason
        # Stop retrying a request that is suspected of crashing backend servers.
        if progress.may_have_run and self._verdict(request) is not Verdict.CLEAR:
            return end.reason
        if end.reason in (Reason.DEADLINE_UNREACHABLE, Reason.OVERLOADED, Reason.NO_BACKEND):
            return end.reason
        return None if self._budget.spend() else Reason.RETRY_BUDGET


def _may_retry(request: Request, progress: _Progress, end: AnswerEnd) -> bool:
    if not request.body.replayable:
        return False
    if progress.head_forwarded and request.kind is not TargetKind.ENGINE:
        # Only the server that began a plain answer can continue it.
        return False
    return end.outcome is Outcome.not_run or request.repeatable


def _final_end(progress: _Progress, end: AnswerEnd, reason: Reason) -> AnswerEnd:
    """Return the final end; it is unknown, not not_run, if an earlier attempt may have run."""
    if end.outcome is Outcome.not_run and progress.may_have_run:
        return unknown(reason)
    return AnswerEnd(end.outcome, reason, end.retry_after_ms)


def _forward(
    part: AnswerPart, request: Request, progress: _Progress
) -> Generator[AnswerPart, None, None]:
    """Forward a part and count its token; a resumed response repeats neither head nor tokens."""
    if isinstance(part, AnswerHead):
        if progress.head_forwarded:
            return
        progress.head_forwarded = True
    else:
        progress.tokens_forwarded += request.kind is TargetKind.ENGINE
    yield part
