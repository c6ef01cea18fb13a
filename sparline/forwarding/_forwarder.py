"""The way of one request: place it, send it, try again where that is harmless, end it."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.forwarding._attempt import Attempt
from sparline.forwarding._attempt_types import (
    AttemptEnd,
    AttemptResult,
    AttemptTools,
    Progress,
    SentEnd,
)
from sparline.forwarding._events import EventCutter
from sparline.forwarding._resume_wait import is_awaited, resumes_later
from sparline.forwarding._retry_window import RetryWindow
from sparline.forwarding._wire import OwnAnswer, SendTerms
from sparline.http import CallerConnection, CallerGone, Headers, end_to_end
from sparline.placement import Chooser, LoadTable, Placement, Refusal
from sparline.quarantine import CrashTable, FactSource, RequestDigest, Verdict
from sparline.requests import Origin, Reason, RoutedRequest

# Sends that were proved not to have run are repeated at most so often (count).
MOST_NOT_RUN = 3
# Less than this is left: nothing useful can be done any more (ms).
LEAST_LEFT_MS = 10.0
RETRY_AFTER_DEFAULT_MS = 300.0
# A stream that waits for a less busy engine looks for one so often (ms), within a factor, and one
# that nothing took or could take tries again so often: until its caller leaves, so that a
# short wait for room does not cut it.
RESUME_STEP_MS = 40.0
NOT_RUN_REST_MS = 150.0
RESUME_SPREAD = (0.5, 1.5)
# A try of a request under which servers have ended one after the other may reach so many (count).
SUSPECT_SENDS = 1
# Refusals that hold whichever server of the region is asked.
NO_ROOM = (Reason.DEADLINE_UNREACHABLE, Reason.NO_BACKEND)
WITHDRAWN_TEXT = b"Authorization: expected a key in force, found one that was just withdrawn\n"
TEXT_TYPE = (b"Content-Type", b"text/plain; charset=utf-8")
QUARANTINED_TEXT = (
    b"expected a backend server to answer this request, found that each one that ran it ended; "
    b"it is not sent again for some minutes\n"
)


@dataclass(frozen=True, slots=True)
class RequestEnd:
    """Hold what became of a request, for the log and the counters."""

    status: int  # status that the caller got, 0 for none
    reason: Reason  # why it is not a whole answer of a backend server
    ran: bool  # whether it may have run
    placement: Placement | None  # last place
    refusal: Refusal | None  # why there was no (further) place, None where there was one
    progress: Progress  # what the attempts left


@dataclass(frozen=True, slots=True)
class ForwarderParts:
    """Hold what a forwarder works with."""

    chooser: Chooser  # where requests go
    chance: random.Random  # spreads what waits
    loads: LoadTable  # counts of requests at servers
    retries: RetryWindow  # budget for repeats
    tools: AttemptTools  # connections and protocols
    note_retry: Callable[[RoutedRequest, Placement, AttemptEnd], None]  # counters and log
    note_broken: Callable[[RoutedRequest, Placement, SentEnd], None]  # counters and log
    crashes: CrashTable  # servers that ended under requests
    is_barred: Callable[[RoutedRequest], bool]  # whether its key was withdrawn since it came
    refusal_headers: Callable[[OwnAnswer], Headers]  # for answers of this instance's own


class Forwarder:
    """Forward requests; each gets exactly one end."""

    def __init__(self, parts: ForwarderParts) -> None:
        """Forward with the parts of one instance."""
        self._parts = parts

    def forward(
        self, request: RoutedRequest, caller: CallerConnection, sends_left: int
    ) -> RequestEnd:
        """Answer a request; `sends_left` bounds the backend servers that may run it."""
        progress = Progress(EventCutter(request.resume_after))
        self._parts.retries.note_request(request.service)
        handler = gevent.getcurrent()
        caller.watch(lambda: handler.kill(CallerGone, block=False))
        limit = gevent.Timeout(max(request.left_ms(), 1.0) / 1000)
        run = _Run(self._parts, request, caller, sends_left, progress)
        try:
            with limit:
                return run.to_end()
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            return run.end_late()
        except CallerGone:
            caller.closing = True
            return RequestEnd(0, Reason.CALLER_GONE, True, run.placement, run.refusal, progress)
        finally:
            caller.unwatch()


class _Run:
    """Hold one request while it is forwarded."""

    def __init__(
        self,
        parts: ForwarderParts,
        request: RoutedRequest,
        caller: CallerConnection,
        sends_left: int,
        progress: Progress,
    ) -> None:
        self._parts = parts
        self._request = request
        self._caller = caller
        self._sends_left = sends_left
        self._not_run = 0
        self._progress = progress
        self._digest: RequestDigest | None = None
        self._ended_server: BackendServerId | None = None
        self._full_end: AttemptEnd | None = None  # a region's word that it has no room
        self.placement: Placement | None = None
        self.refusal: Refusal | None = None

    def to_end(self) -> RequestEnd:
        while True:
            if self._parts.is_barred(self._request):
                return self._end_barred()
            verdict = self._verdict()
            if verdict is Verdict.QUARANTINED:
                return self._end_quarantined()
            is_suspect = verdict is Verdict.SUSPECT
            if is_suspect:
                self._sends_left = min(self._sends_left, SUSPECT_SENDS)
            place = self._parts.chooser.choose(
                self._request, self._excluded(), self._progress.began, is_suspect
            )
            if isinstance(place, Refusal):
                self.refusal = place
                if not is_awaited(self._request, self._progress):
                    return self._end_unplaced(place)
                self._rest(NOT_RUN_REST_MS)
                continue
            if resumes_later(self._request, self._progress, place):
                self._rest(RESUME_STEP_MS)
                continue
            self.placement = place
            end = self._attempt(place)
            if end.result is AttemptResult.DELIVERED:
                self._parts.crashes.note_complete_answer(self._own_digest())
                return self._ended(200, Reason.NONE)
            if end.reason is Reason.QUARANTINED:
                return self._end_quarantined()
            stop = self._why_stop(place, end)
            if stop is not None:
                return self._end_failed(stop, end)
            self._parts.note_retry(self._request, place, end)
            if end.result is AttemptResult.NOT_RUN and self._progress.began:
                self._rest(NOT_RUN_REST_MS)

    def _own_digest(self) -> RequestDigest:
        if self._digest is None:
            self._digest = self._request.digest()
        return self._digest

    def _verdict(self) -> Verdict:
        """Return what may be done with the request; its digest is worked out only if it matters."""
        crashes = self._parts.crashes
        return Verdict.CLEAR if crashes.is_empty else crashes.verdict(self._own_digest())

    def _rest(self, usual_ms: float) -> None:
        """Let a stream that broke off wait for a moment."""
        gevent.sleep(usual_ms * self._parts.chance.uniform(*RESUME_SPREAD) / 1000)

    def _excluded(self) -> frozenset[BackendServerId]:
        return frozenset(BackendServerId(one) for one in self._progress.excluded)

    def _attempt(self, place: Placement) -> AttemptEnd:
        request = self._request
        assert request.route.repeatable or not self._progress.may_have_run, (
            f"request {request.request_id} may not be repeated and may have run"
        )
        held = request.prompt.held_tokens if request.prompt else 0
        reservation = self._parts.loads.reserve(place.server, held, place.effort_tokens)
        self._parts.chooser.note_sent(request, place)
        terms = SendTerms(
            server_id=place.server.id,
            left_ms=request.left_ms(),
            resume_after=self._progress.cutter.last_id,
            sends_left=self._sends_left,
            source=place.source.address if place.source else None,
            is_watched=self._is_doubted(),
        )
        attempt = Attempt(
            self._parts.tools, request, place, reservation, self._caller, self._progress
        )
        try:
            end = attempt.run(terms)
        finally:
            reservation.release()
        self._note_end(place, end)
        return end

    def _is_doubted(self) -> bool:
        """Tell whether the request broke off before; its digest is worked out only if it matters."""
        ends = self._parts.tools.ends
        return ends.has_watched_requests and ends.has_unexplained_abort(self._own_digest())

    def _note_end(self, place: Placement, end: AttemptEnd) -> None:
        if end.result is AttemptResult.NOT_RUN:
            self._not_run += 1
            if end.is_region_full:
                self._note_region_full(place, end)
            if end.reason is not Reason.CONNECT_FAILED:
                self._progress.refused_sends += 1
            if self._progress.began:
                # It may go there once there is room; health passes the server over meanwhile.
                return
        elif end.result is not AttemptResult.DELIVERED:
            self._progress.may_have_run = True
            self._sends_left -= 1
        self._progress.excluded.add(place.server.id)
        self._note_crash(place, end)
        if end.result is AttemptResult.MAY_HAVE_RUN:
            sent_ago_ms = now_ms() - self._progress.sent_at_ms
            sent = SentEnd(end, sent_ago_ms, self._progress.began)
            self._parts.note_broken(self._request, place, sent)

    def _note_region_full(self, place: Placement, end: AttemptEnd) -> None:
        """Leave the whole region of a place alone: any instance there would say the same."""
        ids = self._parts.chooser.note_region_full(self._request, place)
        if not self._progress.began:
            self._progress.excluded.update(ids)
            self._full_end = end

    def _note_crash(self, place: Placement, end: AttemptEnd) -> None:
        """Note a server that ended with the request, and repeat a suspect no more."""
        if end.in_doubt:
            self._parts.tools.ends.note_aborted_answer(self._own_digest(), place.server.id)
        if end.ended_server is None:
            return
        self._ended_server = end.ended_server
        learnt = FactSource.HERE if place.peer is None else FactSource.PEER
        self._parts.crashes.note_end(self._own_digest(), end.ended_server, learnt)
        if self._verdict() is not Verdict.CLEAR:
            self._sends_left = 0

    def _why_stop(self, place: Placement, end: AttemptEnd) -> Reason | None:
        """Return why there is no further try, None if there is one."""
        reached_a_server = end.reason not in (Reason.CONNECT_FAILED, Reason.PEER_NO_ROOM)
        if end.result is AttemptResult.NOT_RUN:
            waits = not reached_a_server and is_awaited(self._request, self._progress)
            if self._not_run >= MOST_NOT_RUN and not waits:
                return end.reason
        elif not self.may_repeat():
            return end.reason
        if self._request.left_ms() < LEAST_LEFT_MS:
            return Reason.DEADLINE_PASSED
        if reached_a_server and not self._parts.retries.spend(self._request.service):
            return Reason.RETRY_BUDGET
        return None

    def may_repeat(self) -> bool:
        """Tell whether a second run is harmless and allowed."""
        return self._request.route.repeatable and self._sends_left > 0

    def _end_unplaced(self, refusal: Refusal) -> RequestEnd:
        if self._progress.failed_answer is not None and not self._progress.began:
            return self._pass_failure_on()
        if self._full_end is not None and refusal.reason is Reason.NO_BACKEND:
            # There are servers: a full region tells its callers when to come back.
            return self._end_own(self._full_end.reason, self._full_end.retry_after_ms)
        return self._end_own(refusal.reason, refusal.retry_after_ms)

    def _end_failed(self, stop: Reason, end: AttemptEnd) -> RequestEnd:
        if self._progress.failed_answer is not None and not self._progress.began:
            return self._pass_failure_on()
        return self._end_own(stop, end.retry_after_ms or RETRY_AFTER_DEFAULT_MS)

    def _pass_failure_on(self) -> RequestEnd:
        """Give the caller the backend server's own failure."""
        assert self._progress.failed_answer is not None
        answer, body = self._progress.failed_answer
        self._caller.answer(answer.status, end_to_end(answer.headers), body)
        return self._ended(answer.status, Reason.BACKEND_FAILED)

    def _end_quarantined(self) -> RequestEnd:
        """Tell a caller that the request is not sent on; servers ran it, and may not again."""
        if self._progress.began:
            return self._cut(Reason.QUARANTINED)
        headers = self._parts.refusal_headers(OwnAnswer(ran=True, quarantined=True))
        self._caller.answer(502, [*headers, TEXT_TYPE], QUARANTINED_TEXT)
        return self._ended(502, Reason.QUARANTINED)

    def _end_barred(self) -> RequestEnd:
        """Send the request of a key that was withdrawn nowhere (again)."""
        if self._progress.began:
            return self._cut(Reason.KEY_WITHDRAWN)
        if self._progress.may_have_run or self._request.origin is Origin.RELAY:
            return self._end_own(Reason.KEY_WITHDRAWN, RETRY_AFTER_DEFAULT_MS)
        self._caller.answer(401, [(b"WWW-Authenticate", b"Bearer"), TEXT_TYPE], WITHDRAWN_TEXT)
        return self._ended(401, Reason.KEY_WITHDRAWN, ran=False)

    def _end_own(self, reason: Reason, retry_after_ms: float) -> RequestEnd:
        """End with an answer of this instance; never call not run what may have run."""
        if self._progress.began:
            return self._cut(reason)
        ran = self._progress.may_have_run
        status = 503
        if ran:
            status = 504 if reason is Reason.DEADLINE_PASSED else 502
        return self._answer_own(status, reason, ran, retry_after_ms)

    def end_late(self) -> RequestEnd:
        """End a request whose time is over."""
        in_time = now_ms() - self._request.arrived_at_ms
        route_timeout = in_time >= self._request.route.timeout_ms - LEAST_LEFT_MS
        reason = Reason.ROUTE_TIMEOUT if route_timeout else Reason.DEADLINE_PASSED
        if self._progress.began or self._caller.started:
            return self._cut(reason)
        ran = self._progress.sends > 0
        return self._answer_own(504 if ran else 503, reason, ran, RETRY_AFTER_DEFAULT_MS)

    def _answer_own(
        self, status: int, reason: Reason, ran: bool, retry_after_ms: float
    ) -> RequestEnd:
        sent = self._progress.sends > 0
        said = OwnAnswer(
            ran,
            retry_after_ms,
            sent,
            self._ended_server,
            is_region_full=not sent and reason in NO_ROOM,
        )
        headers = self._parts.refusal_headers(said)
        self._caller.answer(status, headers, b"")
        return self._ended(status, reason, ran)

    def _cut(self, reason: Reason) -> RequestEnd:
        """End the connection without the framed end, so that the answer shows as cut."""
        self._caller.closing = True
        return self._ended(0, reason)

    def _ended(self, status: int, reason: Reason, ran: bool = True) -> RequestEnd:
        return RequestEnd(status, reason, ran, self.placement, self.refusal, self._progress)


def may_move(request: RoutedRequest, progress: Progress) -> bool:
    """Tell whether a request that waits for a silent server may be sent elsewhere."""
    return (
        request.origin is Origin.CALLER
        and request.route.repeatable
        and progress.sends < request.route.max_backends
    )
