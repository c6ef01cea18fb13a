"""What the pool keeps of connections, and shows of them."""

from unittest.mock import patch

import gevent
import pytest
from gevent import socket

from sparline.http import BackendConnection, ConnectionPool, _backend_connection


@pytest.fixture
def listener():
    with socket.socket() as listening:
        listening.bind(("127.0.0.1", 0))
        listening.listen(8)
        yield listening


@pytest.mark.parametrize(("kept", "most", "shown"), ((0, 2, 0), (1, 2, 1), (2, 2, 2), (4, 2, 2)))
def test_only_so_many_resting_connections_are_looked_at(listener, kept, most, shown):
    pool = ConnectionPool(lambda _address: None)
    address = listener.getsockname()
    for connection in [pool.open(address, 1.0) for _ in range(kept)]:
        connection.rest()
        pool.give_back(connection)
    assert len(pool.resting(address, most)) == shown
    pool.forget(address)


def test_numeric_address_needs_no_resolver(listener):
    # The resolver runs in a thread, which delays the connection and costs a thread switch.
    resolver = gevent.get_hub().resolver
    with patch.object(type(resolver), "getaddrinfo", side_effect=AssertionError("resolved")):
        BackendConnection(listener.getsockname(), 1.0).close()


def test_failed_connection_is_closed():
    # A socket that is left to the garbage collector keeps its file open until then.
    with socket.socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = unused.getsockname()
        connection = socket.socket()
        with (
            patch.object(_backend_connection, "GeventSocket", return_value=connection),
            pytest.raises(ConnectionRefusedError),
        ):
            BackendConnection(address, 1.0)
    assert connection.closed
