"""Tests of requests that come to an instance which is leaving."""

from unittest.mock import patch

import gevent
import pytest

from sparline.gateway._leave_plan import LeavePlan
from sparline.tests.routed_fleet import RoutedFleet
from standins import publish

GRACE_S = 2.0
# When the request comes, as a part of the grace period: long after the first instant.
LATE_FRACTION = 0.6
# Longer than what is left then, and far shorter than what the route allows.
LONG_MS = 1_000.0
ROUTES = {
    f"/{kind}/": {
        "kind": kind,
        "service": "plain",
        "max_attempts": 1,
        "timeout_ms": 8_000,
        "target_latency_ms": 100,
    }
    for kind in ("safe", "unsafe")
}


@pytest.fixture(params=[("north-1",), ("north-1", "south-1")], ids=["directly", "relayed"])
def fleet(request):
    """Yield gateways of which the last, which alone reaches the server, is about to leave."""
    with RoutedFleet(request.param, grace_s=GRACE_S) as one:
        one.add_server("p1", "plain", request.param[-1])
        publish(one.store, 1, ROUTES)
        one.until(one.is_ready, "all gateways are live and hold the store's state")
        yield one


def leave(gateway) -> None:
    """Leave as the process does: all connections end with it."""
    gateway.leave()
    gateway.stop()


@pytest.mark.parametrize("earlier", [40, 0], ids=["seen before", "not known"])
@pytest.mark.parametrize("kind", ["safe", "unsafe"])
def test_request_longer_than_its_target_is_not_cut_by_a_planned_stop(fleet, kind, earlier):
    """Guards against late requests that are accepted by their target latency and then cut."""
    server = fleet.servers["p1"]
    for number in range(earlier):
        server.work_ms = LONG_MS if number == 0 else 1.0
        assert fleet.ask(f"/{kind}/x", f"before-{number}", body=b"abc").status == 200
    server.work_ms = LONG_MS
    leaving = list(fleet.gateways.values())[-1]
    stop = gevent.spawn(leave, leaving)
    gevent.sleep(LATE_FRACTION * GRACE_S)
    got = fleet.ask(f"/{kind}/x", "late", body=b"abc")
    stop.join()
    assert (got.status, got.whole) == (503, True)
    assert "late" not in fleet.runs()


def test_usual_request_is_served_late_in_a_planned_stop(fleet):
    server = fleet.servers["p1"]
    server.work_ms = 1.0
    for number in range(40):
        assert fleet.ask("/unsafe/x", f"before-{number}", body=b"abc").status == 200
    leaving = list(fleet.gateways.values())[-1]
    stop = gevent.spawn(leave, leaving)
    gevent.sleep(LATE_FRACTION * GRACE_S)
    got = fleet.ask("/unsafe/x", "late", body=b"abc")
    stop.join()
    assert (got.status, got.whole) == (200, True)


def test_leaving_instance_does_not_connect_callers_that_it_will_not_serve(fleet):
    """Guards against callers that are connected to a port which nobody serves any more."""
    server = fleet.servers["p1"]
    server.work_ms = LONG_MS
    asked = gevent.spawn(fleet.ask, "/unsafe/x", "r1", body=b"abc")
    fleet.until(lambda: server.runs, "the request runs")
    first = fleet.gateways["g0"]
    stop = gevent.spawn(first.leave)
    with patch.object(LeavePlan, "accepts_until_ms", lambda plan: plan.began_at_ms):
        fleet.until(lambda: first.service.leave_plan is not None, "the instance leaves")
        gevent.sleep(0.05)
    with pytest.raises(ConnectionRefusedError):
        fleet.caller("g0")
    assert asked.get().status == 200
    stop.join()
