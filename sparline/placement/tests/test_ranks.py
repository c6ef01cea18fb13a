"""Estimates by rank: what stands before a request, what it overtakes, and whom a prefill delays."""

import pytest

from sparline.fleet import ServerLoad, pending_of
from sparline.placement import Placement, Refusal
from sparline.placement._loss_estimator import Queue, queue_before
from sparline.placement.tests.test_choice import N1, N2, World
from sparline.requests import Prompt
from sparline.tests.routed import make_request, make_route

SLOTS = 16
SHORT = Prompt(628, 26, ())
LONG = Prompt(12_000, 35, ())
URGENT = make_route(priority=0, wanted_latency_ms=500.0, pause_target_ms=0.0)
PATIENT = make_route(priority=2, wanted_latency_ms=1_500.0, pause_target_ms=0.0)

QUEUES = [
    ("free slot", 0, 15, 9_000, (0, 0, 0, 0, 4, 8_000), Queue(0, 9_000)),
    ("full, nobody waits", 0, 16, 9_000, (0, 0, 0, 0, 4, 8_000), Queue(1, 9_000)),
    ("no ranks known", 0, 20, 9_000, (), Queue(5, 9_000)),
    ("all that wait are less urgent", 0, 20, 9_000, (0, 0, 0, 0, 4, 8_000), Queue(1, 1_000, 4, 8_000, 9_000)),
    ("less urgent ones in the batch go first", 0, 18, 9_000, (0, 0, 0, 0, 4, 8_000), Queue(1, 5_000, 2, 4_000, 9_000)),
    ("as urgent ones go first", 2, 20, 9_000, (0, 0, 0, 0, 4, 8_000), Queue(5, 9_000)),
    ("some of each", 1, 20, 9_000, (1, 300, 1, 700, 2, 8_000), Queue(3, 1_000, 2, 8_000, 9_000)),
]  # fmt: skip


@pytest.mark.parametrize("row", QUEUES, ids=[row[0] for row in QUEUES])
def test_only_what_is_admitted_first_stands_before_a_request(row):
    _, rank, running, unread, pending, expected = row
    load = ServerLoad(running, 200_000, unread, pending)
    assert queue_before(rank, load, SLOTS) == expected


def full_engine(world: World, rank: int) -> None:
    slots = world.fleet.configuration.services[N1.service].engine.slots
    load = ServerLoad(slots + 6, 70_000, 60_000, pending_of(rank, 6, 60_000))
    world.loads["n1"] = load


def learn_demand(world: World) -> None:
    for route, prompt in ((URGENT, SHORT), (PATIENT, LONG)):
        for _ in range(5):
            world.tables.demand.note(make_request(route), prompt)


@pytest.mark.parametrize(
    ("route", "waiting_rank", "kind"),
    [(URGENT, 2, Placement), (URGENT, 0, Refusal), (PATIENT, 2, Refusal)],
)
def test_full_batch_counts_only_against_requests_that_wait_behind_others(route, waiting_rank, kind):
    """Guards against urgent requests refused where less urgent ones are served."""
    world = World(N1)
    learn_demand(world)
    full_engine(world, waiting_rank)
    prompt = SHORT if route is URGENT else LONG
    assert isinstance(world.chooser.choose(make_request(route, prompt=prompt), frozenset()), kind)


def test_urgent_request_goes_where_it_delays_nobody():
    """Guards against overtaking without need, which makes less urgent requests late."""
    world = World(N1, N2)
    learn_demand(world)
    full_engine(world, 2)
    world.loads["n2"] = ServerLoad(3, 9_000, 900)
    assert {world.choose(make_request(URGENT, prompt=SHORT)) for _ in range(10)} == {"n2"}


def test_long_prefill_is_weighed_against_targets_of_those_behind_it():
    """Guards against long targets that let a prefill delay requests with short ones."""
    losses = []
    for target_ms in (250.0, 500.0, 2_000.0):
        world = World(N1)
        world.loads["n1"] = ServerLoad(4, 20_000, 8_000)
        urgent = make_route(priority=0, wanted_latency_ms=target_ms, pause_target_ms=0.0)
        for _ in range(20):
            world.tables.demand.note(make_request(urgent), SHORT)
        place = world.chooser.choose(make_request(PATIENT, prompt=LONG), frozenset(), True)
        losses.append(place.loss)
    assert losses[0] > losses[1] > losses[2]


def test_reservation_counts_its_rank_until_its_first_event():
    """Guards against requests that stay pending, behind which all others seem to wait."""
    world = World(N1)
    loads = world.tables.loads
    some = [loads.reserve(N1, 900, 700, rank) for rank in (2, 0, None)]
    assert loads.of(N1).pending == (1, 700, 0, 0, 1, 700)
    some[0].note_first_event()
    assert loads.of(N1).pending == (1, 700)
    for one in some:
        one.release()
    assert loads.of(N1) == ServerLoad()
