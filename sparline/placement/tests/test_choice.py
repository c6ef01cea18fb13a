"""Choice of a server: loss, refusals, prompt caches, rate limits and backoff."""

import dataclasses
import random

import pytest

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, SoftwareVersion, ZoneName
from sparline.fleet import BackendServer, FleetState, Member, ServerLoad, UnknownItem
from sparline.placement import (
    Chooser,
    ColdShares,
    CreditTable,
    DemandTable,
    GapTable,
    HealthTable,
    InstanceLocation,
    LoadTable,
    PaceTable,
    Placement,
    PlacementTables,
    PromptCache,
    RateShares,
    Refusal,
    ServerLimitShares,
    ServerLimitTable,
    _prompt_cache,
    prefix_owner,
)
from sparline.requests import Origin, Prompt, PromptPrefix
from sparline.routes import EngineSpec, RequestKind, ServiceShare
from sparline.schema._gossip import MemberNote, MemberPhase, PromptReadNote
from sparline.tests.routed import ENGINES, PLAIN, make_request, make_route, make_rules, make_server

NORTH, SOUTH = RegionName("north"), RegionName("south")
LOCATION = InstanceLocation(NORTH, ZoneName("north-1"))
ZONES = {ZoneName("north-1"): NORTH, ZoneName("south-1"): SOUTH}
N1, N2, N3 = make_server("n1"), make_server("n2"), make_server("n3")
S1 = make_server("s1", "south")
LONG = Prompt(17_000, 120, (PromptPrefix("/long", 13_000),))
VERY_LONG = Prompt(45_000, 300, ())
SHORT = Prompt(400, 50, ())
BUSY = ServerLoad(running=6, held_tokens=60_000, unread_tokens=40_000)
FULL = ServerLoad(running=64, held_tokens=30_000)


class World:
    """Tables of one instance in the north."""

    def __init__(self, *servers: BackendServer, far_peers: bool = True) -> None:
        self.loads: dict[str, ServerLoad] = {}
        self.doubted_there: set[str] = set()
        self.fleet = FleetState(lambda _c: UnknownItem(), lambda: None, lambda: 1e9, ZONES)
        self.fleet.configuration = make_rules()
        for server in servers:
            self.fleet.servers[server.id] = server
            self.fleet.by_service.setdefault(server.service, []).append(server)
        self.health = HealthTable()
        self.limits = ServerLimitTable()
        self.cache = PromptCache(owners_have_cached=False)
        credit = CreditTable()
        credit.note(ENGINES, SHORT)
        note = MemberNote("p", "p", 1, 1, MemberPhase.live, SOUTH, "south-1")
        peers = [Member(note, now_ms(), now_ms())] if far_peers else []
        self.tables = PlacementTables(
            fleet=self.fleet,
            loads=LoadTable(NORTH, self.loads.get, lambda _one, _change, _log_factor: None),
            health=self.health,
            cold=ColdShares("own", lambda: ["own"]),
            limits=ServerLimitShares(self.limits, RateShares("own", lambda: ["own"], lambda: True)),
            cache=self.cache,
            pace=PaceTable(),
            gaps=GapTable(),
            credit=credit,
            demand=DemandTable(),
            sharing=lambda: 1,
            peers=lambda _region: peers,
            round_trip_ms=lambda _region: 110.0,
            load_age_ms=lambda _one: 100.0,
            is_doubted_by_region=lambda one: one in self.doubted_there,
            # Longer than a test takes, and shorter than the machine has been running.
            leaving_use_ms=now_ms() / 2,
        )
        self.chooser = Chooser(LOCATION, self.tables, random.Random(1))

    def choose(self, request, excluded=(), **conditions) -> str:
        placement = self.chooser.choose(
            request, frozenset(BackendServerId(one) for one in excluded), **conditions
        )
        if isinstance(placement, Refusal):
            return f"refused: {placement.reason.value}"
        assert isinstance(placement, Placement)
        assert (placement.peer is not None) == (placement.server.region != NORTH)
        return placement.server.id


def fail_often(world: World) -> None:
    for _ in range(20):
        world.health.note_failure(N1.id, "failed")


def fail_as_usual(world: World, server: BackendServer = N1) -> None:
    for number in range(70):
        if number % 7 == 0:
            world.health.note_failure(server.id, "failed")
        else:
            world.health.note_success(server.id)


def set_load(**loads: ServerLoad):
    return lambda world: world.loads.update(loads)


def cache_long_prefix_at(server: BackendServer):
    def reported(world: World) -> None:
        other = PromptCache(owners_have_cached=False)
        other.note(LONG, server.id, 300_000)
        world.cache.merge_prefix_uses(other.recent_prefix_uses())

    return reported


SOUTH_ONLY = make_route(allowed_regions=frozenset((SOUTH,)))
RELAYED = {"origin": Origin.RELAY}
# An engine whose queue makes a request later than its target of 800 ms.
LATE = ServerLoad(3, 60_000, 41_000)
NO_GAP_TARGET = make_route(pause_target_ms=0.0)
LEAVING = make_server("n1", leaving=True)
OTHER_ZONE = make_server("n3", zone=ZoneName("north-2"))
COLD = make_server("n1", cold_until_ms=now_ms() + 1e9)

CHOICES = [
    ("own region", (N1, S1), None, make_request(), "n1"),
    ("only server, in another region", (S1,), None, make_request(), "s1"),
    ("other region without a live instance", (S1,), "no peers", make_request(), "refused: no_backend"),
    ("no servers", (), None, make_request(), "refused: no_backend"),
    ("home in another region", (N1, S1), None, make_request(SOUTH_ONLY), "s1"),
    ("home in another region without servers", (N1,), None, make_request(SOUTH_ONLY), "refused: no_backend"),
    ("relayed request is not relayed again", (S1,), None, make_request(**RELAYED), "refused: no_backend"),
    ("leaving server is skipped", (LEAVING, S1), None, make_request(), "s1"),
    ("own zone", (OTHER_ZONE, N2), None, make_request(), "n2"),
    ("loaded own zone", (OTHER_ZONE, N2), set_load(n2=BUSY), make_request(), "n3"),
    ("server tried already", (N1, N2), None, make_request(), "n2", ("n1",)),
    ("less loaded server", (N1, N2), set_load(n1=BUSY), make_request(), "n2"),
    ("other region if own is loaded", (N1, S1), set_load(n1=BUSY), make_request(), "s1"),
    ("refused if all are loaded", (N1, S1), set_load(n1=BUSY, s1=BUSY), make_request(), "refused: deadline_unreachable"),
    ("full engine", (N1, S1), set_load(n1=FULL), make_request(), "s1"),
    ("failing server", (N1, N2), fail_often, make_request(), "n2"),
    ("only server is failing", (N1,), fail_often, make_request(), "n1"),
    ("only server has lost its address to another", (N1,), lambda w: w.health.note_misdirected(N1.id), make_request(), "refused: no_backend"),
    ("server that fails more often than the others", (N1, N2, N3), lambda w: (fail_often(w), fail_as_usual(w, N2), fail_as_usual(w, N3)), make_request(), ("n2", "n3")),
    ("usual failure share", (N1, S1), fail_as_usual, make_request(), "n1"),
    ("long prefix where it is cached", (N1, N2, S1), cache_long_prefix_at(S1), make_request(prompt=LONG), "s1"),
    ("long prefix cached on a loaded engine", (N1, S1), lambda w: (cache_long_prefix_at(S1)(w), w.loads.update(s1=BUSY)), make_request(prompt=LONG), "n1"),
    ("short request avoids queued long prefill", (N1, N2), set_load(n1=ServerLoad(1, 17_000, 17_000)), make_request(prompt=SHORT), "n2"),
    ("very long prompt beside running requests", (N1,), set_load(n1=ServerLoad(10, 100_000, 0)), make_request(prompt=VERY_LONG), "n1"),
    ("very long prompt behind a long queue", (N1,), set_load(n1=BUSY), make_request(prompt=VERY_LONG), "refused: deadline_unreachable"),
    ("relayed request is refused earlier", (N1,), set_load(n1=LATE), make_request(NO_GAP_TARGET, **RELAYED), "refused: deadline_unreachable"),
    ("caller's request is accepted at the same load", (N1,), set_load(n1=LATE), make_request(NO_GAP_TARGET), "n1"),
    ("relayed request in time is accepted", (N1,), set_load(n1=ServerLoad(3, 30_000, 22_000)), make_request(**RELAYED), "n1"),
]  # fmt: skip


def test_server_doubted_by_its_own_region_is_skipped():
    world = World(N1, S1, make_server("s2", "south"))
    world.loads.update(n1=BUSY, s2=ServerLoad(2, 4_000, 3_000))
    assert world.choose(make_request()) == "s1"
    world.doubted_there = {"s1"}
    assert world.choose(make_request()) == "s2"


URGENT, PATIENT = make_route(priority=0), make_route(priority=2)
# Prefill of this queue takes the engine 240 ms.
QUEUE = ServerLoad(4, 30_000, 12_000)
DEMAND_CASES = [
    # arrivals in the last second, the request, the outcome
    ("no arrivals", [], make_request(PATIENT, prompt=LONG), "n1"),
    ("as much as the engine can prefill", [(URGENT, SHORT)] * 5, make_request(PATIENT, prompt=LONG), "n1"),
    ("more than the engine can prefill", [(URGENT, SHORT)] * 300, make_request(PATIENT, prompt=LONG), "refused: deadline_unreachable"),
    ("more than the engine can prefill, short request", [(URGENT, SHORT)] * 300, make_request(URGENT, prompt=SHORT), "n1"),
    ("many less urgent arrivals", [(PATIENT, SHORT)] * 300, make_request(URGENT, prompt=LONG), "n1"),
]  # fmt: skip


@pytest.mark.parametrize("row", DEMAND_CASES, ids=[row[0] for row in DEMAND_CASES])
def test_loss_of_prefill_includes_delay_of_arrivals(row):
    _, arrivals, request, chosen = row
    world = World(N1)
    world.loads["n1"] = QUEUE
    for route, prompt in arrivals:
        world.tables.demand.note(make_request(route, prompt=prompt), prompt)
    assert world.choose(request) == chosen


def test_demand_is_divided_by_engines_of_other_regions_if_none_here_is_healthy():
    world = World(N1, *(make_server(f"s{number}", "south") for number in range(30)))
    world.health.note_unreachable(N1.id)
    world.loads.update({f"s{number}": QUEUE for number in range(30)})
    for _ in range(300):
        world.tables.demand.note(make_request(PATIENT, prompt=SHORT), SHORT)
    assert world.choose(make_request(PATIENT)).startswith("s")


WAITS = [
    # time that the caller has left, Retry-After (ms)
    (600.0, 500.0),
    (3_000.0, 1_000.0),
    (12_000.0, 4_000.0),
    (600_000.0, 5_000.0),
]


@pytest.mark.parametrize(("left_ms", "wait_ms"), WAITS)
def test_retry_after_without_servers_follows_time_left(left_ms, wait_ms):
    world = World()
    refusal = world.chooser.choose(make_request(deadline_at_ms=now_ms() + left_ms + 1), frozenset())
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_ms == pytest.approx(wait_ms, rel=0.05)


STREAMS = [
    ("not begun", make_request(), False, Refusal),
    ("begun", make_request(), True, Placement),
    ("resumed after an event", make_request(resume_after=3), False, Placement),
]


@pytest.mark.parametrize("row", STREAMS, ids=[row[0] for row in STREAMS])
def test_begun_stream_is_not_refused_for_load(row):
    _, request, has_begun, kind = row
    world = World(N1)
    world.loads["n1"] = ServerLoad(running=64, held_tokens=200_000, unread_tokens=200_000)
    assert isinstance(world.chooser.choose(request, frozenset(), has_begun), kind)


@pytest.mark.parametrize("row", CHOICES, ids=[row[0] for row in CHOICES])
def test_placement_with_lowest_loss(row):
    _, servers, prepare, request, chosen, *excluded = row
    world = World(*servers, far_peers=prepare != "no peers")
    if callable(prepare):
        prepare(world)
    assert world.choose(request, *excluded) in (chosen if isinstance(chosen, tuple) else (chosen,))


V2 = SoftwareVersion("v2")
N2_NEW = make_server("n2", software_version=V2)
S1_NEW = make_server("s1", "south", software_version=V2)
NOW_MS = now_ms()


def leaving_since(at_ms: float) -> BackendServer:
    return make_server("n2", software_version=V2, leaving=True, leaving_since_ms=at_ms)


VERSIONED = [
    # name, servers, expected; the stream began at v2
    ("the only server of its version", (N1, N2_NEW, N3), "n2"),
    ("in another region", (N1, N3, S1_NEW), "s1"),
    ("servers of another version alone", (N1, N3), "refused: software_version_gone"),
    ("its last server has just announced that it leaves", (N1, leaving_since(NOW_MS)), "n2"),
    ("rather a server that stays", (leaving_since(NOW_MS), S1_NEW), "s1"),
    ("its last server announced long ago that it leaves", (N1, leaving_since(0.0)), "refused: software_version_gone"),
]  # fmt: skip


@pytest.mark.parametrize("row", VERSIONED, ids=[row[0] for row in VERSIONED])
def test_begun_stream_goes_on_at_its_software_version(row):
    _, servers, expected = row
    assert World(*servers).choose(make_request(), has_begun=True, software_version=V2) == expected


FETCHING = EngineSpec(64, 300_000, token_bytes=163_840, link_mbit_per_s=550_000.0, fetches=True)
FETCHES = [
    # name, engines, engine with the prefix, for how long (ms), loads, (server, source, tokens to
    # prefill)
    ("from a loaded engine", (N1, N2), N1, 700.0, {"n1": BUSY}, ("n2", "n1", 4_000)),
    ("not before its prefill has ended", (N1, N2), N1, 500.0, {"n1": BUSY}, ("n2", None, 17_000)),
    ("not if the engine with the prefix is free", (N1, N2), N1, 700.0, {}, ("n1", None, 4_000)),
    ("not from another region", (N1, S1), S1, 700.0, {"s1": BUSY}, ("n1", None, 17_000)),
    (
        "not from another software version",
        (N1, N2_NEW),
        N1,
        700.0,
        {"n1": BUSY},
        ("n2", None, 17_000),
    ),
    ("not from a failing engine", (N1, N2), N1, 700.0, "failing", ("n2", None, 17_000)),
]


@pytest.mark.parametrize("row", FETCHES, ids=[row[0] for row in FETCHES])
def test_long_prefix_is_fetched(monkeypatch, row):
    _, servers, holder, cached_ms, loads, expected = row
    world = World(*servers)
    services = world.fleet.configuration.services
    services[ENGINES] = dataclasses.replace(services[ENGINES], engine=FETCHING)
    cache_long_prefix_at(holder)(world)
    reported_at_ms = now_ms()
    monkeypatch.setattr(_prompt_cache, "now_ms", lambda: reported_at_ms + cached_ms)
    if loads == "failing":
        fail_often(world)
    else:
        world.loads.update(loads)
    placement = world.chooser.choose(make_request(prompt=LONG), frozenset())
    source = placement.source.id if placement.source else None
    assert (placement.server.id, source, placement.unread_tokens) == expected


def test_engines_without_fetch_support_do_not_fetch():
    world = World(N1, N2)
    cache_long_prefix_at(N1)(world)
    world.loads["n1"] = BUSY
    placement = world.chooser.choose(make_request(prompt=LONG), frozenset())
    assert (placement.server.id, placement.source, placement.unread_tokens) == ("n2", None, 17_000)


def test_evacuated_zone_gets_no_requests():
    world = World(N1, S1)
    world.fleet.evacuated = {N1.zone}
    assert world.choose(make_request()) == "s1"


def test_requests_above_cold_rate_go_to_other_servers():
    world = World(COLD, S1)
    request = make_request()
    server_ids = []
    for _ in range(3):
        placement = world.chooser.choose(request, frozenset())
        world.chooser.note_sent(request, placement)
        server_ids.append(placement.server.id)
    assert server_ids == ["n1", "s1", "s1"]


def test_plain_request_avoids_full_server():
    route = make_route(
        kind=RequestKind.SAFE, shares=(ServiceShare(PLAIN, 1.0),), wanted_latency_ms=400.0
    )
    near = make_server("p1", service=PLAIN, slots=2)
    far = make_server("p2", "south", service=PLAIN, slots=2)
    world = World(near, far)
    assert world.choose(make_request(route, prompt=None)) == "p1"
    world.loads["p1"] = ServerLoad(running=9)
    assert world.choose(make_request(route, prompt=None)) == "p2"


def test_all_instances_agree_on_owner_of_prefix():
    engines = [BackendServerId(f"e{number}") for number in range(6)]
    prompts = [Prompt(9_000, 1, (PromptPrefix(f"/{number}", 8_000),)) for number in range(300)]
    owners = [prefix_owner(prompt, engines) for prompt in prompts]
    assert owners == [prefix_owner(prompt, engines[::-1]) for prompt in prompts]
    assert all(20 < owners.count(engine) < 90 for engine in engines)
    without = [prefix_owner(prompt, engines[1:]) for prompt in prompts]
    moved = [a for a, b in zip(owners, without, strict=True) if a != b]
    assert set(moved) == {engines[0]}


OWNER_CASES = [
    # owners taken to have cached, reported by a peer, result for this owner
    (False, False, False),
    (True, False, True),
    (True, True, False),
    (False, True, False),
]


@pytest.mark.parametrize(("assumed", "reported", "expected"), OWNER_CASES)
def test_owner_is_taken_to_have_cached_only_without_reports(assumed, reported, expected):
    cache = PromptCache(owners_have_cached=assumed)
    other = PromptCache(owners_have_cached=False)
    other.note(LONG, N1.id, 300_000)
    if reported:
        cache.merge_prefix_uses(other.recent_prefix_uses())
    assert cache.owner_has_cached(LONG) is expected
    assert cache.cached_tokens(LONG, N1.id) == (13_000 if reported else 0)


def test_oldest_prefixes_are_evicted():
    cache = PromptCache(owners_have_cached=False)
    prompts = [Prompt(3_000, 1, (PromptPrefix(f"/{number}", 2_000),)) for number in range(10)]
    for prompt in prompts:
        cache.note(prompt, N1.id, 20_000)
    assert [cache.cached_tokens(one, N1.id) for one in prompts] == [0] * 5 + [2_000] * 5


REFILLS = [
    # tokens sent since by this instance, instances that share the engine, still cached
    ("few tokens", 9_000, 1, True),
    ("as many as the cache holds", 13_000, 1, False),
    ("few tokens, but others send as many", 4_000, 4, False),
]


def test_only_uncached_prefixes_fill_the_cache():
    cache = PromptCache(owners_have_cached=False)
    other = Prompt(8_000, 0, (PromptPrefix("/other", 7_000),))
    cache.note(LONG, N1.id, 40_000)
    cache.note(other, N1.id, 40_000)
    for _ in range(11):
        cache.note(other, N1.id, 40_000)
    assert cache.cached_tokens(LONG, N1.id) == 13_000
    cache.note(Prompt(8_000, 0, (PromptPrefix("/third", 7_000),)), N1.id, 40_000)
    assert cache.cached_tokens(LONG, N1.id) == 0


@pytest.mark.parametrize(
    ("sent_tokens", "sharing", "is_cached"),
    [row[1:] for row in REFILLS],
    ids=[row[0] for row in REFILLS],
)
def test_long_prefix_counts_as_cached_until_cache_is_refilled(sent_tokens, sharing, is_cached):
    cache = PromptCache(owners_have_cached=False, sharing=lambda: sharing)
    cache.note(LONG, N1.id, 20_000)
    cache.note(Prompt(sent_tokens, 0, ()), N1.id, 20_000)
    assert cache.cached_tokens(LONG, N1.id) == (13_000 if is_cached else 0)


EFFORTS = [
    # tokens to prefill, cached tokens before them, equivalent tokens at the start of a prompt
    (0, 20_000, 0),
    (1_000, 0, 1_012),
    (1_000, 39_500, 2_000),
    (40_000, 0, 60_000),
]


@pytest.mark.parametrize(("prefilled", "cached", "effort"), EFFORTS)
def test_prefill_takes_longer_behind_a_long_prefix(prefilled, cached, effort):
    # By the initial estimate: 20 ms for 1,000 tokens, 0.5 ms for a million pairs.
    assert PaceTable().service(ENGINES).effort_tokens(prefilled, cached) == effort


def test_number_of_kept_reports_is_bounded(monkeypatch):
    monkeypatch.setattr("sparline.placement._prompt_cache.MAX_REPORTS_KEPT", 3)
    cache = PromptCache(owners_have_cached=True)
    cache.merge_prefix_uses([PromptReadNote(0, number, "n1") for number in range(10)])
    assert len(cache._uses) == len(cache._users) == 3


def test_report_reaches_every_cache_and_then_stops(monkeypatch):
    at_ms = [1_000_000.0]
    monkeypatch.setattr(_prompt_cache, "now_ms", lambda: at_ms[0])
    caches = [PromptCache(owners_have_cached=False) for _ in range(6)]
    caches[0].note(LONG, N1.id, 300_000)
    reported = []
    for _ in range(40):
        at_ms[0] += 250
        for sender, receiver in zip(caches, [*caches[1:], caches[0]], strict=True):
            notes = sender.recent_prefix_uses()
            reported.append(len(notes))
            receiver.merge_prefix_uses(notes)
    assert all(cache.cached_tokens(LONG, N1.id) for cache in caches)
    assert sum(reported) < 6 * 11 and not any(reported[-6:])


def test_each_use_of_a_prefix_is_reported_again(monkeypatch):
    # A prefix counts as cached until its engine has received enough tokens since its last use.
    at_ms = [1_000_000.0]
    monkeypatch.setattr(_prompt_cache, "now_ms", lambda: at_ms[0])
    cache, peer = (PromptCache(owners_have_cached=False) for _ in range(2))
    for _ in range(2):
        cache.note(LONG, N1.id, 300_000)
        peer.merge_prefix_uses(cache.recent_prefix_uses())
        at_ms[0] += 1_000
    assert [note.age_ms for note in cache.recent_prefix_uses()] == [1_000]
    assert [note.age_ms for note in peer.recent_prefix_uses()] == [1_000]


def test_region_that_refused_is_skipped_for_equally_urgent_requests():
    world = World(N1, S1)
    # The near engine is late; the far one looks idle because its known load is outdated.
    world.loads["n1"] = LATE
    request = make_request(make_route(priority=1))
    placement = world.chooser.choose(request, frozenset())
    assert placement.server is S1
    world.chooser.note_region_full(request, placement)
    assert world.choose(request) == "refused: deadline_unreachable"
    assert world.choose(make_request(make_route(priority=0))) == "s1"
    # A stream that has begun is continued wherever possible.
    assert world.chooser.choose(request, frozenset(), has_begun=True).server is S1


def test_region_that_refused_is_tried_again_if_it_is_the_only_one():
    world = World(S1)
    request = make_request()
    world.chooser.note_region_full(request, world.chooser.choose(request, frozenset()))
    assert world.choose(request) == "s1"


def test_server_whose_limit_share_is_used_up_gets_no_requests():
    world = World(N1, N2)
    world.limits.note_answer(N1.id, 1.0)
    sent = []
    for _ in range(20):
        placement = world.chooser.choose(make_request(), frozenset())
        world.chooser.note_sent(make_request(), placement)
        sent.append(placement.server.id)
    assert sent.count(N1.id) <= 1


@pytest.mark.parametrize(("far_servers", "expected"), [((), "s1"), (("s2",), "s2")])
def test_a_limited_server_of_another_region_is_the_last_resort(far_servers, expected):
    world = World(S1, *(make_server(one, "south") for one in far_servers))
    world.limits.note_answer(S1.id, 1.0)
    assert {world.choose(make_request()) for _ in range(20)} == {expected}


def test_a_relayed_request_keeps_to_a_servers_limit():
    world = World(N1)
    world.limits.note_answer(N1.id, 1.0)
    request = make_request(origin=Origin.RELAY)
    world.chooser.note_sent(request, world.chooser.choose(request, frozenset()))
    assert world.choose(request) == "refused: no_backend"


def refuse_with_retry_after(
    world: World, *servers: BackendServer, retry_after_ms: float = 3_000.0
) -> None:
    for server in servers:
        world.health.note_full(server.id, retry_after_ms)


def test_server_in_backoff_is_not_used_even_as_last_resort():
    world = World(N1, N2)
    refuse_with_retry_after(world, N1)
    assert {world.choose(make_request()) for _ in range(20)} == {N2.id}
    refuse_with_retry_after(world, N2)
    assert world.choose(make_request()) == "refused: no_backend"


def test_refused_callers_are_told_to_return_after_the_shortest_backoff():
    world = World(N1, N2)
    refuse_with_retry_after(world, N1, retry_after_ms=60_000)
    refuse_with_retry_after(world, N2, retry_after_ms=700)
    refusal = world.chooser.choose(make_request(), frozenset())
    assert 150 <= refusal.retry_after_ms <= 700


def test_shorter_retry_after_does_not_shorten_backoff():
    world = World(N1)
    refuse_with_retry_after(world, N1, retry_after_ms=600_000)
    refuse_with_retry_after(world, N1, retry_after_ms=1.0)
    assert world.health.backoff_left_ms(N1.id) > 1_000


def test_expired_entry_does_not_end_backoff():
    world = World(N1)
    refuse_with_retry_after(world, N1)
    world.health.forget_all_but(set())
    assert world.choose(make_request()) == "refused: no_backend"
