"""Lifecycle of a forwarded request: server selection, attempts, safe retries, final response."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._ids import SoftwareVersion
from sparline.forwarding._attempt import Attempt
from sparline.forwarding._attempt_types import (
    AttemptDependencies,
    AttemptEnd,
    AttemptResult,
    InterruptedAttempt,
    Progress,
)
from sparline.forwarding._caller_answer import CallerAnswer
from sparline.forwarding._events import EventSplitter
from sparline.forwarding._request_crashes import CrashTables, RequestCrashes
from sparline.forwarding._request_end import RequestEnd, RequestEnder
from sparline.forwarding._request_retries import (
    RESUME_RETRY_DELAY_MS,
    RequestRetries,
    RetryDependencies,
)
from sparline.forwarding._resume_wait import should_delay_resume
from sparline.forwarding._retry_window import RetryUsage, RetryWindow
from sparline.forwarding._server_selection import ServerSelection
from sparline.forwarding._wire import AttemptParameters, OwnAnswer
from sparline.http import CallerConnection, CallerGone, Headers
from sparline.placement import Chooser, LoadTable, Placement, Refusal
from sparline.quarantine import FactSource
from sparline.requests import Origin, Reason, RoutedRequest

# Interval at which an interrupted stream looks for a server with a shorter queue (ms).
RESUME_POLL_INTERVAL_MS = 40.0
# Random factor applied to that interval and to RESUME_RETRY_DELAY_MS.
RESUME_JITTER_RANGE = (0.5, 1.5)
# Maximum number of servers that may still run a suspected request (count). A request is suspected
# once several servers have exited while running it.
MAX_SUSPECT_SENDS = 1


@dataclass(frozen=True, slots=True)
class ForwarderDependencies:
    """Bundle the dependencies of a forwarder."""

    chooser: Chooser  # selects backend servers
    rng: random.Random  # random number generator for jitter
    loads: LoadTable  # requests in flight by server
    retries: RetryWindow  # retry budget
    attempt_dependencies: AttemptDependencies  # dependencies of attempts
    note_retry: Callable[
        [RoutedRequest, Placement, AttemptEnd, Progress], None
    ]  # logs and counts a retry, with what the attempts have shown so far
    note_retry_refused: Callable[
        [RoutedRequest, RetryUsage], None
    ]  # logs and counts an attempt that the retry budget does not allow
    note_broken: Callable[
        [RoutedRequest, Placement, InterruptedAttempt], None
    ]  # logs and counts an interrupted attempt
    crashes: CrashTables  # servers that exited while running requests
    is_key_withdrawn: Callable[[RoutedRequest], bool]  # whether its API key was withdrawn
    refusal_headers: Callable[[OwnAnswer], Headers]  # for responses generated here
    # Software version at which a resumed stream began, or why it is not known.
    find_version: Callable[[RoutedRequest], Result[SoftwareVersion, Reason]]


class Forwarder:
    """Forward requests and end each of them exactly once."""

    def __init__(self, dependencies: ForwarderDependencies) -> None:
        """Use the dependencies of one instance."""
        self._dependencies = dependencies

    def forward(
        self, request: RoutedRequest, caller: CallerConnection, sends_left: int
    ) -> RequestEnd:
        """Respond to a request; at most `sends_left` backend servers may run it."""
        progress = Progress(EventSplitter(request.resume_after), CallerAnswer(caller))
        if request.origin is Origin.CALLER:
            # The instance that relayed it has counted it already.
            self._dependencies.retries.note_request(request.service)
        handler = gevent.getcurrent()
        caller.watch(lambda: handler.kill(CallerGone, block=False))
        limit = gevent.Timeout(max(request.left_ms(), 1.0) / 1000)
        run = _RequestRun(self._dependencies, request, sends_left, progress)
        try:
            with limit:
                return run.run_to_end()
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            return run.ender.end_timed_out()
        except CallerGone:
            progress.caller_answer.abort()
            return run.ender.make_end(0, Reason.CALLER_GONE)
        finally:
            caller.unwatch()


class _RequestRun:
    """Hold the state of one request while it is forwarded."""

    def __init__(
        self,
        dependencies: ForwarderDependencies,
        request: RoutedRequest,
        sends_left: int,
        progress: Progress,
    ) -> None:
        self._dependencies = dependencies
        self._request = request
        self._progress = progress
        self._selection = ServerSelection(dependencies.chooser, request, progress)
        self._crashes = RequestCrashes(dependencies.crashes, request)
        self._retries = RequestRetries(
            RetryDependencies(
                dependencies.retries, dependencies.note_retry_refused, self._sleep_with_jitter
            ),
            request,
            progress,
            self._selection,
            self._crashes,
            sends_left,
        )
        self.ender = RequestEnder(request, progress, dependencies.refusal_headers)

    def run_to_end(self) -> RequestEnd:
        if self._request.is_resumption and self._selection.resumed_version is None:
            match self._dependencies.find_version(self._request):
                case Ok(version):
                    self._selection.resumed_version = version
                case Err(reason):
                    return self.ender.end_version_unknown(reason)
        while True:
            if self._dependencies.is_key_withdrawn(self._request):
                return self.ender.end_key_withdrawn()
            quarantine_reason = self._crashes.quarantine_reason()
            if quarantine_reason is not None:
                return self.ender.end_quarantined(quarantine_reason)
            is_suspect = self._crashes.is_suspect()
            if is_suspect:
                self._retries.limit_sends(MAX_SUSPECT_SENDS)
            selected = self._selection.select(is_suspect)
            if isinstance(selected, Refusal):
                self.ender.refusal = selected
                is_final = selected.reason is Reason.SOFTWARE_VERSION_GONE
                if is_final or not self._retries.may_await_server():
                    return self.ender.end_unplaced(selected)
                self._sleep_with_jitter(RESUME_RETRY_DELAY_MS)
                continue
            if should_delay_resume(self._request, self._progress, selected):
                self._sleep_with_jitter(RESUME_POLL_INTERVAL_MS)
                continue
            self.ender.placement = selected
            end = self._attempt(selected)
            if end.result is AttemptResult.DELIVERED:
                self._crashes.note_answered(selected.server, end.proves_sound)
                return self.ender.make_end(200, Reason.NONE)
            if end.reason is Reason.QUARANTINED:
                return self.ender.end_quarantined(self._crashes.quarantine_reason() or end.reason)
            stop = self._retries.stop_reason(end)
            if stop is not None:
                return self.ender.end_failed(stop, end)
            self._dependencies.note_retry(self._request, selected, end, self._progress)
            if end.result is AttemptResult.NOT_RUN and self._retries.awaits_capacity():
                self._sleep_with_jitter(self._retries.refused_delay_ms())

    def _sleep_with_jitter(self, delay_ms: float) -> None:
        """Sleep for a randomised delay before an interrupted stream is retried."""
        gevent.sleep(delay_ms * self._dependencies.rng.uniform(*RESUME_JITTER_RANGE) / 1000)

    def _attempt(self, placement: Placement) -> AttemptEnd:
        request = self._request
        assert request.route.repeatable or not self._progress.may_have_run, (
            f"request {request.request_id} is not repeatable and may already have run"
        )
        reserved_tokens = request.prompt.held_tokens if request.prompt else 0
        reservation = self._dependencies.loads.reserve(
            placement.server,
            reserved_tokens,
            placement.effort_tokens,
            request.priority if request.prompt else None,
            is_relayed=placement.peer is not None,
        )
        self._dependencies.chooser.note_sent(request, placement)
        earlier = self._crashes.earlier(placement.server)
        parameters = AttemptParameters(
            server_id=placement.server.id,
            left_ms=request.left_ms(),
            resume_after=self._progress.splitter.last_id,
            sends_left=self._retries.sends_left,
            software_version=self._selection.required_version(),
            left_server=self._selection.left_server,
            source=placement.source.address if placement.source else None,
            is_watched=earlier.is_watched,
            earlier_exits=earlier.earlier_exits,
            exited_at_ms=earlier.exited_at_ms,
        )
        attempt = Attempt(
            self._dependencies.attempt_dependencies,
            request,
            placement,
            reservation,
            self._progress,
            lambda: self._retries.reserve_alternative(placement),
        )
        try:
            end = attempt.run(parameters)
        finally:
            reservation.release()
        self._note_end(placement, end)
        return end

    def _note_end(self, placement: Placement, end: AttemptEnd) -> None:
        self._retries.note_end(end)
        if end.result is AttemptResult.NOT_RUN:
            if end.is_region_full:
                self._note_region_full(placement, end)
            if end.reason is not Reason.CONNECT_FAILED:
                self._progress.sends_not_run += 1
            if end.reason is Reason.PEER_ISOLATED:
                # Another instance of the region may reach the server.
                return
            if self._retries.may_return():
                # The stream may return to this server once it has capacity. Until then the health
                # table excludes the server from selection.
                return
        elif end.result is not AttemptResult.DELIVERED:
            self._progress.may_have_run = True
        # A silent server may be the only one that can go on with the request if the others refuse.
        if end.reason is not Reason.BACKEND_SILENT:
            self._progress.excluded.add(placement.server.id)
        self._note_crash(placement, end)
        if end.result is AttemptResult.MAY_HAVE_RUN:
            sent_ago_ms = now_ms() - self._progress.sent_at_ms
            answer = self._progress.caller_answer
            interrupted = InterruptedAttempt(end, sent_ago_ms, answer.begun_by, answer.sent_bytes)
            self._dependencies.note_broken(self._request, placement, interrupted)

    def _note_region_full(self, placement: Placement, end: AttemptEnd) -> None:
        """Exclude the whole region, since every instance in it would refuse the request.

        A region without capacity at one software version may have some at others.
        """
        if self._selection.required_version() is not None:
            return
        ids = self._dependencies.chooser.note_region_full(self._request, placement)
        if not self._progress.caller_answer.has_begun:
            self._progress.excluded.update(ids)
            self.ender.region_full_end = end

    def _note_crash(self, placement: Placement, end: AttemptEnd) -> None:
        """Record a server exit during the request and stop retrying a suspected request."""
        server, sent_at_ms = placement.server, self._progress.sent_at_ms
        if end.may_have_ended:
            self._crashes.note_interrupted(server, sent_at_ms, end.liveness)
        if end.ended_server is None:
            return
        self.ender.ended_server = end.ended_server
        learnt = FactSource.HERE if placement.peer is None else FactSource.PEER
        self._crashes.note_exit(server, end.ended_server, sent_at_ms, learnt)
        if self._crashes.quarantine_reason() is not None or self._crashes.is_suspect():
            self._retries.limit_sends(0)
