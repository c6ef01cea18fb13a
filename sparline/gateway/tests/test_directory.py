"""Tests of which instances the directory names."""

import pytest

from sparline._ids import RegionName, ZoneName
from sparline.fleet import FleetState, Members, UnknownItem
from sparline.gateway._directory import Directory
from sparline.platform import DirectoryQuery
from sparline.schema._gossip import Gossip, MemberNote, MemberPhase
from sparline.tests.routed import make_route, make_rules

ZONES = {ZoneName(f"{one}-1"): RegionName(one) for one in ("north", "south", "west")}
NORTH, SOUTH, WEST = (RegionName(one) for one in ("north", "south", "west"))


def note(
    ip: str, region: str, phase: MemberPhase = MemberPhase.live, zone: str = "1"
) -> MemberNote:
    return MemberNote(ip, ip, 1, 1, phase, region, f"{region}-{zone}")


# Allowed regions of the host's two routes: all regions, and two home regions.
HOMES = (frozenset(), frozenset((NORTH, SOUTH)))
N1, N2 = note("n1", "north"), note("n2", "north")
S1, W1 = note("s1", "south"), note("w1", "west")
LEAVING = note("n1", "north", MemberPhase.leaving)

ROWS = [
    ("own region", [N1, N2, S1, W1], "north", {"n1:80", "n2:80"}),
    ("another region", [N1, S1, W1], "south", {"s1:80"}),
    ("none near: the region with most homes", [S1, W1], "north", {"s1:80"}),
    ("only leaving ones near", [LEAVING, S1, W1], "north", {"s1:80"}),
    ("only one that is no home", [W1], "north", {"w1:80"}),
    (
        "one that has just begun to leave before one that is no home",
        [LEAVING, W1],
        "north",
        {"n1:80"},
    ),
    ("unknown region", [N1, S1], "", {"own:80"}),
]


@pytest.mark.parametrize(
    ("others", "region", "named"), [row[1:] for row in ROWS], ids=[row[0] for row in ROWS]
)
def test_instances_are_named_by_region_and_home_regions(others, region, named):
    members = Members(MemberNote("own", "own", 1, 1, MemberPhase.live, "east", "east-1"))
    for other in others:
        members.take(Gossip(other, 0, True, [], [], [], [], False))
    fleet = FleetState(lambda _change: UnknownItem(), lambda: None, lambda: 0.0, ZONES)
    routes = [
        make_route(path_start=f"/{place}/", allowed_regions=of) for place, of in enumerate(HOMES)
    ]
    fleet.configuration = make_rules(*routes)
    directory = Directory(members, fleet, 80, 6_000.0)
    question = DirectoryQuery("host.example", RegionName(region), ZoneName(""))
    assert set(directory.find(question)) == named


def test_recently_leaving_instance_names_itself_before_regions_that_are_no_home():
    # When both instances of a region left one after the other, a caller that asked the second one
    # about its own region was sent to an instance that may not run its requests.
    members = Members(note("own", "north", MemberPhase.leaving))
    for other in (LEAVING, W1):
        members.take(Gossip(other, 0, True, [], [], [], [], False))
    members._others["n1"].phase_at_ms -= 10_000
    fleet = FleetState(lambda _change: UnknownItem(), lambda: None, lambda: 0.0, ZONES)
    routes = [
        make_route(path_start=f"/{place}/", allowed_regions=of) for place, of in enumerate(HOMES)
    ]
    fleet.configuration = make_rules(*routes)
    question = DirectoryQuery("host.example", NORTH, ZoneName(""))
    assert Directory(members, fleet, 80, 6_000.0).find(question) == ["own:80"]


N3, N4 = note("n3", "north", zone="2"), note("n4", "north", zone="2")
ZONE_ROWS = [
    ("enough in the caller's zone", [N1, N2, N3, N4], {"n3:80", "n4:80"}),
    ("one alone in the caller's zone", [N1, N2, N3], {"n1:80", "n2:80", "n3:80"}),
    ("none in the caller's zone", [N1, N2], {"n1:80", "n2:80"}),
]


@pytest.mark.parametrize(
    ("others", "named"), [row[1:] for row in ZONE_ROWS], ids=[row[0] for row in ZONE_ROWS]
)
def test_callers_are_directed_to_their_own_zone(others, named):
    members = Members(MemberNote("own", "own", 1, 1, MemberPhase.live, "east", "east-1"))
    for other in others:
        members.take(Gossip(other, 0, True, [], [], [], [], False))
    fleet = FleetState(lambda _change: UnknownItem(), lambda: None, lambda: 0.0, ZONES)
    question = DirectoryQuery("host.example", NORTH, ZoneName("north-2"))
    assert set(Directory(members, fleet, 80, 6_000.0).find(question)) == named


def test_instance_that_leaves_for_longer_is_named_before_regions_that_are_no_home(monkeypatch):
    # When planned stops overlapped, a region had no live instance. Its leaving instances still
    # accepted requests, but callers were sent to another region that may not run them.
    at = [1_000.0]
    for module in (
        "sparline.gateway._directory",
        "sparline.fleet._members",
        "sparline.fleet._planned_stops",
    ):
        monkeypatch.setattr(f"{module}.now_ms", lambda: at[0])
    members = Members(MemberNote("own", "own", 1, 1, MemberPhase.live, "west", "west-1"))
    members.take(Gossip(LEAVING, 0, True, [], [], [], [], False))
    fleet = FleetState(lambda _change: UnknownItem(), lambda: None, lambda: 0.0, ZONES)
    routes = [
        make_route(path_start=f"/{place}/", allowed_regions=of) for place, of in enumerate(HOMES)
    ]
    fleet.configuration = make_rules(*routes)
    directory = Directory(members, fleet, 80, 6_000.0)
    question = DirectoryQuery("host.example", NORTH, ZoneName(""))
    named = {}
    for ago_ms in (1_900, 3_900, 4_100):
        at[0] = 1_000.0 + ago_ms
        heartbeat = MemberNote("n1", "n1", 1, ago_ms, MemberPhase.leaving, "north", "north-1")
        members.take(Gossip(heartbeat, 0, True, [], [], [], [], False))
        named[ago_ms] = directory.find(question)
    assert named == {1_900: ["n1:80"], 3_900: ["n1:80"], 4_100: ["own:80"]}
