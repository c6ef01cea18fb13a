"""Tests of requests that come to an instance which is leaving."""

from unittest.mock import patch

import gevent
import msgspec
import pytest

from sparline._clock import now_ms
from sparline.fleet._planned_stops import LATER_STOP_MS
from sparline.gateway._leave_plan import RESTART_MS, LeavePlan, StopPhase
from sparline.gateway._request_routing import LEAVING_RETRY_AFTER_MS
from sparline.gateway._run_time_collection import RunTimeCollection
from sparline.gateway._run_times import MIN_TIMES, whole_key
from sparline.tests.routed import PLAIN
from sparline.tests.routed_fleet import PATIENCE_MS, RoutedFleet
from standins import HOST, PROMPT, plain_routes, publish

GRACE_S = 2.0
# When the request comes, as a part of the grace period: long after the first instant.
LATE_FRACTION = 0.6
# The same while the last instance of a region waits for another one to be back.
EARLY_FRACTION = 0.4
# Longer than what is left then, and far shorter than what the route allows.
LONG_MS = 1_000.0
ROUTES = plain_routes(100)
TARGETS = ("/safe/x", "/unsafe/x", "/stream/x", "/once/x")
# Short streams, so many that the mean time of a token is theirs.
SHORT_BATCHES = 12
BATCH = 25


@pytest.fixture(params=[("north-1",), ("north-1", "south-1")], ids=["directly", "relayed"])
def fleet(request):
    """Yield gateways of which the last, which alone reaches the server, is about to leave."""
    with RoutedFleet(request.param, grace_s=GRACE_S) as one:
        one.add_server("p1", "plain", request.param[-1])
        publish(one.store, 1, ROUTES)
        one.until(one.is_ready, "all gateways are live and hold the store's state")
        yield one


def make_known_servers(fleet, target, at):
    """Start servers and ask them so often that one instance knows how long requests take."""
    servers = [fleet.add_server("p1"), fleet.add_server("e1", "engines", events=1, slots=200)]
    fleet.ready()
    for server in servers:
        server.work_ms = 1.0
    for number in range(MIN_TIMES + 10):
        got = fleet.ask(target, f"before-{number}", at=at, body=b"abc", **PROMPT)
        assert got.status == 200
    return servers


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
    try:
        got = fleet.ask(f"/{kind}/x", "late", body=b"abc")
        assert (got.status, got.whole) == (503, True)
    except ConnectionRefusedError:
        # It has nothing left to do, and is gone already.
        assert stop.ready()
    stop.join()
    assert "late" not in fleet.runs()


@pytest.mark.parametrize(
    "places", [("north-1",) * 2, ("north-1", "south-1", "south-1")], ids=["directly", "relayed"]
)
def test_usual_request_is_served_while_another_instance_is_about_to_be_back(places):
    """Guards against a region that goes dark as soon as its last instance leaves."""
    with RoutedFleet(places, grace_s=GRACE_S) as fleet:
        server = fleet.add_server("p1", "plain", places[-1])
        publish(fleet.store, 1, ROUTES)
        fleet.until(fleet.is_ready, "all gateways are live and hold the store's state")
        server.work_ms = 1.0
        asked_at, (*_, gone, last) = ("g1" if len(places) == 2 else "g0"), fleet.gateways.values()
        for number in range(MIN_TIMES + 10):
            asked = fleet.ask("/unsafe/x", f"before-{number}", at=asked_at, body=b"abc")
            assert asked.status == 200
        leave(gone)
        stop = gevent.spawn(leave, last)
        gevent.sleep(EARLY_FRACTION * GRACE_S)
        got = fleet.ask("/unsafe/x", "late", at=asked_at, body=b"abc")
        stop.join()
        assert (got.status, got.whole) == (200, True)


@pytest.mark.parametrize("target", TARGETS)
def test_request_longer_than_any_before_is_cut_at_the_only_instance_of_a_region(target):
    """Guards against late requests accepted by recent times where nobody replaces the instance."""
    with RoutedFleet(grace_s=GRACE_S) as fleet:
        servers = make_known_servers(fleet, target, "g0")
        stop = gevent.spawn(leave, fleet.gateways["g0"])
        gevent.sleep(0)
        for server in servers:
            server.work_ms = GRACE_S * 1000 + 200.0
        refused = fleet.ask(target, "late", body=b"abc", **PROMPT)
        assert (refused.status, refused.whole) == (503, True)
        # The next process is likely to be there by then.
        assert float(refused.headers["retry-after"]) * 1000 > RESTART_MS
        began_at_ms = now_ms()
        stop.join()
        assert now_ms() - began_at_ms < GRACE_S * 1000
        assert "late" not in fleet.runs()


@pytest.mark.parametrize("target", TARGETS)
def test_request_longer_than_any_before_is_cut_though_a_sibling_is_back(target):
    """Guards against late requests that the last instance accepts by recent times although another is back."""
    with RoutedFleet(("north-1", "north-1"), grace_s=GRACE_S) as fleet:
        servers = make_known_servers(fleet, target, "g1")
        first, last = fleet.gateways.values()
        leave(first)
        stop = gevent.spawn(leave, last)
        fleet.until(lambda: last.service.leave_plan is not None, "the last instance leaves")
        assert last.service.leave_plan.phase() is StopPhase.SUBSTITUTING
        fleet.add_gateway("g0", first.settings.ip, "north-1")
        fleet.until(last.members.live, "the first is back")
        for server in servers:
            server.work_ms = GRACE_S * 1000 + 200.0
        refused = fleet.ask(target, "late", at="g1", body=b"abc", **PROMPT)
        assert (refused.status, refused.whole) == (503, True)
        assert float(refused.headers["retry-after"]) * 1000 <= LEAVING_RETRY_AFTER_MS
        for server in servers:
            server.work_ms = 1.0
        got = fleet.ask(target, "again", at="g0", body=b"abc", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        stop.join()
        assert "late" not in fleet.runs()


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


def test_instance_that_another_relieves_ends_at_once():
    """Guards against a region whose two instances, stopped in turn, are away at the same time."""
    with RoutedFleet(("north-1", "north-1")) as fleet:
        fleet.add_server("p1")
        first, second = fleet.ready().gateways.values()
        stops = [gevent.spawn(leave, first)]
        fleet.until(lambda: not second.members.live(), "the second knows that the first leaves")
        gevent.sleep(2 * LATER_STOP_MS / 1000)
        stops.append(gevent.spawn(leave, second))
        stops[0].join(PATIENCE_MS / 1000)
        assert stops[0].ready()
        with pytest.raises(OSError):
            fleet.caller("g0")
        assert fleet.ask("/safe/x", at="g1").status == 200
        gevent.killall(stops)


def test_refusal_of_the_last_instance_names_no_time_before_another_can_be_back():
    """Guards against callers that come back at once, where nobody can serve them."""
    with RoutedFleet(grace_s=GRACE_S) as fleet:
        server = fleet.add_server("p1")
        server.work_ms = 1.0
        fleet.ready()
        stop = gevent.spawn(leave, fleet.gateways["g0"])
        gevent.sleep(0.1)
        got = fleet.ask("/unsafe/x", body=b"abc", Deadline_Milliseconds="6000")
        stop.join()
        assert (got.status, float(got.headers["retry-after"])) == (503, 2.0)


def test_request_in_flight_outlasts_a_reload_and_the_end_of_its_route(fleet):
    """Guards against planned changes that cut what is in flight."""
    server = fleet.servers["p1"]
    server.work_ms = LONG_MS / 2
    asked = gevent.spawn(fleet.ask, "/unsafe/x", "r1", body=b"abc")
    fleet.until(lambda: server.runs, "the request runs")
    for gateway in fleet.gateways.values():
        gateway.reload(msgspec.structs.replace(gateway.settings, grace_s=GRACE_S / 2))
    publish(fleet.store, 2, {"/safe/": ROUTES["/safe/"]})
    fleet.until(fleet.is_ready, "all gateways hold the new configuration")
    got = asked.get()
    assert (got.status, got.whole) == (200, True)


def run_some_at(fleet, at: str) -> None:
    """Let an instance see enough requests, one of them long."""
    server = fleet.servers["p1"]
    for number in range(MIN_TIMES):
        server.work_ms = LONG_MS / 2 if number == 0 else 1.0
        assert fleet.ask("/unsafe/x", f"{at}-{number}", at=at, body=b"abc").status == 200


def test_leaving_instance_learns_the_times_of_the_others():
    """Guards against a bound from the few requests that one instance has seen."""
    with RoutedFleet(("north-1", "north-1", "south-1")) as fleet:
        fleet.add_server("p1")
        fleet.ready()
        first = fleet.gateways["g0"]
        key = whole_key(first.fleet.configuration.find(HOST, "/unsafe/x"), PLAIN)
        run_some_at(fleet, "g1")
        assert first.service.run_times.longest_ms(key) is None
        stop = gevent.spawn(first.leave)
        fleet.until(lambda: first.service.run_times.longest_ms(key), "the times are known")
        assert first.service.run_times.longest_ms(key) >= LONG_MS / 2
        stop.kill()


def test_instance_leaves_beside_one_that_does_not_tell_its_times():
    """Guards against a stop that fails at instances of an earlier version."""
    with RoutedFleet(("north-1", "north-1")) as fleet:
        fleet.add_server("p1")
        fleet.ready()
        first, second = fleet.gateways.values()
        with patch.object(second.service._peer_answers, "answer", lambda *_: False):
            collection = RunTimeCollection(first.members, first.service.run_times, first.relay_port)
            assert collection._take(*collection._peers_to_ask()).startswith("bad answer")
        second.stop()
        assert collection._take(*collection._peers_to_ask()).startswith("unreachable")


@pytest.fixture(params=[("north-1",), ("north-1", "south-1")], ids=["directly", "relayed"])
def engine_fleet(request):
    """Yield gateways of which the last, which alone reaches the engine, is about to leave."""
    with RoutedFleet(request.param, grace_s=GRACE_S) as one:
        one.add_server("e1", "engines", request.param[-1], events=10, slots=200)
        yield one.ready()


@pytest.mark.parametrize("target", ["/stream/x", "/once/x"])
def test_long_stream_among_short_ones_is_not_cut_by_a_planned_stop(engine_fleet, target):
    """Guards against late streams that are accepted by the time which their tokens take on average."""
    engine = engine_fleet.servers["e1"]
    engine.work_ms = 1.0
    engine.long_event_ms = LONG_MS / 10
    engine.long_each = 1
    assert engine_fleet.ask(target, "long", body=b"abc", **PROMPT).whole
    engine.long_each = 0
    for batch in range(SHORT_BATCHES):
        asked = [
            gevent.spawn(engine_fleet.ask, target, f"r{batch}-{n}", body=b"abc", **PROMPT)
            for n in range(BATCH)
        ]
        assert all(one.get().whole for one in asked)
    engine.long_each = 1
    leaving = list(engine_fleet.gateways.values())[-1]
    stop = gevent.spawn(leave, leaving)
    gevent.sleep(LATE_FRACTION * GRACE_S)
    try:
        got = engine_fleet.ask(target, "late", body=b"abc", **PROMPT)
        assert (got.status, got.whole) == (503, True)
    except ConnectionRefusedError:
        # It has nothing left to do, and is gone already.
        assert stop.ready()
    stop.join()
    assert "late" not in engine_fleet.runs()


@pytest.mark.parametrize("target", TARGETS)
def test_late_request_is_cut_where_a_sibling_could_take_it(target):
    """Guards against late requests that run for longer than any other one of the last minute."""
    with RoutedFleet(("north-1", "north-1"), grace_s=GRACE_S) as fleet:
        servers = make_known_servers(fleet, target, "g0")
        for server in servers:
            server.work_ms = LONG_MS + 200.0
        stop = gevent.spawn(leave, fleet.gateways["g0"])
        gevent.sleep(0.45 * GRACE_S)
        refused = fleet.ask(target, "late", body=b"abc", at="g0", **PROMPT)
        assert (refused.status, refused.whole) == (503, True)
        assert float(refused.headers["retry-after"]) * 1000 <= LEAVING_RETRY_AFTER_MS
        assert refused.headers["connection"] == "close"
        got = fleet.ask(target, "again", body=b"abc", at="g1", **PROMPT)
        assert (got.status, got.whole) == (200, True)
        stop.join()
        assert "late" not in fleet.runs()
