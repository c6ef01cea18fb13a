"""A caller's connection: requests in, answers out, and a watch for callers who leave."""

import socket
import struct
from collections.abc import Callable
from http import HTTPStatus

import gevent
from gevent.socket import socket as GeventSocket

from sparline.http._held_bytes import HeldBytes
from sparline.http._messages import BODILESS_STATUSES, Headers, HttpRequest
from sparline.http._request_reader import BadRequest, NoRoom, ReadLimits, RequestReader

# Longest part of a body that is copied to be written in one piece (bytes).
MAX_COPIED_BYTES = 16_384
# Values of SO_LINGER: closing, or the end of the process, resets the connection, or ends it cleanly.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


class CallerGone(Exception):
    """Say that whoever waits for the answer has left."""


class CallerConnection:
    """Read requests one after the other and write their answers."""

    def __init__(self, connection: GeventSocket, held: HeldBytes | None = None) -> None:
        """Take over an accepted connection, whose bodies are held in an account."""
        self._socket = connection
        self._reader = RequestReader(connection, held)
        self._watcher: object | None = None
        self.started = False  # whether the head of the current answer has left
        self.closing = False  # whether the connection ends after the current answer
        self._chunked = False
        self._unframed = False  # whether only the end of the connection ends the current answer

    def next_request(self, limits: ReadLimits) -> HttpRequest | BadRequest | NoRoom | None:
        """Return the next request, None once the caller has none; nothing is held of the one before."""
        self.started = False
        found = self._reader.next_request(limits)
        if isinstance(found, HttpRequest):
            self.closing = not found.keeps_connection
        return found

    def watch(self, on_gone: Callable[[], None]) -> None:
        """Call `on_gone` once the caller closes the connection."""
        watcher = gevent.get_hub().loop.io(self._socket.fileno(), 1)
        self._watcher = watcher
        watcher.start(self._look, watcher, on_gone)

    def _look(self, watcher: object, on_gone: Callable[[], None]) -> None:
        try:
            gone = self._socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""  # noqa: SLF001
        except BlockingIOError:
            return
        except OSError:
            gone = True
        # Bytes of a next request are no sign of leaving; they wait for their turn.
        self.unwatch()
        if gone:
            on_gone()

    def unwatch(self) -> None:
        """Stop watching."""
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()  # type: ignore[attr-defined]
            watcher.close()  # type: ignore[attr-defined]

    def begin(self, status: int, headers: Headers, length: int | None, first: bytes = b"") -> None:
        """Send the head; without a length the body goes in chunks, if the status allows one."""
        self._chunked = length is None and status not in BODILESS_STATUSES
        self._begin(status, headers, _framing(status, length), first)

    def begin_unframed(self, status: int, headers: Headers, first: bytes = b"") -> None:
        """Send the head of an answer that ends with the connection.

        Until the answer is finished, closing resets the connection, so that a cut shows.
        """
        self._chunked = False
        self._unframed = True
        self.closing = True
        self._set_linger(RESET_ON_CLOSE)
        self._begin(status, headers, [], first)

    def _begin(self, status: int, headers: Headers, framing: list[bytes], first: bytes) -> None:
        lines = [b"HTTP/1.1 %d %s" % (status, phrase(status))]
        lines += [name + b": " + value for name, value in headers]
        lines += framing
        if self.closing:
            lines.append(b"Connection: close")
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        self.started = True
        self._write_part(first, head)

    def _set_linger(self, value: bytes) -> None:
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
        except OSError as error:
            raise CallerGone from error

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            self._write_part(data)

    def _write_part(self, data: bytes, before: bytes = b"") -> None:
        """Write bytes and a part of the body; a long part isn't copied."""
        is_framed = self._chunked and data
        before = b"%b%x\r\n" % (before, len(data)) if is_framed else before
        after = b"\r\n" if is_framed else b""
        if len(data) <= MAX_COPIED_BYTES:
            self._write(before + data + after)
            return
        for part in (before, data, after):
            if part:
                self._write(part)

    def finish(self) -> None:
        """Send the end of the body."""
        if self._chunked:
            self._write(b"0\r\n\r\n")
        if self._unframed:
            self._set_linger(END_ON_CLOSE)
            self._end_output()

    def _end_output(self) -> None:
        """Let the caller see the end of the connection although bytes of it may be unread here."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
        except OSError as error:
            raise CallerGone from error

    def _write(self, data: bytes) -> None:
        try:
            self._socket.sendall(data)
        except OSError as error:
            raise CallerGone from error

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        self.begin(status, headers, len(body), body)

    def answer_unframed(self, status: int, headers: Headers, body: bytes) -> None:
        """Send an answer that ends with the connection."""
        self.begin_unframed(status, headers, body)
        self.finish()

    def close(self) -> None:
        """Close the connection."""
        self.unwatch()
        self._reader.release()
        self._socket.close()

    @property
    def progress_at_ms(self) -> float:
        """Return when it last began to wait for a request, or a body grew by a part that counts."""
        return self._reader.progress_at_ms

    def is_resting(self) -> bool:
        """Tell whether no request is under way and no byte of a next one has come."""
        return self._reader.is_resting()

    def may_be_pushed_out(self) -> bool:
        """Tell whether it is only waited for: no request is whole, and none begins just now."""
        return self._reader.may_be_pushed_out()

    def linger(self, for_s: float) -> None:
        """Let the caller read the answer before the connection is reset by unread bytes."""
        self._reader.linger(for_s)


def _framing(status: int, length: int | None) -> list[bytes]:
    """Return the header that tells where a body ends, none where there can't be one."""
    if status in BODILESS_STATUSES:
        return []
    if length is None:
        return [b"Transfer-Encoding: chunked"]
    return [b"Content-Length: %d" % length]


_PHRASES = {one.value: one.phrase.encode() for one in HTTPStatus}


def phrase(status: int) -> bytes:
    """Return the usual words for a status."""
    return _PHRASES.get(status, b"Other")
