"""Tests of messages whose bytes never come to an end, by the place where they go on."""

import resource
from collections.abc import Iterator

import gevent
import pytest
from gevent import socket

from sparline.http import (
    BackendConnection,
    BadRequest,
    CallerConnection,
    ConnectionBroken,
    HttpRequest,
    ReadLimits,
)
from standins import EndlessBytes, endless_answers

# Longer than any read of a bounded message takes on the slowest machine (s).
PATIENCE_S = 20.0
# Requests in one read.
TOGETHER = 100
# Bytes that a reader may take of what is no message before it gives up.
MAX_TAKEN_BYTES = 1_048_576
# Memory that a process has on the users' machines (bytes).
MAX_PROCESS_BYTES = 300_000_000
# What the kernel and the sender hold besides (bytes).
BUFFERED_BYTES = 16_777_216
ANSWERS = endless_answers(b"HTTP/1.1 200 OK\r\nid: 1\r\n", b"HTTP/1.1 200 OK\r\nid: 2\r\n")


class EndlessPeer:
    """Send one message for as long as the other side reads."""

    def __init__(self, message: EndlessBytes) -> None:
        """Open a port."""
        self._message = message
        self._writers: list[gevent.Greenlet] = []
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(8)
        self.address = self._listener.getsockname()
        self._serving = gevent.spawn(self._serve)

    def _serve(self) -> None:
        while True:
            connection = self._listener.accept()[0]
            self._writers.append(gevent.spawn(self._message.write_to, connection))

    def taken_bytes(self) -> int:
        """Wait until the other side has closed all connections; return what it took."""
        return sum(one.get() for one in self._writers)

    def close(self) -> None:
        """Close the port."""
        self._serving.kill()
        self._listener.close()


@pytest.fixture
def connection(request) -> Iterator[BackendConnection]:
    """Yield a connection over which a message comes without an end."""
    peer = EndlessPeer(request.param)
    opened = BackendConnection(peer.address, 1.0)
    opened.peer = peer
    yield opened
    opened.close()
    peer.close()


def read_all(opened: BackendConnection) -> None:
    answer = opened.read_head(lambda one: one.header(b"id") == b"1")
    opened.skip_body(answer)
    if not opened.reusable:
        raise ConnectionBroken("expected the end of the body, found none")


@pytest.mark.parametrize("connection", ANSWERS.values(), ids=ANSWERS, indirect=True)
def test_answer_without_an_end_is_given_up_within_a_bound(connection):
    """Guards against memory that grows with what a server sends, and a process that serves nobody."""
    with gevent.Timeout(PATIENCE_S):
        with pytest.raises(ConnectionBroken):
            read_all(connection)
        connection.close()
        assert connection.peer.taken_bytes() < MAX_TAKEN_BYTES + BUFFERED_BYTES


LIMITS = ReadLimits(4_096, 10_000, 1_000, 1_000, 60_000)
POST = b"POST /a HTTP/1.1\r\nhost: x\r\n"
POST_CHUNKED = POST + b"transfer-encoding: chunked\r\n\r\n"
REQUESTS = {
    "a request line": EndlessBytes(b"POST /", b"x" * 4096),
    "headers": EndlessBytes(POST, b"x: y\r\n" * 100),
    "the size of a chunk": EndlessBytes(POST_CHUNKED, b"0" * 4096),
    "the extension of a chunk": EndlessBytes(POST_CHUNKED + b"3;", b"x" * 4096),
    "trailers": EndlessBytes(POST_CHUNKED + b"0\r\n", b"x: y\r\n" * 100),
    "the value of a trailer": EndlessBytes(POST_CHUNKED + b"0\r\nx: ", b"x" * 4096),
    "a body": EndlessBytes(POST_CHUNKED, b"5\r\nabcde\r\n"),
    "no request at all": EndlessBytes(b"", b"x" * 4096),
}


@pytest.mark.parametrize("message", REQUESTS.values(), ids=REQUESTS)
def test_request_without_an_end_is_rejected_within_a_bound(message):
    """Guards against memory that grows with what a caller sends, and a process that serves nobody."""
    caller, accepted = socket.socketpair()
    with caller, accepted, gevent.Timeout(PATIENCE_S):
        writing = gevent.spawn(message.write_to, caller)
        connection = CallerConnection(accepted)
        assert isinstance(connection.next_request(LIMITS), BadRequest)
        connection.linger(0.2)
        writing.kill()


def answer_all(accepted: socket.socket) -> None:
    connection = CallerConnection(accepted)
    while isinstance(connection.next_request(LIMITS), HttpRequest):
        connection.answer(404, [], b"")
    connection.close()


def test_others_run_between_requests_that_came_together():
    # Guards against requests in a buffer that are all answered before anybody else is served.
    caller, accepted = socket.socketpair()
    with caller, gevent.Timeout(PATIENCE_S):
        caller.sendall(b"GET / HTTP/1.1\r\n\r\n" * TOGETHER)
        caller.shutdown(socket.SHUT_WR)
        answering = gevent.spawn(answer_all, accepted)
        turns_of_others = 0
        while not answering.ready():
            gevent.sleep(0)
            turns_of_others += 1
        assert turns_of_others >= TOGETHER


@pytest.mark.parametrize("digits", [400, 5_000])
def test_time_to_rest_with_more_digits_than_any_is_ignored(digits):
    # Guards against a whole answer that is lost by an error of the conversion of a number.
    head = b"HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%b\r\n" % (b"9" * digits)
    peer = EndlessPeer(EndlessBytes(head + b"Content-Length: 1\r\n\r\na", b"x"))
    opened = BackendConnection(peer.address, 1.0)
    answer = opened.read_head(lambda _answer: True)
    assert opened.read_body(answer, 1) == b"a"
    opened.close()
    peer.close()


def test_resident_memory_does_not_grow_with_endless_messages():
    """Guards against bounds that count bytes and keep them all the same."""
    for message in ANSWERS.values():
        peer = EndlessPeer(message)
        opened = BackendConnection(peer.address, 1.0)
        with gevent.Timeout(PATIENCE_S), pytest.raises(ConnectionBroken):
            read_all(opened)
        opened.close()
        peer.close()
    peak_bytes = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    assert peak_bytes < MAX_PROCESS_BYTES
