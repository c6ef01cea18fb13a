"""Tests of an instance that reaches no backend server while its siblings do."""

import msgspec
import pytest

from sparline._ids import RegionName, ZoneName
from sparline.decisions import ProbeResult
from sparline.http import ConnectionPool
from sparline.platform import DirectoryQuery
from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT

TARGETS = ("/safe/x", "/unsafe/x", "/stream/x")
REQUESTS = 20


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "north-1")) as one:
        one.add_server("p1")
        one.add_server("p2")
        one.add_server("e1", "engines", events=4)
        yield one.ready()


def cut_off(fleet: RoutedFleet, at: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Reset the connections of a gateway to all servers, and refuse it new ones."""
    pool = fleet.gateways[at].pool
    servers = {(one.ip, one.port) for one in fleet.servers.values()}
    for address in servers:
        pool.forget(address)

    def open_unless_cut(self: ConnectionPool, address: tuple[str, int], timeout_s: float):
        if self is pool and address in servers:
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


def isolate(fleet: RoutedFleet, at: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """Cut a gateway off and wait until it and its siblings know."""
    cut_off(fleet, at, monkeypatch)
    gateway = fleet.gateways[at]
    others = [one for name, one in fleet.gateways.items() if name != at]

    def is_known() -> bool:
        ask(fleet, "/safe/x", "before", at)
        return all(not member_of(one, gateway).note.servers_reached for one in others)

    fleet.until(is_known, "all know that it reaches no server")


def member_of(gateway, other):
    """Return how a gateway knows another."""
    return next(one for one in gateway.members.others() if one.note.ip == other.members.own.ip)


def test_instance_that_reaches_its_servers_again_uses_them(fleet, monkeypatch):
    with monkeypatch.context() as cut:
        isolate(fleet, "g0", cut)
    g0, g1 = fleet.gateways.values()
    fleet.until(lambda: member_of(g1, g0).note.servers_reached, "the sibling knows")
    # From here on only the direct way is left.
    g1.stop()
    assert ask(fleet, "/safe/x", "after") == 200


def test_request_relayed_through_a_sibling_is_counted_once(fleet, monkeypatch):
    isolate(fleet, "g0", monkeypatch)
    engine = fleet.servers["e1"]
    engine.work_ms = 300.0
    caller = fleet.caller()
    caller.send("/once/x", "long", b"abc", **PROMPT)
    fleet.until(lambda: engine.runs and engine.runs[-1].request_id == "long", "it runs")
    loads = [one.loads.own("e1").running for one in fleet.gateways.values()]
    assert loads == [0, 1]
    assert caller.read().whole


def test_callers_are_directed_to_instances_that_reach_servers(fleet, monkeypatch):
    isolate(fleet, "g0", monkeypatch)
    query = DirectoryQuery("host.example", RegionName("north"), ZoneName("north-1"))
    for gateway in fleet.gateways.values():
        (found,) = gateway.directory.find(query)
        assert found.startswith(fleet.gateways["g1"].settings.ip)


def test_refused_connections_show_no_exit_to_an_instance_that_reaches_no_server(fleet, monkeypatch):
    cut_off(fleet, "g0", monkeypatch)
    g0 = fleet.gateways["g0"]
    server = fleet.servers["p1"]
    assert g0.end_detector.probe("p1", (server.ip, server.port)) is ProbeResult.UNKNOWN
    assert g0.end_detector.ended_at_ms("p1") == 0.0


def test_relay_to_an_isolated_instance_leaves_its_region_usable(monkeypatch):
    with RoutedFleet(("south-1", "north-1", "north-1")) as fleet:
        fleet.add_server("p1")
        fleet.add_server("p2")
        fleet.ready()
        g0 = fleet.gateways["g0"]
        cut_off(fleet, "g1", monkeypatch)
        fleet.gateways["g1"].connectivity.check()
        # The other region has not heard of it yet.
        stale = member_of(g0, fleet.gateways["g1"])
        stale.note = msgspec.structs.replace(stale.note, servers_reached=True)
        statuses = [ask(fleet, "/unsafe/x", f"r{number}") for number in range(REQUESTS)]
    assert statuses == [200] * REQUESTS
