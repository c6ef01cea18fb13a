"""Callers' requests and backend servers' answers: heads read and written."""

import re
from dataclasses import dataclass

from result import Err, Ok, Result

from sparline._ids import BackendServerId, OrganisationId, RequestId
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
# Longer numbers are none: no time, length or id of an event has as many digits.
MOST_DIGITS = 15
MS_PER_S = 1000.0
# An id that no backend server has.
NO_SERVER = b"-"
# The one scheme in which keys are shown (RFC 6750), in lower case.
BEARER = b"bearer"


@dataclass(frozen=True, slots=True)
class RequestMarks:
    """Hold what a request's head says."""

    request_id: RequestId  # id of this try
    host: str  # host in lower case, without port
    path: str  # target without query
    deadline_ms: float | None  # time that the caller waits, None where it does not say
    prompt: Prompt | None  # for model engines
    resume_after: int | None  # last event that the caller has
    relay_service: str  # service chosen by the first instance, empty from callers
    key: PresentedKey  # key that a caller shows
    relay_caller: RelayedCaller | None  # whose key the first instance was shown, None from callers
    admission_key: int | None = None  # computed by the first instance, ignored from callers


def read_marks(request: HttpRequest) -> Result[RequestMarks, str]:
    """Read the head of a request."""
    values = first_values(request.headers)
    request_id = values.get(names.REQUEST_ID, b"")
    if not request_id:
        return Err("Attempt-Id: expected an id, found none")
    host = values.get(b"host", b"")
    if not host:
        return Err("Host: expected a host, found none")
    told = values.get(names.DEADLINE)
    deadline = _whole(told) if told is not None else None
    if told is not None and deadline is None:
        return Err("Deadline-Milliseconds: expected a whole number")
    prompt = _prompt(values)
    if prompt.is_err():
        return Err(prompt.unwrap_err())
    relay_caller = _relay_caller(values)
    if relay_caller.is_err():
        return Err(relay_caller.unwrap_err())
    return Ok(
        RequestMarks(
            request_id=RequestId(request_id.decode("latin-1")),
            host=host.decode("latin-1").lower().partition(":")[0],
            path=request.target.decode("latin-1").partition("?")[0],
            deadline_ms=None if deadline is None else float(deadline),
            prompt=prompt.unwrap(),
            resume_after=_whole(values.get(names.LAST_EVENT, b"")),
            relay_service=values.get(names.RELAY_SERVICE, b"").decode("latin-1"),
            key=_shown_key(request),
            relay_caller=relay_caller.unwrap(),
            admission_key=_admission_key(request),
        )
    )


def _shown_key(request: HttpRequest) -> PresentedKey:
    """Return the digest of the one key that is shown; two of them are none."""
    shown = [value for name, value in request.headers if name == names.AUTHORIZATION]
    if not shown:
        return PresentedKey(None, KeyFault.MISSING)
    if len(shown) > 1:
        return PresentedKey(None, KeyFault.SEVERAL)
    scheme, _, key = shown[0].strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != BEARER or not key or b" " in key:
        return PresentedKey(None, KeyFault.SCHEME)
    return PresentedKey(digest_of_key(key))


def _relay_caller(values: FirstValues) -> Result[RelayedCaller | None, str]:
    told = values.get(names.RELAY_CALLER)
    if told is None:
        return Ok(None)
    version, _, rest = told.partition(b" ")
    digits, _, name = rest.partition(b" ")
    number = _whole(version)
    try:
        key = KeyDigest(bytes.fromhex(digits.decode("latin-1")))
    except ValueError:
        key = KeyDigest(b"")
    if number is None or not key or not name:
        # What stands there may come from a caller and is not told.
        return Err("sparline-caller: expected VERSION DIGEST NAME")
    organisation = OrganisationId(name.decode("latin-1"))
    return Ok(RelayedCaller(ConfigurationVersion(number), organisation, key))


def _admission_key(request: HttpRequest) -> int | None:
    """Return the admission key of a relayed request; one out of range is treated as absent."""
    told = request.header(names.RELAY_ADMISSION_KEY)
    key = None if told is None else _whole(told)
    return key if key is not None and key < OPEN_LEVEL else None


def _whole(text: bytes) -> int | None:
    """Return a whole number, None for anything else."""
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= MOST_DIGITS else None


def _prompt(values: FirstValues) -> Result[Prompt | None, str]:
    counts = values.get(names.TOKEN_COUNTS)
    if counts is None:
        return Ok(None)
    first, _, second = counts.partition(b",")
    tokens, max_output_tokens = _whole(first), _whole(second)
    if tokens is None or max_output_tokens is None:
        return Err(f"Token-Counts: expected two whole numbers, found {counts[:40]!r}")
    starts: list[PromptPrefix] = []
    key = ""
    parts = [part for part in values.get(names.PROMPT_PARTS, b"").split(b",") if part]
    # The last part is the request's own, or its session's.
    for part in parts[:-1]:
        name, _, length = part.strip().rpartition(b":")
        own_tokens = _whole(length)
        if own_tokens is None:
            return Err(f"Prompt-Prefix: expected ID:TOKENS, found {part[:40]!r}")
        key = f"{key}/{name.decode('latin-1')}"
        starts.append(PromptPrefix(key, own_tokens))
    return Ok(Prompt(tokens, max_output_tokens, tuple(starts)))


def headers_to_pass(request: HttpRequest, shows_key: bool) -> Headers:
    """Return a caller's headers without those that are ours to set, and without its key."""
    left_out = (names.DEADLINE, names.LAST_EVENT, *((names.AUTHORIZATION,) if shows_key else ()))
    return [
        pair
        for pair in end_to_end(request.headers)
        if pair[0] not in names.ONLY_OURS
        and pair[0] not in left_out
        and not pair[0].startswith(names.OWN_PREFIX)
    ]


class ServerWire:
    """Speak to backend servers."""

    def presence_check(self) -> bytes:
        """Return a request that any backend server answers with 421 or 400, without running it."""
        own = [(names.EXPECTED_SERVER, NO_SERVER), (b"host", NO_SERVER)]
        lines = [b"GET / HTTP/1.1", *(b"%b: %b" % pair for pair in own)]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def send_head(self, request: RoutedRequest, terms: AttemptParameters) -> bytes:
        """Return the head of a request to a backend server."""
        own = [
            (names.EXPECTED_SERVER, listed_id(terms.server_id).encode("latin-1")),
            *_deadline_and_resume(request, terms),
        ]
        if terms.source is not None:
            own.append((names.FETCH_FROM, b"%b:%d" % (terms.source[0].encode(), terms.source[1])))
        if request.prompt is not None:
            own.append((names.PRIORITY, b"%d" % min(request.priority, MAX_RANK)))
        if request.caller is not None:
            own.append((names.ORGANISATION, request.caller.organisation.id.encode("latin-1")))
        return _head(request, own)

    def belongs(self, request_id: RequestId, answer: HttpAnswer) -> bool:
        """Tell whether an answer is to this request; refusals may carry no id."""
        found = answer.header(names.REQUEST_ID)
        if found is None:
            return self.meaning(answer).kind in (AnswerKind.NOT_RUN, AnswerKind.MISDIRECTED)
        return found.decode("latin-1") == request_id

    def meaning(self, answer: HttpAnswer) -> AnswerMeaning:
        """Return what an answer means."""
        if answer.status == 421:
            return AnswerMeaning(AnswerKind.MISDIRECTED, _retry_after_ms(answer))
        if answer.header(names.NOT_RUN) is not None:
            return _server_meaning(AnswerKind.NOT_RUN, answer)
        if answer.status < 300 and answer.header(names.SEAL) is None:
            return AnswerMeaning(AnswerKind.UNKNOWN)
        return _server_meaning(AnswerKind.RESULT, answer)


class InstanceWire:
    """Speak to other instances: the caller's request, marked as relayed."""

    def send_head(self, request: RoutedRequest, terms: AttemptParameters) -> bytes:
        """Return the head of a relayed request."""
        own = [
            (names.RELAY_SERVICE, request.service.encode("latin-1")),
            *_deadline_and_resume(request, terms),
        ]
        if request.caller is not None:
            own.append((names.RELAY_CALLER, _told_caller(request.caller)))
        if request.admission_key is not None:
            own.append((names.RELAY_ADMISSION_KEY, b"%d" % request.admission_key))
        return _head(request, own)

    def belongs(self, request_id: RequestId, answer: HttpAnswer) -> bool:
        """Tell whether an answer is to this request; a peer's own carry no id."""
        if answer.header(names.RELAY_OUTCOME) is not None:
            return True
        return answer.header(names.REQUEST_ID) == request_id.encode("latin-1")

    def meaning(self, answer: HttpAnswer) -> AnswerMeaning:
        """Return what a peer's answer means."""
        outcome = answer.header(names.RELAY_OUTCOME)
        if outcome is None:
            return AnswerMeaning(AnswerKind.RESULT)
        if outcome == b"not-run":
            return AnswerMeaning(AnswerKind.NOT_RUN, _retry_after_ms(answer))
        if outcome == b"not-sent":
            return AnswerMeaning(
                AnswerKind.NOT_SENT,
                _retry_after_ms(answer),
                is_region_full=answer.header(names.RELAY_NO_ROOM) is not None,
            )
        if outcome == b"quarantined":
            return AnswerMeaning(AnswerKind.QUARANTINED)
        late = answer.status == 504
        kind = AnswerKind.TIMED_OUT if late else AnswerKind.UNKNOWN
        return AnswerMeaning(kind, ended_server=_ended_server(answer))


def _told_caller(caller: KnownCaller) -> bytes:
    digits = caller.key.hex().encode()
    return b"%d %b %b" % (caller.version, digits, caller.organisation.id.encode("latin-1"))


def _deadline_and_resume(request: RoutedRequest, terms: AttemptParameters) -> Headers:
    headers = [(names.DEADLINE, b"%d" % max(terms.left_ms, 1))]
    if terms.resume_after is not None and request.route.resumable:
        headers.append((names.LAST_EVENT, b"%d" % terms.resume_after))
    return headers


def _head(request: RoutedRequest, own: Headers) -> bytes:
    lines = [b"%b %b HTTP/1.1" % (request.method, request.target)]
    lines += [b"%b: %b" % pair for pair in request.headers]
    lines += [b"%b: %b" % pair for pair in own]
    if request.body or request.method not in (b"GET", b"HEAD"):
        lines.append(b"content-length: %d" % len(request.body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _server_meaning(kind: AnswerKind, answer: HttpAnswer) -> AnswerMeaning:
    """Return what an answer from the server itself means."""
    return AnswerMeaning(
        kind,
        _retry_after_ms(answer),
        limit_per_s=_decimal(answer.header(names.SERVER_LIMIT)),
        is_leaving=answer.header(names.SERVER_LEAVING) == b"1",
    )


def _retry_after_ms(answer: HttpAnswer) -> float:
    # A date or a malformed value is treated as absent.
    return (_decimal(answer.header(names.RETRY_AFTER)) or 0.0) * MS_PER_S


def _decimal(text: bytes | None) -> float | None:
    """Return a non-negative decimal number, None for anything else."""
    if text is None or not DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)


def _ended_server(answer: HttpAnswer) -> BackendServerId | None:
    told = answer.header(names.RELAY_ENDED)
    return None if told is None else BackendServerId(told.decode("latin-1"))


def refusal_headers(answer: OwnAnswer) -> Headers:
    """Return the headers of an answer of our own to a caller, who need not know of sends."""
    if answer.ran or answer.quarantined:
        return []
    return [(names.RETRY_AFTER, b"%.3f" % (answer.retry_after_ms / MS_PER_S))]


def relayed_refusal_headers(answer: OwnAnswer) -> Headers:
    """Return the headers of an answer of our own to the instance that relayed."""
    own = [(names.RELAY_OUTCOME, _outcome(answer)), *refusal_headers(answer)]
    if answer.is_region_full:
        own.append((names.RELAY_NO_ROOM, b"region"))
    if answer.ended_server is not None:
        own.append((names.RELAY_ENDED, answer.ended_server.encode("latin-1")))
    return own


def _outcome(answer: OwnAnswer) -> bytes:
    if answer.quarantined:
        return b"quarantined"
    if answer.ran:
        return b"unknown"
    return b"not-run" if answer.sent else b"not-sent"
