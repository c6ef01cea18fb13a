"""A server that sends given bytes as its answer and then ends the connection."""

import contextlib
import socket
from dataclasses import dataclass, field
from enum import Enum

from gevent.server import StreamServer
from gevent.socket import socket as GeventSocket

from sparline.http import HttpRequest, RequestParser

READ_BYTES = 65_536
# Answer to a request without an id, by which instances ask whether a server is present.
PRESENT = b"HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
# What stands for the id of the request in the bytes that are sent.
ID_MARK = b"{id}"
# Closing with this set resets the connection instead of ending it.
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class RawEnd(Enum):
    """Name how a connection ends after the bytes."""

    CLOSE = "close"  # as at the end of an answer
    RESET = "reset"  # as when its process is killed


@dataclass(slots=True)
class RawServer:
    """Answer each request that has an id with the same bytes."""

    ip: str
    port: int
    answer: bytes  # sent after a request, with the request's id in place of `ID_MARK`
    end: RawEnd = RawEnd.CLOSE
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
            request = _read_request(connection)
            if request is not None:
                self._answer(connection, request)
        connection.close()

    def _answer(self, connection: GeventSocket, request: HttpRequest) -> None:
        request_id = request.header(b"attempt-id")
        if request_id is None:
            connection.sendall(PRESENT)
            return
        self.request_ids.append(request_id.decode())
        connection.sendall(self.answer.replace(ID_MARK, request_id))
        if self.end is RawEnd.RESET:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def _read_request(connection: GeventSocket) -> HttpRequest | None:
    parser = RequestParser()
    while not parser.requests or not parser.requests[0].complete:
        data = connection.recv(READ_BYTES)
        if not data:
            return None
        parser.feed(data)
    return parser.requests[0]
