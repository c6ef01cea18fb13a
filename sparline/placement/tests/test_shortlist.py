"""Shortlists: bounded size, no server that may not be used, holders and owners of prefixes."""

import random
from collections import Counter
from dataclasses import replace

import pytest

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline.fleet import ServerLoad
from sparline.placement import Chooser, Placement, PromptCache, Refusal, prefix_owner
from sparline.placement._shortlist import (
    MAX_COMPLETE_SERVERS,
    MAX_SHORTLISTED,
    OTHER_REGIONS_DRAWS,
    OWN_REGION_DRAWS,
    Shortlist,
    Standing,
)
from sparline.placement.tests.test_choice import LOCATION, World
from sparline.requests import Origin, Prompt, PromptPrefix
from sparline.tests.routed import make_request, make_route, make_server

NORTH, SOUTH = RegionName("north"), RegionName("south")
PROMPT = Prompt(9_400, 50, (PromptPrefix("/a", 9_000),))
SHORT_PROMPT = Prompt(1_400, 50, (PromptPrefix("/a", 900),))


def servers(count: int, regions: int = 3) -> list:
    names = ["north", *(f"r{number}" for number in range(1, regions))]
    return [make_server(f"e{number}", names[number % regions]) for number in range(count)]


def select(some, standing=None, *, prompt=None, holders=(), seed=1, shortlist=None, load=None):
    return (shortlist or Shortlist(NORTH, random.Random(seed))).select(
        "engines",
        some,
        prompt,
        lambda one: (standing or {}).get(one.id, Standing.HEALTHY),
        lambda: holders,
        load or (lambda _one: 0.0),
    )


@pytest.mark.parametrize("count", [0, 1, 9, MAX_COMPLETE_SERVERS])
def test_small_service_is_evaluated_completely(count):
    some = servers(count)
    assert select(some).servers == some


@pytest.mark.parametrize(("count", "regions"), [(13, 3), (65, 3), (300, 1), (1_300, 23)])
def test_number_of_candidates_of_large_service_is_bounded(count, regions):
    some = servers(count, regions)
    found = select(some, prompt=PROMPT, holders=[one.id for one in some]).servers
    assert len(found) <= MAX_SHORTLISTED
    assert len({one.id for one in found}) == len(found)
    near = [one for one in found if one.region == NORTH]
    assert len(near) >= min(OWN_REGION_DRAWS, -(-count // regions))


@pytest.mark.parametrize("seed", range(40))
def test_random_standings_never_yield_a_barred_server_nor_miss_the_best(seed):
    """Guards against a choice of a server that may not be used, and a refusal although one may."""
    rng = random.Random(seed)
    some = servers(rng.choice((5, 12, 13, 40, 200)))
    weights = [rng.choice((0, 1, 1, 30)) for _ in Standing]
    weights[0] += 1
    standing = {one.id: rng.choices(list(Standing), weights)[0] for one in some}
    holders = [one.id for one in rng.sample(some, 4)]
    prompt = rng.choice((None, PROMPT, SHORT_PROMPT))
    found = select(some, standing, prompt=prompt, holders=holders, seed=seed)
    best = max(standing.values())
    if best is Standing.BARRED:
        assert not found.servers
        return
    assert best in {standing[one.id] for one in found.servers}
    least = min(best, Standing.DOUBTED)
    assert all(standing[one.id] >= least for one in found.servers)
    assert {standing[one.id] for one in found.healthy} <= {best}


@pytest.mark.parametrize("seed", range(20))
def test_best_holders_of_prefix_are_among_the_candidates(seed):
    """Guards against prefilling a long prefix again that some engine of the service has cached."""
    rng = random.Random(seed)
    some = servers(90)
    holders = [one.id for one in rng.sample(some, rng.randrange(1, 10))]
    loads = {one.id: rng.random() for one in some}
    found = select(some, prompt=PROMPT, holders=holders, seed=seed, load=lambda o: loads[o.id])
    ids = {one.id for one in found.servers}
    near = [one.id for one in some if one.id in holders and one.region == NORTH]
    assert min(near or holders, key=lambda one: loads[one]) in ids
    assert len(ids & set(holders)) >= min(len(holders), 3)


def test_all_instances_evaluate_the_owner_of_a_prefix():
    """Guards against each instance prefilling the same new prefix at another engine."""
    some = servers(90)
    owner = prefix_owner(PROMPT, [one.id for one in some])
    near = prefix_owner(SHORT_PROMPT, [one.id for one in some if one.region == NORTH])
    for seed in range(5):
        for prompt, expected in ((PROMPT, owner), (SHORT_PROMPT, near)):
            found = select(some, prompt=prompt, seed=seed)
            assert found.owner == expected and expected in {one.id for one in found.servers}
    found = select(some, {owner: Standing.DOUBTED}, prompt=PROMPT)
    rest = [one.id for one in some if one.id != owner]
    assert found.owner == prefix_owner(PROMPT, rest)


def test_draws_differ_and_reach_every_server_equally():
    """Guards against instances with the same readings sending to the same few servers."""
    some, shortlist = servers(90), Shortlist(NORTH, random.Random(3))
    seen = Counter(
        one.id for _ in range(2_000) for one in select(some, shortlist=shortlist).servers
    )
    for region, draws in (("north", OWN_REGION_DRAWS), ("other", OTHER_REGIONS_DRAWS)):
        group = [one.id for one in some if (one.region == NORTH) == (region == "north")]
        mean = 2_000 * draws / len(group)
        assert all(0.7 * mean < seen[one] < 1.3 * mean for one in group)


def test_changed_servers_replace_those_remembered():
    some, shortlist = servers(90, 1), Shortlist(NORTH, random.Random(1))
    select(some, shortlist=shortlist, prompt=PROMPT)
    fewer = some[:70]
    for _ in range(50):
        found = select(fewer, shortlist=shortlist, prompt=PROMPT)
        assert {one.id for one in found.servers} <= {one.id for one in fewer}


@pytest.mark.parametrize("seed", range(12))
def test_choice_among_many_keeps_to_all_rules(seed):
    """Guards against a draw that bypasses exclusion, evacuation, leaving, homes or backoff."""
    rng = random.Random(seed)
    some = [
        make_server(
            f"e{number}",
            region := rng.choice(("north", "north", "south")),
            zone=ZoneName(f"{region}-{rng.randrange(3)}"),
            leaving=rng.random() < 0.2,
        )
        for number in range(60)
    ]
    world = World(*some)
    world.chooser._rng.seed(seed)
    ids = [one.id for one in some]
    world.fleet.evacuated = {ZoneName("north-2"), ZoneName("south-1")}
    excluded = frozenset(rng.sample(ids, 10))
    misdirected, resting = rng.sample(ids, 8), rng.sample(ids, 8)
    for one in misdirected:
        world.health.note_misdirected(one)
    for one in resting:
        world.health.note_full(one, 60_000.0)
    closed = frozenset(rng.choice(((), (SOUTH,), (NORTH,))))
    home = rng.choice((frozenset(), frozenset((SOUTH,)), frozenset((NORTH,))))
    origin = rng.choice((Origin.CALLER, Origin.RELAY))
    allowed = {
        one.id
        for one in some
        if not one.leaving
        and one.zone not in world.fleet.evacuated
        and one.id not in (*excluded, *misdirected, *resting)
        and one.region not in closed
        and (not home or one.region in home)
        and (origin is Origin.CALLER or one.region == NORTH)
    }
    request = make_request(make_route(allowed_regions=home), origin=origin)
    for _ in range(60):
        place = world.chooser.choose(request, excluded, closed_regions=closed)
        if not allowed:
            assert isinstance(place, Refusal)
        else:
            assert isinstance(place, Placement) and place.server.id in allowed


def test_only_healthy_server_of_many_is_found():
    """Guards against a refusal or a doubted server where a draw of a dozen misses the last good."""
    some = servers(70)
    world = World(*some)
    for one in some[1:]:
        world.health.note_unreachable(one.id)
    world.loads[some[0].id] = ServerLoad(2, 2_000, 500)
    assert {world.choose(make_request()) for _ in range(10)} == {some[0].id}


def test_cold_servers_beyond_their_rate_are_not_chosen():
    some = [replace(one, cold_until_ms=now_ms() + 1e9) for one in servers(40, 1)]
    world = World(*some[:-1], replace(some[-1], cold_until_ms=0.0))
    for one in some[:-1]:
        world.tables.cold.note_sent(
            one, world.fleet.configuration.services[one.service].cold_requests_per_s
        )
    assert {world.choose(make_request()) for _ in range(10)} == {some[-1].id}


@pytest.mark.parametrize("prompt", [PROMPT, SHORT_PROMPT])
def test_holders_agree_with_cached_tokens_after_evictions(prompt):
    """Guards against an index of holders that drifts from the caches and hides a holder."""
    rng = random.Random(5)
    cache = PromptCache(owners_have_cached=False)
    ids = [BackendServerId(f"e{number}") for number in range(6)]
    others = [Prompt(2_000, 5, (PromptPrefix(f"/{n}", 1_500),)) for n in range(9)]
    for _ in range(300):
        cache.note(rng.choice((prompt, *others)), rng.choice(ids), 16_000)
        cached = {one for one in ids if cache.cached_tokens(prompt, one)}
        assert set(cache.holders(prompt)) == cached
    cache.forget_all_but(set(ids[:2]))
    assert {one for one in cache.holders(SHORT_PROMPT)} <= set(ids[:2])


def test_choice_among_seventy_engines_estimates_a_dozen(monkeypatch):
    """Guards against processor time that grows with the number of engines of a service."""
    world, estimated = World(*servers(70)), []
    estimate = world.chooser._estimator.estimate
    monkeypatch.setattr(
        world.chooser._estimator, "estimate", lambda *args: estimated.append(1) or estimate(*args)
    )
    assert isinstance(world.chooser.choose(make_request(), frozenset()), Placement)
    assert 0 < len(estimated) <= MAX_SHORTLISTED


def test_regions_without_live_instance_do_not_take_up_the_draws():
    """Guards against a refusal because all servers drawn are in a region that is cut off."""
    some = [make_server(f"e{number}", "west") for number in range(60)]
    world = World(*some, make_server("s1", "south"))
    peers = world.tables.peers
    tables = replace(world.tables, peers=lambda one: peers(one) if one == SOUTH else [])
    world.chooser = Chooser(LOCATION, tables, random.Random(1))
    assert {world.choose(make_request()) for _ in range(10)} == {"s1"}
