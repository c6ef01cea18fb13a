"""Whether, and after which delay, another attempt at one request follows."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline.forwarding._attempt_types import AttemptEnd, AttemptResult, Progress
from sparline.forwarding._request_crashes import RequestCrashes
from sparline.forwarding._request_end import MIN_TIME_LEFT_MS
from sparline.forwarding._resume_wait import (
    is_caller_patient,
    is_caller_waiting,
    should_delay_resume,
)
from sparline.forwarding._retry_window import RetryUsage, RetryWindow
from sparline.forwarding._server_selection import ServerSelection
from sparline.placement import Placement
from sparline.requests import Origin, Reason, RoutedRequest

# A request is given up after this many attempts that are proven not to have run (count).
MAX_NOT_RUN_ATTEMPTS = 3
# Delay before an interrupted stream is retried after no server could be selected, or the selected
# one did not run it (ms). It is retried until its caller is expected to give up, so that a short
# lack of capacity does not abort it.
RESUME_RETRY_DELAY_MS = 150.0
# Reasons of attempts that reached no backend server, which need no part of the retry budget.
REASONS_WITHOUT_ARRIVAL = (Reason.CONNECT_FAILED, Reason.PEER_NO_ROOM, Reason.PEER_ISOLATED)


@dataclass(frozen=True, slots=True)
class RetryDependencies:
    """Bundle what retries of requests depend on."""

    window: RetryWindow  # retry budget
    note_refused: Callable[[RoutedRequest, RetryUsage], None]  # logs a retry without budget
    sleep: Callable[[float], None]  # sleeps for a randomised delay (ms)


class RequestRetries:
    """Decide on further attempts at one request, after one has ended and while one goes on."""

    def __init__(
        self,
        dependencies: RetryDependencies,
        request: RoutedRequest,
        progress: Progress,
        selection: ServerSelection,
        crashes: RequestCrashes,
        sends_left: int,
    ) -> None:
        """Allow at most `sends_left` backend servers to run the request."""
        self.sends_left = sends_left
        self._dependencies = dependencies
        self._request = request
        self._progress = progress
        self._selection = selection
        self._crashes = crashes
        self._not_run_count = 0  # attempts proven not to have run
        self._has_left_live_run = False  # whether a run was given up that might have gone on
        # Server whose live run was given up, with a retry to go back there; None without one.
        self._way_back: Placement | None = None
        self._has_noted_refusal = False  # whether it is logged that no retry was left

    def limit_sends(self, most: int) -> None:
        """Allow at most so many further backend servers to run the request."""
        self.sends_left = min(self.sends_left, most)

    def note_end(self, end: AttemptEnd) -> None:
        """Record how an attempt ended."""
        if end.result is AttemptResult.NOT_RUN:
            self._not_run_count += 1
        elif end.result is not AttemptResult.DELIVERED:
            self.sends_left -= 1
        if end.reason is Reason.BACKEND_SILENT:
            self._has_left_live_run = True
        elif end.result is not AttemptResult.NOT_RUN:
            self._drop_way_back()

    def stop_reason(self, end: AttemptEnd) -> Reason | None:
        """Return the reason to stop retrying after an attempt, or None to retry."""
        if not self._progress.may_go_on_elsewhere() or end.reason is Reason.NOT_RESUMED:
            return end.reason
        reached_a_server = end.reason not in REASONS_WITHOUT_ARRIVAL
        if end.result is AttemptResult.NOT_RUN and self._take_way_back():
            return None
        if end.result is AttemptResult.NOT_RUN:
            may_wait = self._may_await_capacity(reached_a_server)
            if self._not_run_count >= MAX_NOT_RUN_ATTEMPTS and not may_wait:
                return end.reason
        elif not self._may_repeat():
            return end.reason
        if self._request.left_ms() < MIN_TIME_LEFT_MS:
            return Reason.DEADLINE_PASSED
        if reached_a_server and not self._selection.has_reserved and not self._obtain_retry():
            return Reason.RETRY_BUDGET
        return None

    def may_await_server(self) -> bool:
        """Tell whether a request for which no server could be selected is kept until one can."""
        return self._may_await_capacity(reached_a_server=False)

    def awaits_capacity(self) -> bool:
        """Tell whether a refusal is followed by a delay instead of another attempt at once."""
        if self._selection.has_reserved:
            return False
        return self._progress.caller_answer.has_begun or self._has_left_live_run

    def may_return(self) -> bool:
        """Tell whether the request may be sent again to a server that has refused it.

        After a live run was given up it goes back to that server instead, where its run may go on.
        """
        return self._progress.caller_answer.has_begun and not self._has_left_live_run

    def refused_delay_ms(self) -> float:
        """Return the delay after a refusal, longer each time where a live run was given up."""
        if not self._has_left_live_run:
            return RESUME_RETRY_DELAY_MS
        return RESUME_RETRY_DELAY_MS * max(self._not_run_count, 1)

    def reserve_alternative(self, current: Placement) -> bool:
        """Reserve another server and a retry for a request whose server is unresponsive.

        Its run there may be given up only then: it may still go on. A second retry, if there is one, is for
        the way back if the other server refuses the request.
        """
        if not self._may_move():
            return False
        alternative = self._selection.find_alternative(current)
        if alternative is None or should_delay_resume(self._request, self._progress, alternative):
            return False
        if not self._spend_retry():
            return False
        self._selection.reserve(alternative, current.server.id)
        if self._spend_retry():
            self._way_back = current
        return True

    def _take_way_back(self) -> bool:
        """Reserve the server whose live run was given up, if the retry for that is still held."""
        if self._way_back is None:
            return False
        self._selection.reserve(self._way_back)
        self._way_back = None
        return True

    def _drop_way_back(self) -> None:
        """Return the retry for the way back, which is not needed any more."""
        if self._way_back is not None:
            self._way_back = None
            self._dependencies.window.give_back(self._request.service)

    def _may_move(self) -> bool:
        """Tell whether a request may be moved to another server while it runs at one."""
        return (
            self._request.origin is Origin.CALLER
            and self._request.route.repeatable
            and self._progress.may_go_on_elsewhere()
            and self._progress.sends < self._request.route.max_backends
            and self.sends_left > 1
            and self._request.left_ms() >= MIN_TIME_LEFT_MS
            and not self._crashes.is_suspect()
        )

    def _may_repeat(self) -> bool:
        """Tell whether the request is repeatable and has attempts left."""
        return self._request.route.repeatable and self.sends_left > 0

    def _may_await_capacity(self, reached_a_server: bool) -> bool:
        """Tell whether a request without a server is kept until one takes it.

        A request whose live run was given up here must not fail because the next server refuses it.
        """
        if self._has_left_live_run:
            return is_caller_patient(self._request, self._progress)
        return not reached_a_server and is_caller_waiting(self._request, self._progress)

    def _obtain_retry(self) -> bool:
        """Take one attempt from the retry budget, waiting for it after a live run was given up."""
        while not self._spend_retry():
            if not self._may_await_capacity(reached_a_server=True):
                return False
            self._dependencies.sleep(RESUME_RETRY_DELAY_MS)
        return True

    def _spend_retry(self) -> bool:
        """Take one attempt from the retry budget; log the first time that there is none left."""
        window, service = self._dependencies.window, self._request.service
        if window.spend(service):
            return True
        if not self._has_noted_refusal:
            self._has_noted_refusal = True
            self._dependencies.note_refused(self._request, window.usage_of(service))
        return False
