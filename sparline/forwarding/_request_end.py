"""Final responses to a forwarded request, generated here or by its last backend server."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.decisions import unserved_retry_after_ms
from sparline.forwarding._attempt_types import AttemptEnd, Progress
from sparline.forwarding._caller_answer import CallerAnswer
from sparline.forwarding._wire import OwnAnswer
from sparline.http import CallerConnection, Headers
from sparline.placement import Placement, Refusal
from sparline.requests import Origin, Reason, RoutedRequest

# With less time than this left, another attempt can't complete (ms).
MIN_TIME_LEFT_MS = 10.0
# Retry delay requested of the caller if no server has requested one (ms).
DEFAULT_RETRY_AFTER_MS = 300.0
# Refusal reasons that apply to every server in the region.
REGION_FULL_REASONS = (Reason.DEADLINE_UNREACHABLE, Reason.NO_BACKEND)
WITHDRAWN_KEY_BODY = b"Authorization: expected a key in force, found one that was just withdrawn\n"
TEXT_CONTENT_TYPE = (b"Content-Type", b"text/plain; charset=utf-8")
QUARANTINED_BODY = (
    b"expected a backend server to answer this request, found that each one that ran it ended; "
    b"it is not sent again for some minutes\n"
)
QUARANTINED_PART_BODY = (
    b"expected a prompt that backend servers can answer, found one with a part under which each one "
    b"ended; requests with this part are not sent until an operator releases it\n"
)


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """Describe the outcome of a request for the log and metrics."""

    status: int  # status that the caller received, 0 if none or aborted
    reason: Reason  # why it did not get a complete backend response
    ran: bool  # whether it may have run
    placement: Placement | None  # last selected server
    refusal: Refusal | None  # why no server could be selected, if so
    progress: Progress  # state shared by the attempts

    @property
    def is_cut(self) -> bool:
        """Tell whether this instance ended the answer before it was whole."""
        is_aborted = self.status == 0 and self.reason is not Reason.CALLER_GONE
        return is_aborted and self.progress.caller_answer.has_begun


class RequestEnder:
    """End one request with exactly one final response."""

    def __init__(
        self,
        request: RoutedRequest,
        progress: Progress,
        refusal_headers: Callable[[OwnAnswer], Headers],
    ) -> None:
        """Set the request; `refusal_headers` are those of responses made here."""
        self.placement: Placement | None = None  # last selected server
        self.refusal: Refusal | None = None  # why no server could be selected, if so
        self.ended_server: BackendServerId | None = None  # last server that exited while running it
        self.region_full_end: AttemptEnd | None = None  # last refusal by a region without capacity
        self._request = request
        self._progress = progress
        self._refusal_headers = refusal_headers

    def end_unplaced(self, refusal: Refusal) -> RequestEnd:
        """End a request for which no server could be selected."""
        if self._progress.failed_answer is not None and not self._progress.caller_answer.has_begun:
            return self._forward_server_error()
        if self.region_full_end is not None and refusal.reason is Reason.NO_BACKEND:
            # Servers exist but have no capacity, so the full region's Retry-After applies.
            return self._end_with_own_answer(
                self.region_full_end.reason, self.region_full_end.retry_after_ms
            )
        return self._end_with_own_answer(refusal.reason, refusal.retry_after_ms)

    def end_version_unknown(self, reason: Reason) -> RequestEnd:
        """End a resumed stream if the software version that began it is not known."""
        if reason is Reason.SOFTWARE_VERSION_UNCONFIRMED:
            # Another instance may know it.
            return self._end_with_own_answer(reason, DEFAULT_RETRY_AFTER_MS)
        return self._end_with_own_answer(reason, unserved_retry_after_ms(self._request.left_ms()))

    def end_failed(self, stop: Reason, end: AttemptEnd) -> RequestEnd:
        """End a request whose last attempt failed and is not retried, for the reason `stop`."""
        if self._progress.failed_answer is not None and not self._progress.caller_answer.has_begun:
            return self._forward_server_error()
        return self._end_with_own_answer(stop, end.retry_after_ms or DEFAULT_RETRY_AFTER_MS)

    def _forward_server_error(self) -> RequestEnd:
        """Forward the backend server's own error response to the caller."""
        assert self._progress.failed_answer is not None
        failed = self._progress.failed_answer
        self._progress.caller_answer.send_complete(failed.head, failed.body)
        return self.make_end(failed.head.status, Reason.BACKEND_FAILED)

    def end_quarantined(self, reason: Reason) -> RequestEnd:
        """Reject a request that is in quarantine, or a part of which is."""
        if self._progress.caller_answer.has_begun:
            return self._abort_answer(reason)
        reject_quarantined(self._progress.caller_answer, self._refusal_headers, reason)
        return self.make_end(502, reason)

    def end_key_withdrawn(self) -> RequestEnd:
        """End a request whose API key was withdrawn without sending it again."""
        if self._progress.caller_answer.has_begun:
            return self._abort_answer(Reason.KEY_WITHDRAWN)
        if self._progress.may_have_run or self._request.origin is Origin.RELAY:
            return self._end_with_own_answer(Reason.KEY_WITHDRAWN, DEFAULT_RETRY_AFTER_MS)
        self._progress.caller_answer.answer(
            401, [(b"WWW-Authenticate", b"Bearer"), TEXT_CONTENT_TYPE], WITHDRAWN_KEY_BODY
        )
        return self.make_end(401, Reason.KEY_WITHDRAWN, ran=False)

    def _end_with_own_answer(self, reason: Reason, retry_after_ms: float) -> RequestEnd:
        """End with a response generated here, reporting "not run" only if that is certain."""
        if self._progress.caller_answer.has_begun:
            return self._abort_answer(reason)
        ran = self._progress.may_have_run
        status = 503
        if ran:
            status = 504 if reason is Reason.DEADLINE_PASSED else 502
        return self._send_own_answer(status, reason, ran, retry_after_ms)

    def end_timed_out(self) -> RequestEnd:
        """End a request whose time limit has expired."""
        elapsed_ms = now_ms() - self._request.arrived_at_ms
        is_route_timeout = elapsed_ms >= self._request.route.timeout_ms - MIN_TIME_LEFT_MS
        reason = Reason.ROUTE_TIMEOUT if is_route_timeout else Reason.DEADLINE_PASSED
        if self._progress.caller_answer.has_begun:
            return self._abort_answer(reason)
        ran = self._progress.sends > 0
        return self._send_own_answer(504 if ran else 503, reason, ran, DEFAULT_RETRY_AFTER_MS)

    def _send_own_answer(
        self, status: int, reason: Reason, ran: bool, retry_after_ms: float
    ) -> RequestEnd:
        sent = self._progress.sends > 0
        own_answer = OwnAnswer(
            ran,
            retry_after_ms,
            sent,
            self.ended_server,
            is_region_full=not sent and reason in REGION_FULL_REASONS,
            is_isolated=reason is Reason.ISOLATED,
        )
        headers = self._refusal_headers(own_answer)
        self._progress.caller_answer.answer(status, headers, b"")
        return self.make_end(status, reason, ran)

    def _abort_answer(self, reason: Reason) -> RequestEnd:
        """Close the connection without the end of the response so that the truncation is visible."""
        self._progress.caller_answer.abort()
        return self.make_end(0, reason)

    def make_end(self, status: int, reason: Reason, ran: bool = True) -> RequestEnd:
        """Describe the outcome of a request whose response has been sent."""
        return RequestEnd(status, reason, ran, self.placement, self.refusal, self._progress)


def reject_quarantined(
    caller: CallerConnection | CallerAnswer,
    refusal_headers: Callable[[OwnAnswer], Headers],
    reason: Reason,
) -> None:
    """Answer a request that must not be sent, so that its caller doesn't come back with it."""
    is_part = reason is Reason.QUARANTINED_PART
    body = QUARANTINED_PART_BODY if is_part else QUARANTINED_BODY
    headers = refusal_headers(OwnAnswer(ran=True, quarantined=True))
    caller.answer(502, [*headers, TEXT_CONTENT_TYPE], body)
