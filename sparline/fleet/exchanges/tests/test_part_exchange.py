"""Propagation speed, reach and cost of facts on parts of prompts in the fleet."""

import pytest

from sparline._ids import BackendServerId, PartDigest, RequestId
from sparline.decisions import MIN_ANSWERS_BESIDE
from sparline.quarantine import InterruptedRequest, RequestDigest, ServerKind
from sparline.tests.fake_fleet import FAR_MS, FakeFleet, gossiping_fleet

BAD = PartDigest(b"bad part")
KIND = ServerKind("engines", None)
# Time within which every connected instance has to know of the last exit (ms): the shortest time that
# an operator may configure.
PROPAGATION_LIMIT_MS = 5_000.0
# Longest transit time of a datagram, as a multiple of the normal one.
LATENCY_FACTOR = 1.5
SIZES = [("small", 3, 3), ("large", 65, 3), ("many regions", 4, 12)]
# Bytes a second that an instance may send to control the fleet.
MAX_CONTROL_BYTES_PER_S = 27_000.0


def note_exit(fleet: FakeFleet, ip: str, server: str, part: PartDigest = BAD) -> None:
    """Let a server exit under a request with a part, beside two others."""
    beside = [PartDigest(f"{server} {number}".encode()) for number in range(2)]
    for number, one in enumerate((part, *beside)):
        request_id = RequestId(f"{server}/{part!r}/{number}")
        request = InterruptedRequest(RequestDigest(b""), request_id, (one,), KIND, fleet.now_ms)
        fleet.instances[ip].parts.note_exit(request, BackendServerId(server))


def knowing(fleet: FakeFleet) -> list[bool]:
    """Tell of each instance whether it has the part in quarantine."""
    return [one.parts.quarantined_among([BAD]) is not None for one in fleet.instances.values()]


@pytest.mark.parametrize(
    ("instances", "regions"), [row[1:] for row in SIZES], ids=[row[0] for row in SIZES]
)
def test_last_exit_is_known_everywhere_immediately(monkeypatch, instances, regions):
    fleet = gossiping_fleet(monkeypatch, instances, regions)
    for server in "abcd":
        note_exit(fleet, "10.2.0.2", server)
    fleet.pass_ms(LATENCY_FACTOR * FAR_MS + 20)
    assert all(knowing(fleet))


@pytest.mark.parametrize(
    ("instances", "regions"), [row[1:] for row in SIZES], ids=[row[0] for row in SIZES]
)
def test_exits_seen_by_four_instances_add_up(monkeypatch, instances, regions):
    fleet = gossiping_fleet(monkeypatch, instances, regions, lossy=0.2)
    for ip, server in (("10.1.0.2", "a"), ("10.1.0.3", "b"), ("10.2.0.1", "c"), ("10.3.0.3", "d")):
        note_exit(fleet, ip, server)
    fleet.pass_ms(PROPAGATION_LIMIT_MS)
    assert all(knowing(fleet))


def test_a_new_instance_learns_of_a_part_quarantined_long_ago(monkeypatch):
    fleet = gossiping_fleet(monkeypatch, 5, 3, lossy=0.2)
    for server in "abcd":
        note_exit(fleet, "10.1.0.2", server)
    fleet.pass_ms(60_000)
    fleet.start("10.3.0.99", "3")
    fleet.pass_ms(PROPAGATION_LIMIT_MS)
    assert all(knowing(fleet))


def test_a_new_instance_is_told_at_once(monkeypatch):
    fleet = gossiping_fleet(monkeypatch, 5, 3)
    for server in "abcd":
        note_exit(fleet, "10.1.0.2", server)
    fleet.pass_ms(60_000)
    fleet.start("10.3.0.99", "3")
    fleet.pass_ms(LATENCY_FACTOR * 2 * FAR_MS)
    assert all(knowing(fleet))


def test_many_suspected_parts_delay_no_quarantine(monkeypatch):
    fleet = gossiping_fleet(monkeypatch, 26, 3)
    sizes: list[int] = []
    sent: dict[str, int] = {}
    send = FakeFleet.send

    def count(one: FakeFleet, sender: str, receiver: str, data: bytes) -> None:
        if b"PartNews" in data:
            sizes.append(len(data))
            sent[sender] = sent.get(sender, 0) + len(data)
        send(one, sender, receiver, data)

    monkeypatch.setattr(FakeFleet, "send", count)
    # Each of four servers exits under 40 sound requests of 26 instances of a region, and one bad one.
    for number, server in enumerate("abcd"):
        for beside in range(40):
            ip = f"10.1.0.{beside % 26 + 1}"
            note_exit(fleet, ip, server, PartDigest(b"%d %d" % (number, beside)))
        note_exit(fleet, f"10.{number % 3 + 1}.0.2", server)
        fleet.pass_ms(300)
    fleet.pass_ms(PROPAGATION_LIMIT_MS)
    assert all(knowing(fleet))
    assert max(sizes) < 1_400
    assert max(sent.values()) < MAX_CONTROL_BYTES_PER_S * 6.2


def test_instances_that_see_few_answers_leave_a_part_out_of_quarantine(monkeypatch):
    """Guards against instances that judge apart, each by the answers that it has seen itself."""
    fleet = gossiping_fleet(monkeypatch, 4, 2)
    parts = fleet.instances["10.1.0.2"].parts
    for server in "abcd":
        request = InterruptedRequest(
            RequestDigest(b""), RequestId(server), (BAD,), KIND, fleet.now_ms
        )
        parts.note_exit(request, BackendServerId(server))
        fleet.pass_ms(2 * FAR_MS)
        for _ in range(MIN_ANSWERS_BESIDE):
            parts.note_answered([PartDigest(b"sound")], KIND)
    fleet.pass_ms(PROPAGATION_LIMIT_MS)
    assert all(knowing(fleet))
