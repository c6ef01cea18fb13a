"""Requests that came together are parsed as they are asked for."""

import tracemalloc

from gevent import socket, spawn

from sparline.http import CallerConnection, HttpRequest, ReadLimits

LIMITS = ReadLimits(16_384, 10_000, 60_000, 60_000, 60_000)
COUNT = 3_000
MAX_HELD_BYTES = 250_000


def request(number):
    body = b"b" * (number % 7)
    return b"POST /%d HTTP/1.1\r\ncontent-length: %d\r\n\r\n%b" % (number, len(body), body)


def test_many_requests_that_came_together_are_not_all_held():
    caller, accepted = socket.socketpair()
    with caller, accepted:
        connection = CallerConnection(accepted)
        sending = spawn(caller.sendall, b"".join(request(number) for number in range(COUNT)))
        sending.join(0.1)
        tracemalloc.start()
        try:
            found = connection.next_request(LIMITS)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert held_bytes < MAX_HELD_BYTES
        for number in range(COUNT):
            assert isinstance(found, HttpRequest), found
            assert found.target == b"/%d" % number
            assert found.take_body() == b"b" * (number % 7)
            if number < COUNT - 1:
                found = connection.next_request(LIMITS)
