"""Limits set by backend servers: latest value, reported changes, gossip, shares of instances."""

import random
from dataclasses import dataclass, field

import pytest

from sparline.placement.limits import ServerLimitTable, _server_limits
from sparline.schema._gossip import ServerLimitNote
from sparline.tests.fake_fleet import STEP_MS, FakeFleet
from sparline.tests.routed import make_server

S1 = make_server("s1").id


@pytest.fixture
def clock(monkeypatch):
    at = [1_000_000.0]
    monkeypatch.setattr(_server_limits, "now_ms", lambda: at[0])
    return at


ANSWERS = [
    # limits in consecutive answers of a server, and the changes to be reported
    ("no limit", [None, None], []),
    ("repeated", [1.8, 1.8, 1.8], [1.8]),
    ("changed", [1.8, 2.5], [1.8, 2.5]),
    ("removed", [1.8, None, None], [1.8, None]),
    ("restored", [1.8, None, 1.8], [1.8, None, 1.8]),
    ("zero", [0.0], [0.0]),
]


@pytest.mark.parametrize(
    ("answers", "expected_changes"), [row[1:] for row in ANSWERS], ids=[row[0] for row in ANSWERS]
)
def test_latest_answer_sets_the_limit(answers, expected_changes):
    changes = []
    limits = ServerLimitTable(lambda limit: changes.append(limit.per_s))
    for per_s in answers:
        limits.note_answer(S1, per_s)
        assert limits.limit_per_s(S1) == per_s
    assert changes == expected_changes
    assert limits.limited_count() == (answers[-1] is not None)


def note(per_s: float | None, age_ms: int) -> ServerLimitNote:
    return ServerLimitNote(S1, per_s, age_ms)


PEER_NOTES = [
    # limit in an answer 1 s ago, note from a peer, and the limit that results
    ("newer limit", 1.8, note(2.5, 500), 2.5),
    ("older limit", 1.8, note(2.5, 2_000), 1.8),
    ("removed later", 1.8, note(None, 500), None),
    ("older limit, removed here", None, note(2.5, 2_000), None),
]


@pytest.mark.parametrize(
    ("answered", "peer_note", "expected"),
    [row[1:] for row in PEER_NOTES],
    ids=[row[0] for row in PEER_NOTES],
)
def test_newest_answer_of_any_instance_sets_the_limit(clock, answered, peer_note, expected):
    limits = ServerLimitTable()
    limits.note_answer(S1, 9.9)
    limits.note_answer(S1, answered)
    clock[0] += 1_000
    limits.merge_limits([peer_note])
    assert limits.limit_per_s(S1) == expected


def test_limit_that_no_answer_repeats_is_forgotten(clock):
    limits = ServerLimitTable()
    limits.note_answer(S1, 1.8)
    clock[0] += _server_limits.LIMIT_TTL_MS - 1
    limits.forget_old()
    assert limits.limits_to_send() == [note(1.8, round(_server_limits.LIMIT_TTL_MS) - 1)]
    clock[0] += 2
    limits.forget_old()
    assert limits.limits_to_send() == []


@pytest.mark.parametrize("delay_ms", [1, 50, 400])
def test_limit_exchanged_between_peers_is_forgotten(clock, delay_ms):
    # Guards against network delay making the same answer appear newer with each exchange.
    first, second = ServerLimitTable(), ServerLimitTable()
    first.note_answer(S1, 1.8)
    start_ms = clock[0]
    while clock[0] - start_ms <= _server_limits.LIMIT_TTL_MS + 1_000:
        for sender, receiver in ((first, second), (second, first)):
            notes = sender.limits_to_send()
            clock[0] += delay_ms
            receiver.merge_limits(notes)
        clock[0] += 250
        first.forget_old()
        second.forget_old()
    assert first.limit_per_s(S1) is None
    assert second.limit_per_s(S1) is None


def test_number_of_limits_in_a_datagram_is_bounded():
    limits = ServerLimitTable()
    for number in range(100):
        limits.note_answer(make_server(f"s{number}").id, 1.8)
    assert len(limits.limits_to_send()) == _server_limits.MAX_LIMITS_PER_DATAGRAM


RATE_PER_S = 2.0
WINDOW_MS = 4_000.0
# Requests allowed in any window: 1.5 times the limit, and a few in flight.
MAX_IN_WINDOW = 1.5 * RATE_PER_S * WINDOW_MS / 1000 + 5


@dataclass
class LimitedServer:
    """Answers the instances of the first region without delay, with a limit or none."""

    per_s: float | None = RATE_PER_S
    answered: set[str] = field(default_factory=set)  # instances that have had an answer
    sent_at_ms: list[float] = field(default_factory=list)  # when these sent further requests

    def ask(self, fleet: FakeFleet, ip: str) -> None:
        """Send one request from an instance if its share allows it."""
        one = fleet.instances[ip]
        if not one.limits.may_send(S1):
            return
        one.limits.note_sent(S1)
        if ip in self.answered:
            self.sent_at_ms.append(fleet.now_ms)
        one.server_limits.note_answer(S1, self.per_s)
        self.answered.add(ip)

    def run(self, fleet: FakeFleet, seconds: float) -> None:
        """Send from each instance whenever its share allows it."""
        for _ in range(round(seconds * 1000 / STEP_MS)):
            fleet.step()
            for ip, one in list(fleet.instances.items()):
                if one.region == "1":
                    self.ask(fleet, ip)


def most_in_window(at_ms: list[float]) -> int:
    return max(sum(at <= one < at + WINDOW_MS for one in at_ms) for at in at_ms)


@pytest.fixture
def fleet(monkeypatch):
    one = FakeFleet(random.Random(1), seeds=[f"10.{region}.0.1" for region in (1, 2)])
    one.install(monkeypatch)
    return one


def start(fleet: FakeFleet, count: int) -> None:
    for number in range(1, count + 1):
        for region in (1, 2):
            fleet.start(f"10.{region}.0.{number}", str(region), fleet.chance.uniform(0, 500))
    fleet.pass_ms(6_000)


def stop_instances(fleet: FakeFleet) -> None:
    for number in range(2, 8):
        fleet.instances.pop(f"10.1.0.{number}", None)


def partition_network(fleet: FakeFleet) -> None:
    fleet.far_side = frozenset(sorted(fleet.instances)[::2])


def lose_datagrams(fleet: FakeFleet) -> None:
    fleet.lossy = 0.3


CHANGES = [
    ("no change", lambda _fleet: None),
    ("instances stopped", stop_instances),
    ("network partition", partition_network),
    ("datagrams lost", lose_datagrams),
]


REGION_CASES = (
    [(2, *row) for row in CHANGES] + [(14, *row) for row in CHANGES] + [(26, *CHANGES[0])]
)


@pytest.mark.parametrize(
    ("instances", "change"),
    [(row[0], row[2]) for row in REGION_CASES],
    ids=[f"{row[0]}: {row[1]}" for row in REGION_CASES],
)
def test_instances_of_a_region_together_respect_limit(fleet, instances, change):
    start(fleet, instances)
    server = LimitedServer()
    server.run(fleet, seconds=4)
    change(fleet)
    server.run(fleet, seconds=8)
    assert most_in_window(server.sent_at_ms) <= MAX_IN_WINDOW
    # Guards against shares that leave most of the limit unused.
    assert len(server.sent_at_ms) >= RATE_PER_S * 4


@pytest.mark.parametrize("instances", [2, 14])
def test_instances_without_a_share_learn_that_a_limit_was_removed(fleet, instances):
    start(fleet, instances)
    server = LimitedServer()
    server.run(fleet, seconds=4)
    server.per_s = None
    server.run(fleet, seconds=6)
    region_instances = [one for one in fleet.instances.values() if one.region == "1"]
    assert all(one.limits.may_send(S1) for one in region_instances)


def test_a_server_with_a_limit_of_zero_still_gets_rare_requests(fleet):
    start(fleet, 4)
    server = LimitedServer(per_s=0.0)
    server.run(fleet, seconds=60)
    assert 2 <= len(server.sent_at_ms) <= 8
