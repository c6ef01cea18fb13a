"""HTTP/1.1 messages as read from a connection, whatever they mean."""

from dataclasses import dataclass, field

Headers = list[tuple[bytes, bytes]]
FirstValues = dict[bytes, bytes]

# Headers that describe one connection only (RFC 9110, section 7.6.1).
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    )
)
# Answers that never have a body (RFC 9110, section 6.4.1).
BODILESS_STATUSES = (204, 304)
# Bytes of a message that may follow each other without a part of its body: heads, interim answers, sizes
# and extensions of chunks, trailers.
MAX_OVERHEAD_BYTES = 65_536
# Headers of a caller's request (count): short ones take far more memory than bytes.
MAX_HEADERS = 1_024


class MalformedMessage(Exception):
    """Say that bytes on a connection are no HTTP/1.1 message."""


class EndlessMessage(MalformedMessage):
    """Say that bytes on a connection go on without adding anything to a message."""


class TooManyHeaders(MalformedMessage):
    """Say that a request has more headers than are kept."""


class OverheadCount:
    """Count the bytes since a message last grew by a part that its reader takes."""

    def __init__(self) -> None:
        """Start at 0."""
        self._bytes = 0
        self._has_grown = False

    def note_growth(self) -> None:
        """Record that the message has grown."""
        self._has_grown = True

    def note_read(self, read_bytes: int) -> None:
        """Count bytes that were parsed; `EndlessMessage` if there are too many without growth."""
        self._bytes = 0 if self._has_grown else self._bytes + read_bytes
        self._has_grown = False
        if self._bytes > MAX_OVERHEAD_BYTES:
            raise EndlessMessage(
                f"expected a part of a body after at most {MAX_OVERHEAD_BYTES} bytes, found none"
            )


@dataclass(slots=True)
class HttpRequest:
    """Hold one request as it arrived."""

    method: bytes = b""  # as sent
    target: bytes = b""  # path and query, not decoded
    headers: Headers = field(default_factory=list)  # names in lower case, in order
    body: bytearray = field(default_factory=bytearray)  # without its framing
    head_done: bool = False  # whether all headers are in
    complete: bool = False  # whether the body is in as well
    keeps_connection: bool = True  # whether the caller may send another one

    def take_body(self) -> bytes:
        """Return the body, and hold it no longer."""
        body = bytes(self.body)
        self.body = bytearray()
        return body

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None without one."""
        return first_header(self.headers, name)


@dataclass(slots=True)
class HttpAnswer:
    """Hold one answer as it arrives."""

    status: int = 0  # 0 until the status line is in
    headers: Headers = field(default_factory=list)  # names in lower case, in order
    pieces: list[bytes] = field(default_factory=list)  # body bytes not taken yet
    head_done: bool = False  # whether all headers are in
    complete: bool = False  # whether the framed end of the body was seen
    ends_with_connection: bool = False  # whether only a clean close ends the body
    keeps_connection: bool = True  # whether the connection may serve another request

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, None without one."""
        return first_header(self.headers, name)

    def take(self) -> bytes:
        """Return the body bytes that have arrived since the last call."""
        if not self.pieces:
            return b""
        taken = self.pieces[0] if len(self.pieces) == 1 else b"".join(self.pieces)
        self.pieces.clear()
        return taken


def first_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, None without one."""
    for key, value in headers:
        if key == name:
            return value
    return None


def first_values(headers: Headers) -> FirstValues:
    """Return the first value of each header by its name."""
    return dict(reversed(headers))


def end_to_end(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    named = [value for key, value in headers if key == b"connection"]
    listed = {part.strip().lower() for value in named for part in value.split(b",")}
    return [pair for pair in headers if pair[0] not in CONNECTION_HEADERS and pair[0] not in listed]
