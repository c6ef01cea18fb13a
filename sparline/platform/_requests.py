"""Parsing of the heads of requests."""

from dataclasses import dataclass

from result import Err, Ok, Result

from sparline._ids import BackendServerId, OrganisationId, RequestId, SoftwareVersion
from sparline.decisions import OPEN_LEVEL
from sparline.forwarding import MAX_ID_DIGITS
from sparline.http import FirstValues, Headers, HttpRequest, end_to_end, first_values
from sparline.platform import _names as names
from sparline.platform._values import parse_integer, parse_software_version
from sparline.requests import KeyFault, PresentedKey, Prompt, PromptPrefix, RelayedCaller
from sparline.routes import ConfigurationVersion, KeyDigest, digest_of_key

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
    # Whether it names a last event by something else than a whole number.
    is_last_event_invalid: bool = False
    # Stated by the first instance, ignored if sent by a caller.
    relay_configuration: ConfigurationVersion | None = None
    # Stated by the first instance, ignored if sent by a caller.
    relay_software_version: SoftwareVersion | None = None
    # Stated by the first instance, ignored if sent by a caller.
    relay_left_server: BackendServerId | None = None
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
    deadline = parse_integer(deadline_text) if deadline_text is not None else None
    if deadline_text is not None and deadline is None:
        return Err("Deadline-Milliseconds: expected a whole number")
    prompt = _parse_prompt(values)
    if prompt.is_err():
        return Err(prompt.unwrap_err())
    last_event = values.get(names.LAST_EVENT, b"")
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
            resume_after=parse_integer(last_event, MAX_ID_DIGITS),
            is_last_event_invalid=_is_event_id_invalid(last_event),
            resumes=_parse_request_id(values.get(names.RESUMES)),
            relay_service=values.get(names.RELAY_SERVICE, b"").decode("latin-1"),
            key=_presented_key(request),
            relay_caller=relay_caller.unwrap(),
            relay_configuration=_parse_configuration_version(values),
            relay_software_version=parse_software_version(values.get(names.RELAY_SOFTWARE_VERSION)),
            relay_left_server=_parse_server_id(values.get(names.RELAY_LEFT_SERVER)),
            admission_key=_parse_admission_key(request),
        )
    )


def _is_event_id_invalid(text: bytes) -> bool:
    """Tell whether an event id is no whole number; an empty one is treated as absent."""
    return bool(text.strip()) and parse_integer(text, MAX_ID_DIGITS) is None


def _parse_server_id(text: bytes | None) -> BackendServerId | None:
    return BackendServerId(text.decode("latin-1")) if text else None


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
    version = parse_integer(version_text)
    try:
        key = KeyDigest(bytes.fromhex(hex_digest.decode("latin-1")))
    except ValueError:
        key = KeyDigest(b"")
    if version is None or not key or not name:
        # The value may come from a caller, so the error does not quote it.
        return Err("sparline-caller: expected VERSION DIGEST NAME")
    organisation = OrganisationId(name.decode("latin-1"))
    return Ok(RelayedCaller(ConfigurationVersion(version), organisation, key))


def _parse_configuration_version(values: FirstValues) -> ConfigurationVersion | None:
    version = parse_integer(values.get(names.RELAY_CONFIGURATION, b""))
    return None if version is None else ConfigurationVersion(version)


def _parse_admission_key(request: HttpRequest) -> int | None:
    """Return the admission key of a relayed request; one out of range is treated as absent."""
    value = request.header(names.RELAY_ADMISSION_KEY)
    key = None if value is None else parse_integer(value)
    return key if key is not None and key < OPEN_LEVEL else None


def _parse_prompt(values: FirstValues) -> Result[Prompt | None, str]:
    counts = values.get(names.TOKEN_COUNTS)
    if counts is None:
        return Ok(None)
    input_text, _, output_text = counts.partition(b",")
    tokens, max_output_tokens = parse_integer(input_text), parse_integer(output_text)
    if tokens is None or max_output_tokens is None:
        return Err(f"Token-Counts: expected two whole numbers, found {counts[:40]!r}")
    prefixes: list[PromptPrefix] = []
    key = ""
    parts = [part for part in values.get(names.PROMPT_PARTS, b"").split(b",") if part]
    # The last part is specific to this request or its session.
    for part in parts[:-1]:
        name, _, length = part.strip().rpartition(b":")
        part_tokens = parse_integer(length)
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
