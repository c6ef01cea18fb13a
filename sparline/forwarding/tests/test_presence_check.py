"""Tests of the check that a backend server is present."""

import gevent
from gevent import socket

from sparline.forwarding import answers_presence_check
from sparline.http import ConnectionPool
from sparline.platform import ServerWire

PATIENCE_S = 20


def test_check_that_is_killed_closes_its_connection():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address, timeout_ms = listener.getsockname(), PATIENCE_S * 1000
        pool = ConnectionPool(lambda _address: None)
        check = gevent.spawn(answers_presence_check, pool, ServerWire(), address, timeout_ms)
        connection, _ = listener.accept()
        connection.settimeout(PATIENCE_S)
        assert connection.recv(1000)
        check.kill()
        assert connection.recv(1) == b""
