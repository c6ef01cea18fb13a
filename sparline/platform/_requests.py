"""Parsing and encoding of the heads of requests and responses."""

import re
from dataclasses import dataclass
from urllib.parse import quote, unquote_to_bytes

from result import Err, Ok, Result

from sparline._ids import BackendServerId, OrganisationId, RequestId, SoftwareVersion
from sparline.decisions import OPEN_LEVEL
from sparline.forwarding import AnswerKind, AnswerMeaning, AttemptParameters, OwnAnswer
from sparline.http import (
    FirstValues,
    Headers,
    HttpAnswer,
    HttpRequest,
    end_to_end,
    first_values,
)
from sparline.platform import _names as names
from sparline.platform._incarnations import listed_id
from sparline.requests import (
    KeyFault,
    KnownCaller,
    PresentedKey,
    Prompt,
    PromptPrefix,
    RelayedCaller,
    RoutedRequest,
)
from sparline.routes import MAX_RANK, ConfigurationVersion, KeyDigest, digest_of_key

# Unsigned, with an optional fraction; rejects signs, exponents, "inf" and "nan".
DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?")
# Longer numbers are invalid: no time, length or event id has that many digits.
MAX_DIGITS = 15
MS_PER_S = 1000.0
# Id that no backend server has.
UNUSED_SERVER_ID = b"-"
# The only supported authorization scheme (RFC 6750), in lower case.
BEARER_SCHEME = b"bearer"


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the values parsed from the head of a request."""

    request_id: RequestId  # id of this try of the caller
    host: str  # Host header in lower case, without port
    path: str  # request target without query
    deadline_ms: float | None  # time until the deadline, None if not stated
    prompt: Prompt | None  # only for requests to model engines
    resume_after: int | None  # id of the last event that the caller received
    resumes: RequestId | None  # try of the caller that brought the first event
    relay_service: str  # service chosen by the first instance, empty if sent by a caller
    key: PresentedKey  # key that a caller presents
    relay_caller: RelayedCaller | None  # stated by the first instance, None if sent by a caller
    # Stated by the first instance, ignored if sent by a caller.
    relay_software_version: SoftwareVersion | None = None
    admission_key: int | None = None  # computed by the first instance, ignored if sent by a caller


def parse_request_head(request: HttpRequest) -> Result[RequestHead, str]:
    """Parse the head of a request; an error names the invalid header."""
    values = first_values(request.headers)
    request_id = values.get(names.REQUEST_ID, b"")
    if not request_id:
        return Err("Attempt-Id: expected an id, found none")
    host = values.get(b"host", b"")
    if not host:
        return Err("Host: expected a host, found none")
    deadline_text = values.get(names.DEADLINE)
    deadline = _parse_integer(deadline_text) if deadline_text is not None else None
    if deadline_text is not None and deadline is None:
        return Err("Deadline-Milliseconds: expected a whole number")
    prompt = _parse_prompt(values)
    if prompt.is_err():
        return Err(prompt.unwrap_err())
    relay_caller = _parse_relayed_caller(values)
    if relay_caller.is_err():
        return Err(relay_caller.unwrap_err())
    return Ok(
        RequestHead(
            request_id=RequestId(request_id.decode("latin-1")),
            host=host.decode("latin-1").lower().partition(":")[0],
            path=request.target.decode("latin-1").partition("?")[0],
            deadline_ms=None if deadline is None else float(deadline),
            prompt=prompt.unwrap(),
            resume_after=_parse_integer(values.get(names.LAST_EVENT, b"")),
            resumes=_parse_request_id(values.get(names.RESUMES)),
            relay_service=values.get(names.RELAY_SERVICE, b"").decode("latin-1"),
            key=_presented_key(request),
            relay_caller=relay_caller.unwrap(),
            relay_software_version=_parse_software_version(
                values.get(names.RELAY_SOFTWARE_VERSION)
            ),
            admission_key=_parse_admission_key(request),
        )
    )


def _parse_request_id(text: bytes | None) -> RequestId | None:
    """Return the id of a try; an empty one is treated as absent."""
    return RequestId(text.decode("latin-1")) if text else None


def _presented_key(request: HttpRequest) -> PresentedKey:
    """Return the digest of the presented key; several keys are a fault."""
    values = [value for name, value in request.headers if name == names.AUTHORIZATION]
    if not values:
        return PresentedKey(None, KeyFault.MISSING)
    if len(values) > 1:
        return PresentedKey(None, KeyFault.SEVERAL)
    scheme, _, key = values[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != BEARER_SCHEME or not key or b" " in key:
        return PresentedKey(None, KeyFault.SCHEME)
    return PresentedKey(digest_of_key(key))


def _parse_relayed_caller(values: FirstValues) -> Result[RelayedCaller | None, str]:
    value = values.get(names.RELAY_CALLER)
    if value is None:
        return Ok(None)
    version_text, _, rest = value.partition(b" ")
    hex_digest, _, name = rest.partition(b" ")
    version = _parse_integer(version_text)
    try:
        key = KeyDigest(bytes.fromhex(hex_digest.decode("latin-1")))
    except ValueError:
        key = KeyDigest(b"")
    if version is None or not key or not name:
        # The value may come from a caller, so the error does not quote it.
        return Err("sparline-caller: expected VERSION DIGEST NAME")
    organisation = OrganisationId(name.decode("latin-1"))
    return Ok(RelayedCaller(ConfigurationVersion(version), organisation, key))


def _parse_admission_key(request: HttpRequest) -> int | None:
    """Return the admission key of a relayed request; one out of range is treated as absent."""
    value = request.header(names.RELAY_ADMISSION_KEY)
    key = None if value is None else _parse_integer(value)
    return key if key is not None and key < OPEN_LEVEL else None


def _parse_software_version(text: bytes | None) -> SoftwareVersion | None:
    """Decode a version that another instance states; bytes that are no text are replaced."""
    if text is None:
        return None
    return SoftwareVersion(unquote_to_bytes(text.strip()).decode(errors="replace"))


def _encode_software_version(version: SoftwareVersion) -> bytes:
    """Encode a version for a header, which holds no text beyond ASCII."""
    return quote(version, safe="").encode()


def _parse_integer(text: bytes) -> int | None:
    """Parse a non-negative integer; return None if the text is anything else."""
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else None


def _parse_prompt(values: FirstValues) -> Result[Prompt | None, str]:
    counts = values.get(names.TOKEN_COUNTS)
    if counts is None:
        return Ok(None)
    input_text, _, output_text = counts.partition(b",")
    tokens, max_output_tokens = _parse_integer(input_text), _parse_integer(output_text)
    if tokens is None or max_output_tokens is None:
        return Err(f"Token-Counts: expected two whole numbers, found {counts[:40]!r}")
    prefixes: list[PromptPrefix] = []
    key = ""
    parts = [part for part in values.get(names.PROMPT_PARTS, b"").split(b",") if part]
    # The last part is specific to this request or its session.
    for part in parts[:-1]:
        name, _, length = part.strip().rpartition(b":")
        part_tokens = _parse_integer(length)
        if part_tokens is None:
            return Err(f"Prompt-Prefix: expected ID:TOKENS, found {part[:40]!r}")
        key = f"{key}/{name.decode('latin-1')}"
        prefixes.append(PromptPrefix(key, part_tokens))
    return Ok(Prompt(tokens, max_output_tokens, tuple(prefixes)))


def headers_to_pass(request: HttpRequest, keys_required: bool) -> Headers:
    """Return a caller's headers without its key and without those only the gateway may set."""
    excluded_names = (
        names.DEADLINE,
        names.LAST_EVENT,
        *((names.AUTHORIZATION,) if keys_required else ()),
    )
    return [
        header
        for header in end_to_end(request.headers)
        if header[0] not in names.GATEWAY_ONLY_HEADERS
        and header[0] not in excluded_names
        and not header[0].startswith(names.INSTANCE_HEADER_PREFIX)
    ]


class ServerWire:
    """Implement the protocol used with backend servers."""

    def presence_check(self) -> bytes:
        """Return a request that any backend server rejects with 421 or 400, without running it."""
        added_headers = [(names.EXPECTED_SERVER, UNUSED_SERVER_ID), (b"host", UNUSED_SERVER_ID)]
        lines = [b"GET / HTTP/1.1", *(b"%b: %b" % header for header in added_headers)]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def send_head(self, request: RoutedRequest, parameters: AttemptParameters) -> bytes:
        """Return the encoded head of a request to a backend server."""
        added_headers = [
            (names.EXPECTED_SERVER, listed_id(parameters.server_id).encode("latin-1")),
            *_deadline_and_resume_headers(request, parameters),
        ]
        if parameters.source is not None:
            added_headers.append(
                (names.FETCH_FROM, b"%b:%d" % (parameters.source[0].encode(), parameters.source[1]))
            )
        if request.prompt is not None:
            added_headers.append((names.PRIORITY, b"%d" % min(request.priority, MAX_RANK)))
        if request.caller is not None:
            added_headers.append(
                (names.ORGANISATION, request.caller.organisation.id.encode("latin-1"))
            )
        return _encode_head(request, added_headers)

    def belongs(self, request_id: RequestId, answer: HttpAnswer) -> bool:
        """Tell whether a response belongs to this request; rejections may have no request id."""
        found = answer.header(names.REQUEST_ID)
        if found is None:
            return self.meaning(answer).kind in (AnswerKind.NOT_RUN, AnswerKind.MISDIRECTED)
        return found.decode("latin-1") == request_id

    def meaning(self, answer: HttpAnswer) -> AnswerMeaning:
        """Interpret the head of a backend server's response."""
        if answer.status == 421:
            return AnswerMeaning(AnswerKind.MISDIRECTED, _retry_after_ms(answer))
        if answer.header(names.NOT_RUN) is not None:
            return _server_meaning(AnswerKind.NOT_RUN, answer)
        if answer.status < 300 and answer.header(names.SEAL) is None:
            return AnswerMeaning(AnswerKind.UNKNOWN)
        return _server_meaning(AnswerKind.RESULT, answer)


class InstanceWire:
    """Implement the protocol used with other instances: the caller's request, marked as relayed."""

    def send_head(self, request: RoutedRequest, parameters: AttemptParameters) -> bytes:
        """Return the encoded head of a relayed request."""
        added_headers = [
            (names.RELAY_SERVICE, request.service.encode("latin-1")),
            *_deadline_and_resume_headers(request, parameters),
        ]
        if request.caller is not None:
            added_headers.append((names.RELAY_CALLER, _encode_caller(request.caller)))
        if request.admission_key is not None:
            added_headers.append((names.RELAY_ADMISSION_KEY, b"%d" % request.admission_key))
        if parameters.software_version is not None:
            version = _encode_software_version(parameters.software_version)
            added_headers.append((names.RELAY_SOFTWARE_VERSION, version))
        return _encode_head(request, added_headers)

    def belongs(self, request_id: RequestId, answer: HttpAnswer) -> bool:
        """Tell whether a response belongs to this request; those generated by a peer have no id."""
        if answer.header(names.RELAY_OUTCOME) is not None:
            return True
        return answer.header(names.REQUEST_ID) == request_id.encode("latin-1")

    def meaning(self, answer: HttpAnswer) -> AnswerMeaning:
        """Interpret the head of a peer's response."""
        outcome = answer.header(names.RELAY_OUTCOME)
        if outcome is None:
            version = _parse_software_version(answer.header(names.RELAY_SOFTWARE_VERSION))
            return AnswerMeaning(AnswerKind.RESULT, software_version=version)
        if outcome == b"not-run":
            return AnswerMeaning(AnswerKind.NOT_RUN, _retry_after_ms(answer))
        if outcome == b"not-sent":
            return AnswerMeaning(
                AnswerKind.NOT_SENT,
                _retry_after_ms(answer),
                is_region_full=answer.header(names.RELAY_NO_ROOM) is not None,
                is_isolated=answer.header(names.RELAY_ISOLATED) is not None,
            )
        if outcome == b"quarantined":
            return AnswerMeaning(AnswerKind.QUARANTINED)
        timed_out = answer.status == 504
        kind = AnswerKind.TIMED_OUT if timed_out else AnswerKind.UNKNOWN
        return AnswerMeaning(kind, ended_server=_ended_server(answer))


def _encode_caller(caller: KnownCaller) -> bytes:
    hex_digest = caller.key.hex().encode()
    return b"%d %b %b" % (caller.version, hex_digest, caller.organisation.id.encode("latin-1"))


def _deadline_and_resume_headers(request: RoutedRequest, parameters: AttemptParameters) -> Headers:
    headers = [(names.DEADLINE, b"%d" % max(parameters.left_ms, 1))]
    if parameters.resume_after is not None and request.route.resumable:
        headers.append((names.LAST_EVENT, b"%d" % parameters.resume_after))
    return headers


def _encode_head(request: RoutedRequest, added_headers: Headers) -> bytes:
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [b"%b: %b" % header for header in request.headers]
    lines += [b"%b: %b" % header for header in added_headers]
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _server_meaning(kind: AnswerKind, answer: HttpAnswer) -> AnswerMeaning:
    """Interpret a response that comes from the addressed server itself."""
    return AnswerMeaning(
        kind,
        _retry_after_ms(answer),
        limit_per_s=_parse_decimal(answer.header(names.SERVER_LIMIT)),
        refusal_limit_per_s=_parse_decimal(answer.header(names.SERVER_BRITTLE)),
        is_leaving=answer.header(names.SERVER_LEAVING) == b"1",
    )


def _retry_after_ms(answer: HttpAnswer) -> float:
    # Only seconds are supported; a date or a malformed value counts as no Retry-After header.
    return (_parse_decimal(answer.header(names.RETRY_AFTER)) or 0.0) * MS_PER_S


def _parse_decimal(text: bytes | None) -> float | None:
    """Parse a non-negative decimal number; return None if the text is anything else."""
    if text is None or not DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)


def _ended_server(answer: HttpAnswer) -> BackendServerId | None:
    value = answer.header(names.RELAY_ENDED)
    return None if value is None else BackendServerId(value.decode("latin-1"))


def answer_headers(answer: HttpAnswer, _version: SoftwareVersion | None) -> Headers:
    """Return the headers of a stream for a caller, whom its software version does not concern."""
    return [
        header
        for header in end_to_end(answer.headers)
        if not header[0].startswith(names.INSTANCE_HEADER_PREFIX)
    ]


def relayed_answer_headers(answer: HttpAnswer, version: SoftwareVersion | None) -> Headers:
    """Return the headers of a stream for the instance that relayed the request."""
    headers = answer_headers(answer, version)
    if version is not None:
        headers.append((names.RELAY_SOFTWARE_VERSION, _encode_software_version(version)))
    return headers


def refusal_headers(answer: OwnAnswer) -> Headers:
    """Return the headers of a response generated here for a caller.

    A caller does not need to know whether the request was sent to a backend server.
    """
    if answer.ran or answer.quarantined:
        return []
    return [(names.RETRY_AFTER, b"%.3f" % (answer.retry_after_ms / MS_PER_S))]


def relayed_refusal_headers(answer: OwnAnswer) -> Headers:
    """Return the headers of a response generated here for the instance that relayed the request."""
    added_headers = [(names.RELAY_OUTCOME, _outcome(answer)), *refusal_headers(answer)]
    if answer.is_region_full:
        added_headers.append((names.RELAY_NO_ROOM, b"region"))
    if answer.is_isolated:
        added_headers.append((names.RELAY_ISOLATED, b"1"))
    if answer.ended_server is not None:
        added_headers.append((names.RELAY_ENDED, answer.ended_server.encode("latin-1")))
    return added_headers


def _outcome(answer: OwnAnswer) -> bytes:
    if answer.quarantined:
        return b"quarantined"
    if answer.ran:
        return b"unknown"
    return b"not-run" if answer.sent else b"not-sent"
