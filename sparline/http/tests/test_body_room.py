"""Bodies of many connections share one account: some are given up, and the others end."""

from contextlib import contextmanager

import gevent
import pytest
from gevent import socket

from sparline.http import (
    SMALL_BYTES,
    CallerConnection,
    HeldBytes,
    HttpRequest,
    NoRoom,
    ReadLimits,
    ShortageReason,
)

BODY_BYTES = 400_000
ACCOUNT_BYTES = 1_600_000
LIMITS = ReadLimits(2_000, BODY_BYTES, 60_000, 60_000, 60_000)
# Far bound of a wait (s).
FAR_S = 60.0
SMALL = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\n" + b"s" * 1_000
HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\n"
CHUNK_BYTES = 40_000


def with_length(body_bytes=BODY_BYTES):
    return HEAD + b"content-length: %d\r\n\r\n" % BODY_BYTES + b"b" * body_bytes


def in_chunks(body_bytes=BODY_BYTES):
    chunk = b"%x\r\n%b\r\n" % (CHUNK_BYTES, b"c" * CHUNK_BYTES)
    end = b"0\r\n\r\n" if body_bytes == BODY_BYTES else b""
    return HEAD + b"transfer-encoding: chunked\r\n\r\n" + chunk * (body_bytes // CHUNK_BYTES) + end


class Crowd:
    """Read the requests of many callers at once; each holds its request until it is released."""

    def __init__(self, held):
        self.held = held
        self.found = []
        self.most_bytes = 0
        self.may_end = gevent.event.Event()
        self.tasks = []
        self.open = []

    def add(self, data):
        caller, accepted = socket.socketpair()
        connection = CallerConnection(accepted, self.held)
        self.open += [caller, connection]
        self.tasks.append(gevent.spawn(self._read, connection))
        sender = gevent.spawn(self._send, caller, data)
        self.tasks.append(sender)
        return sender

    def _send(self, caller, data):
        try:
            caller.sendall(data)
        except OSError:
            # Its connection was closed as its body was given up.
            return

    def _read(self, connection):
        found = connection.next_request(LIMITS)
        self.most_bytes = max(self.most_bytes, self.held.total_bytes)
        self.found.append(found)
        if isinstance(found, HttpRequest):
            self.may_end.wait()
        connection.close()

    def count(self, kind):
        return sum(isinstance(one, kind) for one in self.found)

    def until(self, is_true):
        with gevent.Timeout(FAR_S):
            while not is_true():
                gevent.sleep(0.01)


@contextmanager
def crowd():
    one = Crowd(HeldBytes(ACCOUNT_BYTES))
    try:
        yield one
    finally:
        gevent.killall(one.tasks)
        for connection in one.open:
            connection.close()


@pytest.mark.parametrize("make", (with_length, in_chunks))
def test_bodies_that_never_end_are_given_up_and_small_requests_served(make):
    with crowd() as many:
        for _ in range(20):
            many.add(make(BODY_BYTES - CHUNK_BYTES))
        many.until(lambda: many.count(NoRoom) >= 17)
        many.add(SMALL)
        many.until(lambda: many.count(HttpRequest))
        assert many.most_bytes <= ACCOUNT_BYTES
        assert many.held.total_bytes <= ACCOUNT_BYTES


@pytest.mark.parametrize("make", (with_length, in_chunks))
def test_whole_bodies_at_once_do_not_wait_for_each_other_for_ever(make):
    with crowd() as many:
        for _ in range(20):
            many.add(make())
        many.until(lambda: many.count(HttpRequest) + many.count(NoRoom) == 20)
        assert many.count(HttpRequest) >= 2
        assert many.most_bytes <= ACCOUNT_BYTES
        many.may_end.set()
        many.until(lambda: many.held.total_bytes == 0)
        many.add(make())
        many.until(lambda: len(many.found) == 21)
        assert isinstance(many.found[-1], HttpRequest)


def test_many_bodies_that_stop_at_once_do_not_exceed_the_account():
    with crowd() as many:
        for _ in range(60):
            many.add(with_length(SMALL_BYTES - 1_000))
        many.until(lambda: many.count(NoRoom) >= 34)
        assert many.held.total_bytes <= ACCOUNT_BYTES
        many.add(SMALL)
        many.until(lambda: many.count(HttpRequest))


def test_body_that_finds_room_as_others_end_is_served():
    with crowd() as many:
        for _ in range(3):
            many.add(with_length())
        many.until(lambda: many.count(HttpRequest) >= 2)
        many.may_end.set()
        many.until(lambda: many.count(HttpRequest) == 3)
        many.add(with_length())
        many.until(lambda: many.count(HttpRequest) == 4)


def test_body_without_progress_is_given_up_for_one_that_moves():
    with crowd() as many:
        for _ in range(3):
            many.add(with_length(BODY_BYTES - 1))
        many.until(lambda: many.held.total_bytes == 3 * (BODY_BYTES - 1))
        many.add(with_length())
        many.until(lambda: many.count(HttpRequest))
        stalled = [one for one in many.found if isinstance(one, NoRoom)]
        assert stalled
        assert {one.shortage.reason for one in stalled} == {ShortageReason.STALLED}


def test_refusal_comes_before_the_body_where_the_caller_waits_for_it():
    with crowd() as many:
        for _ in range(3):
            many.add(with_length())
        many.until(lambda: many.count(HttpRequest) == 3)
        expecting = HEAD + b"expect: 100-continue\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
        many.add(expecting)
        many.until(lambda: many.count(NoRoom))
        refused = many.found[-1]
        assert refused.shortage.body_bytes == 0


def test_nothing_is_held_of_a_request_that_was_refused_or_answered():
    with crowd() as many:
        many.may_end.set()
        many.add(with_length())
        many.add(in_chunks() + b"x")
        many.add(
            HEAD + b"transfer-encoding: chunked\r\n\r\n" + b"%x\r\n" % 500_000 + b"y" * 500_000
        )
        many.until(lambda: len(many.found) == 3)
        many.until(lambda: many.held.total_bytes == 0)
        assert many.held.unfinished_count == 0
