import pytest

from sparline.fleet import (
    WATCHERS_PER_ZONE,
    Members,
    _members,
    _store_watchers,
    is_first_watcher,
    is_store_watcher,
)
from sparline.schema._gossip import Gossip, MemberNote, MemberPhase

SIZE = 12


class Zone:
    """Simulate the membership tables of all instances of a zone."""

    def __init__(self, clock) -> None:
        self._clock = clock
        self.ips = [f"10.0.0.{number}" for number in range(SIZE)]
        self.members = {ip: Members(note(ip)) for ip in self.ips}
        self.counter = 1
        self.hear(self.ips)

    def hear(self, speaking: list[str], reached: dict[str, bool] | None = None) -> None:
        self.counter += 1
        for ip in speaking:
            told = Gossip(
                note(ip, self.counter), 1, (reached or {}).get(ip, True), [], [], [], [], False
            )
            for members in self.members.values():
                members.take(told)

    def watching(self) -> set[str]:
        return {ip for ip, members in self.members.items() if is_store_watcher(members)}


def note(ip: str, counter: int = 1, zone: str = "north-1") -> MemberNote:
    return MemberNote(ip, ip, 1, counter, MemberPhase.live, "north", zone)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 1_000_000.0

    for module in (_members, _store_watchers):
        monkeypatch.setattr(module, "now_ms", lambda: Clock.now)
    return Clock


@pytest.fixture
def zone(clock):
    return Zone(clock)


def test_all_instances_of_a_zone_agree_on_its_watchers(zone):
    assert len(zone.watching()) == WATCHERS_PER_ZONE


def test_a_region_has_one_first_watcher_whichever_are_left(zone, clock):
    first = [ip for ip, members in zone.members.items() if is_first_watcher(members)]
    assert len(first) == 1
    others = [ip for ip in zone.ips if ip not in first]
    clock.now += _store_watchers.WATCHER_TIMEOUT_MS + 1
    zone.hear(others)
    left = [ip for ip in others if is_first_watcher(zone.members[ip])]
    assert len(left) == 1


def test_instances_of_another_zone_do_not_affect_the_watchers(zone):
    for members in zone.members.values():
        for number in range(SIZE):
            other = note(f"10.1.0.{number}", zone="north-2")
            members.take(Gossip(other, 1, True, [], [], [], [], False))
    assert len(zone.watching()) == WATCHERS_PER_ZONE


def test_lost_watchers_are_replaced_before_they_count_as_silent(zone, clock):
    lost = zone.watching()
    others = [ip for ip in zone.ips if ip not in lost]
    clock.now += _store_watchers.WATCHER_TIMEOUT_MS + 1
    zone.hear(others)
    watching = {ip for ip in others if is_store_watcher(zone.members[ip])}
    assert len(watching) == WATCHERS_PER_ZONE


def test_all_instances_watch_when_the_store_rejects_a_watcher(zone):
    watching = zone.watching()
    rejected = min(watching)
    # Non-watchers report the store as unreached.
    zone.hear(zone.ips, {ip: ip in watching and ip != rejected for ip in zone.ips})
    assert zone.watching() == set(zone.ips)
    # Once their own reports reach each other, the usual number keep watching.
    zone.hear(zone.ips, {ip: ip != rejected for ip in zone.ips})
    assert len(zone.watching() - {rejected}) == WATCHERS_PER_ZONE


def test_instance_without_known_members_watches():
    assert is_store_watcher(Members(note("10.0.0.1")))
