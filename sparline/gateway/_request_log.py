"""Log lines and metrics for decisions about requests."""

from collections.abc import Iterable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RequestId
from sparline._logging import LineLevel, log
from sparline.forwarding import (
    AttemptEnd,
    InterruptedAttempt,
    Progress,
    RequestEnd,
    RetryUsage,
    UnframedEnd,
)
from sparline.gateway._leave_plan import LateDecision
from sparline.gateway._log_fields import (
    origin_fields,
    placement_fields,
    prompt_fields,
    refusal_fields,
    resumption_fields,
)
from sparline.gateway._log_output import LineBudget
from sparline.gateway._metrics import GatewayMetrics
from sparline.gateway._stream_versions import FoundVersion
from sparline.placement import ColdRequest, Placement, RefusalLimit, ServerLimit
from sparline.quarantine import (
    MIN_QUARANTINE_ENDS,
    CrashChange,
    EndEvidence,
    PartChange,
    QuarantinedPart,
    RequestDigest,
    short_hex,
)
from sparline.requests import Reason, RoutedRequest
from sparline.routes import Route

# Log lines per second and instance about answered requests, and about all others. Further lines are
# left out and counted. A line costs about 60 microseconds.
ANSWERED_LINES_PER_S = 60.0
OTHER_LINES_PER_S = 120.0
# Log lines per second and instance about interrupted answers: an engine that ends interrupts all
# answers that it was running.
INTERRUPTED_LINES_PER_S = 60.0
# Log lines per second and instance about requests on which servers ended.
SERVER_END_LINES_PER_S = 40.0
# Longest text of a line that holds words of a server (characters).
MAX_TEXT_CHARS = 120


@dataclass(frozen=True, slots=True)
class StoreContact:
    """Hold how recent an instance's knowledge of the store may be."""

    revision: int  # of the state that this instance holds
    answered_ago_ms: float | None  # since the store's last answer to it, None for never
    live_members: int  # other instances that it receives news from


class RequestLog:
    """Log and count decisions about requests."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        """Create a log with full line budgets."""
        self._metrics = metrics
        self._answered = LineBudget(ANSWERED_LINES_PER_S)
        self._other = LineBudget(OTHER_LINES_PER_S)
        self._interrupted = LineBudget(INTERRUPTED_LINES_PER_S)
        self._server_ends = LineBudget(SERVER_END_LINES_PER_S)

    def note_retry(
        self, request: RoutedRequest, placement: Placement, end: AttemptEnd, progress: Progress
    ) -> None:
        """Record that an attempt is followed by another, in the same answer if that has begun."""
        self._metrics.retries.labels(end.reason.value).inc()
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(
                request_id=request.request_id,
                reason=end.reason.value,
                result=end.result.value,
                **origin_fields(progress.answer_origin),
                has_begun=progress.caller_answer.has_begun,
                **placement_fields(placement),
                left_ms=round(request.left_ms()),
            ).info("request_retried")

    def note_retry_refused(self, request: RoutedRequest, usage: RetryUsage) -> None:
        """Record that the retry budget allows no further attempt at a request."""
        self._metrics.refused_retries.inc()
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(
                request_id=request.request_id,
                service=request.service,
                retries=usage.retries,
                allowed=round(usage.allowed, 1),
                requests=usage.requests,
                instances=usage.instances,
                is_settled=usage.is_settled,
            ).info("retry_refused")

    def note_resumption(
        self, request: RoutedRequest, found: FoundVersion, waited_ms: float, contact: StoreContact
    ) -> None:
        """Record at which software version a caller's stream is resumed, and who knew it."""
        answered_ago_ms = contact.answered_ago_ms
        self._metrics.resumptions.labels(found.source.value).inc()
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(
                request_id=request.request_id,
                resumes=request.resumes,
                resume_after=request.resume_after,
                software_version=found.version,
                source=found.source.value,
                waited_ms=round(waited_ms),
                service=request.service,
                revision=contact.revision,
                store_answered_ago_ms=None if answered_ago_ms is None else round(answered_ago_ms),
                live_members=contact.live_members,
            ).info("stream_resumed")

    def note_broken(
        self, request: RoutedRequest, placement: Placement, end: InterruptedAttempt
    ) -> None:
        """Record an interrupted answer and the state of its server."""
        self._metrics.interrupted_answers.labels(end.end.reason.value).inc()
        if self._interrupted.take() and log.is_written(LineLevel.INFO):
            log.bind(
                request_id=request.request_id,
                reason=end.end.reason.value,
                sent_ago_ms=round(end.sent_ago_ms),
                has_begun=end.begun_by is not None,
                **placement_fields(placement),
                begun_by=end.begun_by,
                sent_bytes=end.sent_bytes,
                left_ms=round(request.left_ms()),
                liveness=end.end.liveness.value,
                counted=end.end.ended_server,
                broken_by=end.end.broken_by[:MAX_TEXT_CHARS] or None,
                cold_ms=round(max(placement.server.cold_until_ms - now_ms(), 0)),
                content=short_hex(request.digest()),
                parts=[short_hex(one) for one in request.shared_parts()],
            ).info("answer_broken")

    def note_unframed_end(
        self, request: RoutedRequest, placement: Placement, end: UnframedEnd, events: int
    ) -> None:
        """Record how an answer ended that only its connection ended."""
        self._metrics.unframed_answers.labels(end.value).inc()
        if self._interrupted.take() and log.is_written(LineLevel.INFO):
            log.bind(
                request_id=request.request_id,
                end=end.value,
                events=events,
                backend_server=placement.server.id,
                peer=placement.peer.note.name if placement.peer else None,
            ).info("unframed_answer_ended")

    def note_server_end(self, server_id: BackendServerId, evidence: EndEvidence) -> None:
        """Record that a server ended while it ran requests of this instance."""
        self._metrics.server_ends.labels(evidence.value).inc()
        if self._server_ends.take() and log.is_written(LineLevel.INFO):
            log.bind(backend_server=server_id, sign=evidence.value).info("server_ended")

    def note_crash(self, change: CrashChange, quarantine_ms: float) -> None:
        """Record a change of the ends counted for a request, and its quarantine time."""
        ends = (
            str(change.ends)
            if change.ends < MIN_QUARANTINE_ENDS
            else f"{MIN_QUARANTINE_ENDS}_or_more"
        )
        self._metrics.crashes.labels(change.learnt.value, ends).inc()
        if not change.concerns_suspect or not self._server_ends.take():
            return
        if not log.is_written(LineLevel.WARNING):
            return
        log.bind(
            content=short_hex(change.fact.digest),
            ends=change.ends,
            ends_before=change.ends_before,
            learnt=change.learnt.value,
            age_ms=round(change.fact.age_ms),
            quarantine_ms=round(quarantine_ms),
        ).warning("request_suspected" if change.ends else "request_cleared")

    def note_pushed_out(self, digest: RequestDigest, ends: int) -> None:
        """Record that a suspect was evicted because the table was full."""
        self._metrics.evicted_suspects.inc()
        if self._server_ends.take() and log.is_written(LineLevel.WARNING):
            log.bind(content=short_hex(digest), ends=ends).warning("suspect_pushed_out")

    def note_part_change(self, change: PartChange) -> None:
        """Record a change of the exits counted for a part of prompts."""
        self._metrics.part_exits.labels(change.learnt.value).inc()
        if not change.is_urgent or not self._server_ends.take():
            return
        if log.is_written(LineLevel.INFO):
            log.bind(
                part=short_hex(change.fact.part),
                exits=change.exits,
                exits_before=change.exits_before,
                overlapping=len(change.fact.overlapping),
                learnt=change.learnt.value,
                carriers=round(change.fact.carriers.count()),
                bystanders=round(change.fact.bystanders.count()),
                age_ms=round(change.fact.age_ms),
            ).info("part_suspected" if change.exits else "part_cleared")

    def note_part_quarantine(self, part: QuarantinedPart, is_quarantined: bool) -> None:
        """Record that a part of prompts was put in quarantine, or released."""
        log.bind(
            part=short_hex(part.part),
            exits=[f"{one:08x}" for one in sorted(part.exits)],
            overlapping=[f"{one:08x}" for one in sorted(part.overlapping)],
            carriers=round(part.carriers),
            bystanders=round(part.bystanders),
            age_ms=round(part.age_ms),
        ).warning("part_quarantined" if is_quarantined else "part_released")

    def note_cold_use(self, use: ColdRequest) -> None:
        """Record a send to a cold server, whose request rate is divided among instances."""
        self._metrics.cold_sends.inc()
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(
                backend_server=use.server_id,
                cold_ms=round(use.cold_ms),
                sharers=use.sharers,
                pause_ms=round(use.pause_ms),
            ).info("cold_server_used")

    def note_server_limit(self, limit: ServerLimit) -> None:
        """Record that a server added, changed or removed its limit."""
        self._metrics.limit_changes.labels("none" if limit.per_s is None else "rate").inc()
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(
                backend_server=limit.server_id,
                per_s=limit.per_s,
                age_ms=round(now_ms() - limit.at_ms),
            ).info("server_limit_changed")

    def note_refusal_limit(self, limit: RefusalLimit) -> None:
        """Record that a server added, changed or removed its limit on refusals."""
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(backend_server=limit.server_id, per_s=limit.per_s).info(
                "refusal_limit_changed"
            )

    def note_late_request(
        self, request_id: RequestId, route: Route, decision: LateDecision
    ) -> None:
        """Record whether this instance, which is leaving, accepts a request."""
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(
                request_id=request_id,
                route=route.name,
                is_accepted=decision.is_accepted,
                expected_ms=round(decision.expected_ms),
                left_ms=round(decision.left_ms),
                phase=decision.phase.value,
                bound=decision.bound.value,
            ).info("late_request_decided")

    def note_cut_by_exit(self, requests: Iterable[RoutedRequest]) -> None:
        """Record the requests whose answers the exit of this process cuts."""
        for request in requests:
            self._metrics.cut_by_exit.inc()
            if self._interrupted.take() and log.is_written(LineLevel.WARNING):
                log.bind(
                    request_id=request.request_id,
                    route=request.route.name,
                    service=request.service,
                    origin=request.origin.value,
                    age_ms=round(now_ms() - request.arrived_at_ms),
                    left_ms=round(request.left_ms()),
                ).warning("request_cut_by_exit")

    def count_rejected(self, reason: Reason) -> None:
        """Count a request that was rejected before routing and is logged elsewhere."""
        self._metrics.refusals.labels(reason.value).inc()

    def note_rejected(self, request_id: str, status: int, reason: Reason, text: str) -> None:
        """Record a request that was rejected before routing."""
        self.count_rejected(reason)
        if self._other.take() and log.is_written(LineLevel.INFO):
            log.bind(
                request_id=request_id,
                status=status,
                reason=reason.value,
                text=text,
            ).info("request_rejected")

    def note_end(self, request: RoutedRequest, end: RequestEnd, version: int) -> None:
        """Record how a request ended and why it was placed where it ran."""
        total_ms = now_ms() - request.arrived_at_ms
        kind = request.route.kind.value
        self._metrics.requests.labels(request.origin.value, str(end.status)).inc()
        if end.placement is not None:
            place = "here" if end.placement.peer is None else "away"
            self._metrics.sends.labels(place).inc(end.progress.sends)
        if end.is_cut:
            self._metrics.cut_answers.labels(end.progress.caller_answer.content.value).inc()
        first_ms = None
        if end.progress.first_at_ms is not None:
            first_ms = end.progress.first_at_ms - request.arrived_at_ms
            self._metrics.first_s.labels(kind).observe(first_ms / 1000)
        if end.reason is Reason.NONE:
            self._metrics.total_s.labels(kind).observe(total_ms / 1000)
            if not self._answered.take():
                return
        else:
            self._metrics.refusals.labels(end.reason.value).inc()
            if not self._other.take():
                return
        level = LineLevel.WARNING if end.is_cut else LineLevel.INFO
        if not log.is_written(level):
            return
        line = log.bind(
            # Fields that explain a failure come first, because excerpts of a log may cut its lines.
            request_id=request.request_id,
            status=end.status,
            reason=end.reason.value,
            sends=end.progress.sends,
            ran=end.ran,
            left_ms=round(request.left_ms()),
            **origin_fields(end.progress.answer_origin),
            origin=request.origin.value,
            route=request.route.name,
            version=version,
            first_ms=None if first_ms is None else round(first_ms),
            total_ms=round(total_ms),
            pause_ms=round(end.progress.longest_pause_ms),
            begun_by=end.progress.caller_answer.begun_by,
            sent_bytes=end.progress.caller_answer.sent_bytes,
            **(resumption_fields(request) if request.is_resumption else {}),
            **({"content": short_hex(request.digest())} if _needs_digest(end) else {}),
            **(prompt_fields(request.prompt) if request.prompt else {}),
            **(placement_fields(end.placement) if end.placement else {}),
            **(refusal_fields(end.refusal) if end.refusal else {}),
        )
        if end.is_cut:
            line.warning("request_ended")
        else:
            line.info("request_ended")

    def left_out(self) -> int:
        """Return the number of lines left out so far."""
        budgets = (self._answered, self._other, self._interrupted, self._server_ends)
        return sum(one.left_out for one in budgets)


def _needs_digest(end: RequestEnd) -> bool:
    """Return whether the line needs the digest, which identifies repeats of a request."""
    return end.reason is Reason.QUARANTINED
