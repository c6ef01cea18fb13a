"""A byte now and then does not keep an unfinished request."""

import gevent
import pytest
from gevent import socket

from sparline.http import BadRequest, CallerConnection, ReadLimits

# Pauses between bytes are far shorter than the time without a byte that is allowed.
PAUSE_S = 0.02
FAR_MS = 60_000
# Far bound of a wait (s).
FAR_S = 20.0
HEAD = b"POST /a HTTP/1.1\r\nhost: x\r\n"
LONG = 100_000

ROWS = (
    ("head", b"POST /", b"a", ReadLimits(LONG, LONG, 200, FAR_MS, FAR_MS)),
    ("second head", HEAD + b"\r\nPOST /", b"a", ReadLimits(LONG, LONG, 200, FAR_MS, FAR_MS)),
    (
        "body",
        HEAD + b"content-length: %d\r\n\r\n" % LONG,
        b"a",
        ReadLimits(LONG, LONG, FAR_MS, FAR_MS, 200),
    ),
    (
        "chunks",
        HEAD + b"transfer-encoding: chunked\r\n\r\n",
        b"1\r\na\r\n",
        ReadLimits(LONG, LONG, FAR_MS, FAR_MS, 200),
    ),
)


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0])
def test_byte_now_and_then_does_not_keep_an_unfinished_request(row):
    name, begin, more, limits = row
    caller, accepted = socket.socketpair()

    def trickle():
        caller.sendall(begin)
        while True:
            gevent.sleep(PAUSE_S)
            caller.sendall(more)

    with caller, accepted, gevent.Timeout(FAR_S):
        connection = CallerConnection(accepted)
        task = gevent.spawn(trickle)
        if name == "second head":
            connection.next_request(limits)
        found = connection.next_request(limits)
        task.kill()
    assert isinstance(found, BadRequest)
    assert found.status == 408
