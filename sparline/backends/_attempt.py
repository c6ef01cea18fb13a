"""One attempt at one backend server, from connection to outcome."""

import json
import re
import uuid
from collections.abc import Iterator
from dataclasses import dataclass

from result import Err, Ok, Result

from sparline._ids import BackendServerId
from sparline.backends._connection import (
    BackendAddress,
    Exchange,
    ExchangeFault,
    call_json,
)
from sparline.requests import (
    COMPLETE,
    UNKNOWN_LENGTH,
    Answer,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Reason,
    Request,
    TargetKind,
    not_run,
    unknown,
)

CANCEL_TIMEOUT_MS = 300.0
EVENT_END = b"\n\n"
STREAM_DONE = b"data: [DONE]"


@dataclass(frozen=True, slots=True)
class AttemptContext:
    """Hold what an attempt needs beside the request."""

    backend_server: BackendServerId  # chosen backend server
    address: BackendAddress  # where it listens
    connect_timeout_ms: float  # longest wait for the connection
    resume_from: int  # tokens that the caller already has
    priority: int  # priority at the engine, higher goes first


def attempt(request: Request, context: AttemptContext) -> Answer:
    """Run one attempt; its last part tells the outcome of this attempt alone."""
    name = uuid.uuid4().hex
    exchange = Exchange(request.deadline_at_ms, request.still_wanted)
    try:
        connected = exchange.connect(context.address, context.connect_timeout_ms)
        if connected.is_err():
            yield _not_sent(connected.unwrap_err())
            return
        refusal = _check_before_send(request)
        if refusal:
            yield refusal
            return
        yield from _exchange(request, context, exchange, name)
    except GeneratorExit:
        if exchange.sent and request.kind is TargetKind.ENGINE:
            cancel(context.address, name)
        raise
    finally:
        exchange.close()


def _not_sent(fault: ExchangeFault) -> AnswerEnd:
    timed_out = fault is ExchangeFault.TIMED_OUT
    return not_run(Reason.DEADLINE_PASSED if timed_out else Reason.CONNECT_FAILED)


def _check_before_send(request: Request) -> AnswerEnd | None:
    """Look once more whether anybody waits: this process may have been frozen."""
    if request.left_ms() <= 0:
        return not_run(Reason.DEADLINE_PASSED)
    if not request.still_wanted():
        return not_run(Reason.CALLER_GONE)
    return None


def _exchange(request: Request, context: AttemptContext, exchange: Exchange, name: str) -> Answer:
    headers = _headers(request, context, name)
    sent = exchange.send(
        request.method, request.path, headers, request.body.parts(), request.body.length
    )
    head = sent.and_then(lambda _: exchange.read_head())
    if head.is_err():
        yield _give_up(request, context, name, head.unwrap_err(), Reason.BROKEN_BEFORE_ANSWER)
        return
    answer = head.unwrap()
    if answer.header(b"x-not-run") == b"1":
        yield not_run(Reason.BACKEND_REFUSED)
        return
    if request.kind is TargetKind.ENGINE and answer.status != 200:
        yield unknown(Reason.BACKEND_FAILED)
        return
    length = answer.header(b"content-length")
    content_type = answer.header(b"content-type") or b"application/octet-stream"
    yield AnswerHead(
        answer.status,
        content_type.decode("latin-1"),
        UNKNOWN_LENGTH if length is None else int(length),
    )
    yield from _body(request, context, exchange, name)


def _headers(request: Request, context: AttemptContext, name: str) -> dict[str, str]:
    return {
        "Content-Type": request.content_type or "application/octet-stream",
        "X-Request-Id": request.request_id,
        "X-Attempt": name,
        "X-Organisation": request.organisation,
        "X-Priority": str(context.priority),
        "X-Repeatable": "1" if request.repeatable else "0",
        "X-Deadline-Ms": str(int(request.left_ms())),
        "X-Resume-From": str(context.resume_from),
    }


def _body(request: Request, context: AttemptContext, exchange: Exchange, name: str) -> Answer:
    if request.kind is TargetKind.SERVICE:
        yield from _plain_body(request, context, exchange, name)
        return
    done = False
    for event in _events(exchange):
        match event:
            case Err(fault):
                yield _give_up(request, context, name, fault, Reason.BROKEN_IN_ANSWER)
                return
            case Ok(data) if data == STREAM_DONE:
                done = True
            case Ok(data):
                yield AnswerChunk(data + EVENT_END)
    yield COMPLETE if done else unknown(Reason.BROKEN_IN_ANSWER)


def _plain_body(request: Request, context: AttemptContext, exchange: Exchange, name: str) -> Answer:
    for part in exchange.read_body():
        match part:
            case Err(fault):
                yield _give_up(request, context, name, fault, Reason.BROKEN_IN_ANSWER)
                return
            case Ok(data):
                yield AnswerChunk(data)
    yield COMPLETE


def _events(exchange: Exchange) -> Iterator[Result[bytes, ExchangeFault]]:
    """Yield whole server-sent events without their closing blank line."""
    pending = b""
    for part in exchange.read_body():
        if part.is_err():
            yield Err(part.unwrap_err())
            return
        *events, pending = (pending + part.unwrap()).split(EVENT_END)
        yield from (Ok(event) for event in events)


def _give_up(
    request: Request, context: AttemptContext, name: str, fault: ExchangeFault, broken: Reason
) -> AnswerEnd:
    """Say what is known of a request that was sent and not answered whole."""
    reason = {
        ExchangeFault.TIMED_OUT: Reason.DEADLINE_PASSED,
        ExchangeFault.ABANDONED: Reason.CALLER_GONE,
    }.get(fault, broken)
    if request.kind is TargetKind.ENGINE and fault is not ExchangeFault.BROKEN:
        cancelled = cancel(context.address, name)
        if cancelled and broken is Reason.BROKEN_BEFORE_ANSWER:
            return not_run(reason)
    return unknown(reason)


def cancel(address: BackendAddress, name: str) -> bool:
    """Cancel an attempt at its engine; True proves that it never started."""
    body = json.dumps({"attempt": name}).encode()
    answer = call_json(address, "POST", "/cancel", body, CANCEL_TIMEOUT_MS)
    match answer:
        case Ok((200, content)):
            return re.search(rb'"state":\s*"not_started"', content) is not None
    return False
