"""Tests of the longest times that requests took lately."""

import pytest

from sparline.gateway import _run_times
from sparline.gateway._in_flight import InFlightRequests
from sparline.gateway._run_times import MIN_TIMES, RunTimes, RunTimeTable, estimate_key, whole_key
from sparline.routes import RequestKind
from sparline.tests.routed import PLAIN, make_request, make_route

ROUTE = make_route(kind=RequestKind.SAFE)
OTHER = make_route(kind=RequestKind.SAFE, name="other")
KEY = whole_key(ROUTE, PLAIN)


@pytest.fixture
def clock(monkeypatch):
    at = [100_000.0]
    monkeypatch.setattr(_run_times, "now_ms", lambda: at[0])
    return at


def plain_request(at_ms: float, took_ms: float = 0.0, route=ROUTE, service=PLAIN):
    return make_request(route, service=service, prompt=None, arrived_at_ms=at_ms - took_ms)


def note(table, clock, times_ms, **more):
    for took_ms in times_ms:
        table.note(plain_request(clock[0], took_ms, **more), None)


def test_longest_time_is_known_only_from_enough_requests(clock):
    table = RunTimeTable(InFlightRequests())
    note(table, clock, [50.0] * (MIN_TIMES - 2) + [3_000.0])
    assert table.longest_ms(KEY) is None
    note(table, clock, [60.0])
    assert table.longest_ms(KEY) == 3_000.0


def test_services_and_routes_are_told_apart(clock):
    table = RunTimeTable(InFlightRequests())
    note(table, clock, [50.0] * MIN_TIMES)
    note(table, clock, [3_000.0] * MIN_TIMES, service="slow")
    note(table, clock, [2_000.0] * MIN_TIMES, route=OTHER)
    assert table.longest_ms(KEY) == 50.0
    assert table.longest_ms(whole_key(ROUTE, "slow")) == 3_000.0
    assert table.longest_ms(whole_key(OTHER, PLAIN)) == 2_000.0


def test_old_times_are_forgotten(clock):
    table = RunTimeTable(InFlightRequests())
    note(table, clock, [3_000.0] * MIN_TIMES)
    clock[0] += 40_000.0
    note(table, clock, [50.0] * MIN_TIMES)
    assert table.longest_ms(KEY) == 3_000.0
    clock[0] += 35_000.0
    assert table.longest_ms(KEY) == 50.0
    clock[0] += 71_000.0
    table.forget_unused()
    assert (table.longest_ms(KEY), table._intervals) == (None, {})


def test_age_of_a_request_in_flight_is_taken_for_the_longest_time(clock):
    """Guards against late requests that are accepted by how long another one has run so far."""
    in_flight = InFlightRequests()
    table = RunTimeTable(in_flight)
    note(table, clock, [50.0] * MIN_TIMES)
    with in_flight.holding(plain_request(clock[0], 9_000.0, route=OTHER)):
        assert table.longest_ms(KEY) == 50.0
        with in_flight.holding(plain_request(clock[0], 40.0)):
            assert table.longest_ms(KEY) == 50.0
        with in_flight.holding(plain_request(clock[0], 4_000.0)):
            assert (table.longest_ms(KEY), table.shortest_ms()) == (None, None)
    note(table, clock, [4_100.0])
    with in_flight.holding(plain_request(clock[0], 4_000.0)):
        assert table.longest_ms(KEY) == 4_100.0


def test_age_of_a_stream_without_an_event_is_not_regarded(clock):
    """Guards against streams accepted by the first events that came, while others wait longer."""
    route = make_route()
    key = estimate_key(route, make_request(route).service, True)
    in_flight = InFlightRequests()
    table = RunTimeTable(in_flight)
    for _ in range(MIN_TIMES):
        table.note(make_request(route, arrived_at_ms=clock[0] - 300.0), clock[0])
    waiting = make_request(route, arrived_at_ms=clock[0] - 2_000.0)
    with in_flight.holding(waiting):
        assert table.longest_ms(key) is None
        in_flight.note_first(waiting)
        assert table.longest_ms(key) == 300.0


def test_age_of_a_request_in_flight_elsewhere_is_not_regarded(clock):
    """Guards against late requests accepted by complete ones while peers still run longer ones."""
    table = RunTimeTable(InFlightRequests())
    note(table, clock, [50.0] * MIN_TIMES)
    table.note_peer_times(KEY, RunTimes(0, 0.0, 40.0))
    assert table.longest_ms(KEY) == 50.0
    table.note_peer_times(KEY, RunTimes(0, 0.0, 2_000.0))
    assert table.longest_ms(KEY) is None
    table.note_peer_times(KEY, RunTimes(1, 3_000.0, 0.0))
    assert table.longest_ms(KEY) == 3_000.0


def test_peers_are_told_of_requests_in_flight(clock):
    in_flight = InFlightRequests()
    table = RunTimeTable(in_flight)
    note(table, clock, [50.0])
    with in_flight.holding(plain_request(clock[0], 700.0, route=OTHER)):
        told = table.own_times()
    assert told == {
        KEY: RunTimes(1, 50.0, 0.0),
        whole_key(OTHER, PLAIN): RunTimes(0, 0.0, 700.0),
    }


def test_stream_counts_until_its_first_event(clock):
    route = make_route()
    request = make_request(route, arrived_at_ms=clock[0] - 5_000.0)
    table = RunTimeTable(InFlightRequests())
    for _ in range(MIN_TIMES):
        table.note(request, clock[0] - 4_300.0)
        table.note(request, None)
    assert table.longest_ms(estimate_key(route, request.service, True)) == 700.0


def test_requests_in_flight_take_as_long_as_others_did(clock):
    """Guards against callers that are told to come back before the process has exited."""
    in_flight = InFlightRequests()
    table = RunTimeTable(in_flight)
    assert table.remaining_ms() == 0.0
    note(table, clock, [3_000.0])
    note(table, clock, [50.0], route=OTHER)
    with in_flight.holding(plain_request(clock[0], 30.0, route=OTHER)):
        assert table.remaining_ms() == 20.0
        with in_flight.holding(plain_request(clock[0], 1_000.0)):
            assert table.remaining_ms() == 2_000.0
    with in_flight.holding(plain_request(clock[0], 4_000.0)):
        assert table.remaining_ms() == 0.0
