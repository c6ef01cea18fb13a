"""A long body is held once while it is passed on."""

import tracemalloc
from contextlib import contextmanager

import gevent
import pytest
from gevent import socket

from sparline.http import BackendConnection, CallerConnection, HttpRequest, ReadLimits

BODY_BYTES = 8_000_000
MAX_MORE_BYTES = 1_000_000
BODY = bytes(range(256)) * (BODY_BYTES // 256)
LIMITS = ReadLimits(2_000, BODY_BYTES, 60_000, 60_000, 60_000)
# Far bound of a wait (s).
FAR_S = 60.0


@contextmanager
def few_more_bytes():
    tracemalloc.start()
    try:
        yield
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_MORE_BYTES, f"{peak_bytes} bytes were held beside the body"


@pytest.mark.parametrize("head_bytes", (10, 70_000))
def test_body_is_not_copied_as_it_is_sent_to_a_server(head_bytes):
    head = b"h" * head_bytes
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        connection = BackendConnection(listener.getsockname(), FAR_S)
        accepted, _ = listener.accept()
        with few_more_bytes():
            connection.send(head, BODY)
            gevent.sleep(0)
        with gevent.Timeout(FAR_S), accepted, accepted.makefile("rb") as file:
            assert file.read(len(head) + len(BODY)) == head + BODY
        connection.close()


@pytest.mark.parametrize("length", (None, len(BODY)))
def test_answer_is_not_copied_as_it_is_written(length):
    caller, accepted = socket.socketpair()
    with caller, accepted, caller.makefile("rb") as file:
        connection = CallerConnection(accepted)
        frame = b"" if length else b"%x\r\n" % len(BODY)
        with few_more_bytes():
            task = gevent.spawn(connection.begin, 200, [], length, BODY)
            gevent.sleep(0)
        with gevent.Timeout(FAR_S):
            while file.readline() != b"\r\n":
                continue
            assert file.read(len(frame) + len(BODY)) == frame + BODY
            if length is None:
                assert file.read(2) == b"\r\n"
            task.get()


def test_request_holds_its_body_no_longer_once_it_is_taken():
    request = HttpRequest(body=bytearray(BODY))
    assert request.take_body() == BODY
    assert not request.body
