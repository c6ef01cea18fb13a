"""A server that sends given bytes as its answer and then ends the connection."""

import contextlib
import socket
from dataclasses import dataclass, field
from enum import Enum

import gevent
from gevent.server import StreamServer
from gevent.socket import socket as GeventSocket

from sparline.http import HttpRequest, RequestParser

READ_BYTES = 65_536
# Answer to a request without an id, by which instances ask whether a server is present.
PRESENT = b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
# What the kernel takes at most of a request that nobody reads, about (bytes).
UNREAD_BUFFER_BYTES = 4_096
# What stands for the id of the request in the bytes that are sent.
ID_MARK = b"{id}"
# Closing with this set resets the connection instead of ending it.
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class RawEnd(Enum):
    """Name how a connection ends after the bytes."""

    CLOSE = "close"  # as at the end of an answer
    RESET = "reset"  # as when its process is killed
    NONE = "none"  # the connection stays open
    HALF_CLOSE = "half_close"  # as CLOSE, while the other side may go on writing
    LATE_RESET = "late_reset"  # as CLOSE, and what the other side then writes is refused


# Time between a clean end and the reset that follows it (s).
BEFORE_RESET_S = 0.05
# Ends after which the server reads on until the other side leaves.
OPEN_ENDS = (RawEnd.HALF_CLOSE, RawEnd.NONE)


@dataclass(slots=True)
class RawServer:
    """Answer each request that has an id with the same bytes."""

    ip: str
    port: int
    answer: bytes  # sent after a request, with the request's id in place of `ID_MARK`
    end: RawEnd = RawEnd.CLOSE
    reads_bodies: bool = True  # whether it reads a request whole before it answers
    request_ids: list[str] = field(default_factory=list)  # of the requests that were answered
    _server: StreamServer | None = None

    def start(self) -> None:
        """Open the port."""
        self._server = StreamServer((self.ip, self.port), self._serve)
        self._server.start()

    def stop(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def _serve(self, connection: GeventSocket, _address: object) -> None:
        with contextlib.suppress(OSError):
            request = self._read_request(connection)
            if request is not None:
                self._answer(connection, request)
        connection.close()

    def _read_request(self, connection: GeventSocket) -> HttpRequest | None:
        if not self.reads_bodies:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
        parser = RequestParser()
        while not parser.requests or not self._is_read(parser.requests[0]):
            data = connection.recv(READ_BYTES)
            if not data:
                return None
            parser.feed(data)
        return parser.requests[0]

    def _is_read(self, request: HttpRequest) -> bool:
        return request.complete if self.reads_bodies else request.head_done

    def _answer(self, connection: GeventSocket, request: HttpRequest) -> None:
        request_id = request.header(b"attempt-id")
        if request_id is None:
            connection.sendall(PRESENT)
            return
        self.request_ids.append(request_id.decode())
        connection.sendall(self.answer.replace(ID_MARK, request_id))
        if self.end is RawEnd.RESET:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        if self.end in (RawEnd.HALF_CLOSE, RawEnd.LATE_RESET):
            connection.shutdown(socket.SHUT_WR)
        if self.end is RawEnd.LATE_RESET:
            gevent.sleep(BEFORE_RESET_S)
        if self.end in OPEN_ENDS:
            _read_to_end(connection)


def _read_to_end(connection: GeventSocket) -> None:
    while connection.recv(READ_BYTES):
        pass
