from unittest.mock import Mock

import msgspec
import pytest

from sparline._ids import RegionName
from sparline.fleet import Members, PlannedStops, _members, _planned_stops
from sparline.fleet._members import member_key
from sparline.schema._gossip import Gossip, MemberNote, MemberPhase

BEGAN_MS = 1_000_000.0


@pytest.fixture
def clock(monkeypatch):
    now = Mock(return_value=BEGAN_MS)
    monkeypatch.setattr(_members, "now_ms", now)
    monkeypatch.setattr(_planned_stops, "now_ms", now)
    return now


def note(ip, phase=MemberPhase.leaving, servers_reached=True) -> MemberNote:
    one = MemberNote(ip, ip, 1, 1, phase, "north", "north-1")
    return msgspec.structs.replace(one, servers_reached=servers_reached)


@pytest.fixture
def members(clock):
    return Members(note("own", MemberPhase.live))


def hear(members, leaving: MemberNote) -> None:
    members.take(Gossip(leaving, 1, True, [], [], [], [], False))


def leave(members) -> None:
    members.own = note("own")
    members.own_phase_at_ms = _members.now_ms()


# When each instance of the region began to leave (ms), and those that still take requests.
STOPS = [
    ("in turn", {"own": 0, "a": 1_000}, {"a"}),
    ("in turn, this one last", {"own": 1_000, "a": 0}, {"own"}),
    ("three in turn", {"own": 0, "a": 1_000, "b": 2_000}, {"b"}),
    ("so near that their order is not sure", {"own": 0, "a": 700, "b": 0}, {"own", "a", "b"}),
    ("at once", {"own": 0, "a": 100, "b": 200}, {max(("own", "a", "b"), key=member_key)}),
    ("another one, while this one lives", {"a": 2_000}, {"own", "a"}),
    ("at once, two of them", {"own": 100, "a": 0}, {max(("own", "a"), key=member_key)}),
    ("one after two at once", {"own": 0, "a": 300, "b": 1_300}, {"b"}),
]


@pytest.mark.parametrize(
    ("began", "taking"), [row[1:] for row in STOPS], ids=[row[0] for row in STOPS]
)
def test_last_of_a_region_to_leave_takes_the_requests(clock, members, began, taking):
    """Guards against a region whose leaving instances are all away at the same time."""
    for ip, at_ms in sorted(began.items(), key=lambda item: item[1]):
        clock.return_value = BEGAN_MS + at_ms
        if ip == "own":
            leave(members)
        else:
            hear(members, note(ip))
    stops = PlannedStops(members)
    found = {one.note.ip for one in stops.accepting(RegionName("north"), 10_000.0)}
    if not stops.is_relieved():
        found.add("own")
    assert found == taking


# An instance that takes the requests where their stops are taken for simultaneous.
PREFERRED = next(ip for ip in "abcdefgh" if member_key(ip) > member_key("own"))
# When that one began to leave (ms after this one), how long ago it was last heard, and whether this one
# is relieved once all know of both stops.
CLOSE_STOPS = [
    ("close to each other", 400, 250.0, True),
    ("so far that others may know their order", 600, 250.0, False),
    ("close, but the other one is gone", 400, 800.0, False),
]


@pytest.mark.parametrize(
    ("gap_ms", "silent_ms", "is_relieved"),
    [row[1:] for row in CLOSE_STOPS],
    ids=[row[0] for row in CLOSE_STOPS],
)
def test_instances_that_leave_at_short_intervals_all_stay(
    clock, members, gap_ms, silent_ms, is_relieved
):
    """Guards against a region whose instances all stay until none can be back in time."""
    leave(members)
    clock.return_value += gap_ms
    hear(members, note(PREFERRED))
    stops = PlannedStops(members)
    assert not stops.is_relieved()
    clock.return_value += _planned_stops.LATER_STOP_MS
    next(members.others()).heard_at_ms = clock.return_value - silent_ms
    assert stops.is_relieved() is is_relieved


def test_live_instance_asks_for_leaving_ones_that_are_gone(clock, members):
    """Guards against a choice among none, as two that left at a short interval end at once."""
    for ip in ("a", "b"):
        hear(members, note(ip))
        clock.return_value += 400.0
    clock.return_value += 2 * _planned_stops.LATER_STOP_MS
    accepting = PlannedStops(members).accepting(RegionName("north"), 10_000.0)
    assert {one.note.ip for one in accepting} == {"a", "b"}


def test_instance_is_not_relieved_by_one_that_reaches_no_server(clock, members):
    """Guards against a region whose only instance with a way to the servers leaves early."""
    leave(members)
    clock.return_value += 2_000.0
    hear(members, note("a", servers_reached=False))
    assert not PlannedStops(members).is_relieved()
    members.own = note("own", servers_reached=False)
    assert PlannedStops(members).is_relieved()


@pytest.mark.parametrize(
    ("others", "expected"),
    [
        ([], False),
        ([note("a", MemberPhase.live)], False),
        ([note("a", MemberPhase.live), note("b")], True),
        ([msgspec.structs.replace(note("a"), region="south")], False),
    ],
    ids=["alone", "beside a live one", "beside a leaving one", "one of another region leaves"],
)
def test_instance_knows_whether_others_of_its_region_leave(members, others, expected):
    for other in others:
        hear(members, other)
    leave(members)
    assert PlannedStops(members).are_others_leaving() is expected
