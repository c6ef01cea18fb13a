"""Callers' requests as they are read from a connection."""

import httptools

from sparline.http._messages import (
    MAX_HEADERS,
    HttpRequest,
    MalformedMessage,
    OverheadCount,
    TooManyHeaders,
)


class RequestParser:
    """Turn bytes into requests; several may be in one read."""

    def __init__(self) -> None:
        """Start before the first request."""
        self.requests: list[HttpRequest] = []  # oldest first; the last may be incomplete
        self._overhead = OverheadCount()
        self.max_headers = MAX_HEADERS  # headers that are kept of a request
        self._has_too_many_headers = False
        self._parser = httptools.HttpRequestParser(self)

    def feed(self, data: bytes) -> None:
        """Read bytes; `MalformedMessage` where they are no requests, or go on without a body."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise MalformedMessage("expected no change of protocol, found an upgrade") from error
        except httptools.HttpParserError as error:
            raise MalformedMessage(f"expected an HTTP/1.1 request, found: {error}") from error
        if not self.requests or not self.requests[-1].head_done or self.requests[-1].complete:
            # Whoever reads the head bounds it, by what callers may send.
            self._overhead.note_growth()
        self._overhead.note_read(len(data))
        if self._has_too_many_headers:
            raise TooManyHeaders(f"expected at most {self.max_headers} headers, found more")

    def on_message_begin(self) -> None:
        """Begin a request."""
        self.requests.append(HttpRequest())

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self.requests[-1].target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; what a trailer says comes too late to count."""
        request = self.requests[-1]
        if request.head_done:
            return
        if len(request.headers) < self.max_headers:
            request.headers.append((name.lower(), value))
        else:
            self._has_too_many_headers = True

    def on_headers_complete(self) -> None:
        """Note the end of the headers."""
        request = self.requests[-1]
        request.method = self._parser.get_method()
        request.keeps_connection = self._parser.should_keep_alive()
        request.head_done = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._overhead.note_growth()
        self.requests[-1].body += data

    def on_message_complete(self) -> None:
        """Note the end of a request."""
        self.requests[-1].complete = True
