"""Tests of streams that callers resume after their route has come to another service."""

from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

import gevent
import msgspec
import pytest

from sparline.forwarding import RetryWindow
from sparline.gateway import _request_routing
from sparline.gateway._gateway import Gateway
from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, Got, SealedFaults, publish, resumption
from standins._publisher import ROUTES

EVENTS = 6
READ_EVENTS = 3
SERVICES = ("engines", "others")
TARGET = "/stream/x/y"

Routes = dict[str, dict[str, Any]]


@pytest.fixture(autouse=True)
def unlimited_retries(monkeypatch):
    # An instance that has just started may retry a few requests only.
    monkeypatch.setattr(RetryWindow, "spend", lambda _self, _service: True)


def routes(prefix: str = "/stream/", **changes: Any) -> Routes:
    return {prefix: ROUTES["/stream/"] | {"service": "engines"} | changes}


@contextmanager
def instances_cut_off_from_each_other(old: Routes) -> Iterator[RoutedFleet]:
    """Run two instances that reach the store, but do not hear of each other's streams."""
    with RoutedFleet(("north-1", "north-1")) as fleet:
        for service in SERVICES:
            for number in range(2):
                fleet.add_server(f"{service}-{number}", service, events=EVENTS)
        publish(fleet.store, 1, old, ("others",))
        fleet.until(fleet.is_ready, "all hold the first version")
        fleet.cut_gossip(["g0"], ["g1"])
        yield fleet


def begin(fleet: RoutedFleet, request_id: str) -> None:
    shared = SealedFaults(stop_after_event=READ_EVENTS, remaining=1)
    for server in fleet.servers.values():
        server.faults = shared
    caller = fleet.caller("g0")
    caller.send(TARGET, request_id, request_id.encode(), **PROMPT)
    caller.read_events(READ_EVENTS)
    caller.close()


def resume(fleet: RoutedFleet, resumes: str) -> Got:
    headers = resumption(resumes, READ_EVENTS) | PROMPT
    return fleet.ask(TARGET, f"again-{resumes}", "g1", body=resumes.encode(), **headers)


def services_of(fleet: RoutedFleet, *request_ids: str) -> set[str]:
    return {
        name.partition("-")[0]
        for name, server in fleet.servers.items()
        if any(run.request_id in request_ids for run in server.runs)
    }


def split(*services: str) -> list[dict[str, Any]]:
    return [{"service": service, "weight": 1} for service in services]


MOVES = [
    # name, routes before and after, whether streams go on
    ("to another service", routes(), routes(service="others"), False),
    ("to a longer prefix", routes(), routes() | routes("/stream/x/", service="others"), False),
    ("from one that is gone", routes("/"), routes(service="others"), False),
    ("to another side", routes(split=split("engines")), routes(split=split("others")), False),
    ("none, but another target", routes(), routes(target_latency_ms=1_500), True),
    ("to a longer prefix, same service", routes(), routes() | routes("/stream/x/"), True),
]


# Guards against: the rest of a stream comes from another service, where nobody has a record of it.
@pytest.mark.parametrize("row", MOVES, ids=lambda row: row[0])
def test_stream_without_record_does_not_go_on_at_another_service(row):
    _, old, new, goes_on = row
    with instances_cut_off_from_each_other(old) as fleet:
        begin(fleet, "r1")
        publish(fleet.store, 2, new, ("others",))
        g1 = fleet.gateways["g1"].fleet
        fleet.until(lambda: g1.configuration_version == 2, "the move is known")
        got = resume(fleet, "r1")
        assert services_of(fleet, "r1", "again-r1") == {"engines"}
        assert (got.status == 200) is goes_on


def test_stream_that_began_after_the_move_does_not_go_on_where_it_is_unknown():
    with instances_cut_off_from_each_other(routes()) as fleet:
        publish(fleet.store, 2, routes(), ("others",))
        holders = fleet.gateways.values()
        fleet.until(lambda: all(one.fleet.configuration_version == 2 for one in holders), "known")
        g0, g1 = holders
        g1.reader._is_watcher = lambda: False  # it does not begin another watch
        publish(fleet.store, 3, routes(service="others"), ("others",))
        fleet.until(lambda: g0.fleet.configuration_version == 3, "one knows the move")
        begin(fleet, "r1")
        assert services_of(fleet, "r1") == {"others"}
        got = resume(fleet, "r1")
        assert services_of(fleet, "r1", "again-r1") == {"others"}
        assert got.status == 503


# Guards against: an instance that knows the move vouches to one that does not for the versions alone.
@pytest.mark.parametrize(("moves", "goes_on"), [(True, False), (False, True)])
def test_stream_without_record_goes_on_after_a_restart_only_if_no_route_has_moved(moves, goes_on):
    with RoutedFleet(("north-1", "north-1")) as fleet:
        for service in SERVICES:
            fleet.add_server(f"{service}-0", service, events=EVENTS)
        publish(fleet.store, 1, routes(), ("others",))
        fleet.until(fleet.is_ready, "all hold the first version")
        publish(fleet.store, 2, routes(service="others" if moves else "engines"), ("others",))
        gateways = fleet.gateways.values()
        fleet.until(lambda: all(one.fleet.configuration_version == 2 for one in gateways), "known")
        g1 = start_again(fleet, "g1")
        fleet.until(lambda: g1.is_ready() and len(g1.members.live()) == 1, "it hears the other")
        got = resume(fleet, "never-seen")
        assert (got.status == 200) is goes_on


def start_again(fleet: RoutedFleet, name: str) -> Gateway:
    """Kill an instance and start another process in its place, as one that starts again."""
    killed = fleet.gateways[name]
    killed.stop()
    gevent.joinall(killed._tasks)  # its ports are free then
    settings = msgspec.structs.replace(killed.settings, first_start=False)
    fleet.gateways[name] = gateway = Gateway(settings)
    gateway.start()
    return gateway


HOPS = [
    # time for which a request at the service before still runs (ms), how far it had come, services
    ("long after the move", 0.0, False, set()),
    ("just after the move", 3_600_000.0, False, {"engines"}),
    ("a stream that had begun", 0.0, True, {"engines"}),
]


# Guards against: an instance that knows the move runs a request at the service before, as another
# asks it that does not.
@pytest.mark.parametrize("row", HOPS, ids=lambda row: row[0])
def test_request_of_an_instance_out_of_step_runs_at_no_service_before(monkeypatch, row):
    _, grace_ms, has_begun, services = row
    monkeypatch.setattr(_request_routing, "MOVED_ROUTE_GRACE_MS", grace_ms)
    with RoutedFleet(("north-1", "south-1"), has_store_proxies=True) as fleet:
        for service in SERVICES:
            fleet.add_server(f"{service}-0", service, "south-1", events=EVENTS)
        publish(fleet.store, 1, routes(), ("others",))
        fleet.until(fleet.is_ready, "all hold the first version")
        if has_begun:
            begin(fleet, "r1")
        fleet.cut_from_store("g0")
        fleet.cut_gossip(["g0"], ["g1"])
        publish(fleet.store, 2, routes(service="others"), ("others",))
        g1 = fleet.gateways["g1"].fleet
        fleet.until(lambda: g1.configuration_version == 2, "the move is known")
        more = resumption("r1", READ_EVENTS) if has_begun else {}
        got = fleet.ask(TARGET, "r2", "g0", body=b"r1", **more, **PROMPT)
        assert services_of(fleet, "r2") == services
        assert got.status == (200 if services else 503)


UNNAMED = [
    ("a split route", routes(split=split(*SERVICES)), False),
    ("a route of one service", routes(), True),
]


# Guards against: the rest of a stream whose first try is not named comes from another service.
@pytest.mark.parametrize("row", UNNAMED, ids=lambda row: row[0])
def test_stream_whose_first_try_is_not_named_goes_on_at_no_other_service(row):
    _, known, goes_on = row
    with instances_cut_off_from_each_other(known) as fleet:
        for number in range(10):
            begin(fleet, f"r{number}")
            headers = {"Last_Event_Id": str(READ_EVENTS)} | PROMPT
            got = fleet.ask(TARGET, f"t{number}", body=f"r{number}".encode(), **headers)
            assert len(services_of(fleet, f"r{number}", f"t{number}")) == 1
            assert (got.status == 200) is goes_on
