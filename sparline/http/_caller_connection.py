"""A caller's connection: requests in, answers out, and a watch for callers who leave."""

import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus

import gevent
from gevent.socket import socket as GeventSocket

from sparline._clock import now_ms
from sparline._read_turn import ReadTurn
from sparline.http._body_room import BodyRoom, RoomShortage
from sparline.http._held_bytes import HeldBytes
from sparline.http._messages import Headers, HttpRequest, MalformedMessage, RequestParser

READ_BYTES = 65_536
# Shortest time for which a read waits (ms): it finds bytes that came while this process was suspended.
MIN_READ_TIMEOUT_MS = 1.0
# Longest part of a body that is copied to be written in one piece (bytes).
MAX_COPIED_BYTES = 16_384
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
# Values of SO_LINGER: closing, or the end of the process, resets the connection, or ends it cleanly.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
END_ON_CLOSE = struct.pack("ii", 0, 0)


class CallerGone(Exception):
    """Say that whoever waits for the answer has left."""


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Bound what a caller may send, and how slowly."""

    max_head_bytes: int  # bytes of the request line and headers
    max_body_bytes: int  # bytes of the body
    head_timeout_ms: int  # from the first byte to the end of the headers
    idle_timeout_ms: int  # without a byte, between requests or within a body
    body_timeout_ms: int  # from the end of the headers to that of the body


@dataclass(frozen=True, slots=True)
class BadRequest:
    """Say why a request can't be read; the connection ends with it."""

    status: int  # HTTP status
    text: str  # what was expected and found


@dataclass(frozen=True, slots=True)
class NoRoom:
    """Say that there is no room for a request; the connection ends with it."""

    request: HttpRequest  # its head
    shortage: RoomShortage  # why it is not read on


class Ended(Enum):
    """Say that there is nobody to answer."""

    ENDED = "ended"


class CallerConnection:
    """Read requests one after the other and write their answers."""

    def __init__(self, connection: GeventSocket, held: HeldBytes | None = None) -> None:
        """Take over an accepted connection, whose bodies are held in an account."""
        self._socket = connection
        self._held = held or HeldBytes()
        self._room: BodyRoom | None = None  # of the body that is read, or that is being answered
        self._parser = RequestParser()
        self._turn = ReadTurn()
        self._watcher: object | None = None
        self.started = False  # whether the head of the current answer has left
        self.closing = False  # whether the connection ends after the current answer
        self._chunked = False
        self._unframed = False  # whether only the end of the connection ends the current answer
        self._resting = False
        self._is_reading = False  # whether a request is awaited or read
        # When it last began to wait for a request, or a body grew by a part that counts.
        self.progress_at_ms = now_ms()

    def next_request(self, limits: ReadLimits) -> HttpRequest | BadRequest | NoRoom | None:
        """Return the next request, None once the caller has none; nothing is held of the one before."""
        self.started = False
        self._release_room()
        self.progress_at_ms = now_ms()
        self._is_reading = True
        try:
            return self._read_request(limits)
        except MalformedMessage as error:
            self._drop_unfinished()
            return BadRequest(400, str(error))
        except OSError:
            # Nobody is left to answer.
            return None
        finally:
            self._is_reading = False

    def _read_request(self, limits: ReadLimits) -> HttpRequest | BadRequest | NoRoom | None:
        requests = self._parser.requests
        if requests and requests[0].complete:
            # Requests that came together would be answered without letting anybody else run.
            gevent.sleep(0)
        found = self._read_head(limits)
        if found is None:
            found = self._read_body(requests[0], limits)
        if found is Ended.ENDED:
            return None
        if found is not None:
            self._drop_unfinished()
            return found
        request = requests.pop(0)
        self.closing = not request.keeps_connection
        return request

    def _read_head(self, limits: ReadLimits) -> BadRequest | Ended | None:
        """Read until a head is whole; None if it is."""
        requests = self._parser.requests
        head_bytes = 0
        late_at_ms = now_ms() + limits.head_timeout_ms if requests else None
        while not requests or not requests[0].head_done:
            if late_at_ms is None:
                data = self._receive(limits.idle_timeout_ms)
                late_at_ms = now_ms() + limits.head_timeout_ms
            else:
                data = self._receive(_left_ms(late_at_ms))
                if data is None:
                    return _late(limits.head_timeout_ms)
            if not data:
                return Ended.ENDED
            self._parser.feed(data)
            if not requests or not requests[0].head_done:
                head_bytes += len(data)
                if head_bytes > limits.max_head_bytes:
                    return BadRequest(431, f"expected at most {limits.max_head_bytes} header bytes")
        return _over_limits(requests[0], limits)

    def _read_body(
        self, request: HttpRequest, limits: ReadLimits
    ) -> BadRequest | NoRoom | Ended | None:
        """Read until a body is whole; None if it is."""
        if request.complete:
            return None
        late_at_ms = now_ms() + limits.body_timeout_ms
        room = self._room = BodyRoom(self._held)
        room.note_growth(len(request.body))
        if (request.header(b"expect") or b"").lower() == b"100-continue":
            # It need not be sent unless there is room for all of it.
            if not room.wait_for_room(_told_bytes(request) or READ_BYTES):
                return NoRoom(request, room.shortage())
            self._socket.sendall(CONTINUE)
        while not request.complete:
            if self._socket.closed:
                return Ended.ENDED
            timeout_ms = min(limits.idle_timeout_ms, _left_ms(late_at_ms))
            is_readable = room.wait_for_bytes(self._socket.fileno(), timeout_ms)
            if self._socket.closed:
                return Ended.ENDED
            if is_readable is False:
                return _late(min(limits.idle_timeout_ms, limits.body_timeout_ms))
            next_bytes = _next_read_bytes(request, room)
            if is_readable is None or not room.wait_for_room(next_bytes):
                return Ended.ENDED if self._socket.closed else NoRoom(request, room.shortage())
            bad = self._read_body_once(request, limits, next_bytes)
            if bad is not None:
                return bad
        room.keep()
        return None

    def _read_body_once(
        self, request: HttpRequest, limits: ReadLimits, max_bytes: int
    ) -> BadRequest | Ended | None:
        assert self._room is not None, "an unfinished body has room"
        before_bytes = len(request.body)
        data = self._receive(limits.idle_timeout_ms, max_bytes)
        if data is None:
            return _late(limits.idle_timeout_ms)
        if not data:
            return Ended.ENDED
        self._parser.feed(data)
        if self._room.note_growth(len(request.body) - before_bytes):
            self.progress_at_ms = now_ms()
        return _over_body_limit(request, limits)

    def _drop_unfinished(self) -> None:
        """Hold nothing more of requests that won't be answered."""
        for request in self._parser.requests:
            request.body = bytearray()
        self._parser.requests.clear()
        self._release_room()

    def _release_room(self) -> None:
        room, self._room = self._room, None
        if room is not None:
            room.release()

    def _receive(self, timeout_ms: float, max_bytes: int = READ_BYTES) -> bytes | None:
        """Read once; None after the timeout, empty at the end."""
        self._turn.pause_if_due()
        self._socket.settimeout(timeout_ms / 1000)
        self._resting = not self._parser.requests
        try:
            data = self._socket.recv(max_bytes)
            self._turn.note_read(len(data))
            return data
        except TimeoutError:
            return None
        finally:
            self._resting = False
            self._socket.settimeout(None)

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
        """Send the head; without a length the body goes in chunks."""
        self._chunked = length is None
        framing = (
            b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        )
        self._begin(status, headers, [framing], first)

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
        self._release_room()
        self._socket.close()

    def is_resting(self) -> bool:
        """Tell whether no request is under way and no byte of a next one has come."""
        if not self._resting or self._parser.requests:
            return False
        try:
            self._socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)  # noqa: SLF001
        except OSError:
            return True
        return False

    def may_be_pushed_out(self) -> bool:
        """Tell whether it is only waited for: no request is whole, and none begins just now."""
        return self._is_reading and (not self._resting or self.is_resting())

    def linger(self, for_s: float) -> None:
        """Let the caller read the answer before the connection is reset by unread bytes."""
        try:
            self._socket.shutdown(socket.SHUT_WR)
            with gevent.Timeout(for_s, False):
                while data := self._socket.recv(READ_BYTES):
                    self._turn.note_read(len(data))
                    self._turn.pause_if_due()
        except OSError:
            # The caller has closed first: the answer was read or is not wanted.
            return


def _over_limits(request: HttpRequest, limits: ReadLimits) -> BadRequest | None:
    head_bytes = len(request.target) + sum(
        len(name) + len(value) + 4 for name, value in request.headers
    )
    if head_bytes > limits.max_head_bytes:
        return BadRequest(431, f"expected at most {limits.max_head_bytes} header bytes")
    return _over_body_limit(request, limits)


def _over_body_limit(request: HttpRequest, limits: ReadLimits) -> BadRequest | None:
    if max(_told_bytes(request) or 0, len(request.body)) > limits.max_body_bytes:
        return BadRequest(413, f"expected at most {limits.max_body_bytes} body bytes")
    return None


def _told_bytes(request: HttpRequest) -> int | None:
    """Return the length that a request tells, None without one."""
    told = request.header(b"content-length") or b""
    return int(told) if told.isdigit() else None


def _next_read_bytes(request: HttpRequest, room: BodyRoom) -> int:
    """Return how many bytes of a body to read next."""
    told_bytes = _told_bytes(request)
    if told_bytes is None:
        return room.next_read_bytes(READ_BYTES)
    return room.next_read_bytes(min(READ_BYTES, max(told_bytes - len(request.body), 1)))


def _left_ms(at_ms: float) -> float:
    """Return the time until then; a moment at least, so that bytes that have come are read."""
    return max(at_ms - now_ms(), MIN_READ_TIMEOUT_MS)


def _late(timeout_ms: float) -> BadRequest:
    return BadRequest(408, f"expected a request within {timeout_ms} ms")


_PHRASES = {one.value: one.phrase.encode() for one in HTTPStatus}


def phrase(status: int) -> bytes:
    """Return the usual words for a status."""
    return _PHRASES.get(status, b"Other")
