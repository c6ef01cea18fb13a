"""Short headers by the thousand are not kept."""

import tracemalloc

import pytest
from gevent import socket

from sparline.http import BadRequest, CallerConnection, HttpRequest, ReadLimits

LIMITS = ReadLimits(1_000_000, 1_000_000, 5_000, 60_000, 60_000)
MAX_HELD_BYTES = 200_000
BEGIN = b"GET / HTTP/1.1\r\nhost: x\r\n"


@pytest.mark.parametrize(
    ("count", "status"), ((1_023, None), (1_100, 431), (10_000, 431)), ids=lambda value: str(value)
)
@pytest.mark.parametrize("end", (b"", b"\r\n"), ids=("unfinished", "whole"))
def test_request_with_too_many_headers_is_rejected_and_not_kept(count, status, end):
    caller, accepted = socket.socketpair()
    with caller, accepted:
        connection = CallerConnection(accepted)
        caller.sendall(BEGIN + b"a:\r\n" * count + end)
        if status is None and not end:
            caller.sendall(b"\r\n")
        tracemalloc.start()
        try:
            found = connection.next_request(LIMITS)
            held_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert held_bytes < MAX_HELD_BYTES
        if status is None:
            assert isinstance(found, HttpRequest)
            assert len(found.headers) == count + 1
        else:
            assert isinstance(found, BadRequest)
            assert found.status == status
