"""Tests of the check that a backend server is present."""

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from sparline.forwarding import answers_presence_check
from sparline.http import ConnectionPool
from sparline.platform import ServerWire

PATIENCE_S = 20


def test_check_that_is_killed_closes_its_connection():
    asked, closed = Event(), Event()

    def stay_silent(connection, _address):
        connection.recv(1000)
        asked.set()
        if not connection.recv(1):
            closed.set()

    server = StreamServer(("127.0.0.1", 0), stay_silent)
    server.start()
    pool = ConnectionPool(lambda _address: None)
    address = ("127.0.0.1", server.server_port)
    timeout_ms = PATIENCE_S * 1000
    check = gevent.spawn(answers_presence_check, pool, ServerWire(), address, timeout_ms)
    assert asked.wait(PATIENCE_S)
    check.kill()
    assert closed.wait(PATIENCE_S)
    server.stop()
