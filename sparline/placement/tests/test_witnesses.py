"""Server health, cold shares and load of servers as observed by one instance."""

import pytest

from sparline._ids import BackendServerId, RegionName
from sparline.fleet import ServerLoad
from sparline.placement import ColdShares, HealthTable, LoadTable, _health
from sparline.placement.limits import _cold_shares, _rate_shares
from sparline.tests.routed import make_server

S1 = BackendServerId("s1")


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 1_000_000.0

    for module in (_health, _cold_shares, _rate_shares):
        monkeypatch.setattr(module, "now_ms", lambda: Clock.now)
    return Clock


def fail(times: int):
    return lambda health: [health.note_failure(S1, "failed") for _ in range(times)]


def silent_with_pending_request(health: HealthTable) -> None:
    health.note_sent(S1)


def silent_after_all_ended(health: HealthTable) -> None:
    health.note_sent(S1)
    health.note_done(S1)


OBSERVATIONS = [
    # events at the server, delay before the check (ms), usable
    ("no requests", lambda health: None, 0, True),
    ("some failures", fail(3), 0, True),
    ("only failures", fail(10), 0, False),
    ("only failures, later", fail(10), 5_000, True),
    ("all streams of a crashed engine, slightly later", fail(50), 600, True),
    ("unreachable", lambda health: health.note_unreachable(S1), 0, False),
    ("unreachable, later", lambda health: health.note_unreachable(S1), 600, True),
    ("full", lambda health: health.note_full(S1), 100, False),
    ("full, later", lambda health: health.note_full(S1), 200, True),
    ("address of another server", lambda health: health.note_misdirected(S1), 4_000, False),
    ("silent with pending request", silent_with_pending_request, 1_300, False),
    ("briefly silent with pending request", silent_with_pending_request, 1_000, True),
    ("silent without pending request", silent_after_all_ended, 9_000, True),
]


@pytest.mark.parametrize(
    ("observe", "later_ms", "usable"),
    [row[1:] for row in OBSERVATIONS],
    ids=[row[0] for row in OBSERVATIONS],
)
def test_usability_after_observations(clock, observe, later_ms, usable):
    health = HealthTable()
    observe(health)
    clock.now += later_ms
    assert health.usable(S1) is usable


def test_server_that_sends_again_is_not_unresponsive(clock):
    health = HealthTable()
    health.note_sent(S1)
    clock.now += 1_300
    health.note_received(S1)
    assert health.usable(S1)


def send_probe(health: HealthTable) -> None:
    health.note_placed(S1)


def fail_to_reach(health: HealthTable) -> None:
    health.note_unreachable(S1)


def receive_event(health: HealthTable) -> None:
    health.note_event(S1)


PROBES = [
    # events after the server was skipped, delay before the check (ms), usable
    ("no request yet", [], 0, True),
    ("one probe pending", [send_probe], 0, False),
    ("one probe answered", [send_probe, receive_event], 0, True),
    ("one probe failed: skipped twice as long", [send_probe, fail_to_reach], 900, False),
    ("one probe failed, later", [send_probe, fail_to_reach], 1_100, True),
]


@pytest.mark.parametrize(
    ("steps", "later_ms", "usable"), [row[1:] for row in PROBES], ids=[row[0] for row in PROBES]
)
def test_skipped_server_is_probed_by_one_request(clock, steps, later_ms, usable):
    health = HealthTable()
    health.note_unreachable(S1)
    clock.now += _health.MIN_SKIP_MS
    for step in steps:
        step(health)
    clock.now += later_ms
    assert health.usable(S1) is usable


def test_full_server_is_not_doubted(clock):
    health = HealthTable()
    health.note_full(S1)
    assert (health.usable(S1), health.is_doubted(S1)) == (False, False)
    health.note_unreachable(S1)
    assert health.is_doubted(S1)


def test_time_factor_decays(clock):
    health = HealthTable()
    for _ in range(30):
        health.note_time(S1, 500.0, 100.0)
    assert health.time_factor(S1) > 4
    clock.now += 3 * _health.TIME_FACTOR_HALF_LIFE_MS
    assert health.time_factor(S1) < 1.7


SHARES = [(1, 1), (4, 4), (9, 4), (30, 4)]


@pytest.mark.parametrize(("instances", "sharing"), SHARES)
def test_cold_server_gets_at_most_its_rate(clock, instances, sharing):
    ips = [f"10.0.0.{number}" for number in range(instances)]
    server = make_server("s1", cold_until_ms=clock.now + 60_000)
    shares = [ColdShares(ip, lambda: ips) for ip in ips]
    sent = 0
    for _ in range(1_000):
        for one in shares:
            if one.may_send(server, 10.0):
                one.note_sent(server, 10.0)
                sent += 1
        clock.now += 10
    assert sent <= 10 * 10 + sharing
    assert sent >= 70


def test_warm_server_is_not_limited(clock):
    server = make_server("s1", cold_until_ms=clock.now - 1)
    shares = ColdShares("a", lambda: ["a", "b"])
    for _ in range(100):
        assert shares.may_send(server, 10.0)
        shares.note_sent(server, 10.0)


def test_request_counts_until_released():
    changes: list[ServerLoad] = []
    loads = LoadTable(
        RegionName("north"), lambda _one: None, lambda _one, load, _log_factor: changes.append(load)
    )
    server = make_server("s1")
    reservation = loads.reserve(server, 100, 40)
    assert loads.of(server) == ServerLoad(1, 100, 40)
    reservation.note_first_event()
    assert loads.of(server) == ServerLoad(1, 100, 0)
    reservation.release()
    reservation.release()
    assert loads.of(server) == ServerLoad()
    assert changes == [ServerLoad(1, 100, 40), ServerLoad(0, 0, -40), ServerLoad(-1, -100, 0)]


REPORTED = [
    ("more than own load", ServerLoad(3, 300, 5), ServerLoad(3, 300, 40)),
    ("less than own load, not reported yet", ServerLoad(), ServerLoad(1, 100, 40)),
    ("no report", None, ServerLoad(1, 100, 40)),
]


@pytest.mark.parametrize(
    ("reported", "load"), [row[1:] for row in REPORTED], ids=[row[0] for row in REPORTED]
)
@pytest.mark.parametrize("region", ["north", "south"])
def test_load_is_maximum_of_reported_and_own(reported, load, region):
    loads = LoadTable(
        RegionName("north"), lambda _one: reported, lambda _one, _load, _log_factor: None
    )
    server = make_server("s1", region)
    loads.reserve(server, 100, 40)
    assert loads.of(server) == load
    assert set(loads.own_in_region()) == ({"s1"} if region == "north" else set())
