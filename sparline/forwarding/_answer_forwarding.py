"""Forwarding of a backend server's response to the caller: buffered, unbuffered or as a stream."""

from collections.abc import Callable

from sparline._clock import now_ms
from sparline._ids import SoftwareVersion
from sparline.decisions import ProcessState
from sparline.forwarding._attempt_types import (
    AttemptDependencies,
    AttemptEnd,
    AttemptResult,
    FailedAnswer,
    Progress,
    UnframedEnd,
)
from sparline.forwarding._buffered_answer import BufferedAnswer
from sparline.forwarding._caller_answer import SentContent, ServerAnswerHead
from sparline.forwarding._liveness_checks import LivenessChecks
from sparline.http import (
    SMALL_BYTES,
    BackendConnection,
    ConnectionBroken,
    Headers,
    HttpAnswer,
)
from sparline.placement import Placement, StreamWatch
from sparline.requests import Reason, RoutedRequest
from sparline.routes import RequestKind

# Maximum size of a server-sent event (bytes). Typical events are a few hundred bytes long.
MAX_EVENT_BYTES = 1_048_576
# Lowest status code of a response that is not a success. Only a success holds events.
MIN_REDIRECT_STATUS = 300
# Lowest status code that reports a failure of the backend server.
MIN_SERVER_ERROR_STATUS = 500


class AnswerForwarding:
    """Forward the response of one attempt, and record its timing and outcome."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        request: RoutedRequest,
        placement: Placement,
        progress: Progress,
        watch: StreamWatch,
        checks: LivenessChecks,
        process_state: Callable[[BackendConnection], ProcessState],
    ) -> None:
        """Set the attempt whose response is forwarded.

        `process_state` returns what is known of the server process when a connection has ended.
        """
        self._dependencies = dependencies
        self._request = request
        self._placement = placement
        self._progress = progress
        self._watch = watch
        self._checks = checks
        self._process_state = process_state

    def forward(
        self, connection: BackendConnection, answer: HttpAnswer, version: SoftwareVersion | None
    ) -> AttemptEnd:
        """Forward a response that comes from a software version, None if that is unknown."""
        if is_stream_answer(self._request, answer):
            return self._forward_stream(connection, answer, version)
        return self._forward_buffered(connection, answer)

    def continues_answer(self, answer: HttpAnswer) -> bool:
        """Tell whether a response may be sent behind what the caller has been sent."""
        has_events = is_stream_answer(self._request, answer)
        content = SentContent.EVENTS if has_events else SentContent.BODY
        return self._progress.caller_answer.may_continue(answer.status, content)

    def _forward_buffered(self, connection: BackendConnection, answer: HttpAnswer) -> AttemptEnd:
        """Buffer the complete response so that a truncated one never reaches the caller."""
        max_bytes = self._dependencies.buffered_answer_bytes
        with BufferedAnswer(self._dependencies.held, max_bytes) as buffered:
            while (piece := self._checks.read(lambda: connection.read_piece(answer))) is not None:
                if not buffered.add(piece):
                    return self._forward_unbuffered(connection, answer, buffered)
            return self._end_buffered(connection, answer, buffered)

    def _end_buffered(
        self, connection: BackendConnection, answer: HttpAnswer, buffered: BufferedAnswer
    ) -> AttemptEnd:
        """Forward a response that is held until its end."""
        is_proven = self._verify_end(connection, answer) and buffered.size_bytes > 0
        elapsed_ms = now_ms() - self._progress.sent_at_ms
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self._dependencies.health.note_failure(self._placement.server.id, "failed")
            self._progress.failed_answer = FailedAnswer(
                self._complete_head(answer), buffered.whole()
            )
            return AttemptEnd(AttemptResult.FAILED_ANSWER, Reason.BACKEND_FAILED)
        self._note_plain_success(elapsed_ms)
        self._note_first(now_ms())
        self._send_complete(self._complete_head(answer), buffered)
        return _delivered(is_proven and answer.status < MIN_REDIRECT_STATUS)

    def _send_complete(self, head: ServerAnswerHead, buffered: BufferedAnswer) -> None:
        if buffered.size_bytes <= SMALL_BYTES:
            self._progress.caller_answer.send_complete(head, buffered.whole())
            return
        body = self._progress.caller_answer.begin_whole_body(head, buffered.size_bytes)
        for part in buffered.drain():
            body.send(part)
        body.finish()

    def _forward_unbuffered(
        self, connection: BackendConnection, answer: HttpAnswer, first: BufferedAnswer
    ) -> AttemptEnd:
        """Forward a large response as it arrives, finishing it only if it is complete."""
        body = self._progress.caller_answer.begin_body(self._stream_head(answer))
        for part in first.drain():
            body.send(part)
        while (piece := self._checks.read(lambda: connection.read_piece(answer))) is not None:
            body.send(piece)
        is_proven = self._verify_end(connection, answer)
        body.finish()
        return _delivered(is_proven and answer.status < MIN_REDIRECT_STATUS)

    def _note_plain_success(self, elapsed_ms: float) -> None:
        self._dependencies.health.note_success(self._placement.server.id)
        was_suspended = self._dependencies.watch.process_resumed_at_ms() > self._progress.sent_at_ms
        is_stream = self._request.route.kind is RequestKind.STREAM
        if self._placement.peer is not None or was_suspended or is_stream:
            return
        typical_ms = self._dependencies.pace.answer_ms(self._request.service)
        self._dependencies.health.note_time(self._placement.server.id, elapsed_ms, typical_ms)
        self._dependencies.pace.note_answer(self._request.service, elapsed_ms)

    def _stream_head(self, answer: HttpAnswer) -> ServerAnswerHead:
        """Describe the head of a response that is forwarded as it arrives."""
        headers = self._dependencies.answer_headers(answer, self._progress.software_version)
        return self._head(answer, headers)

    def _complete_head(self, answer: HttpAnswer) -> ServerAnswerHead:
        """Describe the head of a response that is forwarded once it is complete."""
        # Only streams name the software version that they come from.
        return self._head(answer, self._dependencies.answer_headers(answer, None))

    def _head(self, answer: HttpAnswer, headers: Headers) -> ServerAnswerHead:
        server_id = self._placement.server.id
        return ServerAnswerHead(server_id, answer.status, headers, answer.ends_with_connection)

    def _forward_stream(
        self, connection: BackendConnection, answer: HttpAnswer, version: SoftwareVersion | None
    ) -> AttemptEnd:
        head: ServerAnswerHead | None = None
        while (piece := self._checks.read(lambda: connection.read_piece(answer))) is not None:
            self._dependencies.health.note_event(self._placement.server.id)
            complete_events = self._progress.splitter.feed(piece)
            if self._progress.splitter.pending_bytes() > MAX_EVENT_BYTES:
                raise ConnectionBroken(f"server-sent event exceeds {MAX_EVENT_BYTES} bytes")
            if complete_events:
                self._bind_software_version(version)
                self._note_event()
                head = head or self._stream_head(answer)
                self._progress.caller_answer.send_events(head, complete_events)
        is_proven = self._verify_end(connection, answer) and self._progress.splitter.events > 0
        # A stream without events, or with held ones alone, begins only here.
        self._bind_software_version(version)
        rest = self._progress.splitter.rest()
        self._progress.caller_answer.send_events(head or self._stream_head(answer), rest)
        self._progress.caller_answer.finish_events()
        self._dependencies.health.note_success(self._placement.server.id)
        self._watch.note_end()
        return _delivered(is_proven)

    def _bind_software_version(self, version: SoftwareVersion | None) -> None:
        """Bind the stream to the software version that its first event comes from."""
        if self._progress.caller_answer.has_begun:
            return
        self._progress.software_version = version
        if version is not None and self._request.route.resumable:
            self._dependencies.note_stream_version(self._request, version)

    def _verify_end(self, connection: BackendConnection, answer: HttpAnswer) -> bool:
        """Raise `ConnectionBroken` if a response was cut short; return whether it is surely whole."""
        is_within_event = self._progress.splitter.is_within_event()
        if not answer.ends_with_connection:
            if is_within_event:
                raise ConnectionBroken("expected the end of an event, found the end of the stream")
            return True
        state = ProcessState.UNKNOWN if is_within_event else self._process_state(connection)
        # The probe of the server takes a round trip, in which a reset of an unfinished request arrives.
        end = _unframed_end(is_within_event, state, connection.is_end_refuted())
        self._dependencies.note_unframed_end(
            self._request, self._placement, end, self._progress.splitter.events
        )
        if end is not UnframedEnd.UNREFUTED:
            connection.note_cut()
            raise ConnectionBroken(f"expected the end of the response, found: {end.value}")
        return state is ProcessState.RUNNING

    def _note_event(self) -> None:
        self._watch.note_event()
        now = now_ms()
        if self._progress.last_event_at_ms is not None:
            pause_ms = now - self._progress.last_event_at_ms
            self._progress.longest_pause_ms = max(self._progress.longest_pause_ms, pause_ms)
        self._progress.last_event_at_ms = now
        if self._progress.first_at_ms is None:
            self._note_first(now)

    def _note_first(self, now: float) -> None:
        self._progress.first_at_ms = now
        self._dependencies.note_first(self._request, self._placement, self._progress)


def _delivered(proves_sound: bool) -> AttemptEnd:
    return AttemptEnd(AttemptResult.DELIVERED, Reason.NONE, proves_sound=proves_sound)


def _unframed_end(is_within_event: bool, state: ProcessState, was_reset: bool) -> UnframedEnd:
    if is_within_event:
        return UnframedEnd.WITHIN_EVENT
    if state is ProcessState.EXITED:
        return UnframedEnd.SERVER_EXITED
    if was_reset:
        return UnframedEnd.RESET
    return UnframedEnd.UNREFUTED


def is_stream_answer(request: RoutedRequest, answer: HttpAnswer) -> bool:
    """Tell whether a response holds events."""
    return request.route.kind is RequestKind.STREAM and answer.status < MIN_REDIRECT_STATUS
