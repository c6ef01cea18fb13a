"""Messages whose bytes never come to an end, by the place where they go on."""

import socket
import threading
import time
from dataclasses import dataclass, field

import gevent
from gevent.socket import socket as GeventSocket

# Bytes of one write.
WRITE_BYTES = 65_536
REPEATED = b"x" * 4096
# Time after which a sender that runs by itself ends (s), and how often one looks whether it has.
SENDING_S = 15.0
POLL_S = 0.02


@dataclass(frozen=True, slots=True)
class EndlessBytes:
    """Hold bytes that begin a message, and others that go on without an end."""

    begin: bytes
    repeated: bytes

    def write_to(self, connection: GeventSocket) -> int:
        """Write until the other side closes the connection; return the bytes that it took."""
        block = self.repeated * (WRITE_BYTES // len(self.repeated) + 1)
        taken = 0
        try:
            connection.sendall(self.begin)
            while True:
                connection.sendall(block)
                taken += len(block)
                # A connection that always takes bytes must not keep all others waiting.
                gevent.sleep(0)
        except OSError:
            return taken


@dataclass(slots=True)
class EndlessSender:
    """Send bytes from a thread of its own, as another machine does."""

    address: tuple[str, int]
    begin: bytes
    repeated: bytes
    taken_bytes: int = 0  # what the server took
    is_closed: bool = False  # whether the server has closed the connection
    connection: socket.socket = field(init=False)
    thread: threading.Thread = field(init=False)

    def __post_init__(self) -> None:
        """Begin."""
        self.connection = socket.create_connection(self.address)
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()

    def _run(self) -> None:
        until_s = time.monotonic() + SENDING_S
        threading.Thread(target=self._drop_answers, daemon=True).start()
        try:
            self.connection.sendall(self.begin)
            while time.monotonic() < until_s:
                self.connection.sendall(self.repeated)
                self.taken_bytes += len(self.repeated)
        except OSError:
            self.is_closed = True

    def _drop_answers(self) -> None:
        try:
            while self.connection.recv(65_536):
                pass
        except OSError:
            return

    def stop(self) -> None:
        """Send nothing more."""
        self.connection.shutdown(socket.SHUT_RDWR)
        self.wait()

    def wait(self) -> None:
        """Wait for the end, and let the server run meanwhile."""
        while self.thread.is_alive():
            gevent.sleep(POLL_S)
        self.connection.close()


def endless_answers(head: bytes, other_head: bytes) -> dict[str, EndlessBytes]:
    """Return an answer for each place; the heads lack their empty line and any framing.

    `head` belongs to the request that is answered, `other_head` to another one.
    """
    chunked = head + b"Transfer-Encoding: chunked\r\n\r\n"
    long_body = other_head + b"Content-Length: 999999999999\r\n\r\n"
    no_body = other_head + b"Content-Length: 0\r\n\r\n"
    return {
        "interim answers": EndlessBytes(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
        "a status line": EndlessBytes(b"HTTP/1.1 200 ", REPEATED),
        "the name of a header": EndlessBytes(head, REPEATED),
        "the value of a header": EndlessBytes(head + b"x: ", REPEATED),
        "headers": EndlessBytes(head, b"x: y\r\n" * 100),
        "the size of a chunk": EndlessBytes(chunked, b"0" * 4096),
        "the extension of a chunk": EndlessBytes(chunked + b"3;", REPEATED),
        "trailers": EndlessBytes(chunked + b"0\r\n", b"x: y\r\n" * 100),
        "the value of a trailer": EndlessBytes(chunked + b"0\r\nx: ", REPEATED),
        "another answer's body": EndlessBytes(long_body, REPEATED),
        "other answers": EndlessBytes(b"", no_body),
        "no answer at all": EndlessBytes(b"", REPEATED),
    }


def endless_streams(head: bytes) -> dict[str, EndlessBytes]:
    """Return a stream for each place of an event; the head lacks its empty line and any framing."""
    begin = head + b"\r\nid: 1\ndata: a\n\n"
    return {
        "the data of an event": EndlessBytes(begin + b"id: 2\ndata: ", REPEATED),
        "lines of an event": EndlessBytes(begin + b"id: 2\n", b"data: b\n" * 100),
        "ids of an event": EndlessBytes(begin, b"id: 2\n" * 100),
        "the id of an event": EndlessBytes(begin + b"id: ", b"9" * 4096),
        "an event from the first on": EndlessBytes(head + b"\r\n", REPEATED),
    }


def endless_requests() -> dict[str, EndlessBytes]:
    """Return a request for each place, and requests in a row."""
    get = b"GET /safe/x HTTP/1.1\r\nHost: x\r\n"
    chunked = b"POST /safe/x HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    return {
        "a request line": EndlessBytes(b"GET /", REPEATED),
        "the value of a header": EndlessBytes(get + b"x: ", REPEATED),
        "headers": EndlessBytes(get, b"x: y\r\n" * 100),
        "the size of a chunk": EndlessBytes(chunked, b"0" * 4096),
        "the extension of a chunk": EndlessBytes(chunked + b"3;", REPEATED),
        "trailers": EndlessBytes(chunked + b"0\r\n", b"x: y\r\n" * 100),
        "a body": EndlessBytes(chunked, b"1000\r\n" + REPEATED + b"\r\n"),
        "requests in a row": EndlessBytes(b"", (get + b"\r\n") * 100),
        "no request at all": EndlessBytes(b"", REPEATED),
    }
