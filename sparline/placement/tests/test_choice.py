import dataclasses
import random

import pytest

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline.fleet import BackendServer, FleetState, Member, ServerLoad, UnknownItem
from sparline.placement import (
    Chooser,
    ColdShares,
    CreditTable,
    DemandTable,
    HealthTable,
    LimitShares,
    LoadTable,
    OwnPlace,
    PaceTable,
    PauseTable,
    Placement,
    PlacementTables,
    PromptCache,
    RateShares,
    Refusal,
    ServerLimitTable,
    _prompt_cache,
    owner_of,
)
from sparline.requests import Origin, Prompt, PromptStart
from sparline.routes import EngineFigures, RequestKind, ServiceShare
from sparline.schema._gossip import MemberNote, MemberPhase, PromptReadNote
from sparline.tests.routed import ENGINES, PLAIN, make_request, make_route, make_rules, make_server

NORTH, SOUTH = RegionName("north"), RegionName("south")
PLACE = OwnPlace(NORTH, ZoneName("north-1"))
ZONES = {ZoneName("north-1"): NORTH, ZoneName("south-1"): SOUTH}
N1, N2, N3 = make_server("n1"), make_server("n2"), make_server("n3")
S1 = make_server("s1", "south")
LONG = Prompt(17_000, 120, (PromptStart("/long", 13_000),))
VERY_LONG = Prompt(45_000, 300, ())
SHORT = Prompt(400, 50, ())
BUSY = ServerLoad(running=6, held_tokens=60_000, unread_tokens=40_000)
FULL = ServerLoad(running=64, held_tokens=30_000)


class World:
    """Hold the tables of one instance in the north."""

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
        self.cache = PromptCache(owners_have_read=False)
        credit = CreditTable()
        credit.note(ENGINES, SHORT)
        note = MemberNote("p", "p", 1, 1, MemberPhase.live, SOUTH, "south-1")
        peers = [Member(note, now_ms(), now_ms())] if far_peers else []
        self.tables = PlacementTables(
            fleet=self.fleet,
            loads=LoadTable(NORTH, self.loads.get, lambda _one, _change, _shown: None),
            health=self.health,
            cold=ColdShares("own", lambda: ["own"]),
            limits=LimitShares(self.limits, RateShares("own", lambda: ["own"], lambda: True)),
            cache=self.cache,
            pace=PaceTable(),
            pauses=PauseTable(),
            credit=credit,
            demand=DemandTable(),
            sharing=lambda: 1,
            peers=lambda _region: peers,
            round_trip_ms=lambda _region: 110.0,
            load_age_ms=lambda _one: 100.0,
            is_doubted_there=lambda one: one in self.doubted_there,
        )
        self.chooser = Chooser(PLACE, self.tables, random.Random(1))

    def choose(self, request, excluded=()) -> str:
        place = self.chooser.choose(request, frozenset(BackendServerId(one) for one in excluded))
        if isinstance(place, Refusal):
            return f"refused: {place.reason.value}"
        assert isinstance(place, Placement)
        assert (place.peer is not None) == (place.server.region != NORTH)
        return place.server.id


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


def read_long_at(server: BackendServer):
    def told(world: World) -> None:
        other = PromptCache(owners_have_read=False)
        other.note(LONG, server.id, 300_000)
        world.cache.take_reads(other.recent_reads())

    return told


SOUTH_ONLY = make_route(homes=frozenset((SOUTH,)))
RELAYED = {"origin": Origin.RELAY}
# An engine whose queue makes a request later than its wanted 800 ms.
LATE = ServerLoad(3, 60_000, 41_000)
NO_PAUSES = make_route(pause_target_ms=0.0)
LEAVING = make_server("n1", leaving=True)
OTHER_ZONE = make_server("n3", zone=ZoneName("north-2"))
COLD = make_server("n1", cold_until_ms=now_ms() + 1e9)

CHOICES = [
    ("the own region", (N1, S1), None, make_request(), "n1"),
    ("the only one, elsewhere", (S1,), None, make_request(), "s1"),
    ("elsewhere without an instance there", (S1,), "no peers", make_request(), "refused: no_backend"),
    ("nobody", (), None, make_request(), "refused: no_backend"),
    ("a home elsewhere", (N1, S1), None, make_request(SOUTH_ONLY), "s1"),
    ("a home elsewhere, none there", (N1,), None, make_request(SOUTH_ONLY), "refused: no_backend"),
    ("a relayed request stays", (S1,), None, make_request(**RELAYED), "refused: no_backend"),
    ("a leaving one is passed over", (LEAVING, S1), None, make_request(), "s1"),
    ("the own zone", (OTHER_ZONE, N2), None, make_request(), "n2"),
    ("another zone of the region", (OTHER_ZONE, N2), set_load(n2=BUSY), make_request(), "n3"),
    ("tried already", (N1, N2), None, make_request(), "n2", ("n1",)),
    ("the less loaded one", (N1, N2), set_load(n1=BUSY), make_request(), "n2"),
    ("elsewhere where home is loaded", (N1, S1), set_load(n1=BUSY), make_request(), "s1"),
    ("refused where all are loaded", (N1, S1), set_load(n1=BUSY, s1=BUSY), make_request(), "refused: deadline_unreachable"),
    ("a full engine", (N1, S1), set_load(n1=FULL), make_request(), "s1"),
    ("one that fails", (N1, N2), fail_often, make_request(), "n2"),
    ("one that fails, but there is no other", (N1,), fail_often, make_request(), "n1"),
    ("one whose address another has, and there is no other", (N1,), lambda w: w.health.note_misdirected(N1.id), make_request(), "refused: no_backend"),
    ("one that fails often among others that fail now and then", (N1, N2, N3), lambda w: (fail_often(w), fail_as_usual(w, N2), fail_as_usual(w, N3)), make_request(), ("n2", "n3")),
    ("failures that are usual", (N1, S1), fail_as_usual, make_request(), "n1"),
    ("a long start where it was read", (N1, N2, S1), read_long_at(S1), make_request(prompt=LONG), "s1"),
    ("a long start whose engine is loaded", (N1, S1), lambda w: (read_long_at(S1)(w), w.loads.update(s1=BUSY)), make_request(prompt=LONG), "n1"),
    ("a short one beside a long one that waits", (N1, N2), set_load(n1=ServerLoad(1, 17_000, 17_000)), make_request(prompt=SHORT), "n2"),
    ("a very long prompt beside other work", (N1,), set_load(n1=ServerLoad(10, 100_000, 0)), make_request(prompt=VERY_LONG), "n1"),
    ("a very long prompt that would wait long", (N1,), set_load(n1=BUSY), make_request(prompt=VERY_LONG), "refused: deadline_unreachable"),
    ("a relayed one is given back sooner", (N1,), set_load(n1=LATE), make_request(NO_PAUSES, **RELAYED), "refused: deadline_unreachable"),
    ("where a caller's own is taken", (N1,), set_load(n1=LATE), make_request(NO_PAUSES), "n1"),
    ("a relayed one in time is taken", (N1,), set_load(n1=ServerLoad(3, 30_000, 22_000)), make_request(**RELAYED), "n1"),
]  # fmt: skip


def test_a_server_that_its_own_region_doubts_is_passed_over():
    world = World(N1, S1, make_server("s2", "south"))
    world.loads.update(n1=BUSY, s2=ServerLoad(2, 4_000, 3_000))
    assert world.choose(make_request()) == "s1"
    world.doubted_there = {"s1"}
    assert world.choose(make_request()) == "s2"


URGENT, PATIENT = make_route(priority=0), make_route(priority=2)
# An engine reads for 240 ms before it comes to a new prompt.
QUEUE = ServerLoad(4, 30_000, 12_000)
DEMANDS = [
    # what came in the last second, what is asked for, chosen
    ("nothing", [], make_request(PATIENT, prompt=LONG), "n1"),
    ("as much as an engine reads", [(URGENT, SHORT)] * 5, make_request(PATIENT, prompt=LONG), "n1"),
    ("more than it reads", [(URGENT, SHORT)] * 300, make_request(PATIENT, prompt=LONG), "refused: deadline_unreachable"),
    ("more than it reads, and a short one", [(URGENT, SHORT)] * 300, make_request(URGENT, prompt=SHORT), "n1"),
    ("much that is less urgent", [(PATIENT, SHORT)] * 300, make_request(URGENT, prompt=LONG), "n1"),
]  # fmt: skip


@pytest.mark.parametrize("row", DEMANDS, ids=[row[0] for row in DEMANDS])
def test_a_reading_is_priced_by_what_it_delays(row):
    _, came, request, chosen = row
    world = World(N1)
    world.loads["n1"] = QUEUE
    for route, prompt in came:
        world.tables.demand.note(make_request(route, prompt=prompt), prompt)
    assert world.choose(request) == chosen


def test_demand_is_shared_by_the_engines_elsewhere_where_none_is_sound_here():
    world = World(N1, *(make_server(f"s{number}", "south") for number in range(30)))
    world.health.note_unreachable(N1.id)
    world.loads.update({f"s{number}": QUEUE for number in range(30)})
    for _ in range(300):
        world.tables.demand.note(make_request(PATIENT, prompt=SHORT), SHORT)
    assert world.choose(make_request(PATIENT)).startswith("s")


WAITS = [
    # time that the caller has, told to come back after (ms)
    (600.0, 500.0),
    (3_000.0, 1_000.0),
    (12_000.0, 4_000.0),
    (600_000.0, 5_000.0),
]


@pytest.mark.parametrize(("left_ms", "wait_ms"), WAITS)
def test_where_nothing_runs_callers_come_back_as_late_as_helps(left_ms, wait_ms):
    world = World()
    refusal = world.chooser.choose(make_request(deadline_at_ms=now_ms() + left_ms + 1), frozenset())
    assert isinstance(refusal, Refusal)
    assert refusal.retry_after_ms == pytest.approx(wait_ms, rel=0.05)


STREAMS = [
    ("that has not begun", make_request(), False, Refusal),
    ("that has begun", make_request(), True, Placement),
    ("that goes on behind an event", make_request(resume_after=3), False, Placement),
]


@pytest.mark.parametrize("row", STREAMS, ids=[row[0] for row in STREAMS])
def test_no_stream_that_has_begun_is_refused_for_load(row):
    _, request, has_begun, kind = row
    world = World(N1)
    world.loads["n1"] = ServerLoad(running=64, held_tokens=200_000, unread_tokens=200_000)
    assert isinstance(world.chooser.choose(request, frozenset(), has_begun), kind)


@pytest.mark.parametrize("row", CHOICES, ids=[row[0] for row in CHOICES])
def test_the_place_that_loses_least(row):
    _, servers, prepare, request, chosen, *excluded = row
    world = World(*servers, far_peers=prepare != "no peers")
    if callable(prepare):
        prepare(world)
    assert world.choose(request, *excluded) in (chosen if isinstance(chosen, tuple) else (chosen,))


FETCHING = EngineFigures(64, 300_000, token_bytes=163_840, link_mbit_per_s=550_000.0, fetches=True)
FETCHES = [
    # name, engines, kept at, for so long (ms), loads, (server, source, tokens to read)
    ("from a loaded one", (N1, N2), N1, 700.0, {"n1": BUSY}, ("n2", "n1", 4_000)),
    ("not before it is read", (N1, N2), N1, 500.0, {"n1": BUSY}, ("n2", None, 17_000)),
    ("not where the keeper is free", (N1, N2), N1, 700.0, {}, ("n1", None, 4_000)),
    ("not from another region", (N1, S1), S1, 700.0, {"s1": BUSY}, ("n1", None, 17_000)),
    ("not from one that fails", (N1, N2), N1, 700.0, "failing", ("n2", None, 17_000)),
]


@pytest.mark.parametrize("row", FETCHES, ids=[row[0] for row in FETCHES])
def test_a_long_start_is_fetched(monkeypatch, row):
    _, servers, keeper, kept_ms, loads, expected = row
    world = World(*servers)
    services = world.fleet.configuration.services
    services[ENGINES] = dataclasses.replace(services[ENGINES], engine=FETCHING)
    read_long_at(keeper)(world)
    told_at_ms = now_ms()
    monkeypatch.setattr(_prompt_cache, "now_ms", lambda: told_at_ms + kept_ms)
    if loads == "failing":
        fail_often(world)
    else:
        world.loads.update(loads)
    place = world.chooser.choose(make_request(prompt=LONG), frozenset())
    source = place.source.id if place.source else None
    assert (place.server.id, source, place.unread_tokens) == expected


def test_engines_that_fetch_nothing_are_not_told_to():
    world = World(N1, N2)
    read_long_at(N1)(world)
    world.loads["n1"] = BUSY
    place = world.chooser.choose(make_request(prompt=LONG), frozenset())
    assert (place.server.id, place.source, place.unread_tokens) == ("n2", None, 17_000)


def test_an_evacuated_zone_gets_nothing():
    world = World(N1, S1)
    world.fleet.evacuated = {N1.zone}
    assert world.choose(make_request()) == "s1"


def test_a_cold_server_gets_its_rate_and_the_rest_goes_elsewhere():
    world = World(COLD, S1)
    request = make_request()
    places = []
    for _ in range(3):
        place = world.chooser.choose(request, frozenset())
        world.chooser.note_sent(request, place)
        places.append(place.server.id)
    assert places == ["n1", "s1", "s1"]


def test_a_plain_request_avoids_a_full_service():
    route = make_route(
        kind=RequestKind.SAFE, shares=(ServiceShare(PLAIN, 1.0),), wanted_latency_ms=400.0
    )
    near = make_server("p1", service=PLAIN, slots=2)
    far = make_server("p2", "south", service=PLAIN, slots=2)
    world = World(near, far)
    assert world.choose(make_request(route, prompt=None)) == "p1"
    world.loads["p1"] = ServerLoad(running=9)
    assert world.choose(make_request(route, prompt=None)) == "p2"


def test_all_instances_agree_on_the_owner_of_a_start():
    engines = [BackendServerId(f"e{number}") for number in range(6)]
    prompts = [Prompt(9_000, 1, (PromptStart(f"/{number}", 8_000),)) for number in range(300)]
    owners = [owner_of(prompt, engines) for prompt in prompts]
    assert owners == [owner_of(prompt, engines[::-1]) for prompt in prompts]
    assert all(20 < owners.count(engine) < 90 for engine in engines)
    without = [owner_of(prompt, engines[1:]) for prompt in prompts]
    moved = [a for a, b in zip(owners, without, strict=True) if a != b]
    assert set(moved) == {engines[0]}


CACHES = [
    # owners have read, told of, owner taken to have read
    (False, False, False),
    (True, False, True),
    (True, True, False),
    (False, True, False),
]


@pytest.mark.parametrize(("assumed", "told", "taken"), CACHES)
def test_owners_are_taken_to_have_read_only_where_nobody_told(assumed, told, taken):
    cache = PromptCache(owners_have_read=assumed)
    other = PromptCache(owners_have_read=False)
    other.note(LONG, N1.id, 300_000)
    if told:
        cache.take_reads(other.recent_reads())
    assert cache.owner_has_read(LONG) is taken
    assert cache.cached_tokens(LONG, N1.id) == (13_000 if told else 0)


def test_the_oldest_starts_give_way():
    cache = PromptCache(owners_have_read=False)
    prompts = [Prompt(3_000, 1, (PromptStart(f"/{number}", 2_000),)) for number in range(10)]
    for prompt in prompts:
        cache.note(prompt, N1.id, 20_000)
    assert [cache.cached_tokens(one, N1.id) for one in prompts] == [0] * 5 + [2_000] * 5


FILLED = [
    # tokens taken in since by this instance, instances that share, kept
    ("little", 9_000, 1, True),
    ("as much as the memory has room for", 13_000, 1, False),
    ("little, but others send as much", 4_000, 4, False),
]


def test_a_start_that_is_read_fills_the_memory_and_one_that_is_kept_does_not():
    cache = PromptCache(owners_have_read=False)
    other = Prompt(8_000, 0, (PromptStart("/other", 7_000),))
    cache.note(LONG, N1.id, 40_000)
    cache.note(other, N1.id, 40_000)
    for _ in range(11):
        cache.note(other, N1.id, 40_000)
    assert cache.cached_tokens(LONG, N1.id) == 13_000
    cache.note(Prompt(8_000, 0, (PromptStart("/third", 7_000),)), N1.id, 40_000)
    assert cache.cached_tokens(LONG, N1.id) == 0


@pytest.mark.parametrize(
    ("taken", "sharing", "kept"), [row[1:] for row in FILLED], ids=[row[0] for row in FILLED]
)
def test_a_long_start_counts_as_kept_until_others_have_filled_the_memory(taken, sharing, kept):
    cache = PromptCache(owners_have_read=False, sharing=lambda: sharing)
    cache.note(LONG, N1.id, 20_000)
    cache.note(Prompt(taken, 0, ()), N1.id, 20_000)
    assert cache.cached_tokens(LONG, N1.id) == (13_000 if kept else 0)


EFFORTS = [
    # tokens to read, kept before them, the same at a prompt's start
    (0, 20_000, 0),
    (1_000, 0, 1_012),
    (1_000, 39_500, 2_000),
    (40_000, 0, 60_000),
]


@pytest.mark.parametrize(("unread", "kept", "effort"), EFFORTS)
def test_reading_takes_longer_behind_a_long_start(unread, kept, effort):
    # By the first guess: 20 ms for 1,000 tokens, 0.5 ms for a million of pairs.
    assert PaceTable().service(ENGINES).effort_tokens(unread, kept) == effort


def test_reads_that_are_remembered_are_bounded(monkeypatch):
    monkeypatch.setattr("sparline.placement._prompt_cache.MOST_HEARD", 3)
    cache = PromptCache(owners_have_read=True)
    cache.take_reads([PromptReadNote(0, number, "n1") for number in range(10)])
    assert len(cache._heard) == len(cache._heard_starts) == 3


def test_a_read_goes_round_by_every_cache_and_then_ends(monkeypatch):
    at_ms = [1_000_000.0]
    monkeypatch.setattr(_prompt_cache, "now_ms", lambda: at_ms[0])
    caches = [PromptCache(owners_have_read=False) for _ in range(6)]
    caches[0].note(LONG, N1.id, 300_000)
    told = []
    for _ in range(40):
        at_ms[0] += 250
        for teller, taker in zip(caches, [*caches[1:], caches[0]], strict=True):
            notes = teller.recent_reads()
            told.append(len(notes))
            taker.take_reads(notes)
    assert all(cache.cached_tokens(LONG, N1.id) for cache in caches)
    assert sum(told) < 6 * 11 and not any(told[-6:])


def test_each_use_of_a_start_is_told_again(monkeypatch):
    # A start counts as kept until its engine has taken in enough since its last use.
    at_ms = [1_000_000.0]
    monkeypatch.setattr(_prompt_cache, "now_ms", lambda: at_ms[0])
    cache, peer = (PromptCache(owners_have_read=False) for _ in range(2))
    for _ in range(2):
        cache.note(LONG, N1.id, 300_000)
        peer.take_reads(cache.recent_reads())
        at_ms[0] += 1_000
    assert [note.age_ms for note in cache.recent_reads()] == [1_000]
    assert [note.age_ms for note in peer.recent_reads()] == [1_000]


def test_a_region_that_turned_a_request_away_is_left_out_for_what_is_as_urgent():
    world = World(N1, S1)
    # The near engine is late, the far one looks idle: what is known of it is old.
    world.loads["n1"] = LATE
    request = make_request(make_route(priority=1))
    place = world.chooser.choose(request, frozenset())
    assert place.server is S1
    world.chooser.note_region_full(request, place)
    assert world.choose(request) == "refused: deadline_unreachable"
    assert world.choose(make_request(make_route(priority=0))) == "s1"
    # A stream that has begun goes on where it can.
    assert world.chooser.choose(request, frozenset(), has_begun=True).server is S1


def test_a_region_that_turned_a_request_away_is_asked_again_where_there_is_no_other():
    world = World(S1)
    request = make_request()
    world.chooser.note_region_full(request, world.chooser.choose(request, frozenset()))
    assert world.choose(request) == "s1"


def test_a_server_whose_share_is_used_up_gets_nothing():
    world = World(N1, N2)
    world.limits.note_answer(N1.id, 1.0)
    sent = []
    for _ in range(20):
        place = world.chooser.choose(make_request(), frozenset())
        world.chooser.note_sent(make_request(), place)
        sent.append(place.server.id)
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
