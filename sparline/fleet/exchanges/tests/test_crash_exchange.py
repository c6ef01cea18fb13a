"""Propagation speed, reach and cost of crash reports in the fleet."""

import pytest

from sparline.fleet import CrashExchange, _gossip
from sparline.fleet.exchanges import _crash_exchange
from sparline.quarantine import CrashTable, RequestDigest, Verdict
from sparline.schema._gossip import CrashNews
from sparline.tests.fake_fleet import FAR_MS, FakeFleet, gossiping_fleet, region_of

DIGEST = RequestDigest(b"1" * 16)
# Time within which every connected instance has to know of the third crash (ms): the shortest time
# that an operator may configure.
PROPAGATION_LIMIT_MS = 5_000.0
# Longest transit time of a datagram, as a multiple of the normal one.
LATENCY_FACTOR = 1.5
SIZES = [("small", 3, 3), ("middle", 26, 3), ("large", 65, 3), ("many regions", 4, 12)]


def count_sent(monkeypatch) -> list[tuple[str, str, bytes]]:
    """Return a list that collects each datagram sent: sender, receiver, content."""
    sent: list[tuple[str, str, bytes]] = []
    original_send = FakeFleet.send

    def send(fleet: FakeFleet, sender: str, receiver: str, data: bytes) -> None:
        sent.append((sender, receiver, data))
        original_send(fleet, sender, receiver, data)

    monkeypatch.setattr(FakeFleet, "send", send)
    return sent


def verdicts(fleet: FakeFleet) -> list[Verdict]:
    return [one.crashes.verdict(DIGEST) for one in fleet.instances.values()]


@pytest.mark.parametrize(
    ("instances", "regions"), [row[1:] for row in SIZES], ids=[row[0] for row in SIZES]
)
def test_third_crash_is_known_everywhere_immediately(monkeypatch, instances, regions):
    fleet = gossiping_fleet(monkeypatch, instances, regions)
    crashes = fleet.instances["10.2.0.2"].crashes
    for server in ("a", "b", "c"):
        crashes.note_end(DIGEST, server)
    fleet.pass_ms(LATENCY_FACTOR * FAR_MS + 20)
    assert set(verdicts(fleet)) == {Verdict.QUARANTINED}


@pytest.mark.parametrize(
    ("instances", "regions"), [row[1:] for row in SIZES], ids=[row[0] for row in SIZES]
)
@pytest.mark.parametrize("lossy", [0.0, 0.2])
def test_crashes_seen_by_instances_in_three_regions_add_up(monkeypatch, instances, regions, lossy):
    fleet = gossiping_fleet(monkeypatch, instances, regions, lossy)
    for region, server in ((1, "a"), (2, "b"), (3, "c")):
        fleet.instances[f"10.{region}.0.2"].crashes.note_end(DIGEST, server)
    fleet.pass_ms(PROPAGATION_LIMIT_MS)
    assert set(verdicts(fleet)) == {Verdict.QUARANTINED}


@pytest.mark.parametrize("lossy", [0.0, 0.2])
def test_newly_started_instance_learns_of_suspects(monkeypatch, lossy):
    fleet = gossiping_fleet(monkeypatch, 5, 3, lossy)
    for server in ("a", "b", "c"):
        fleet.instances["10.1.0.2"].crashes.note_end(DIGEST, server)
    fleet.pass_ms(60_000)
    fleet.start("10.3.0.99", "3")
    fleet.pass_ms(1_000)
    assert fleet.instances["10.3.0.99"].crashes.verdict(DIGEST) is Verdict.QUARANTINED


@pytest.mark.parametrize("lossy", [0.0, 0.2])
def test_many_concurrent_suspects_are_all_known_everywhere(monkeypatch, lossy):
    # 40 suspects exceed both the capacity of a datagram and the broadcast rate limit.
    fleet = gossiping_fleet(monkeypatch, 26, 3, lossy)
    digests = [RequestDigest(number.to_bytes(16, "big")) for number in range(40)]
    for number, digest in enumerate(digests):
        crashes = fleet.instances[f"10.1.0.{number % 26 + 1}"].crashes
        for server in ("a", "b", "c"):
            crashes.note_end(digest, server)
    fleet.pass_ms(PROPAGATION_LIMIT_MS)
    for one in fleet.instances.values():
        assert {one.crashes.verdict(digest) for digest in digests} == {Verdict.QUARANTINED}


def test_cleared_suspect_is_known_everywhere(monkeypatch):
    fleet = gossiping_fleet(monkeypatch, 5, 3)
    for server in ("a", "b"):
        fleet.instances["10.1.0.2"].crashes.note_end(DIGEST, server)
    fleet.pass_ms(500)
    fleet.instances["10.3.0.2"].crashes.note_complete_answer(DIGEST)
    fleet.pass_ms(LATENCY_FACTOR * FAR_MS + 20)
    assert set(verdicts(fleet)) == {Verdict.CLEAR}


# Which instances are partitioned off, and for how long (ms): shorter and longer than the 12 s for
# which rounds repeat a report on a suspect.
PARTITIONS = [
    ("a region, briefly", lambda ip: region_of(ip) == "3", 2_000.0),
    ("a region, for a long time", lambda ip: region_of(ip) == "3", 30_000.0),
    ("one instance, like a suspended process", lambda ip: ip == "10.3.0.2", 30_000.0),
]


@pytest.mark.parametrize(
    ("is_isolated", "isolated_ms"),
    [row[1:] for row in PARTITIONS],
    ids=[row[0] for row in PARTITIONS],
)
@pytest.mark.parametrize("instances", [3, 26])
def test_instances_catch_up_after_a_partition(monkeypatch, instances, is_isolated, isolated_ms):
    fleet = gossiping_fleet(monkeypatch, instances, 3)
    fleet.far_side = frozenset(ip for ip in fleet.instances if is_isolated(ip))
    for server in ("a", "b", "c"):
        fleet.instances["10.1.0.2"].crashes.note_end(DIGEST, server)
    fleet.pass_ms(isolated_ms)
    assert set(verdicts(fleet)) == {Verdict.QUARANTINED, Verdict.CLEAR}
    fleet.far_side = frozenset()
    fleet.pass_ms(PROPAGATION_LIMIT_MS)
    assert set(verdicts(fleet)) == {Verdict.QUARANTINED}


def test_cross_region_traffic_depends_on_the_number_of_regions_only(monkeypatch):
    fleet = gossiping_fleet(monkeypatch, 26, 3)
    sent = count_sent(monkeypatch)
    for server in ("a", "b", "c"):
        fleet.instances["10.1.0.2"].crashes.note_end(DIGEST, server)
    immediate_reports = [
        data
        for sender, receiver, data in sent
        if region_of(sender) != region_of(receiver) and b"CrashNews" in data
    ]
    # The second and the third crash are each reported to two instances in each of two regions.
    assert len(immediate_reports) == 2 * _gossip.REPRESENTATIVES_PER_REGION * 2
    assert max(map(len, immediate_reports)) < 100


def test_crash_of_many_servers_causes_little_traffic(monkeypatch):
    fleet = gossiping_fleet(monkeypatch, 26, 3)
    sent = count_sent(monkeypatch)
    # The 14 engines of a region crash with 16 requests each; no request is hit by two crashes.
    for number in range(14 * 16):
        at = fleet.instances[f"10.1.0.{number % 26 + 1}"]
        at.crashes.note_end(RequestDigest(number.to_bytes(16, "big")), f"e{number % 14}")
    fleet.pass_ms(20_000)
    assert not [data for _, _, data in sent if b"CrashNews" in data]
    assert max(len(data) for _, _, data in sent) < 1_400


def test_immediate_reports_are_rate_limited():
    table = CrashTable(lambda change: told.append(exchange.urgent_news(change, instances=26)))
    exchange = CrashExchange(table)
    told: list[CrashNews | None] = []
    for number in range(50):
        digest = RequestDigest(number.to_bytes(16, "big"))
        table.note_end(digest, "a")
        table.note_end(digest, "b")
    at_once = [one for one in told if one is not None]
    assert 0 < len(at_once) < 20
    # The remaining reports are sent in rounds.
    assert len(exchange.notes_for(True, False)) == _crash_exchange.MAX_FACTS


def test_empty_crash_table_adds_no_notes():
    assert CrashExchange(CrashTable()).notes_for(True, True) == []
