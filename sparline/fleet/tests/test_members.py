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


HEARD = [
    ("live", [gossip(note("a"))], {"a"}),
    ("starting", [gossip(note("a", phase=MemberPhase.starting))], set()),
    ("leaving after live", [gossip(note("a")), gossip(note("a", counter=11, phase=MemberPhase.leaving))], set()),
    ("overtaken datagram", [gossip(note("a", counter=11, phase=MemberPhase.leaving)), gossip(note("a", counter=10))], set()),
    ("a restart, even with an earlier time of day", [gossip(note("a", phase=MemberPhase.leaving)), gossip(note("a", incarnation=4, counter=1))], {"a"}),
    ("a full note by hearsay", [gossip(note("a"), members=[note("b")])], {"a", "b"}),
    ("a heartbeat of a stranger", [gossip(note("a"), beats=[beat("c", 1, 1)])], {"a"}),
    ("a heartbeat by hearsay that says leaving", [gossip(note("a")), gossip(note("b"), beats=[beat("a", 5, 11, MemberPhase.leaving)])], {"b"}),
    ("an older heartbeat by hearsay", [gossip(note("a")), gossip(note("b"), beats=[beat("a", 5, 9, MemberPhase.leaving)])], {"a", "b"}),
    ("itself", [gossip(note("own"))], set()),
]  # fmt: skip


@pytest.mark.parametrize(
    ("datagrams", "live"), [row[1:] for row in HEARD], ids=[row[0] for row in HEARD]
)
def test_who_lives(members, datagrams, live):
    for datagram in datagrams:
        members.take(datagram)
    assert ips(members.live()) == live


def test_a_stranger_in_a_heartbeat_is_named_to_be_asked(members):
    members.take(gossip(note("a"), beats=[beat("c", 1, 1)]))
    assert members.strangers == [member_key("c")]


SILENCE = [
    # silence, region, others known, still live, still shares
    (2_900, "north", 1, True, True),
    (3_100, "north", 1, False, True),
    (3_100, "south", 1, False, True),
    (5_000, "south", 300, True, True),
    (5_000, "north", 300, False, True),
    (21_000, "north", 1, False, False),
]


@pytest.mark.parametrize(("silence_ms", "region", "others", "live", "shares"), SILENCE)
def test_silence(members, clock, silence_ms, region, others, live, shares):
    for number in range(others - 1):
        members.take(gossip(note(f"x{number}", "west")))
    members.take(gossip(note("a", region)))
    clock.now += silence_ms
    assert ("a" in ips(members.live(RegionName(region)))) is live
    assert ("a" in members.sharers()) is shares
    assert "own" in members.sharers()


STORE_WORDS = [
    # whether it reached the store, milliseconds since it said so, whether any live one reaches it
    (True, 0, True),
    (True, 7_900, True),
    (True, 8_100, False),
    (False, 0, False),
]


@pytest.mark.parametrize(("reached", "ago_ms", "is_reached"), STORE_WORDS)
def test_a_members_word_of_the_store_counts_for_a_while(
    members, clock, reached, ago_ms, is_reached
):
    # One of another region speaks to few; that its heart beats on says nothing of the store.
    members.take(gossip(note("a"), store_reached=reached))
    clock.now += ago_ms
    members.take(gossip(note("b"), store_reached=False, beats=[beat("a", 5, 11)]))
    assert members.is_store_reached() is is_reached
