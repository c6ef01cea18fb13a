"""A single attempt at a request, sent to a backend server directly or through a peer instance."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from sparline._clock import now_ms
from sparline._ids import BackendServerId, SoftwareVersion
from sparline.decisions import (
    EndEvidence,
    InterruptionFacts,
    ProbeResult,
    ProcessState,
    counted_exit,
    exit_evidence,
    liveness,
    may_be_shown_later,
    process_state,
)
from sparline.forwarding._answer_forwarding import (
    MIN_SERVER_ERROR_STATUS,
    AnswerForwarding,
    is_stream_answer,
)
from sparline.forwarding._answer_origin import OriginCheck
from sparline.forwarding._attempt_types import (
    AttemptDependencies,
    AttemptEnd,
    AttemptResult,
    Progress,
)
from sparline.forwarding._events import EventOutOfOrder
from sparline.forwarding._liveness_checks import (
    DeadlinePassed,
    LivenessChecks,
    ServerUnresponsive,
)
from sparline.forwarding._refusals import Refusals
from sparline.forwarding._wire import AnswerKind, AnswerMeaning, AttemptParameters, Wire
from sparline.forwarding._witnesses import find_witnesses
from sparline.http import (
    BackendConnection,
    ConnectionBroken,
    HttpAnswer,
)
from sparline.placement import Placement, Reservation, StreamWatch
from sparline.requests import Reason, RoutedRequest

# Connection timeout within a region (ms). A connection opens in a few milliseconds there. A lost
# SYN is retransmitted after one second, so retrying on another server is faster than waiting.
BACKEND_CONNECT_TIMEOUT_MS = 600.0
# Connection timeout between regions, where the round trip alone takes over 100 ms (ms).
PEER_CONNECT_TIMEOUT_MS = 1_200.0
# Responses that come from the addressed server itself, unlike misdirected and unsigned ones.
SERVER_ANSWER_KINDS = (AnswerKind.RESULT, AnswerKind.NOT_RUN)


class Attempt:
    """Send a request once and forward its response to the caller."""

    def __init__(
        self,
        dependencies: AttemptDependencies,
        request: RoutedRequest,
        placement: Placement,
        reservation: Reservation,
        progress: Progress,
        reserve_alternative: Callable[[], bool],
    ) -> None:
        """Prepare the attempt without sending anything.

        `reserve_alternative` reserves another server and a retry while this one is unresponsive.
        """
        self._dependencies = dependencies
        self._request = request
        self._placement = placement
        self._progress = progress
        self._answer_received = False
        self._witnesses: tuple[BackendConnection, ...] = ()
        self._began_at_ms = 0.0  # when the attempt began
        self._exited_at_ms = 0.0  # last known exit of the server before the request was sent
        self._was_received = True  # whether the other side acknowledged the whole request
        self._checks = LivenessChecks(dependencies, request, placement, reserve_alternative)
        self._forwarding = AnswerForwarding(
            dependencies,
            request,
            placement,
            progress,
            StreamWatch(dependencies.watch, request, placement, reservation),
            self._checks,
            self._process_state,
        )
        self._refusals = Refusals(dependencies, placement)
        self._server_id = placement.server.id
        self._origin_check = OriginCheck(
            self._wire(), request.request_id, is_from_peer=placement.peer is not None
        )

    def run(self, parameters: AttemptParameters) -> AttemptEnd:
        """Send the request and forward the response; close the connection after any failure."""
        connection = self._connect()
        if connection is None:
            self._refusals.note_unreachable()
            return AttemptEnd(AttemptResult.NOT_RUN, Reason.CONNECT_FAILED)
        try:
            # The server owes no answer yet: the time that this takes does not count as its silence.
            self._find_witnesses(parameters)
            return self._run_on(connection, parameters)
        finally:
            self._dependencies.pool.give_back(connection)

    def _run_on(self, connection: BackendConnection, parameters: AttemptParameters) -> AttemptEnd:
        self._dependencies.health.note_sent(self._server_id)
        try:
            return self._exchange(connection, parameters)
        except ConnectionBroken as error:
            self._note_interruption()
            return replace(self._interrupted_end(connection, parameters), broken_by=str(error))
        except ServerUnresponsive:
            self._dependencies.health.note_failure(self._server_id, "silent")
            if self._placement.peer is None:
                self._dependencies.note_way_failure()
            facts = self._interruption_facts(connection)
            return AttemptEnd(
                AttemptResult.MAY_HAVE_RUN,
                Reason.BACKEND_SILENT,
                may_have_ended=may_be_shown_later(facts),
                liveness=liveness(facts),
            )
        except EventOutOfOrder:
            return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.NOT_RESUMED)
        except DeadlinePassed:
            return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        finally:
            self._dependencies.health.note_done(self._server_id)

    def _find_witnesses(self, parameters: AttemptParameters) -> None:
        self._began_at_ms = now_ms()
        if self._placement.peer is not None:
            return
        self._exited_at_ms = max(
            parameters.exited_at_ms, self._dependencies.ends.ended_at_ms(self._server_id)
        )
        self._witnesses = find_witnesses(
            self._dependencies,
            self._placement.server.address,
            self._exited_at_ms,
            parameters.is_watched,
        )

    def _interrupted_end(
        self, connection: BackendConnection, parameters: AttemptParameters
    ) -> AttemptEnd:
        """Return the end of an interrupted response and whether its server process has exited."""
        reason = self._interruption_reason()
        if self._placement.peer is not None:
            # The peer itself determines whether its backend server has exited.
            return AttemptEnd(AttemptResult.MAY_HAVE_RUN, reason)
        facts = self._probed_facts(connection)
        return AttemptEnd(
            AttemptResult.MAY_HAVE_RUN,
            reason,
            ended_server=self._ended_server(facts, parameters),
            may_have_ended=may_be_shown_later(facts),
            liveness=liveness(facts),
        )

    def _process_state(self, connection: BackendConnection) -> ProcessState:
        """Tell whether the server process exited as it ended the connection of a response."""
        if self._placement.peer is not None:
            # The peer itself resets the connection in that case.
            return ProcessState.UNKNOWN
        return process_state(replace(self._probed_facts(connection), was_closed=True))

    def _probed_facts(self, connection: BackendConnection) -> InterruptionFacts:
        """Return what is known of the server, asking whether it still accepts connections."""
        is_replaced = self._dependencies.has_ended(self._server_id)
        probe = ProbeResult.UNKNOWN
        if not is_replaced:
            probe = self._dependencies.ends.probe(
                self._server_id, self._placement.server.address, self._progress.sent_at_ms
            )
        # The connections are looked at after the probe, which gives their resets time to arrive.
        return self._interruption_facts(connection, probe, is_replaced)

    def _interruption_facts(
        self,
        connection: BackendConnection,
        probe: ProbeResult = ProbeResult.UNKNOWN,
        is_replaced: bool = False,
    ) -> InterruptionFacts:
        return InterruptionFacts(
            probe=probe,
            is_replaced=is_replaced,
            was_closed=connection.is_lost(),
            was_received=self._was_received,
            has_answered=connection.proven_at_ms > self._exited_at_ms,
            has_answered_lately=any(
                one.proven_at_ms >= self._began_at_ms for one in (connection, *self._witnesses)
            ),
            witnesses_closed=tuple(one.is_lost() for one in self._witnesses),
        )

    def _ended_server(
        self, facts: InterruptionFacts, parameters: AttemptParameters
    ) -> BackendServerId | None:
        """Return the id under which an exit of the server counts, None without evidence of one."""
        evidence = exit_evidence(facts)
        if evidence is None:
            return None
        if evidence is EndEvidence.WITNESSED:
            return self._dependencies.ends.witnessed_end(
                self._server_id, self._witnesses, parameters.earlier_exits
            )
        return counted_exit(self._server_id, evidence, liveness(facts), parameters.earlier_exits)

    def _interruption_reason(self) -> Reason:
        if self._placement.peer is not None:
            return Reason.PEER_LOST
        has_begun = self._progress.caller_answer.has_begun
        return Reason.BROKEN_IN_ANSWER if has_begun else Reason.BROKEN_BEFORE_ANSWER

    def _connect(self) -> BackendConnection | None:
        peer = self._placement.peer
        address = self._placement.server.address
        if peer is not None:
            address = (peer.note.ip, self._dependencies.peer_port)
        idle_connection = self._dependencies.pool.kept(address, self._origin_check.connection_id)
        if idle_connection is not None:
            return idle_connection
        limit_ms = BACKEND_CONNECT_TIMEOUT_MS if peer is None else PEER_CONNECT_TIMEOUT_MS
        timeout_s = min(limit_ms, max(self._request.left_ms(), 1.0)) / 1000
        started_at_ms = now_ms()
        try:
            connection = self._dependencies.pool.open(address, timeout_s)
        except OSError:
            # run() records the server or peer as unreachable.
            return None
        if peer is not None:
            self._dependencies.note_round_trip(peer.region, now_ms() - started_at_ms)
        return connection

    def _note_interruption(self) -> None:
        """Record the failure, against a peer only if it sent no response.

        A peer also cuts a response short when its own backend server does.
        """
        if self._placement.peer is not None and not self._answer_received:
            self._dependencies.note_peer(self._placement.peer.note.ip, False)
        else:
            self._dependencies.health.note_failure(self._server_id, "broken")
        if self._placement.peer is None and not self._answer_received:
            self._dependencies.note_way_failure()

    def _exchange(self, connection: BackendConnection, parameters: AttemptParameters) -> AttemptEnd:
        answered = False
        try:
            head = self._request_head(parameters)
            self._progress.sends += 1
            self._progress.splitter.begin_attempt()
            self._progress.sent_at_ms = now_ms()
            self._progress.answer_origin = None
            connection.send(head, self._request.body, self._origin_check.connection_id)
            answer = self._checks.read(
                lambda: connection.read_head(partial(self._origin_check.is_answer, connection))
            )
            self._note_origin(connection, answer)
            meaning = self._interpret(answer)
            if self._placement.peer is None and _is_from_server(meaning, answer):
                connection.note_proven()
            if meaning.kind is AnswerKind.RESULT:
                version = self._software_version(meaning)
                if is_stream_answer(self._request, answer) and not parameters.allows(version):
                    return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.PEER_OTHER_VERSION)
                if not self._forwarding.continues_answer(answer):
                    return self._mismatched_end(answer)
                end = self._forwarding.forward(connection, answer, version)
            else:
                connection.skip_body(answer)
                end = self._refusals.end(meaning, self._interruption_reason())
            answered = True
            return end
        finally:
            if not answered:
                self._was_received = connection.is_received()
                # Closing the connection makes the server abort any remaining work.
                connection.close()

    def _mismatched_end(self, answer: HttpAnswer) -> AttemptEnd:
        """Return the end of an attempt to resume a stream that got something else than events."""
        if answer.status >= MIN_SERVER_ERROR_STATUS:
            self._dependencies.health.note_failure(self._server_id, "failed")
            return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.BACKEND_FAILED)
        return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.NOT_RESUMED)

    def _software_version(self, meaning: AnswerMeaning) -> SoftwareVersion | None:
        """Return the software version that a response comes from, None if that is unknown."""
        if self._placement.peer is None:
            return self._placement.server.software_version
        # The servers known here say nothing of the server behind a peer that names no version.
        return meaning.software_version

    def _request_head(self, parameters: AttemptParameters) -> bytes:
        return self._wire().send_head(self._request, parameters)

    def _wire(self) -> Wire:
        return (
            self._dependencies.backend_wire
            if self._placement.peer is None
            else self._dependencies.peer_wire
        )

    def _note_origin(self, connection: BackendConnection, answer: HttpAnswer) -> None:
        origin = self._origin_check.origin(connection, answer, self._progress.sent_at_ms)
        self._progress.answer_origin = origin
        if origin.use.dropped_answers:
            self._dependencies.note_dropped_answers(origin.use.dropped_answers)

    def _interpret(self, answer: HttpAnswer) -> AnswerMeaning:
        self._answer_received = True
        self._dependencies.health.note_received(self._server_id)
        meaning = self._wire().meaning(answer)
        if self._placement.peer is not None:
            self._dependencies.note_peer(self._placement.peer.note.ip, True)
        elif meaning.kind in SERVER_ANSWER_KINDS:
            self._note_server_state(meaning)
        return meaning

    def _note_server_state(self, meaning: AnswerMeaning) -> None:
        """Record the limits and leaving state reported by a server's response."""
        self._dependencies.server_limits.note_answer(self._server_id, meaning.limit_per_s)
        self._dependencies.refusal_limits.note_answer(self._server_id, meaning.refusal_limit_per_s)
        if meaning.is_leaving:
            self._dependencies.note_leaving(self._server_id)


def _is_from_server(meaning: AnswerMeaning, answer: HttpAnswer) -> bool:
    """Tell whether an answer must come from a backend server itself, not from a proxy before it."""
    if meaning.kind is AnswerKind.RESULT:
        return answer.status < MIN_SERVER_ERROR_STATUS
    return meaning.kind in (AnswerKind.NOT_RUN, AnswerKind.MISDIRECTED)
