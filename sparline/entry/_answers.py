"""Answers to callers: streams, whole documents, refusals; each with its outcome."""

import json
import math
import uuid
from collections.abc import Iterator
from dataclasses import dataclass
from http import HTTPStatus

from sparline._ids import RequestId
from sparline._wsgi import AnswerCut, StartResponse, answer_json
from sparline.requests import (
    UNKNOWN_LENGTH,
    Answer,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    Outcome,
    Reason,
)

_STATUS = {
    Reason.BAD_REQUEST: "400 Bad Request",
    Reason.NO_KEY: "401 Unauthorized",
    Reason.UNKNOWN_TARGET: "404 Not Found",
    Reason.RESIDENCY: "403 Forbidden",
    Reason.LIMIT: "429 Too Many Requests",
    Reason.DUPLICATE: "409 Conflict",
    Reason.TICKET_ELSEWHERE: "409 Conflict",
    Reason.TICKET_EXPIRED: "409 Conflict",
}
_UNAVAILABLE = "503 Service Unavailable"
_BAD_GATEWAY = "502 Bad Gateway"


@dataclass(frozen=True, slots=True)
class AnswerTo:
    """Hold what an answer repeats of its request."""

    request_id: RequestId  # id of the request
    model: str  # model that was asked


def outcome_headers(request_id: RequestId, end: AnswerEnd) -> list[tuple[str, str]]:
    """Return the headers that tell an outcome."""
    headers = [
        ("Sparline-Request-Id", request_id),
        ("Sparline-Outcome", end.outcome.value),
        ("Sparline-Reason", end.reason.value),
    ]
    if end.retry_after_ms:
        headers.append(("Sparline-Retry-After-Ms", str(end.retry_after_ms)))
        headers.append(("Retry-After", str(math.ceil(end.retry_after_ms / 1000))))
    return headers


def outcome_body(end: AnswerEnd, text: str = "") -> dict[str, object]:
    """Return an outcome as a document."""
    body: dict[str, object] = {"outcome": end.outcome.value, "reason": end.reason.value}
    if end.retry_after_ms:
        body["retry_after_ms"] = end.retry_after_ms
    return body | ({"error": text} if text else {})


def answer_end(
    start_response: StartResponse,
    request_id: RequestId,
    end: AnswerEnd,
    text: str = "",
    elsewhere: list[dict] | None = None,
) -> list[bytes]:
    """Answer with an outcome alone."""
    fallback = _UNAVAILABLE if end.outcome is Outcome.not_run else _BAD_GATEWAY
    status = _STATUS.get(end.reason, fallback)
    body = outcome_body(end, text) | ({"instances": elsewhere} if elsewhere else {})
    return answer_json(start_response, body, status, outcome_headers(request_id, end))


def answer_event_stream(
    start_response: StartResponse, to: AnswerTo, answer: Answer
) -> Iterator[bytes]:
    """Stream tokens as server-sent events; the last event tells the outcome."""
    first = next(answer)
    if isinstance(first, AnswerEnd):
        yield from answer_end(start_response, to.request_id, first)
        return
    start_response(
        "200 OK",
        [
            ("Content-Type", "text/event-stream"),
            ("Cache-Control", "no-store"),
            ("Sparline-Request-Id", to.request_id),
        ],
    )
    for part in answer:
        match part:
            case AnswerChunk(data):
                yield data
            case AnswerEnd() as end:
                yield f"event: outcome\ndata: {json.dumps(outcome_body(end))}\n\n".encode()
                if end.outcome is Outcome.complete:
                    yield b"data: [DONE]\n\n"


def answer_document(start_response: StartResponse, to: AnswerTo, answer: Answer) -> list[bytes]:
    """Answer with one document; a part of an answer is never shown as the whole."""
    texts: list[str] = []
    for part in answer:
        match part:
            case AnswerChunk(data):
                texts.append(_text_of(data))
            case AnswerEnd(Outcome.complete) as end:
                choice = {"index": 0, "text": "".join(texts), "finish_reason": "stop"}
                body = {
                    "id": f"cmpl-{uuid.uuid4().hex}",
                    "object": "text_completion",
                    "model": to.model,
                }
                usage = {"completion_tokens": len(texts)}
                body |= {"choices": [choice], "usage": usage, **outcome_body(end)}
                return answer_json(
                    start_response, body, headers=outcome_headers(to.request_id, end)
                )
            case AnswerEnd() as end:
                return answer_end(start_response, to.request_id, end)
    raise AssertionError("an answer ended without an end")


def _text_of(event: bytes) -> str:
    document = json.loads(event.removeprefix(b"data: "))
    return "".join(choice.get("text", "") for choice in document.get("choices", ()))


def answer_plain(start_response: StartResponse, to: AnswerTo, answer: Answer) -> Iterator[bytes]:
    """Pass a plain service's answer through; its framing ends only if it is whole."""
    first = next(answer)
    if isinstance(first, AnswerEnd):
        yield from answer_end(start_response, to.request_id, first)
        return
    assert isinstance(first, AnswerHead), "an answer began without a head"
    headers = [
        ("Content-Type", first.content_type),
        ("Sparline-Request-Id", to.request_id),
        # True once the answer has its framed end; a cut answer has none.
        ("Sparline-Outcome", "complete-when-whole"),
    ]
    if first.content_length != UNKNOWN_LENGTH:
        headers.append(("Content-Length", str(first.content_length)))
    start_response(f"{first.status} {_phrase(first.status)}", headers)
    for part in answer:
        match part:
            case AnswerChunk(data):
                yield data
            case AnswerEnd() as end if end.outcome is not Outcome.complete:
                raise AnswerCut


def _phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return "Other"
