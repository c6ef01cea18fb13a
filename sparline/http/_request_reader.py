"""Requests as they are read from a connection, within limits on size and time and an account of bytes."""

import socket
from dataclasses import dataclass
from enum import Enum

import gevent
from gevent.socket import socket as GeventSocket

from sparline._clock import now_ms
from sparline._read_turn import ReadTurn
from sparline.http._body_room import BodyRoom, RoomShortage
from sparline.http._held_bytes import HeldBytes
from sparline.http._messages import (
    MAX_HEADERS,
    HttpRequest,
    MalformedMessage,
    TooManyHeaders,
)
from sparline.http._request_parser import RequestParser

READ_BYTES = 65_536
# Bytes that are parsed before it is looked whether a request is whole: what follows it stays unparsed, as
# parsed requests take far more memory.
PARSED_BYTES = 2_048
# Shortest time for which a read waits (ms): it finds bytes that came while this process was suspended.
MIN_READ_TIMEOUT_MS = 1.0
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


@dataclass(frozen=True, slots=True)
class ReadLimits:
    """Bound what a caller may send, and how slowly."""

    max_head_bytes: int  # bytes of the request line and headers
    max_body_bytes: int  # bytes of the body
    head_timeout_ms: int  # from the first byte to the end of the headers
    idle_timeout_ms: int  # without a byte, between requests or within a body
    body_timeout_ms: int  # from the end of the headers to that of the body
    max_headers: int = MAX_HEADERS  # headers of a request


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


class RequestReader:
    """Read requests one after the other."""

    def __init__(self, connection: GeventSocket, held: HeldBytes | None) -> None:
        """Read from a connection; bodies are held in an account, None for one without a limit."""
        self._socket = connection
        self._held = held or HeldBytes()
        self._room: BodyRoom | None = None  # of the body that is read, or that is being answered
        self._parser = RequestParser()
        self._unparsed = b""  # bytes behind the request that was read
        self._turn = ReadTurn()
        self._resting = False
        self._is_reading = False  # whether a request is awaited or read
        # When it last began to wait for a request, or a body grew by a part that counts.
        self.progress_at_ms = now_ms()

    def next_request(self, limits: ReadLimits) -> HttpRequest | BadRequest | NoRoom | None:
        """Return the next request, None once the caller has none; nothing is held of the one before."""
        self.release()
        self._parser.max_headers = limits.max_headers
        self.progress_at_ms = now_ms()
        self._is_reading = True
        try:
            return self._read_request(limits)
        except TooManyHeaders as error:
            self._drop_unfinished()
            return BadRequest(431, str(error))
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
        is_whole = bool(requests) and requests[0].complete
        if is_whole or self._unparsed:
            # Requests that came together would be answered without letting anybody else run.
            gevent.sleep(0)
        if not is_whole:
            data, self._unparsed = self._unparsed, b""
            self._parse(data)
        found: BadRequest | NoRoom | Ended | None = self._read_head(limits)
        if found is None:
            found = self._read_body(requests[0], limits)
        if found is Ended.ENDED:
            return None
        if found is not None:
            self._drop_unfinished()
            return found
        return requests.pop(0)

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
            self._parse(data)
            if not requests or not requests[0].head_done:
                if now_ms() >= late_at_ms:
                    return _late(limits.head_timeout_ms)
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
        if not room.settle():
            return NoRoom(request, room.shortage())
        if (request.header(b"expect") or b"").lower() == b"100-continue":
            # It need not be sent unless there is room for all of it.
            if not room.wait_for_room(_told_bytes(request) or READ_BYTES):
                return NoRoom(request, room.shortage())
            self._socket.sendall(CONTINUE)
        while not request.complete:
            bad = self._read_part(request, limits, room, late_at_ms)
            if bad is not None:
                return bad
            if not request.complete and now_ms() >= late_at_ms:
                return _late(limits.body_timeout_ms)
        room.keep()
        return None

    def _read_part(
        self, request: HttpRequest, limits: ReadLimits, room: BodyRoom, late_at_ms: float
    ) -> BadRequest | NoRoom | Ended | None:
        """Read once of a body, as soon as there are bytes and room for them."""
        # Nobody else may take the room between the question and the read.
        self._turn.pause_if_due()
        max_bytes = _next_read_bytes(request, room)
        data = self._receive_now(max_bytes) if room.has_room(max_bytes) else None
        if data is None:
            timeout_ms = min(limits.idle_timeout_ms, _left_ms(late_at_ms))
            is_readable = room.wait_for_bytes(self._socket.fileno(), timeout_ms)
            if is_readable is False:
                return _late(min(limits.idle_timeout_ms, limits.body_timeout_ms))
            has_room = is_readable and room.wait_for_room(max_bytes)
            if self._socket.closed:
                return Ended.ENDED
            if not has_room:
                return NoRoom(request, room.shortage())
            data = self._receive_now(max_bytes)
        if not data:
            return None if data is None else Ended.ENDED
        before_bytes = len(request.body)
        self._parse(data)
        if room.note_growth(len(request.body) - before_bytes):
            self.progress_at_ms = now_ms()
        return _over_body_limit(request, limits)

    def _receive_now(self, max_bytes: int) -> bytes | None:
        """Read what has come; None for nothing yet, empty at the end."""
        try:
            data = self._socket._sock.recv(max_bytes, socket.MSG_DONTWAIT)  # noqa: SLF001
        except BlockingIOError:
            return None
        self._turn.note_read(len(data))
        return data

    def _parse(self, data: bytes) -> None:
        """Parse bytes up to the end of the first request, or little more."""
        requests = self._parser.requests
        begin = 0
        while begin < len(data):
            # No other request can follow within the bytes that a length announces.
            left_bytes = _left_bytes(requests[0]) if requests else 0
            end = begin + max(left_bytes, PARSED_BYTES)
            self._parser.feed(data[begin:end])
            begin = end
            if requests and requests[0].complete:
                self._unparsed = data[end:]
                return

    def _drop_unfinished(self) -> None:
        """Hold nothing more of requests that won't be answered."""
        for request in self._parser.requests:
            request.body = bytearray()
        self._parser.requests.clear()
        self._unparsed = b""
        self.release()

    def release(self) -> None:
        """Hold nothing more of the request that was read."""
        room, self._room = self._room, None
        if room is not None:
            room.release()

    def _receive(self, timeout_ms: float) -> bytes | None:
        """Read once; None after the timeout, empty at the end."""
        self._turn.pause_if_due()
        self._socket.settimeout(timeout_ms / 1000)
        self._resting = not self._parser.requests
        try:
            data = self._socket.recv(READ_BYTES)
            self._turn.note_read(len(data))
            return data
        except TimeoutError:
            return None
        finally:
            self._resting = False
            self._socket.settimeout(None)

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


def _left_bytes(request: HttpRequest) -> int:
    """Return how many bytes of a body are still to come if a length announces it, else 0."""
    told_bytes = _told_bytes(request) if request.head_done else None
    return 0 if told_bytes is None else told_bytes - len(request.body)


def _next_read_bytes(request: HttpRequest, room: BodyRoom) -> int:
    """Return how many bytes of a body to read next."""
    if _told_bytes(request) is None:
        return room.next_read_bytes(READ_BYTES)
    return room.next_read_bytes(min(READ_BYTES, max(_left_bytes(request), 1)))


def _left_ms(at_ms: float) -> float:
    """Return the time until then; a moment at least, so that bytes that have come are read."""
    return max(at_ms - now_ms(), MIN_READ_TIMEOUT_MS)


def _late(timeout_ms: float) -> BadRequest:
    return BadRequest(408, f"expected a request within {timeout_ms} ms")
