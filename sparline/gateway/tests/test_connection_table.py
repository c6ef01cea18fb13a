"""New callers are let in while others hold connections without using them."""

import math

import pytest
from gevent import sleep as switch
from gevent import socket, spawn

from sparline.gateway._connection_table import (
    ConnectionEnd,
    ConnectionTable,
    max_caller_connections,
)
from sparline.http import CallerConnection, ReadLimits

LIMITS = ReadLimits(10_000, 10_000, 60_000, 60_000, 60_000)


class StubConnection:
    """Stand in for a connection."""

    def __init__(self, progress_at_ms, may_be_pushed_out, closed):
        self.progress_at_ms = progress_at_ms
        self.may_be_pushed_out = lambda: may_be_pushed_out
        self.close = lambda: closed.append(progress_at_ms)


class Connections:
    """Hold a table and what it closed."""

    def __init__(self, max_connections):
        self.noted = []
        self.closed = []
        self.table = ConnectionTable(max_connections, lambda *told: self.noted.append(told))

    def add(self, progress_at_ms, may_be_pushed_out=True):
        one = StubConnection(progress_at_ms, may_be_pushed_out, self.closed)
        return self.table.add(one)


@pytest.mark.parametrize(("ages", "closed"), (((3, 1, 2), [1]), ((1, 2, 3), [1]), ((2, 3, 1), [1])))
def test_connection_longest_without_progress_gives_way(ages, closed):
    connections = Connections(3)
    assert all(connections.add(one) for one in ages)
    assert connections.add(9)
    assert connections.closed == closed
    assert connections.noted == [(ConnectionEnd.PUSHED_OUT, 1)]
    assert len(connections.table) == 3


def test_connections_with_requests_under_way_are_never_closed():
    connections = Connections(3)
    for at_ms in (1, 2, 3):
        connections.add(at_ms, may_be_pushed_out=False)
    assert not connections.add(4)
    assert connections.closed == []
    assert connections.noted == [(ConnectionEnd.REFUSED, 1)]


def test_crowd_never_exceeds_the_bound():
    connections = Connections(640)
    for at_ms in range(10_000):
        assert connections.add(at_ms)
        assert len(connections.table) <= 640
    assert connections.closed == sorted(connections.closed)


def test_connections_of_peers_are_not_bounded():
    connections = Connections(math.inf)
    assert all(connections.add(at_ms) for at_ms in range(1_000))


@pytest.mark.parametrize(("descriptors", "callers"), ((4_100, 2_050), (300, 150), (1, 1)))
def test_descriptors_are_left_for_servers(descriptors, callers):
    assert max_caller_connections(descriptors) == callers


@pytest.mark.parametrize(
    ("sent", "may"),
    (
        (b"", True),
        (b"GET / HT", True),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 9\r\n\r\n1", True),
        (b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\n\r\n1", False),
    ),
)
def test_connection_may_be_closed_while_its_request_is_unfinished(sent, may):
    caller, accepted = socket.socketpair()
    with caller, accepted:
        connection = CallerConnection(accepted)
        task = spawn(connection.next_request, LIMITS)
        caller.sendall(sent)
        for _ in range(20):
            switch(0.001)
        assert connection.may_be_pushed_out() is may
        connection.close()
        task.join(60)
        assert task.ready()
        assert task.value is None or not may
