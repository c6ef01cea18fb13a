"""Requests of callers, read from HTTP into what routing needs."""

import json
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName, RequestId, TargetName
from sparline._wsgi import SOCKET_KEY, Environ, connection_lost
from sparline.declarations import Catalog, Refusal, parse
from sparline.requests import (
    UNKNOWN_LENGTH,
    Length,
    Origin,
    Reason,
    Request,
    RequestBody,
    TargetKind,
    Ticket,
    parse_ticket,
)
from sparline.routing import CHARS_PER_TOKEN, classify_length, prefix_keys
from sparline.schema._declarations import Model, Organisation, Service

MAX_PROMPT_BYTES = 4_000_000
MAX_DEADLINE_MS = 3_600_000
PRIORITIES = range(10)
DEFAULT_PRIORITY = 5
ENGINE_PATHS = {"/v1/completions": "/v1/completions", "/v1/chat/completions": "/v1/completions"}
SERVICE_PREFIX = "/services/"


@dataclass(frozen=True, slots=True)
class Rejected:
    """Say why a request is refused before any routing."""

    reason: Reason  # counted and told
    text: str  # what was expected and what was found


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold a request as read from HTTP."""

    request: Request  # what routing needs
    ticket: Ticket | None  # ticket that the caller brought
    tracked: bool  # whether its id must not run twice here
    stream: bool  # whether the caller wants tokens as they come


@dataclass(frozen=True, slots=True)
class Marks:
    """Hold the headers that steer a request."""

    request_id: RequestId  # caller's id, or a new one
    given_id: bool  # whether the caller gave the id
    ticket: Ticket | None  # ticket that binds the id to an instance
    deadline_ms: int | None  # time that the caller gives, None for the default
    priority: int  # 0 to 9, higher goes first
    repeatable: bool  # False where the caller forbids a second run


def organisation_of(environ: Environ, catalog: Catalog) -> Result[Organisation, Rejected]:
    """Return the organisation whose key the request carries."""
    scheme, _, key = environ.get("HTTP_AUTHORIZATION", "").partition(" ")
    found = catalog.organisation_of_key(key.strip()) if scheme.lower() == "bearer" else None
    if found is None:
        return Err(Rejected(Reason.NO_KEY, "expected a bearer key in force, found none"))
    return Ok(found)


def read_request(
    environ: Environ, organisation: Organisation, catalog: Catalog, region: RegionName, marks: Marks
) -> Result[CallerRequest, Rejected]:
    """Read a request; nothing of its body is read for a plain service."""
    path = environ["PATH_INFO"]
    if path.startswith(SERVICE_PREFIX):
        return _read_service(environ, organisation, catalog, region, marks)
    if environ["REQUEST_METHOD"] == "POST" and path in ENGINE_PATHS:
        return _read_completion(environ, organisation, catalog, region, marks)
    return Err(
        Rejected(
            Reason.UNKNOWN_TARGET,
            f"expected one of {', '.join(ENGINE_PATHS)} or {SERVICE_PREFIX}NAME/, found {path}",
        )
    )


def read_marks(environ: Environ) -> Result[Marks, Rejected]:
    """Read the headers that steer a request."""
    ticket_text = environ.get("HTTP_SPARLINE_TICKET", "")
    ticket = parse_ticket(ticket_text) if ticket_text else Ok(None)
    if ticket.is_err():
        return _bad(f"Sparline-Ticket: {ticket.unwrap_err()}")
    deadline = _read_whole(environ, "Sparline-Deadline-Ms", 1, MAX_DEADLINE_MS)
    priority = _read_whole(environ, "Sparline-Priority", PRIORITIES.start, PRIORITIES.stop - 1)
    for read in (deadline, priority):
        if read.is_err():
            return Err(read.unwrap_err())
    mark = environ.get("HTTP_SPARLINE_NOT_REPEATABLE", "0")
    if mark not in ("0", "1"):
        return _bad(f"Sparline-Not-Repeatable: expected 0 or 1, found {mark!r}")
    given = environ.get("HTTP_SPARLINE_REQUEST_ID", "")
    if len(given) > 128 or not given.isprintable():
        return _bad("Sparline-Request-Id: expected at most 128 printable characters")
    request_id = ticket_text or given or uuid.uuid4().hex
    chosen = priority.unwrap()
    return Ok(
        Marks(
            request_id=RequestId(request_id),
            given_id=bool(ticket_text or given),
            ticket=ticket.unwrap(),
            deadline_ms=deadline.unwrap(),
            priority=DEFAULT_PRIORITY if chosen is None else chosen,
            repeatable=mark == "0",
        )
    )


def _read_whole(environ: Environ, name: str, least: int, most: int) -> Result[int | None, Rejected]:
    text = environ.get("HTTP_" + name.upper().replace("-", "_"))
    if text is None:
        return Ok(None)
    if not text.isascii() or not text.isdigit() or not least <= int(text) <= most:
        return _bad(f"{name}: expected a whole number from {least} to {most}, found {text!r}")
    return Ok(int(text))


def _bad(text: str) -> Err[Rejected]:
    return Err(Rejected(Reason.BAD_REQUEST, text))


def _read_completion(
    environ: Environ, organisation: Organisation, catalog: Catalog, region: RegionName, marks: Marks
) -> Result[CallerRequest, Rejected]:
    content = environ["wsgi.input"].read(MAX_PROMPT_BYTES + 1)
    if len(content) > MAX_PROMPT_BYTES:
        return _bad(f"$: expected at most {MAX_PROMPT_BYTES} bytes")
    tree = _parse_completion(content)
    if tree.is_err():
        return _bad(str(tree.unwrap_err()))
    wanted = tree.unwrap()
    model = catalog.models.get(TargetName(wanted["model"]))
    if model is None:
        return Err(
            Rejected(
                Reason.UNKNOWN_TARGET,
                f"$.model: expected a model in force, found {wanted['model']!r}",
            )
        )
    adapter = wanted.get("adapter", "")
    if adapter and adapter not in {one.name for one in model.adapters}:
        return Err(
            Rejected(
                Reason.UNKNOWN_TARGET,
                f"$.adapter: expected an adapter of {model.name}, found {adapter!r}",
            )
        )
    prompt = _prompt_of(wanted)
    prompt_tokens = max(len(prompt) // CHARS_PER_TOKEN, 1)
    request = Request(
        request_id=marks.request_id,
        organisation=OrganisationId(organisation.id),
        residency_rule=organisation.residency_rule,
        target=TargetName(model.name),
        kind=TargetKind.ENGINE,
        adapter=adapter,
        prompt_tokens=prompt_tokens,
        output_tokens=wanted.get("max_tokens", model.max_output_tokens),
        prefix_keys=prefix_keys(organisation.id, model.name, prompt),
        length=classify_length(prompt_tokens, model.short_prompt_tokens),
        deadline_at_ms=now_ms() + (marks.deadline_ms or model.default_deadline_ms),
        priority=marks.priority,
        repeatable=marks.repeatable,
        method="POST",
        path=ENGINE_PATHS[environ["PATH_INFO"]],
        content_type="application/json",
        body=RequestBody.of(_engine_body(wanted, model, prompt)),
        origin=Origin.CALLER,
        from_region=region,
        still_wanted=_watch(environ),
    )
    return Ok(_caller_request(request, marks, bool(wanted.get("stream", False))))


def _caller_request(request: Request, marks: Marks, stream: bool) -> CallerRequest:
    tracked = marks.given_id and (marks.ticket is not None or not request.repeatable)
    return CallerRequest(request, marks.ticket, tracked, stream)


def _parse_completion(content: bytes) -> Result[dict[str, Any], Refusal]:
    try:
        text = content.decode()
    except UnicodeDecodeError:
        return Err(Refusal("$", "UTF-8 text", "other bytes"))
    tree = parse(text, MAX_PROMPT_BYTES)
    if tree.is_err():
        return tree
    wanted = tree.unwrap()
    if not isinstance(wanted, dict):
        return Err(Refusal("$", "an object", type(wanted).__name__))
    fault = next((fault for check in _FIELD_CHECKS if (fault := check(wanted))), None)
    return Err(fault) if fault else Ok(wanted)


def _check_model(wanted: dict[str, Any]) -> Refusal | None:
    model = wanted.get("model")
    return (
        None if isinstance(model, str) else Refusal("$.model", "the name of a model", repr(model))
    )


def _check_prompt(wanted: dict[str, Any]) -> Refusal | None:
    prompt, messages = wanted.get("prompt"), wanted.get("messages")
    if (prompt is None) == (messages is None):
        return Refusal(
            "$", "either `prompt` or `messages`", "both" if prompt is not None else "neither"
        )
    if prompt is not None and not isinstance(prompt, str):
        return Refusal("$.prompt", "text", type(prompt).__name__)
    if messages is not None and not isinstance(messages, list):
        return Refusal("$.messages", "a list", type(messages).__name__)
    return None


def _check_options(wanted: dict[str, Any]) -> Refusal | None:
    tokens = wanted.get("max_tokens", 1)
    if not isinstance(tokens, int) or isinstance(tokens, bool) or not 1 <= tokens <= 1_000_000:
        return Refusal("$.max_tokens", "a whole number from 1 to 1000000", repr(tokens))
    if not isinstance(wanted.get("stream", False), bool):
        return Refusal("$.stream", "true or false", repr(wanted["stream"]))
    if not isinstance(wanted.get("adapter", ""), str):
        return Refusal("$.adapter", "the name of an adapter", repr(wanted["adapter"]))
    return None


_FIELD_CHECKS = (_check_model, _check_prompt, _check_options)


def _prompt_of(wanted: dict[str, Any]) -> str:
    if "prompt" in wanted and wanted["prompt"] is not None:
        return wanted["prompt"]
    contents = (one.get("content", "") for one in wanted["messages"] if isinstance(one, dict))
    return "\n".join(str(content) for content in contents)


def _engine_body(wanted: dict[str, Any], model: Model, prompt: str) -> bytes:
    asked = {key: value for key, value in wanted.items() if key != "messages"}
    asked |= {
        "prompt": prompt,
        "stream": True,
        "max_tokens": wanted.get("max_tokens", model.max_output_tokens),
    }
    return json.dumps(asked).encode()


def _read_service(
    environ: Environ, organisation: Organisation, catalog: Catalog, region: RegionName, marks: Marks
) -> Result[CallerRequest, Rejected]:
    name, _, rest = environ["PATH_INFO"].removeprefix(SERVICE_PREFIX).partition("/")
    service = catalog.services.get(TargetName(name))
    if service is None:
        return Err(Rejected(Reason.UNKNOWN_TARGET, f"expected a service in force, found {name!r}"))
    request = Request(
        request_id=marks.request_id,
        organisation=OrganisationId(organisation.id),
        residency_rule=organisation.residency_rule,
        target=TargetName(name),
        kind=TargetKind.SERVICE,
        adapter="",
        prompt_tokens=0,
        output_tokens=0,
        prefix_keys=(),
        length=Length.SHORT,
        deadline_at_ms=now_ms() + (marks.deadline_ms or service.default_deadline_ms),
        priority=marks.priority,
        repeatable=marks.repeatable and _may_repeat(environ, service),
        method=environ["REQUEST_METHOD"],
        path=_service_path(environ, rest),
        content_type=environ.get("CONTENT_TYPE", ""),
        body=_service_body(environ),
        origin=Origin.CALLER,
        from_region=region,
        still_wanted=_watch(environ),
    )
    return Ok(_caller_request(request, marks, stream=True))


def _may_repeat(environ: Environ, service: Service) -> bool:
    return environ["REQUEST_METHOD"] in [method.value for method in service.repeatable_methods]


def _service_path(environ: Environ, rest: str) -> str:
    query = environ.get("QUERY_STRING", "")
    return quote(f"/{rest}") + (f"?{query}" if query else "")


def _service_body(environ: Environ) -> RequestBody:
    if environ.get("HTTP_TRANSFER_ENCODING", "").lower() == "chunked":
        return RequestBody(environ["wsgi.input"].read, UNKNOWN_LENGTH)
    length = int(environ.get("CONTENT_LENGTH") or 0)
    if length == 0:
        return RequestBody.of(b"")
    return RequestBody(environ["wsgi.input"].read, length)


def _watch(environ: Environ) -> Callable[[], bool]:
    connection = environ[SOCKET_KEY]
    return lambda: not connection_lost(connection)
