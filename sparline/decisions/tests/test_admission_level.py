"""Admission level: urgent ranks are served in an overload, and the level follows the capacity."""

import itertools

import pytest

from sparline.decisions import (
    ADJUSTMENT_MS,
    BUCKET_KEYS,
    OPEN_LEVEL,
    OPENING_MS,
    LevelController,
    RoundReport,
    admission_key,
    is_admitted,
    level_retry_after_ms,
)
from sparline.decisions.tests.admission_plant import PATIENCE_MS, Plant, PlantResult

CAPACITY = 1_000.0
USUAL, SURGE = 900.0, 3_000.0
SURGE_MS = (4_000, 12_000)
RANKS = range(3)
# Servers that take urgent requests first and servers that do not, each with both delays and some
# seeds.
PLANTS = list(itertools.product((1, 2), (True, False), (1, 2, 3)))


def run(delay: int, by_rank: bool, seed: int, demand=USUAL, capacity=CAPACITY, **more):
    def during_surge(ms: float, value: float, usual: float) -> float:
        return value if SURGE_MS[0] <= ms < SURGE_MS[1] else usual

    plant = Plant(
        LevelController(PATIENCE_MS),
        lambda ms: during_surge(ms, demand, USUAL),
        lambda ms: during_surge(ms, capacity, CAPACITY),
        delay,
        by_rank=by_rank,
        seed=seed,
        **more,
    )
    return plant.run(18_000)


def check_order(result: PlantResult) -> None:
    for since in range(6, 15, 3):
        shares = [result.share(rank, since, since + 3) for rank in RANKS]
        assert all(one >= other - 0.05 for one, other in itertools.pairwise(shares)), shares


@pytest.mark.parametrize(("delay", "by_rank", "seed"), PLANTS)
def test_a_surge_costs_neither_the_urgent_rank_nor_goodput(delay, by_rank, seed):
    """Guards against goodput that falls as demand rises, and against ranks in the wrong order."""
    result = run(delay, by_rank, seed, demand=SURGE)
    assert result.share(0, 6, 12) >= 0.9
    assert result.goodput(6, 12) >= 0.75 * CAPACITY
    check_order(result)
    assert result.goodput(14, 18) >= 0.95 * USUAL


@pytest.mark.parametrize(("delay", "by_rank", "seed"), PLANTS)
def test_half_the_capacity_is_used_by_the_urgent_ranks(delay, by_rank, seed):
    """Guards against a budget that stays far above or below a changed capacity."""
    result = run(delay, by_rank, seed, capacity=CAPACITY / 2)
    assert result.share(0, 9, 12) >= 0.9
    assert result.goodput(8, 12) >= 0.75 * CAPACITY / 2
    check_order(result)
    assert result.goodput(15, 18) >= 0.95 * USUAL


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_the_level_does_not_swing_in_a_steady_overload(seed):
    """Guards against oscillation between closed and open with the delay of a round."""
    result = run(1, False, seed, demand=SURGE)
    levels = [level for ms, level, _ in result.levels if 8_000 <= ms < 12_000]
    assert max(levels) < OPEN_LEVEL
    assert min(levels) >= 64


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_misses_unrelated_to_load_close_the_level_only_for_a_trial(seed):
    """Guards against a level that closes further and further because of slow servers."""
    result = run(1, True, seed, demand=700.0, unrelated=0.08)
    assert result.goodput(8, 12) >= 0.9 * 700.0 * 0.92


def test_a_few_misses_do_not_close_the_level():
    """Guards against one slow server that closes a region."""
    controller = LevelController({})
    for number in range(40):
        controller.note(RoundReport({0: 60.0, 40: 40.0}, 100.0, 4.0, 96.0))
        assert controller.step(number * ADJUSTMENT_MS) == OPEN_LEVEL


def test_growing_demand_without_misses_does_not_close_the_level():
    controller = LevelController({})
    for number in range(40):
        cost = 100.0 * (1 + number)
        controller.note(RoundReport({0: cost}, cost, 0.0, cost))
        assert controller.step(number * ADJUSTMENT_MS) == OPEN_LEVEL


def test_a_closed_level_opens_within_the_promised_time():
    controller = LevelController({}, level=0)
    demand = {bucket: 10.0 for bucket in range(48)}
    opened = []
    for number in range(30):
        cost = sum(demand.values()) * min(controller.level, 768) / 768
        controller.note(RoundReport(demand, cost, 0.0, cost))
        if controller.step(number * ADJUSTMENT_MS) == OPEN_LEVEL:
            opened.append(number * ADJUSTMENT_MS)
    assert opened[0] <= OPENING_MS
    assert controller.is_done()


def test_the_budget_falls_by_at_most_half_a_round():
    controller = LevelController({})
    budgets = []
    for number in range(12):
        controller.note(RoundReport({0: 500.0, 16: 500.0}, 1_000.0, 990.0, 10.0))
        controller.step(number * ADJUSTMENT_MS)
        budgets.append(controller.budget_per_s or 4_000.0)
    falls = [after / before for before, after in itertools.pairwise(budgets)]
    assert min(falls) >= 0.5
    assert budgets[-1] < 400.0


def test_the_floor_ends_starvation_after_the_deadline_of_the_rank():
    plant = Plant(
        LevelController(PATIENCE_MS),
        lambda _ms: SURGE,
        lambda _ms: CAPACITY,
        weights=(0.6, 0.2, 0.2),
    )
    result = plant.run(12_000)
    assert all(floor == 0 for ms, _, floor in result.levels if ms < PATIENCE_MS[1])
    assert all(floor == 4 for ms, _, floor in result.levels if ms > PATIENCE_MS[1] + 3_000)


@pytest.mark.parametrize(
    ("key", "level", "floor", "admitted"),
    [
        (0, OPEN_LEVEL, 0, True),
        (admission_key(9, 1, 127), OPEN_LEVEL, 0, True),
        (admission_key(12, 1, 127), OPEN_LEVEL, 0, True),
        (256, 256, 0, False),
        (255, 256, 0, True),
        (admission_key(2, 0, 3), 0, 4, True),
        (admission_key(2, 1, 3), 0, 4, True),
        (admission_key(0, 0, 4), 0, 4, False),
    ],
)
def test_keys_are_compared_with_level_and_floor(key, level, floor, admitted):
    assert is_admitted(key, level, floor) is admitted


def test_retries_follow_the_keys_and_are_spread():
    """Guards against callers that were refused together and come back together."""
    waits = [level_retry_after_ms(key, 100, 3, 1_000.0, True) for key in range(100, 768)]
    steps = [after - before for before, after in itertools.pairwise(waits)]
    assert min(steps) > 0
    assert max(steps) < BUCKET_KEYS
    # A caller with 1 s left is told that the last keys are not admitted in time.
    assert waits[-1] > 1_000.0


def test_callers_of_a_level_that_does_not_rise_wait_nearly_as_long_as_they_can():
    waits = [level_retry_after_ms(256 + position, 256, 3, 6_000.0, False) for position in range(99)]
    assert min(waits) >= 6_000.0 / 3 * 2 / 3
    assert max(waits) <= 6_000.0 / 3
    assert len(set(waits)) == len(waits)
