"""Receiving side of the relay: final admission and execution of requests that peers send."""

from collections.abc import Iterator

import msgspec
from result import Err, Ok, Result
from websockets.exceptions import ConnectionClosed
from websockets.sync.connection import Connection

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName, RequestId, TargetName
from sparline._logging import log
from sparline._metrics import Metrics
from sparline.declarations import Catalog
from sparline.dispatch import Dispatcher
from sparline.peers import Membership, Message, decode, encode
from sparline.requests import (
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    Origin,
    Outcome,
    Reason,
    Request,
    RequestBody,
    TargetKind,
)
from sparline.routing import classify_length, prefix_keys
from sparline.schema._messages import (
    Hello,
    InstanceState,
    RelayBody,
    RelayChunk,
    RelayEnd,
    RelayGrant,
    RelayHead,
    RelayOffer,
    RelayRefusal,
)

# Longest wait for each message of a request body.
BODY_TIMEOUT_S = 5.0


class _Prompt(msgspec.Struct):
    """Decode only the prompt of a completion request."""

    prompt: str = ""


class RelayReceiver:
    """Run requests relayed by peers, only on backend servers of this zone."""

    def __init__(self, membership: Membership, dispatcher: Dispatcher, metrics: Metrics) -> None:
        """Create a receiver that runs requests through a dispatcher."""
        self.catalog = Catalog()  # replaced when the declaration files change
        self.in_flight = 0  # relayed requests running here
        self._membership = membership
        self._dispatcher = dispatcher
        self._metrics = metrics

    def serve(self, connection: Connection, peer: Hello) -> None:
        """Serve a relay connection until the peer closes it."""
        connection.send(encode(self._membership.self_hello))
        try:
            while True:
                match _receive(connection, None):
                    case Ok(RelayOffer() as offer):
                        self._serve_request(connection, peer, offer)
                    case Ok(RelayBody()):
                        continue  # body of a refused repeatable request; it is sent without a grant
                    case _:
                        return
        except (ConnectionClosed, OSError):
            return

    def _serve_request(self, connection: Connection, peer: Hello, offer: RelayOffer) -> None:
        # The deadline counts from the receipt of the offer, so it does not include any time that
        # the offer waited while this process was suspended. A request that expired meanwhile is
        # detected by its connection, which the sender closes when it gives up.
        deadline_at_ms = now_ms() + offer.deadline_ms
        refusal = self._refusal_reason(
            offer, self._build_request(connection, offer, deadline_at_ms, _BODY_PLACEHOLDER)
        )
        self._metrics.relayed.labels(peer.region, refusal or "taken").inc()
        if refusal:
            connection.send(encode(RelayRefusal(offer.attempt, refusal, 0)))
            return
        connection.send(encode(RelayGrant(offer.attempt, self._membership.self_hello.incarnation)))
        body = _receive(connection, BODY_TIMEOUT_S)
        if not isinstance(body.ok(), RelayBody) or body.unwrap().attempt != offer.attempt:
            log.warning(
                "relay: peer {} did not send the body of a granted request", peer.instance_id
            )
            connection.close()
            return
        request = self._build_request(connection, offer, deadline_at_ms, body.unwrap())
        self.in_flight += 1
        try:
            self._stream_answer(connection, offer, request)
        finally:
            self.in_flight -= 1

    def _refusal_reason(self, offer: RelayOffer, request: Request) -> Reason | None:
        own_region = RegionName(self._membership.self_hello.region)
        if own_region not in self.catalog.allowed_regions(offer.residency_rule):
            return Reason.RESIDENCY
        if self._membership.state is not InstanceState.live:
            return Reason.LEAVING
        if not request.still_wanted():
            return Reason.CALLER_GONE
        return None if self._dispatcher.accepts_relayed(request) else Reason.PEER_NO_ROOM

    def _build_request(
        self, connection: Connection, offer: RelayOffer, deadline_at_ms: float, body: RelayBody
    ) -> Request:
        target = TargetName(offer.target)
        model = self.catalog.models.get(target)
        return Request(
            request_id=RequestId(offer.request_id),
            organisation=OrganisationId(offer.organisation),
            residency_rule=offer.residency_rule,
            target=target,
            kind=TargetKind.ENGINE if model else TargetKind.SERVICE,
            adapter=offer.adapter,
            prompt_tokens=offer.prompt_tokens,
            output_tokens=offer.output_tokens,
            prefix_keys=_prefix_keys(offer, body) if model else (),
            length=classify_length(offer.prompt_tokens, model.short_prompt_tokens if model else 0),
            deadline_at_ms=deadline_at_ms,
            priority=offer.priority,
            repeatable=offer.repeatable,
            method=body.method,
            path=body.path,
            content_type=body.content_type,
            body=_request_body(connection, body),
            origin=Origin.RELAY,
            from_region=RegionName(offer.from_region),
            still_wanted=lambda: connection.close_code is None,
        )

    def _stream_answer(self, connection: Connection, offer: RelayOffer, request: Request) -> None:
        answer = self._dispatcher.run(request, offer.resume_from)
        try:
            for part in answer:
                connection.send(encode(_to_message(offer, part)))
        finally:
            answer.close()


# Stands in for the body while an offer is checked, before the peer may send the body.
_BODY_PLACEHOLDER = RelayBody("", "", "", "", 0, b"", False)


def _prefix_keys(offer: RelayOffer, body: RelayBody) -> tuple[int, ...]:
    """Hash the prompt prefixes in the body; the hashes are not part of the offer."""
    try:
        prompt = msgspec.json.decode(body.body, type=_Prompt).prompt
    except (msgspec.DecodeError, RecursionError):
        return ()
    return prefix_keys(offer.organisation, offer.target, prompt)


def _request_body(connection: Connection, first: RelayBody) -> RequestBody:
    if not first.more:
        return RequestBody.of(first.body)
    parts = _body_parts(connection, first)
    return RequestBody(lambda _size: next(parts, b""), first.length)


def _body_parts(connection: Connection, first: RelayBody) -> Iterator[bytes]:
    part = first
    yield part.body
    while part.more:
        match _receive(connection, BODY_TIMEOUT_S):
            case Ok(RelayBody() as next_part) if next_part.attempt == first.attempt:
                part = next_part
                yield part.body
            case _:
                raise ConnectionResetError("peer did not send the rest of the request body")


def _receive(connection: Connection, timeout_s: float | None) -> Result[Message, str]:
    try:
        return decode(connection.recv(timeout=timeout_s))
    except TimeoutError:
        return Err("timed out waiting for a message")


def _to_message(offer: RelayOffer, part: AnswerPart) -> Message:
    match part:
        case AnswerHead(status, content_type, content_length):
            return RelayHead(offer.attempt, status, content_type, content_length)
        case AnswerChunk(data):
            return RelayChunk(offer.attempt, data)
        case AnswerEnd(Outcome.not_run, reason, retry_after_ms):
            return RelayRefusal(offer.attempt, reason, retry_after_ms)
        case AnswerEnd(outcome, reason):
            return RelayEnd(offer.attempt, outcome, reason)
