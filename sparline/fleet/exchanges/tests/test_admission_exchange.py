"""Admission levels over a network in memory: one level in a region, through losses and cuts."""

import random
from collections import deque
from dataclasses import replace

import pytest

from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline.decisions import OPEN_LEVEL, admission_key, is_admitted
from sparline.fleet import AdmissionSources, ServiceRanks
from sparline.fleet._admission_coordinator import AdmissionCoordinator
from sparline.fleet._admission_table import AdmissionLevelTable
from sparline.routes import ServiceName
from sparline.schema._gossip import (
    AdmissionBucketNote,
    AdmissionDemandNote,
    AdmissionLevelNote,
    OrganisationDemandNote,
)
from sparline.tests.fake_fleet import STEP_MS, FakeFleet

SERVICE = ServiceName("engines")
REGIONS = ("east", "north", "west")
RANKS = ServiceRanks(3, {0: 4_000.0, 1: 2_500.0, 2: 5_000.0})
WEIGHTS = (0.25, 0.35, 0.4)
SOURCES = AdmissionSources(
    ranks_of=lambda service: RANKS if service == SERVICE else None,
    services=lambda: [SERVICE],
    regions=lambda: frozenset(RegionName(one) for one in REGIONS),
    weights=dict,
    fair_shares=lambda _demands, _weights, _capacity: {},
    occupancy=lambda _service: None,
    note_change=lambda _change: None,
)
# Requests that the servers of a region answer per second. Those that would wait for longer than
# `MAX_WAIT_S` are refused.
CAPACITY = 400.0
MAX_WAIT_S = 0.5


class Load:
    """Callers of one region and its servers, in front of a fleet."""

    def __init__(self, fleet: FakeFleet, region: str, seed: int = 1) -> None:
        self.fleet = fleet
        self.region = RegionName(region)
        self.asked = [0.0] * 3
        self.served = [0.0] * 3
        self._chance = random.Random(seed)
        self._queue: deque[tuple[str, int, float]] = deque()
        self._due = self._work = 0.0

    def instances(self) -> list[str]:
        return sorted(ip for ip, one in self.fleet.instances.items() if one.region == self.region)

    def levels(self) -> list[int]:
        """Return the level that each instance of the region has in force."""
        held = [self.fleet.instances[ip].admission for ip in self.instances()]
        return [one.level(SERVICE, self.region).level for one in held]

    def run(self, time_ms: float, per_s: float) -> None:
        """Let callers ask for a time; `asked` and `served` count by rank."""
        self.asked, self.served = [0.0] * 3, [0.0] * 3
        for _ in range(int(time_ms / STEP_MS)):
            ips = self.instances()
            self._due += per_s * STEP_MS / 1000
            while self._due >= 1:
                self._due -= 1
                if ips:
                    self._ask(self._chance.choice(ips))
            self._work = min(self._work + CAPACITY * STEP_MS / 1000, 3.0)
            while self._work >= 1 and self._queue:
                self._work -= 1
                ip, rank, at_ms = self._queue.popleft()
                self.served[rank] += 1
                if ip in self.fleet.instances:
                    self.fleet.instances[ip].admission.note_answered(SERVICE, 1)
            self.fleet.step()

    def _ask(self, ip: str) -> None:
        rank = self._chance.choices(range(3), WEIGHTS)[0]
        key = admission_key(rank, 0, self._chance.randrange(128))
        exchange = self.fleet.instances[ip].admission
        self.asked[rank] += 1
        exchange.note_asked(SERVICE, key, 1, 0)
        level = exchange.level(SERVICE, self.region)
        if not is_admitted(key, level.level, level.floor):
            return
        exchange.note_admitted(SERVICE, 1)
        if len(self._queue) >= MAX_WAIT_S * CAPACITY:
            exchange.note_missed(SERVICE, 1)
        else:
            self._queue.append((ip, rank, self.fleet.now_ms))


def note(level: int, set_ms: int, region: str = "east") -> AdmissionLevelNote:
    return AdmissionLevelNote(SERVICE, region, 0, level, 0, [], set_ms)


def make_fleet(monkeypatch, instances: int, lossy: float = 0.0) -> FakeFleet:
    chance = random.Random(instances)
    seeds = [f"1.{region}.0.1" for region in REGIONS]
    fleet = FakeFleet(chance, seeds, admission=SOURCES)
    fleet.install(monkeypatch)
    for number in range(instances):
        region = REGIONS[number % 3]
        fleet.start(f"1.{region}.0.{number // 3 + 1}", region, chance.uniform(0, 300))
    fleet.pass_ms(3_000)
    fleet.lossy = lossy
    return fleet


def find_coordinator(load: Load) -> str:
    return max(load.instances(), key=lambda ip: hash64(f"admission/{ip}"))


@pytest.mark.parametrize(
    ("instances", "lossy"), [(3, 0.0), (9, 0.0), (74, 0.0), (9, 0.1), (74, 0.1)]
)
def test_all_instances_of_a_region_hold_one_level_that_serves_the_urgent(
    monkeypatch, instances, lossy
):
    fleet = make_fleet(monkeypatch, instances, lossy)
    load = Load(fleet, "east")
    load.run(2_500, 3 * CAPACITY)
    load.run(4_000, 3 * CAPACITY)
    levels = load.levels()
    assert max(levels) < OPEN_LEVEL
    if not lossy:
        assert len(set(levels)) == 1
    shares = [served / asked for served, asked in zip(load.served, load.asked, strict=True)]
    assert shares[0] >= 0.85
    assert shares[0] > shares[1] > shares[2] - 0.02
    assert sum(load.served) >= 0.75 * CAPACITY * 4
    # The other regions hear of the level, and have levels of their own, which are open.
    far = [one.admission for one in fleet.instances.values() if one.region != "east"]
    assert all(one.level(SERVICE, one._region).level == OPEN_LEVEL for one in far)
    knowing = [one for one in far if one.level(SERVICE, load.region).level < OPEN_LEVEL]
    assert len(knowing) >= 0.6 * len(far)
    load.run(4_000, 0.5 * CAPACITY)
    assert set(load.levels()) == {OPEN_LEVEL}


def test_nothing_is_sent_without_misses(monkeypatch):
    fleet = make_fleet(monkeypatch, 9)
    load = Load(fleet, "east")
    load.run(3_000, 0.7 * CAPACITY)
    assert fleet.admission_bytes == {}


def test_nothing_is_sent_a_while_after_an_overload(monkeypatch):
    fleet = make_fleet(monkeypatch, 9)
    load = Load(fleet, "east")
    load.run(3_000, 3 * CAPACITY)
    load.run(8_000, 0.5 * CAPACITY)
    fleet.admission_bytes.clear()
    load.run(2_000, 0.5 * CAPACITY)
    assert fleet.admission_bytes == {}
    assert not any(len(one.admission.coordinator) for one in fleet.instances.values())


def test_another_instance_continues_when_the_coordinator_is_lost(monkeypatch):
    """Guards against levels that open at once under load when the coordinator ends."""
    fleet = make_fleet(monkeypatch, 9)
    load = Load(fleet, "east")
    load.run(4_000, 3 * CAPACITY)
    fleet.lose(find_coordinator(load))
    highest = []
    for _ in range(16):
        load.run(250, 3 * CAPACITY)
        highest.append(max(load.levels()))
    assert max(highest) < OPEN_LEVEL
    assert len(set(load.levels())) == 1


def test_a_new_instance_takes_the_level_from_gossip(monkeypatch):
    fleet = make_fleet(monkeypatch, 9)
    load = Load(fleet, "east")
    load.run(4_000, 3 * CAPACITY)
    fleet.start("1.east.0.77", "east")
    load.run(500, 3 * CAPACITY)
    new = fleet.instances["1.east.0.77"].admission
    assert new.level(SERVICE, load.region).level < OPEN_LEVEL


def test_each_side_of_a_cut_has_a_level(monkeypatch):
    fleet = make_fleet(monkeypatch, 9)
    load = Load(fleet, "east")
    load.run(3_000, 3 * CAPACITY)
    fleet.far_side = frozenset(load.instances()[:1])
    load.run(6_000, 3 * CAPACITY)
    assert max(load.levels()) < OPEN_LEVEL
    far = fleet.instances["1.west.0.1"].admission
    fleet.far_side = frozenset(load.instances())
    load.run(4_500, 3 * CAPACITY)
    # Levels of a region that is cut off expire and count as open.
    assert far.level(SERVICE, load.region).level == OPEN_LEVEL
    assert max(load.levels()) < OPEN_LEVEL


def test_a_level_that_is_not_renewed_opens_step_by_step():
    """Guards against a region that opens at once under load when its levels are lost."""
    table = AdmissionLevelTable(RegionName("east"))
    table.take(note(level=100, set_ms=1), 0.0)
    levels = [
        table.get(SERVICE, RegionName("east"), RANKS.count, 250.0 * number).level
        for number in range(20)
    ]
    assert levels[:9] == [100] * 9
    assert levels == sorted(levels)
    assert 0 < levels[9] - 100 <= 768 / 8
    assert levels[-1] == OPEN_LEVEL


def test_a_level_that_is_relayed_does_not_get_younger():
    """Guards against levels that instances renew for each other, without a coordinator."""
    tables = [AdmissionLevelTable(RegionName("east")) for _ in range(2)]
    tables[0].take(note(level=100, set_ms=1, region="west"), 0.0)
    for number in range(1, 40):
        now = number * 250.0
        sender, receiver = tables[number % 2 - 1], tables[number % 2]
        for one in sender.notes(now):
            receiver.take(one, now + 80.0)
    assert all(one.get(SERVICE, RegionName("west"), 3, now).level == OPEN_LEVEL for one in tables)


def test_a_coordinator_whose_clock_is_behind_is_heard_after_a_change():
    table = AdmissionLevelTable(RegionName("east"))
    table.take(note(level=100, set_ms=9_000), 0.0)
    table.take(note(level=300, set_ms=2), 500.0)
    assert table.get(SERVICE, RegionName("east"), 3, 500.0).level == 100
    table.take(note(level=300, set_ms=3), 1_250.0)
    assert table.get(SERVICE, RegionName("east"), 3, 1_250.0).level == 300


@pytest.mark.parametrize("instances", [9, 74])
def test_bytes_of_an_overload_are_bounded(monkeypatch, instances):
    fleet = make_fleet(monkeypatch, instances)
    load = Load(fleet, "east")
    load.run(3_000, 3 * CAPACITY)
    fleet.admission_bytes.clear()
    fleet.admission_datagrams.clear()
    load.run(4_000, 3 * CAPACITY)
    coordinator = find_coordinator(load)
    others = [one for ip, one in fleet.admission_bytes.items() if ip != coordinator]
    siblings = len(load.instances()) - 1
    assert max(others) / 4 <= 1_000
    assert fleet.admission_datagrams[coordinator] / 4 <= 4 * (siblings + 2) + 20


def test_instances_that_do_not_hold_each_other_as_live_share_a_coordinator(monkeypatch):
    """Guards against two coordinators in a large region, where heartbeats arrive late."""
    fleet = make_fleet(monkeypatch, 9)
    load = Load(fleet, "east")
    load.run(3_000, 3 * CAPACITY)
    coordinator = find_coordinator(load)
    other = next(ip for ip in load.instances() if ip != coordinator)
    for here, there in ((coordinator, other), (other, coordinator)):
        members = fleet.instances[here].members
        live = members.live
        monkeypatch.setattr(
            members,
            "live",
            lambda region=None, live=live, there=there: [
                one for one in live(region) if one.note.ip != there
            ],
        )
    load.run(4_000, 3 * CAPACITY)
    coordinating = [ip for ip, one in fleet.instances.items() if len(one.admission.coordinator)]
    assert coordinating == [coordinator]
    assert len(set(load.levels())) == 1


def test_levels_carry_the_shares_of_organisations_beyond_theirs():
    """Guards against shares that are not passed on, or that the rest of the organisations gets."""
    asked: list[tuple] = []

    def fair_shares(demands, weights, capacity):
        asked.append((dict(demands), dict(weights), capacity))
        return {7: 0.25, 0: 0.5}

    sources = replace(SOURCES, weights=lambda: {7: 1.0, 8: 3.0}, fair_shares=fair_shares)
    coordinator = AdmissionCoordinator(
        RegionName("east"), sources, AdmissionLevelTable(RegionName("east"))
    )
    organisations = [OrganisationDemandNote(7, 300), OrganisationDemandNote(0, 100)]
    demand = [AdmissionBucketNote(0, 200), AdmissionBucketNote(16, 200)]
    report = AdmissionDemandNote(SERVICE, 400, 300, demand, organisations, 100)
    for number in range(5):
        coordinator.take([report], 250.0 * number)
        coordinator.step(250.0 * number)
    (level,) = coordinator.notes(1)
    assert level.level < OPEN_LEVEL
    assert {one.key: one.share for one in level.shares} == {7: 32}
    demands, weights, capacity = asked[-1]
    assert demands == pytest.approx({7: 1_200.0, 0: 400.0})
    assert weights == {7: 1.0, 0: 3.0}
    assert 0 < capacity < 1_600.0
