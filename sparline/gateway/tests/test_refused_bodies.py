"""A body without room is refused by a promise that holds: nothing was sent on."""

from types import SimpleNamespace

import gevent
import pytest
from gevent import socket

from sparline.gateway._connection_bounds import ConnectionBounds
from sparline.gateway._service import Service
from sparline.http import HeldBytes
from sparline.platform import _names as names
from sparline.requests import Origin, Reason

ACCOUNT_BYTES = 1_000_000
BEGIN = b"POST /a HTTP/1.1\r\nhost: x\r\nattempt-id: r1\r\n"
# Far bound of a wait (s).
FAR_S = 60.0

ROWS = (
    ("stopped", BEGIN + b"content-length: 200000\r\n\r\n" + b"b" * 70_000),
    ("sent whole", BEGIN + b"content-length: 200000\r\n\r\n" + b"b" * 200_000),
    ("in chunks", BEGIN + b"transfer-encoding: chunked\r\n\r\n11170\r\n" + b"b" * 70_000),
    (
        "awaiting the continuation",
        BEGIN + b"expect: 100-continue\r\ncontent-length: 200000\r\n\r\n",
    ),
)


@pytest.mark.parametrize("origin", (Origin.CALLER, Origin.RELAY))
@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0])
def test_body_without_room_is_refused_as_not_sent(row, origin):
    held = HeldBytes(ACCOUNT_BYTES)
    held.grow(held.open_kept(), ACCOUNT_BYTES, 0.0)
    counted = []
    request_log = SimpleNamespace(count_rejected=counted.append)
    bounds = ConnectionBounds(held, 60_000, 10, None)
    fleet = SimpleNamespace(configuration=None)
    service = Service(fleet, None, request_log, *[None] * 6, bounds)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    with listener, socket.create_connection(listener.getsockname()) as caller:
        accepted, _ = listener.accept()
        serving = gevent.spawn(service._serve, accepted, origin)
        caller.sendall(row[1])
        with gevent.Timeout(FAR_S), caller.makefile("rb") as file:
            lines = []
            while (line := file.readline()) not in (b"\r\n", b""):
                lines.append(line.strip().lower())
            assert file.read() == b""
            serving.get()
    assert lines[0].startswith(b"http/1.1 503")
    assert b"retry-after: 1.000" in lines
    assert b"connection: close" in lines
    outcome = names.RELAY_OUTCOME.lower() + b": not-sent"
    assert (outcome in lines) is (origin is Origin.RELAY)
    assert counted == [Reason.MEMORY_FULL]
    assert held.total_bytes == ACCOUNT_BYTES
