"""A request is not blamed for connections that are reset on the way to a server that lives."""

import gevent
import pytest

from benchmarks._loopback_proxy import LoopbackProxy
from sparline.tests.routed_fleet import RoutedFleet
from standins import list_server

TRIES = 12
PAUSE_S = 0.1


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "south-1")) as routed_fleet:
        routed_fleet.add_server("p0")
        yield routed_fleet


def test_request_is_served_again_after_its_connections_were_reset(fleet):
    server = fleet.servers["p0"]
    proxy = LoopbackProxy(("127.0.0.1", fleet._ports.take()), (server.ip, server.port))
    proxy.start()
    try:
        list_server(fleet.store, "p0", proxy.address, "plain", "north-1")
        fleet.ready()
        # A proxy that accepts connections and resets them says nothing about the server behind it.
        proxy.faults.refuse = True
        for number in range(TRIES):
            fleet.ask("/safe/x", f"reset-{number}", body=b"abc")
            gevent.sleep(PAUSE_S)
        proxy.faults.refuse = False
        fleet.until(lambda: fleet.ask("/safe/x", "after", body=b"other").status == 200, "reachable")
        assert fleet.ask("/safe/x", "again", body=b"abc").status == 200
    finally:
        proxy.stop()
