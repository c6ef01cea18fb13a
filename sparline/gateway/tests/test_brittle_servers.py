"""All instances together leave a server that refuses too many requests room to refuse fewer."""

import gevent
import pytest

from sparline.tests.routed_fleet import RoutedFleet

CALLERS = 45
PLACES = 8
BRITTLE_PER_S = 10
LOAD_S = 5.0


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1",) * 3) as one:
        for name in ("p1", "p2"):
            server = one.add_server(name)
            server.work_ms = 60.0
            server.places = PLACES
            server.brittle_per_s = BRITTLE_PER_S
        yield one.ready()


def send(fleet: RoutedFleet, name: str, at: str, seconds: float) -> list[int]:
    """Send requests one after another, also right after a refusal; return the statuses."""
    statuses = []
    with gevent.Timeout(seconds, False):
        while True:
            statuses.append(fleet.ask("/safe/x", f"{name}-{len(statuses)}", at).status)
            gevent.sleep(0.01)
    return statuses


def test_server_that_says_it_is_brittle_is_not_brought_down_by_refusals(fleet):
    # Each instance has an answer of each server before the load comes.
    for at in fleet.gateways:
        for number in range(12):
            fleet.ask("/safe/x", f"first-{at}-{number}", at)
    names = sorted(fleet.gateways)
    senders = [
        gevent.spawn(send, fleet, f"load{number}", names[number % len(names)], LOAD_S)
        for number in range(CALLERS)
    ]
    gevent.joinall(senders, raise_error=True)
    statuses = [status for one in senders for status in one.value]
    assert [server.falls for server in fleet.servers.values()] == [0, 0]
    # Guards against leaving such servers unused.
    assert statuses.count(200) > CALLERS
