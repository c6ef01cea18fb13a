"""Tests of an instance that reaches no backend server while its siblings do."""

import gevent
import pytest

from sparline.http import ConnectionPool
from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT

TARGETS = ("/safe/x", "/unsafe/x", "/stream/x")
REQUESTS = 20
EVENTS = 4


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "north-1")) as one:
        one.add_server("p1")
        one.add_server("p2")
        one.add_server("e1", "engines", events=EVENTS)
        yield one.ready()


def cut_off(fleet: RoutedFleet, at: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Reset the connections of a gateway to all servers, and refuse it new ones."""
    pool = fleet.gateways[at].pool
    servers = {(one.ip, one.port) for one in fleet.servers.values()}
    for address in servers:
        pool.forget(address)

    def open_unless_cut(self: ConnectionPool, address: tuple[str, int], timeout_s: float):
        if self is pool and address in servers:
            gevent.sleep(0)
            raise ConnectionResetError
        return connect(self, address, timeout_s)

    connect = ConnectionPool.open
    monkeypatch.setattr(ConnectionPool, "open", open_unless_cut)


def ask(fleet: RoutedFleet, target: str, request_id: str, at: str = "g0") -> int:
    more = PROMPT if target == "/stream/x" else {}
    return fleet.ask(target, request_id, at, body=b"abc", **more).status


def test_callers_of_an_instance_that_reaches_no_server_are_served(fleet, monkeypatch):
    cut_off(fleet, "g0", monkeypatch)
    for target in TARGETS:
        # The first requests show the instance that it reaches none.
        for number in range(REQUESTS):
            ask(fleet, target, f"before-{number}")
        statuses = [ask(fleet, target, f"r{number}") for number in range(REQUESTS)]
        assert statuses == [200] * REQUESTS, target
