"""Sending side of the relay: requests to other zones, over dedicated connections."""

import uuid
from collections import defaultdict
from collections.abc import Callable, Generator

import gevent
from result import Err, Ok, Result
from websockets.exceptions import ConnectionClosed
from websockets.sync.connection import Connection

from sparline._clock import now_ms
from sparline._ids import InstanceId
from sparline._metrics import Metrics
from sparline.peers import Dialer, Membership, Message, decode, encode
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
    not_run,
    unknown,
)
from sparline.routing import RemoteCandidate, SpareCapacity, room_key
from sparline.schema._messages import (
    Hello,
    LinkPurpose,
    RelayBody,
    RelayChunk,
    RelayEnd,
    RelayGrant,
    RelayHead,
    RelayOffer,
    RelayRefusal,
)
from sparline.schema._settings import Address

# How often a wait for a message checks the deadline and whether the caller still waits.
RECEIVE_POLL_INTERVAL_S = 0.1
# Longest wait for a grant; the body has not been sent by then, so the attempt has not run.
GRANT_TIMEOUT_MS = 1_500.0
MAX_IDLE_PER_PEER = 16


class RelaySender:
    """Send requests to peers; each connection carries one request at a time."""

    def __init__(
        self, membership: Membership, spare: SpareCapacity, metrics: Metrics, dialer: Dialer
    ) -> None:
        """Create a sender with no open connections."""
        self.is_region_allowed: Callable[[str, str], bool] = lambda _rule, _region: False
        self._membership = membership
        self._spare = spare
        self._metrics = metrics
        self._dialer = dialer
        self._idle: dict[InstanceId, list[Connection]] = defaultdict(list)

    def send(self, request: Request, candidate: RemoteCandidate, resume_from: int) -> Answer:
        """Relay one request and yield its answer; the last part is the outcome of this attempt."""
        assert request.origin is Origin.CALLER, "a relayed request must not be relayed again"
        assert candidate.instance_id is not None, "the candidate has no instance"
        assert self.is_region_allowed(request.residency_rule, candidate.region), (
            "the residency rule does not allow this region"
        )
        self._spare.acquire(candidate.zone, room_key(request))
        try:
            end = yield from self._relay(request, candidate, candidate.instance_id, resume_from)
            self._record_result(candidate, request, end)
            yield end
        finally:
            self._spare.release(candidate.zone, room_key(request))

    def _record_result(self, candidate: RemoteCandidate, request: Request, end: AnswerEnd) -> None:
        if end.outcome is Outcome.complete:
            self._spare.accepted(candidate.zone, room_key(request))
        elif end.reason is not Reason.CALLER_GONE:
            self._spare.refused(candidate.zone, room_key(request))

    def _relay(
        self, request: Request, candidate: RemoteCandidate, peer_id: InstanceId, resume_from: int
    ) -> Generator[AnswerPart, None, AnswerEnd]:
        opened = self._get_connection(peer_id)
        if opened.is_err():
            self._membership.note_unreachable(peer_id)
            return not_run(Reason.PEER_UNREACHABLE)
        exchange = _RelayExchange(opened.unwrap(), request, candidate, resume_from, self._metrics)
        try:
            end = yield from exchange.run()
        except BaseException:
            self._close(exchange.connection)
            raise
        if exchange.reusable:
            self._keep_idle(peer_id, exchange.connection)
        else:
            self._close(exchange.connection)
        return end

    def _get_connection(self, peer_id: InstanceId) -> Result[Connection, str]:
        idle = self._idle[peer_id]
        while idle:
            connection = idle.pop()
            if connection.close_code is None:
                return Ok(connection)
        member = self._membership.catalog.instances.get(peer_id)
        if member is None:
            return Err("peer is not in the catalog")
        own = self._membership.self_hello
        hello = Hello(
            own.instance_id, own.incarnation, own.region, own.availability_zone, LinkPurpose.relay
        )
        address = Address(ip=member.ip, port=member.port)
        return self._dialer.dial(address, hello, peer_id).map(lambda pair: pair[0])

    def _keep_idle(self, peer_id: InstanceId, connection: Connection) -> None:
        if len(self._idle[peer_id]) < MAX_IDLE_PER_PEER:
            self._idle[peer_id].append(connection)
        else:
            self._close(connection)

    def _close(self, connection: Connection) -> None:
        gevent.spawn(connection.close)

    def close(self) -> None:
        """Close every idle connection."""
        for connections in self._idle.values():
            for connection in connections:
                self._close(connection)
        self._idle.clear()


class _RelayExchange:
    """Exchange one request over one connection; closing the connection cancels the request."""

    def __init__(
        self,
        connection: Connection,
        request: Request,
        candidate: RemoteCandidate,
        resume_from: int,
        metrics: Metrics,
    ) -> None:
        self.connection = connection
        self.reusable = False  # whether the connection can carry another request
        self._request = request
        self._candidate = candidate
        self._resume_from = resume_from
        self._attempt = uuid.uuid4().hex
        self._bytes_counter = metrics.wide_area_bytes.labels(candidate.region)
        self._body_sent = False  # whether any of the body may have been sent

    def run(self) -> Generator[AnswerPart, None, AnswerEnd]:
        try:
            end = yield from self._run()
        except (ConnectionClosed, OSError):
            return self._lost_end(Reason.PEER_LOST)
        return end

    def _run(self) -> Generator[AnswerPart, None, AnswerEnd]:
        self._send(self._offer())
        if self._request.repeatable:
            self._send_body()
        else:
            refusal = self._await_grant()
            if refusal:
                return refusal
            self._send_body()
        return (yield from self._read_answer())

    def _offer(self) -> RelayOffer:
        request = self._request
        return RelayOffer(
            request_id=request.request_id,
            attempt=self._attempt,
            target=request.target,
            adapter=request.adapter,
            organisation=request.organisation,
            prompt_tokens=request.prompt_tokens,
            output_tokens=request.output_tokens,
            deadline_ms=int(request.left_ms()),
            priority=request.priority,
            repeatable=request.repeatable,
            from_region=request.from_region,
            residency_rule=request.residency_rule,
            resume_from=self._resume_from,
        )

    def _await_grant(self) -> AnswerEnd | None:
        """Wait for the grant; return how the attempt ended if the body must not be sent."""
        give_up_at_ms = min(now_ms() + GRANT_TIMEOUT_MS, self._request.deadline_at_ms)
        match self._receive(give_up_at_ms):
            case Ok(RelayGrant()):
                pass
            case Ok(RelayRefusal() as refusal):
                return self._refusal_end(refusal)
            case Ok(_):
                return not_run(Reason.PEER_NO_GRANT)
            case Err(Reason.DEADLINE_PASSED):
                return not_run(Reason.PEER_NO_GRANT)
            case Err(reason):
                return not_run(reason)
        if self._request.left_ms() <= 0 or not self._request.still_wanted():
            return not_run(Reason.CALLER_GONE)
        return None

    def _send_body(self) -> None:
        request = self._request
        self._body_sent = True
        parts = request.body.parts()
        part = next(parts, b"")
        while True:
            next_part = next(parts, None)
            more = next_part is not None
            self._send(
                RelayBody(
                    self._attempt,
                    request.method,
                    request.path,
                    request.content_type,
                    request.body.length,
                    part,
                    more,
                )
            )
            if next_part is None:
                return
            part = next_part

    def _read_answer(self) -> Generator[AnswerPart, None, AnswerEnd]:
        while True:
            match self._receive(self._request.deadline_at_ms):
                case Err(reason):
                    return unknown(reason)
                case Ok(RelayGrant()):
                    continue
                case Ok(RelayRefusal() as refusal):
                    return self._refusal_end(refusal)
                case Ok(RelayHead(_, status, content_type, content_length)):
                    yield AnswerHead(status, content_type, content_length)
                case Ok(RelayChunk(_, data)):
                    yield AnswerChunk(data)
                case Ok(RelayEnd(_, outcome, reason)):
                    self.reusable = True
                    return AnswerEnd(outcome, _parse_reason(reason))
                case Ok(_):
                    return self._lost_end(Reason.PEER_LOST)

    def _refusal_end(self, refusal: RelayRefusal) -> AnswerEnd:
        """End an attempt as not run: the peer refused the request and did not execute it."""
        self.reusable = True
        return not_run(_parse_reason(refusal.reason), refusal.retry_after_ms)

    def _lost_end(self, reason: Reason) -> AnswerEnd:
        return unknown(reason) if self._body_sent else not_run(reason)

    def _send(self, message: Message) -> None:
        data = encode(message)
        self.connection.send(data)
        self._bytes_counter.inc(len(data))

    def _receive(self, give_up_at_ms: float) -> Result[Message, Reason]:
        """Read one message; a malformed one or one of another attempt counts as a lost peer."""
        while True:
            if now_ms() >= give_up_at_ms:
                return Err(Reason.DEADLINE_PASSED)
            if not self._request.still_wanted():
                return Err(Reason.CALLER_GONE)
            try:
                data = self.connection.recv(timeout=RECEIVE_POLL_INTERVAL_S)
            except TimeoutError:
                continue
            self._bytes_counter.inc(len(data))
            message = decode(data)
            if message.is_err() or getattr(message.unwrap(), "attempt", None) != self._attempt:
                return Err(Reason.PEER_LOST)
            return Ok(message.unwrap())


def _parse_reason(text: str) -> Reason:
    try:
        return Reason(text)
    except ValueError:
        return Reason.PEER_LOST
