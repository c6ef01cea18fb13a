"""Fleet-wide quotas: admission stays within the accepted excess, and owed requests are admitted."""

from collections.abc import Callable

import pytest

from sparline._hashing import hash64
from sparline.fleet.tests.quota_replay import (
    ORGANISATION,
    REGIONS,
    Demand,
    Replay,
    ReplayResult,
    allowed,
    make_fleet,
    quota_of,
)
from sparline.tests.fake_fleet import FakeFleet

# Maximum fraction of owed tokens that may be rejected, with steady and with moving load.
MAX_REJECTED_STEADY = 0.005
MAX_REJECTED_MOVING = 0.02
# Maximum rate at which an instance sends datagrams for an organisation at its quota limit
# (bytes/s).
MAX_BYTES_PER_S = 2_000
SMALL, LARGE = 50_000.0, 540_000.0
# Number of instances, and quota in tokens per second.
FLEETS = [(6, SMALL), (6, LARGE), (24, SMALL), (24, LARGE), (74, LARGE)]
USUAL = Demand(0.55)
# 7.5 times the usual load.
OVERLOAD = Demand(4.1)
IN_TURN = ((1.0, 0.0, 0.0), (0.0, 1.0, 0.0), (0.0, 0.0, 1.0))


def in_turn(factor: float) -> Callable[[float], Demand]:
    """Return load that moves to the next region every 6 s."""
    return lambda ms: Demand(factor, IN_TURN[int(ms // 6_000) % 3])


def overload_between(began_ms: float, ended_ms: float, demand: Demand) -> Callable[[float], Demand]:
    return lambda ms: demand if began_ms <= ms < ended_ms else USUAL


def cut_east(fleet: FakeFleet, ms: float) -> None:
    """Partition a region off for 6 s."""
    east = frozenset(ip for ip, one in fleet.instances.items() if one.region == "east")
    fleet.far_side = east if 3_000 <= ms < 9_000 else frozenset()


def restart_all(fleet: FakeFleet, ms: float) -> None:
    """Stop all instances at once, and restart them after 2 s."""
    if ms != 8_000:
        return
    for ip in list(fleet.instances):
        region = fleet.instances[ip].region
        fleet.lose(ip)
        fleet.start(ip, region, 2_000 + fleet.chance.uniform(0, 300))


def stop_coordinators(fleet: FakeFleet, ms: float) -> None:
    """Stop the quota coordinators of all regions at once."""
    if ms != 8_000:
        return
    for region in REGIONS:
        ips = [ip for ip, one in fleet.instances.items() if one.region == region]
        fleet.lose(max(ips, key=lambda ip: hash64(f"quota/{ip}")))


def no_fault(_fleet: FakeFleet, _ms: float) -> None:
    pass


def replay(
    monkeypatch, instances: int, per_s: float, demand, at=no_fault, lossy=0.0
) -> ReplayResult:
    fleet = make_fleet(monkeypatch, instances, per_s, lossy)
    run = Replay(fleet, demand, per_s=per_s, at=lambda ms: at(fleet, ms))
    return run.run(16_000)


OWED = [
    # load, fault, fraction of datagrams lost, maximum fraction of owed tokens that may be rejected
    ("half the quota", lambda _ms: Demand(0.5), no_fault, 0.0, MAX_REJECTED_STEADY),
    ("nearly the whole quota", lambda _ms: Demand(0.95), no_fault, 0.0, MAX_REJECTED_STEADY),
    ("moving between regions", in_turn(0.8), no_fault, 0.0, MAX_REJECTED_MOVING),
    ("a region is cut off", lambda _ms: USUAL, cut_east, 0.0, MAX_REJECTED_MOVING),
    ("all restart", lambda _ms: USUAL, restart_all, 0.0, MAX_REJECTED_MOVING),
]


@pytest.mark.parametrize(("instances", "per_s"), FLEETS)
@pytest.mark.parametrize(
    ("demand", "at", "lossy", "max_rejected"),
    [row[1:] for row in OWED],
    ids=[row[0] for row in OWED],
)
def test_load_below_the_quota_is_admitted(
    monkeypatch, demand, at, lossy, max_rejected, instances, per_s
):
    result = replay(monkeypatch, instances, per_s, demand, at, lossy)
    assert result.rejected_share <= max_rejected
    assert result.most_in_window <= allowed(per_s)


OVER = [
    ("one region at 7.5 times its usual load", overload_between(3_000, 9_500, Demand(4.1, IN_TURN[0])), no_fault, 0.0),
    ("all regions at 7.5 times their usual load", overload_between(3_000, 13_500, OVERLOAD), no_fault, 0.0),
    ("moving between regions", in_turn(4.1), no_fault, 0.0),
    ("a region is cut off as the overload begins", overload_between(3_000, 16_000, OVERLOAD), cut_east, 0.0),
    ("all restart during the overload", lambda _ms: OVERLOAD, restart_all, 0.0),
    ("the quota coordinators are lost", lambda _ms: OVERLOAD, stop_coordinators, 0.0),
    ("a fifth of the datagrams are lost", lambda _ms: OVERLOAD, no_fault, 0.2),
]  # fmt: skip


@pytest.mark.parametrize(("instances", "per_s"), FLEETS)
@pytest.mark.parametrize(
    ("demand", "at", "lossy"), [row[1:] for row in OVER], ids=[row[0] for row in OVER]
)
def test_admission_in_any_window_is_bounded(monkeypatch, demand, at, lossy, instances, per_s):
    result = replay(monkeypatch, instances, per_s, demand, at, lossy)
    assert result.most_in_window <= allowed(per_s)
    # The limit must not cost the organisation its quota.
    assert result.admitted >= 0.75 * result.owed


def test_reduced_quota_takes_effect_after_one_window(monkeypatch):
    fleet = make_fleet(monkeypatch, 24, SMALL)
    lower = SMALL / 5
    admitted: list[tuple[float, float]] = []

    def at(ms: float) -> None:
        if ms == 4_000:
            fleet.organisations[ORGANISATION] = quota_of(lower)
        admitted.append((ms, run.result.admitted))

    run = Replay(fleet, lambda _ms: USUAL, per_s=SMALL, at=at)
    run.run(24_000)
    by_time = dict(admitted)
    for ms in range(12_000, 15_000, 500):
        assert by_time[ms + 8_000] - by_time[ms] <= allowed(lower)


@pytest.mark.parametrize("instances", [24, 74])
def test_traffic_for_a_quota_at_its_limit_is_bounded(monkeypatch, instances):
    result = replay(monkeypatch, instances, LARGE, lambda _ms: OVERLOAD)
    assert result.bytes_per_s <= MAX_BYTES_PER_S


def test_idle_organisation_causes_no_traffic(monkeypatch):
    fleet = make_fleet(monkeypatch, 24, SMALL)
    fleet.quota_bytes = 0
    fleet.pass_ms(3_000)
    assert fleet.quota_bytes == 0
