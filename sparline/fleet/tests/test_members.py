import msgspec
import pytest

from sparline._ids import RegionName
from sparline.fleet import Members, _members
from sparline.fleet._members import member_key
from sparline.schema._gossip import Gossip, MemberBeat, MemberNote, MemberPhase


def note(
    ip: str, region: str = "north", incarnation: int = 5, counter: int = 10, **more
) -> MemberNote:
    phase = more.get("phase", MemberPhase.live)
    return MemberNote(ip, ip, incarnation, counter, phase, region, f"{region}-1")


def beat(
    ip: str, incarnation: int, counter: int, phase: MemberPhase = MemberPhase.live
) -> MemberBeat:
    return MemberBeat(member_key(ip), incarnation, counter, phase)


def gossip(sender: MemberNote, **changes) -> Gossip:
    plain = Gossip(sender, 1, True, [], [], [], [], False)
    return msgspec.structs.replace(plain, **changes)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 1_000_000.0

    monkeypatch.setattr(_members, "now_ms", lambda: Clock.now)
    return Clock


@pytest.fixture
def members(clock):
    return Members(note("own"))


def ips(found) -> set[str]:
    return {one.note.ip for one in found}


RECEIVED = [
    ("live", [gossip(note("a"))], {"a"}),
    ("starting", [gossip(note("a", phase=MemberPhase.starting))], set()),
    ("leaving after live", [gossip(note("a")), gossip(note("a", counter=11, phase=MemberPhase.leaving))], set()),
    ("datagrams out of order", [gossip(note("a", counter=11, phase=MemberPhase.leaving)), gossip(note("a", counter=10))], set()),
    ("a restart, even with an earlier wall clock time", [gossip(note("a", phase=MemberPhase.leaving)), gossip(note("a", incarnation=4, counter=1))], {"a"}),
    ("a relayed member note", [gossip(note("a"), members=[note("b")])], {"a", "b"}),
    ("a relayed heartbeat of an unknown instance", [gossip(note("a"), beats=[beat("c", 1, 1)])], {"a"}),
    ("a relayed heartbeat with the leaving phase", [gossip(note("a")), gossip(note("b"), beats=[beat("a", 5, 11, MemberPhase.leaving)])], {"b"}),
    ("an older relayed heartbeat", [gossip(note("a")), gossip(note("b"), beats=[beat("a", 5, 9, MemberPhase.leaving)])], {"a", "b"}),
    ("its own datagram", [gossip(note("own"))], set()),
]  # fmt: skip


@pytest.mark.parametrize(
    ("datagrams", "live"), [row[1:] for row in RECEIVED], ids=[row[0] for row in RECEIVED]
)
def test_live_members(members, datagrams, live):
    for datagram in datagrams:
        members.take(datagram)
    assert ips(members.live()) == live


def test_unknown_instance_in_a_heartbeat_is_recorded(members):
    members.take(gossip(note("a"), beats=[beat("c", 1, 1)]))
    assert members.unknown_keys == [member_key("c")]


TIMEOUTS = [
    # silence (ms), region, number of known instances, still live, still shares limits
    (2_900, "north", 1, True, True),
    (3_100, "north", 1, False, True),
    (3_100, "south", 1, False, True),
    (5_000, "south", 300, True, True),
    (5_000, "north", 300, False, True),
    (21_000, "north", 1, False, False),
]


@pytest.mark.parametrize(("silence_ms", "region", "others", "live", "shares"), TIMEOUTS)
def test_silent_member_times_out(members, clock, silence_ms, region, others, live, shares):
    for number in range(others - 1):
        members.take(gossip(note(f"x{number}", "west")))
    members.take(gossip(note("a", region)))
    clock.now += silence_ms
    assert ("a" in ips(members.live(RegionName(region)))) is live
    assert ("a" in members.sharers()) is shares
    assert "own" in members.sharers()


STORE_REPORTS = [
    # whether a member reached the store, time since it reported so (ms), whether the store counts
    # as reached
    (True, 0, True),
    (True, 7_900, True),
    (True, 8_100, False),
    (False, 0, False),
]


@pytest.mark.parametrize(("reached", "ago_ms", "is_reached"), STORE_REPORTS)
def test_members_store_report_expires(members, clock, reached, ago_ms, is_reached):
    # A relayed heartbeat of the member carries no information about the store.
    members.take(gossip(note("a"), store_reached=reached))
    clock.now += ago_ms
    members.take(gossip(note("b"), store_reached=False, beats=[beat("a", 5, 11)]))
    assert members.is_store_reached() is is_reached
