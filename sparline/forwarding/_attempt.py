"""One send to one backend server, here or by way of a peer, and what became of it."""

from collections.abc import Callable
from typing import TypeVar

import gevent

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.forwarding._attempt_types import AttemptEnd, AttemptResult, AttemptTools, Progress
from sparline.forwarding._wire import AnswerKind, AnswerMeaning, SendTerms, Wire
from sparline.http import (
    BackendConnection,
    CallerConnection,
    ConnectionBroken,
    HttpAnswer,
    end_to_end,
)
from sparline.placement import Placement, Reservation, StreamWatch
from sparline.quarantine import ProbeResult
from sparline.requests import Reason, RoutedRequest
from sparline.routes import RequestKind

# A connection inside a region comes up in a few milliseconds; a lost packet is sent again
# after a second, and a try elsewhere is quicker than that (ms).
CONNECT_NEAR_MS = 600.0
# Between regions the way there and back alone takes over 100 ms (ms).
CONNECT_FAR_MS = 1_200.0
# A request that is watched waits at most this long for the connection beside its own (ms).
WITNESS_OPEN_MS = 100.0
# Connections beside a request's own that are looked at before it is sent (count): each look is a system call,
# and a process that ends loses all of them.
MOST_WITNESSES = 2
# How often a wait for bytes looks at the server's signs of life (ms).
LOOK_MS = 400.0
# A plain answer that may be asked for elsewhere is waited for this many usual times: sound
# services answer nearly all requests within seven times their mean.
PLAIN_PATIENCE = 8.0
# Plain answers up to this size are read whole before anything is passed on (bytes).
MOST_WHOLE_BYTES = 1_048_576
# An event that is not whole by then is none (bytes); events of an answer hold some hundred.
MOST_EVENT_BYTES = 1_048_576
# Answers from here on say that the backend server failed.
SERVER_ERRORS_FROM = 500
# Answers that come from the addressed server, unlike misdirected answers and unsigned successes.
SERVER_ANSWER_KINDS = (AnswerKind.RESULT, AnswerKind.NOT_RUN)

Read = TypeVar("Read")


class _ServerSilent(Exception):
    """Say that a backend server shows no sign of life."""


class _TimeOver(Exception):
    """Say that nobody waits any more, though no timer has told: this process stood still."""


class Attempt:
    """Send a request once and pass its answer on."""

    def __init__(
        self,
        tools: AttemptTools,
        request: RoutedRequest,
        placement: Placement,
        reservation: Reservation,
        caller: CallerConnection,
        progress: Progress,
    ) -> None:
        """Prepare; nothing is sent yet."""
        self._tools = tools
        self._request = request
        self._placement = placement
        self._caller = caller
        self._progress = progress
        self._answer_began = False
        self._witnesses: tuple[BackendConnection, ...] = ()
        self._watch = StreamWatch(tools.watch, request, placement, reservation)
        self._server_id = placement.server.id

    def run(self, terms: SendTerms) -> AttemptEnd:
        """Send, read and pass on; closes the connection unless all went well."""
        connection = self._connect()
        if connection is None:
            self._note_unreachable()
            return AttemptEnd(AttemptResult.NOT_RUN, Reason.CONNECT_FAILED)
        self._witnesses = self._find_witnesses(terms)
        self._tools.health.note_sent(self._server_id)
        try:
            return self._exchange(connection, terms)
        except ConnectionBroken:
            self._note_broken()
            return self._broken_end()
        except _ServerSilent:
            self._tools.health.note_failure(self._server_id, "silent")
            return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.BACKEND_SILENT, in_doubt=True)
        except _TimeOver:
            return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        finally:
            self._tools.health.note_done(self._server_id)
            self._tools.pool.give_back(connection)

    def _broken_end(self) -> AttemptEnd:
        """Return the end of an answer that broke off, and whether its server ended with it."""
        reason = self._broken_reason()
        if self._placement.peer is not None:
            # The peer finds out what became of its server.
            return AttemptEnd(AttemptResult.MAY_HAVE_RUN, reason)
        ended = self._ended_start()
        # Something may listen for a process that has ended, or for the next one already.
        in_doubt = ended is None
        return AttemptEnd(AttemptResult.MAY_HAVE_RUN, reason, ended_server=ended, in_doubt=in_doubt)

    def _ended_start(self) -> BackendServerId | None:
        """Return the start of the server that has ended, None where nothing shows that it has."""
        if self._tools.has_ended(self._server_id):
            return self._server_id
        address = self._placement.server.address
        if self._tools.ends.probe(self._server_id, address) is ProbeResult.REFUSED:
            return self._server_id
        return self._tools.ends.witnessed_end(self._server_id, self._witnesses)

    def _find_witnesses(self, terms: SendTerms) -> tuple[BackendConnection, ...]:
        """Return other connections to the server, a new one where the request is watched."""
        if self._placement.peer is not None:
            return ()
        address = self._placement.server.address
        found = self._tools.pool.resting(address, MOST_WITNESSES)
        if not found and terms.is_watched:
            # It is kept for use.
            self._tools.pool.probe(address, WITNESS_OPEN_MS / 1000)
            found = self._tools.pool.resting(address, MOST_WITNESSES)
        return found

    def _broken_reason(self) -> Reason:
        if self._placement.peer is not None:
            return Reason.PEER_LOST
        return Reason.BROKEN_IN_ANSWER if self._progress.began else Reason.BROKEN_BEFORE_ANSWER

    def _connect(self) -> BackendConnection | None:
        peer = self._placement.peer
        address = self._placement.server.address
        if peer is not None:
            address = (peer.note.ip, self._tools.peer_port)
        kept = self._tools.pool.kept(address)
        if kept is not None:
            return kept
        limit_ms = CONNECT_NEAR_MS if peer is None else CONNECT_FAR_MS
        timeout_s = min(limit_ms, max(self._request.left_ms(), 1.0)) / 1000
        began_ms = now_ms()
        try:
            connection = self._tools.pool.open(address, timeout_s)
        except OSError:
            # The caller of this method notes the server as unreachable and logs it.
            return None
        if peer is not None:
            self._tools.note_round_trip(peer.region, now_ms() - began_ms)
        return connection

    def _note_unreachable(self) -> None:
        if self._placement.peer is not None:
            self._tools.note_peer(self._placement.peer.note.ip, False)
        else:
            self._tools.health.note_unreachable(self._server_id)

    def _note_broken(self) -> None:
        """Blame a peer only where it gave no answer: it cuts one short when its server does."""
        if self._placement.peer is not None and not self._answer_began:
            self._tools.note_peer(self._placement.peer.note.ip, False)
        else:
            self._tools.health.note_failure(self._server_id, "broken")

    def _exchange(self, connection: BackendConnection, terms: SendTerms) -> AttemptEnd:
        answered = False
        try:
            head = self._head(terms)
            self._progress.sends += 1
            self._progress.cutter.begin_attempt()
            self._progress.sent_at_ms = now_ms()
            connection.send(head, self._request.body)
            answer = self._wait(lambda: connection.read_head(self._belongs))
            meaning = self._meaning(answer)
            if meaning.kind is AnswerKind.RESULT:
                end = self._pass_on(connection, answer)
            else:
                end = self._take_refusal(connection, answer, meaning)
            answered = True
            return end
        finally:
            if not answered:
                # Whatever it still does for this request is to end.
                connection.close()

    def _head(self, terms: SendTerms) -> bytes:
        return self._wire().send_head(self._request, terms)

    def _wire(self) -> Wire:
        return self._tools.backend_wire if self._placement.peer is None else self._tools.peer_wire

    def _belongs(self, answer: HttpAnswer) -> bool:
        return self._wire().belongs(self._request.request_id, answer)

    def _meaning(self, answer: HttpAnswer) -> AnswerMeaning:
        self._answer_began = True
        self._tools.health.note_heard(self._server_id)
        meaning = self._wire().meaning(answer)
        if self._placement.peer is not None:
            self._tools.note_peer(self._placement.peer.note.ip, True)
        elif meaning.kind in SERVER_ANSWER_KINDS:
            self._note_server_state(meaning)
        return meaning

    def _note_server_state(self, meaning: AnswerMeaning) -> None:
        """Record the rate limit and leaving state that a server's answer reports."""
        self._tools.server_limits.note_answer(self._server_id, meaning.limit_per_s)
        if meaning.is_leaving:
            self._tools.note_leaving(self._server_id)

    def _wait(self, read: Callable[[], Read]) -> Read:
        """Read on as long as the server may still be at work."""
        began_ms = now_ms()
        while True:
            look = gevent.Timeout(LOOK_MS / 1000)
            try:
                with look:
                    return read()
            except gevent.Timeout as timeout:
                if timeout is not look:
                    raise
                self._look(now_ms() - began_ms)

    def _look(self, waited_ms: float) -> None:
        """Give a silent server up where the request can go elsewhere, and one that is no more."""
        if self._placement.peer is None and self._tools.has_ended(self._server_id):
            raise ConnectionBroken("the server has started anew and holds nothing of this request")
        if self._request.left_ms() <= 0:
            # Timers stand still while the machine is suspended; the clock does not.
            raise _TimeOver
        if not self._request.route.repeatable:
            return
        if not self._tools.may_move(self._request, self._progress):
            return
        if self._request.route.kind is RequestKind.STREAM:
            silent = self._tools.health.is_dark(self._server_id)
        else:
            usual_ms = self._tools.pace.answer_ms(self._request.service)
            silent = waited_ms > PLAIN_PATIENCE * usual_ms
        if silent:
            raise _ServerSilent

    def _take_refusal(
        self, connection: BackendConnection, answer: HttpAnswer, meaning: AnswerMeaning
    ) -> AttemptEnd:
        connection.skip_body(answer)
        far = self._placement.peer is not None
        match meaning.kind:
            case AnswerKind.MISDIRECTED:
                self._tools.health.note_misdirected(self._server_id)
                return AttemptEnd(AttemptResult.NOT_RUN, Reason.MISDIRECTED)
            case AnswerKind.NOT_RUN:
                # The Retry-After of a peer gateway does not apply to the backend server.
                server_retry_after_ms = 0.0 if far else meaning.retry_after_ms
                self._tools.health.note_full(self._server_id, server_retry_after_ms)
                reason = Reason.PEER_NOT_RUN if far else Reason.BACKEND_REFUSED
                return AttemptEnd(AttemptResult.NOT_RUN, reason, meaning.retry_after_ms)
            case AnswerKind.NOT_SENT:
                if not meaning.is_region_full:
                    self._tools.health.note_full(self._server_id)
                return AttemptEnd(
                    AttemptResult.NOT_RUN,
                    Reason.PEER_NO_ROOM,
                    meaning.retry_after_ms,
                    is_region_full=meaning.is_region_full,
                )
            case AnswerKind.QUARANTINED:
                return AttemptEnd(AttemptResult.NOT_RUN, Reason.QUARANTINED)
            case AnswerKind.TIMED_OUT:
                return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        self._tools.health.note_failure(self._server_id, "unknown" if far else "unsigned")
        return AttemptEnd(
            AttemptResult.MAY_HAVE_RUN, self._broken_reason(), ended_server=meaning.ended_server
        )

    def _pass_on(self, connection: BackendConnection, answer: HttpAnswer) -> AttemptEnd:
        is_stream = self._request.route.kind is RequestKind.STREAM
        if is_stream and answer.status < SERVER_ERRORS_FROM:
            return self._pass_stream(connection, answer)
        return self._pass_plain(connection, answer)

    def _pass_plain(self, connection: BackendConnection, answer: HttpAnswer) -> AttemptEnd:
        """Read the answer whole, so that a cut one is never begun."""
        body = bytearray()
        while (piece := self._wait(lambda: connection.read_piece(answer))) is not None:
            body += piece
            if len(body) > MOST_WHOLE_BYTES:
                return self._pass_long(connection, answer, bytes(body))
        took_ms = now_ms() - self._progress.sent_at_ms
        if answer.status >= SERVER_ERRORS_FROM:
            self._tools.health.note_failure(self._server_id, "failed")
            self._progress.failed_answer = (answer, bytes(body))
            return AttemptEnd(AttemptResult.FAILED_ANSWER, Reason.BACKEND_FAILED)
        self._note_plain_success(took_ms)
        self._progress.first_at_ms = now_ms()
        self._caller.answer(answer.status, end_to_end(answer.headers), bytes(body))
        return AttemptEnd(AttemptResult.DELIVERED, Reason.NONE)

    def _pass_long(
        self, connection: BackendConnection, answer: HttpAnswer, first: bytes
    ) -> AttemptEnd:
        """Pass a long answer on as it arrives; it ends only if it is whole."""
        self._begin(answer)
        self._caller.send(first)
        while (piece := connection.read_piece(answer)) is not None:
            self._caller.send(piece)
        self._caller.finish()
        return AttemptEnd(AttemptResult.DELIVERED, Reason.NONE)

    def _note_plain_success(self, took_ms: float) -> None:
        self._tools.health.note_success(self._server_id)
        stood_still = self._tools.watch.thawed_at_ms() > self._progress.sent_at_ms
        if self._placement.peer is not None or stood_still:
            return
        usual_ms = self._tools.pace.answer_ms(self._request.service)
        self._tools.health.note_pace(self._server_id, took_ms, usual_ms)
        self._tools.pace.note_answer(self._request.service, took_ms)

    def _begin(self, answer: HttpAnswer) -> None:
        if self._progress.began:
            return
        self._progress.began = True
        self._caller.begin(answer.status, end_to_end(answer.headers), None)

    def _pass_stream(self, connection: BackendConnection, answer: HttpAnswer) -> AttemptEnd:
        while (piece := self._wait(lambda: connection.read_piece(answer))) is not None:
            self._tools.health.note_event(self._server_id)
            whole = self._progress.cutter.feed(piece)
            if self._progress.cutter.pending_bytes() > MOST_EVENT_BYTES:
                raise ConnectionBroken(f"expected events of at most {MOST_EVENT_BYTES} bytes")
            if whole:
                self._note_event()
                self._begin(answer)
                self._caller.send(whole)
        self._begin(answer)
        self._caller.send(self._progress.cutter.rest())
        self._caller.finish()
        self._tools.health.note_success(self._server_id)
        self._watch.note_end()
        return AttemptEnd(AttemptResult.DELIVERED, Reason.NONE)

    def _note_event(self) -> None:
        self._watch.note_event()
        now = now_ms()
        if self._progress.heard_at_ms is not None:
            pause_ms = now - self._progress.heard_at_ms
            self._progress.longest_pause_ms = max(self._progress.longest_pause_ms, pause_ms)
        self._progress.heard_at_ms = now
        if self._progress.first_at_ms is None:
            self._progress.first_at_ms = now
