"""Limits hold for every request of a connection, however its bytes arrive."""

import pytest
from gevent import socket

from sparline.http import BadRequest, CallerConnection, HttpRequest, ReadLimits

LIMITS = ReadLimits(200, 10, 1_000, 1_000, 60_000)
SMALL = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 10\r\n\r\n0123456789"
LONG_BODY = b"POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 11\r\n\r\n0123456789a"
CHUNKED = b"POST /a HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\nb\r\n0123456789a\r\n0\r\n\r\n"
LONG_HEAD = b"GET /a HTTP/1.1\r\nhost: x\r\nfill: " + b"y" * 200 + b"\r\n\r\n"


@pytest.mark.parametrize(("large", "status"), ((LONG_BODY, 413), (CHUNKED, 413), (LONG_HEAD, 431)))
@pytest.mark.parametrize("before", (0, 1, 2))
@pytest.mark.parametrize("is_split", (False, True))
def test_limits_hold_for_the_first_and_for_pipelined_requests(large, status, before, is_split):
    caller, accepted = socket.socketpair()
    with caller, accepted:
        connection = CallerConnection(accepted)
        data = SMALL * before + large
        # Pipelined bytes count as a head only as far as no request is under way.
        cut = len(data) - 1 if is_split else len(data)
        caller.sendall(data[:cut])
        for _ in range(before):
            assert isinstance(connection.next_request(LIMITS), HttpRequest)
        caller.sendall(data[cut:])
        found = connection.next_request(LIMITS)
        assert isinstance(found, BadRequest)
        assert found.status == status
