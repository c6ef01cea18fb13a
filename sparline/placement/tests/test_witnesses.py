import pytest

from sparline._ids import BackendServerId, RegionName
from sparline.fleet import ServerLoad
from sparline.placement import (
    ColdShares,
    HealthTable,
    LoadTable,
    _cold_shares,
    _health,
    _rate_shares,
)
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


def silent_with_work(health: HealthTable) -> None:
    health.note_sent(S1)


def silent_after_all_ended(health: HealthTable) -> None:
    health.note_sent(S1)
    health.note_done(S1)


SHOWN = [
    # what requests showed, milliseconds later, usable
    ("nothing", lambda health: None, 0, True),
    ("some failures", fail(3), 0, True),
    ("nothing but failures", fail(10), 0, False),
    ("nothing but failures, later", fail(10), 5_000, True),
    ("all streams of an engine that ends, a little later", fail(50), 600, True),
    ("not reached", lambda health: health.note_unreachable(S1), 0, False),
    ("not reached, later", lambda health: health.note_unreachable(S1), 600, True),
    ("full", lambda health: health.note_full(S1), 100, False),
    ("full, later", lambda health: health.note_full(S1), 200, True),
    ("another's address", lambda health: health.note_misdirected(S1), 4_000, False),
    ("silent with work under way", silent_with_work, 1_300, False),
    ("silent for a moment", silent_with_work, 1_000, True),
    ("silent without work", silent_after_all_ended, 9_000, True),
]


@pytest.mark.parametrize(
    ("show", "later_ms", "usable"), [row[1:] for row in SHOWN], ids=[row[0] for row in SHOWN]
)
def test_what_speaks_against_a_server(clock, show, later_ms, usable):
    health = HealthTable()
    show(health)
    clock.now += later_ms
    assert health.usable(S1) is usable


def test_a_server_that_speaks_again_is_not_dark(clock):
    health = HealthTable()
    health.note_sent(S1)
    clock.now += 1_300
    health.note_heard(S1)
    assert health.usable(S1)


def place(health: HealthTable) -> None:
    health.note_placed(S1)


def fail_to_reach(health: HealthTable) -> None:
    health.note_unreachable(S1)


def hear(health: HealthTable) -> None:
    health.note_event(S1)


TRIALS = [
    # after it was passed over: what happens, milliseconds later, usable
    ("nothing yet", [], 0, True),
    ("one request tries it", [place], 0, False),
    ("one request tries it and hears of it", [place, hear], 0, True),
    ("one request tries it in vain: twice as long", [place, fail_to_reach], 900, False),
    ("one request tries it in vain, later", [place, fail_to_reach], 1_100, True),
]


@pytest.mark.parametrize(
    ("steps", "later_ms", "usable"), [row[1:] for row in TRIALS], ids=[row[0] for row in TRIALS]
)
def test_a_server_that_was_passed_over_is_tried_by_one_request(clock, steps, later_ms, usable):
    health = HealthTable()
    health.note_unreachable(S1)
    clock.now += _health.PASS_OVER_FIRST_MS
    for step in steps:
        step(health)
    clock.now += later_ms
    assert health.usable(S1) is usable


def test_a_server_without_room_is_not_told_as_failing(clock):
    health = HealthTable()
    health.note_full(S1)
    assert (health.usable(S1), health.is_doubted(S1)) == (False, False)
    health.note_unreachable(S1)
    assert health.is_doubted(S1)


def test_a_learned_pace_fades(clock):
    health = HealthTable()
    for _ in range(30):
        health.note_pace(S1, 500.0, 100.0)
    assert health.pace(S1) > 4
    clock.now += 3 * _health.PACE_HALF_LIFE_MS
    assert health.pace(S1) < 1.7


SHARES = [(1, 1), (4, 4), (9, 4), (30, 4)]


@pytest.mark.parametrize(("instances", "sharing"), SHARES)
def test_a_cold_server_gets_no_more_than_its_rate(clock, instances, sharing):
    ips = [f"10.0.0.{number}" for number in range(instances)]
    server = make_server("s1", cold_until_ms=clock.now + 60_000)
    shares = [ColdShares(ip, lambda: ips) for ip in ips]
    sent = 0
    for _ in range(1_000):
        for one in shares:
            if one.may_use(server, 10.0):
                one.note_sent(server, 10.0)
                sent += 1
        clock.now += 10
    assert sent <= 10 * 10 + sharing
    assert sent >= 70


def test_a_warm_server_has_no_bound(clock):
    server = make_server("s1", cold_until_ms=clock.now - 1)
    shares = ColdShares("a", lambda: ["a", "b"])
    for _ in range(100):
        assert shares.may_use(server, 10.0)
        shares.note_sent(server, 10.0)


def test_a_request_counts_until_it_ends():
    changes: list[ServerLoad] = []
    loads = LoadTable(
        RegionName("north"), lambda _one: None, lambda _one, load, _shown: changes.append(load)
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


TOLD = [
    ("more than its own", ServerLoad(3, 300, 5), ServerLoad(3, 300, 40)),
    ("less than its own, not yet told", ServerLoad(), ServerLoad(1, 100, 40)),
    ("nothing", None, ServerLoad(1, 100, 40)),
]


@pytest.mark.parametrize(("told", "load"), [row[1:] for row in TOLD], ids=[row[0] for row in TOLD])
@pytest.mark.parametrize("region", ["north", "south"])
def test_a_server_has_what_is_told_of_it_and_its_own_at_least(told, load, region):
    loads = LoadTable(RegionName("north"), lambda _one: told, lambda _one, _load, _shown: None)
    server = make_server("s1", region)
    loads.reserve(server, 100, 40)
    assert loads.of(server) == load
    assert set(loads.own_here()) == ({"s1"} if region == "north" else set())
