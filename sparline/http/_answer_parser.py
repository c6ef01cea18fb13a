"""Answers as they are read from a connection, as far as they are answers in HTTP/1.1."""

import httptools

from sparline.http._messages import (
    BODILESS_STATUSES,
    HttpAnswer,
    MalformedMessage,
    OverheadCount,
)

# Lowest and highest status of an answer (RFC 9110, section 15).
MIN_STATUS = 100
MAX_STATUS = 599
# Lowest status of an answer that ends a request; those below it are interim ones.
MIN_FINAL_STATUS = 200
# The only transfer coding of a body, as requests name no other in `TE`, and the old word for none.
CHUNKED = b"chunked"
NO_CODING = b"identity"
# First byte of a status line; the library also takes those of RTSP and ICE.
PROTOCOL_START = b"H"
# Versions of the protocol.
VERSIONS = ("1.0", "1.1")
# Status of a change of protocol, which nobody asks for.
SWITCHING_STATUS = 101


class AnswerParser:
    """Turn bytes into answers; a surplus answer is kept apart from the next one."""

    def __init__(self) -> None:
        """Start before the first answer."""
        self.answers: list[HttpAnswer] = []  # oldest first; the last may be incomplete
        self._overhead = OverheadCount()
        self._parser = httptools.HttpResponseParser(self)

    def feed(self, data: bytes) -> None:
        """Read bytes; `MalformedMessage` where they are no answers, or go on without a body."""
        self._check_start(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError as error:
            # What the callback raised is the context of the parser's own error.
            found = error.__context__
            raise MalformedMessage(f"expected an HTTP/1.1 answer, found: {found}") from error
        except (httptools.HttpParserUpgrade, httptools.HttpParserError) as error:
            raise MalformedMessage(f"expected an HTTP/1.1 answer, found: {error}") from error
        self._overhead.note_read(len(data))

    def _check_start(self, data: bytes) -> None:
        """Raise `MalformedMessage` if an answer that begins with some bytes is of another protocol."""
        is_start = not self.answers or self.answers[-1].complete
        start = data.lstrip(b"\r\n")[:1] if is_start else b""
        if start and start != PROTOCOL_START:
            raise MalformedMessage(f"expected an HTTP/1.1 answer, found one that begins {start!r}")

    def on_message_begin(self) -> None:
        """Begin an answer."""
        self.answers.append(HttpAnswer())

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; what a trailer says comes too late to count."""
        answer = self.answers[-1]
        if not answer.head_done:
            answer.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Note the end of the headers, and how the body will end; `MalformedMessage` for no answer."""
        answer = self.answers[-1]
        answer.status = self._parser.get_status_code()
        _check_status(answer.status)
        _check_version(self._parser.get_http_version())
        answer.keeps_connection = self._parser.should_keep_alive()
        framed = _is_chunked(answer) or answer.header(b"content-length") is not None
        bodiless = answer.status in BODILESS_STATUSES or answer.status < MIN_FINAL_STATUS
        answer.ends_with_connection = not framed and not bodiless
        answer.head_done = True
        if answer.status >= MIN_FINAL_STATUS:
            self._overhead.note_growth()

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._overhead.note_growth()
        self.answers[-1].pieces.append(data)

    def on_message_complete(self) -> None:
        """Note the framed end of an answer."""
        self.answers[-1].complete = True


def _check_status(status: int) -> None:
    if not MIN_STATUS <= status <= MAX_STATUS or status == SWITCHING_STATUS:
        raise MalformedMessage(f"status {status:03}")


def _check_version(version: str) -> None:
    if version not in VERSIONS:
        raise MalformedMessage(f"version {version}")


def _is_chunked(answer: HttpAnswer) -> bool:
    """Tell whether a body comes in chunks; `MalformedMessage` if it is coded in another way."""
    values = [value for name, value in answer.headers if name == b"transfer-encoding"]
    coding = b", ".join(values).strip().lower()
    if coding not in (b"", CHUNKED, NO_CODING):
        raise MalformedMessage(f"transfer coding {coding!r}")
    return coding == CHUNKED
