"""Fair shares between organisations, and the demand that they are computed from."""

import math
import sys

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sparline.decisions import DemandSketch, fair_shares
from sparline.decisions._fair_shares import (
    MAX_COST,
    MAX_LARGEST,
    MAX_ORGANISATIONS_PER_SLOT,
    SLOT_MS,
)

SHARES = [
    ("no organisations", {}, {}, 5.0, {}),
    ("all fit", {1: 2.0, 2: 3.0}, {}, 5.0, {}),
    ("all fit exactly", dict.fromkeys(range(10), 0.1), {}, 1.0, {}),
    ("no limit", {1: 2.0}, {}, math.inf, {}),
    ("no capacity", {1: 2.0, 2: 0.0}, {}, 0.0, {1: 0.0}),
    ("equal weights", {1: 1.0, 2: 8.0}, {}, 5.0, {2: 0.5}),
    ("what one leaves goes to all others", {1: 1.0, 2: 8.0, 3: 4.0}, {}, 9.0, {2: 0.5}),
    ("weights", {1: 8.0, 2: 8.0}, {1: 3.0, 2: 1.0}, 8.0, {1: 0.75, 2: 0.25}),
    ("more, but less for its weight", {1: 6.0, 2: 8.0}, {1: 1.0, 2: 3.0}, 12.0, {1: 2 / 3}),
    ("at its share", {1: 6.0, 2: 8.0}, {1: 3.0, 2: 1.0}, 8.0, {2: 0.25}),
    ("no weight counts as the smallest", {1: 8.0, 2: 8.0}, {1: 3.0, 9: 1.0}, 8.0, {1: 0.75, 2: 0.25}),
    ("weight 0 gets what is left", {1: 4.0, 2: 4.0, 3: 4.0}, {1: 2.0, 2: 0.0, 3: 0.0}, 6.0, {2: 0.25, 3: 0.25}),
    ("weight 0 gets nothing if none is left", {1: 4.0, 2: 4.0}, {1: 2.0, 2: 0.0}, 2.0, {1: 0.5, 2: 0.0}),
    ("all weights 0", {1: 4.0, 2: 4.0}, {1: 0.0, 2: 0.0}, 4.0, {1: 0.5, 2: 0.5}),
]  # fmt: skip


@pytest.mark.parametrize(
    ("demands", "weights", "capacity", "shares"),
    [row[1:] for row in SHARES],
    ids=[row[0] for row in SHARES],
)
def test_share_is_the_weighted_max_min_share(demands, weights, capacity, shares):
    """Guards against undefined results at the limits, and against capacity left unused."""
    assert fair_shares(demands, weights, capacity) == pytest.approx(shares)


@pytest.mark.parametrize(
    ("demand", "weight", "capacity"),
    [(-1.0, 1.0, 1.0), (math.nan, 1.0, 1.0), (math.inf, 1.0, 1.0), (1.0, -1.0, 1.0)]
    + [(1.0, math.nan, 1.0), (1.0, 1.0, -1.0), (1.0, 1.0, math.nan)],
)
def test_values_without_meaning_raise(demand, weight, capacity):
    """Guards against shares that a value such as NaN has made meaningless for everyone."""
    with pytest.raises(ValueError):
        fair_shares({1: demand}, {1: weight}, capacity)


COSTS = st.floats(0.001, 1e9) | st.integers(0, 9).map(float)
DEMANDS = st.dictionaries(st.integers(0, 9), COSTS, min_size=2)
WEIGHTS = st.dictionaries(st.integers(0, 9), COSTS)
# Part of the demand that can be served: most are scarce.
SCARCITY = st.floats(1e-9, 1.2) | st.just(0.0)


@given(DEMANDS, WEIGHTS, SCARCITY)
def test_only_excess_is_cut_and_all_capacity_is_used(demands, weights, scarcity):
    """Guards against cuts within a share, unused capacity, and more allowed than there is."""
    total = math.fsum(demands.values())
    capacity = total * scarcity
    shares = fair_shares(demands, weights, capacity)
    allowed = {key: demand * shares.get(key, 1.0) for key, demand in demands.items()}
    assert all(0.0 <= part < 1.0 for part in shares.values())
    assert math.fsum(allowed.values()) == pytest.approx(min(total, capacity))
    smallest = min((weight for weight in weights.values() if weight > 0.0), default=1.0)
    of = {key: weights.get(key, smallest) for key, demand in demands.items() if demand > 0.0}
    for key in shares:
        # Nobody that is cut gets less for its weight than another, nor than its part of the whole.
        assert allowed[key] >= capacity * of[key] / (sum(of.values()) or 1.0) * (1 - 1e-9)
        if of[key] > 0.0:
            for other, weight in of.items():
                assert allowed[other] <= allowed[key] / of[key] * weight * (1 + 1e-9) + 1e-6


@given(DEMANDS, WEIGHTS, SCARCITY, st.integers(0, 9), st.floats(1.0, 100.0))
def test_share_grows_with_the_weight_and_not_with_the_unit(demands, weights, scarcity, key, factor):
    """Guards against a larger quota that lowers a share, and a dependence on the unit of quotas."""
    weights = dict.fromkeys(demands, 1.0) | weights
    capacity = math.fsum(demands.values()) * scarcity
    shares = fair_shares(demands, weights, capacity)
    heavier = fair_shares(demands, weights | {key: weights.get(key, 1.0) * factor}, capacity)
    assert heavier.get(key, 1.0) >= shares.get(key, 1.0) * (1 - 1e-9)
    scaled = {key: weight * factor for key, weight in weights.items()}
    rescaled = fair_shares(demands, scaled, capacity)
    for organisation in demands:
        expected = pytest.approx(shares.get(organisation, 1.0))
        assert rescaled.get(organisation, 1.0) == expected


@given(st.lists(st.tuples(st.integers(0, 60), st.floats(0.0, 1e6))), st.floats(0.0, 1e6))
def test_largest_and_rest_are_those_of_a_full_account(additions, rest):
    """Guards against cost that is lost, doubled or charged to another organisation."""
    sketch = DemandSketch()
    totals: dict[int, float] = {}
    for key, cost in additions:
        sketch.add(key, cost, 750.0)
        totals[key] = totals.get(key, 0.0) + cost
    sketch.take_report({7: 5.0}, rest, 760.0)
    totals[7] = totals.get(7, 0.0) + 5.0
    found = sketch.largest(1_000.0 - 1e-9)
    expected = sorted((cost for cost in totals.values() if cost), reverse=True)
    assert list(found.largest.values()) == pytest.approx(expected[:MAX_LARGEST])
    assert all(cost == pytest.approx(totals[key]) for key, cost in found.largest.items())
    others = rest + math.fsum(expected[MAX_LARGEST:])
    assert found.rest == pytest.approx(others, rel=1e-9, abs=1e-6)


@pytest.mark.parametrize("window_ms", [500.0, 1_000.0])
@pytest.mark.parametrize("phase_ms", [0.0, 60.0, 249.0])
def test_constant_demand_gives_its_rate_until_it_ends(window_ms, phase_ms):
    """Guards against a rate that depends on where in a slot it is read, and against a long memory."""
    sketch = DemandSketch(window_ms)
    for now in range(3_000):
        sketch.add(1, 2.0, now + phase_ms)
    end_ms = 3_000.0 + phase_ms
    assert sketch.largest(end_ms).largest[1] == pytest.approx(2_000.0, rel=0.01)
    sketch.add(2, 1.0, end_ms - 900.0)
    assert 2 in sketch.largest(end_ms).largest  # the clock of a report was behind
    assert sketch.largest(end_ms + window_ms).largest == {}
    assert sketch.entry_count == 0


def test_report_with_a_meaningless_cost_adds_nothing():
    """Guards against one instance's report that makes all sums infinite, or counts in part."""
    sketch = DemandSketch()
    for cost in (-1.0, math.nan, math.inf, 2 * MAX_COST):
        with pytest.raises(ValueError):
            sketch.take_report({1: 1.0, 2: cost}, 0.0, 0.0)
        with pytest.raises(ValueError):
            sketch.take_report({1: 1.0}, cost, 0.0)
    assert sketch.largest(0.0).largest == {}


def lines_of_addition(organisations: int) -> int:
    """Return how many lines an addition runs after so many organisations, over a full window."""
    sketch = DemandSketch()
    for now in range(0, 1_000, 250):
        for key in range(organisations):
            sketch.add(key, 1.0, now)
    lines = 0

    def trace(frame, event, _):
        nonlocal lines
        lines += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        sketch.add(organisations, 1.0, 1_000.0)
    finally:
        sys.settrace(before)
    return lines


def test_state_and_additions_are_bounded_whatever_the_number_of_organisations():
    """Guards against memory and processor time that grow with the organisations."""
    assert 0 < lines_of_addition(5_000) == lines_of_addition(10) < 40
    sketch = DemandSketch()
    for now in range(0, 5_000, 100):
        for key in range(5_000):
            sketch.add(key, 1.0 if key else 100.0, now)
    assert sketch.entry_count <= 5_000 * 1_000 / SLOT_MS
    found = sketch.largest(4_999.0)
    assert next(iter(found.largest)) == 0
    assert found.rest == pytest.approx((5_000 - MAX_LARGEST) * 10.0, rel=0.05)
    for key in range(2 * MAX_ORGANISATIONS_PER_SLOT):
        sketch.add(key, 1.0, 9_000.0 - key % 2 * 400.0)  # the clock of every other one is behind
    assert sketch.entry_count == MAX_ORGANISATIONS_PER_SLOT
    assert sum(sketch.largest(9_999.0).largest.values()) + sketch.largest(9_999.0).rest > 16_000


USUAL = 128  # requests of cost 1 that an organisation usually sends in a second
SURGING, ORGANISATIONS = 0, 16
CAPACITY = 20 * USUAL


def lost(ranks: dict[int, list[int]], with_shares: bool) -> dict[tuple[int, int], float]:
    """Return the part refused of each (organisation, rank), admitting by key until all is used."""
    sketch = DemandSketch()
    asked = []
    for organisation in range(ORGANISATIONS):
        surge = 7.5 if organisation == SURGING else 1.0
        for rank in ranks[organisation]:
            count = int(USUAL * surge) // len(ranks[organisation])
            asked += [(organisation, rank, index * 128 // count) for index in range(count)]
    for organisation, _, _ in asked:
        sketch.add(organisation, 1.0, 0.0)
    demand = sketch.largest(1_000.0 - 1e-9)
    shares = fair_shares(demand.largest, {}, CAPACITY) if with_shares else {}
    parts = {key: int(share * 128) for key, share in shares.items()}

    def key_of(request: tuple[int, int, int]) -> int:
        organisation, rank, position = request
        step = int(position >= parts.get(organisation, 128))
        return rank * 256 + step * 128 + position

    kinds = {request[:2] for request in asked}
    refused = [request[:2] for request in sorted(asked, key=key_of)[CAPACITY:]]
    all_of = [request[:2] for request in asked]
    return {kind: refused.count(kind) / all_of.count(kind) for kind in kinds}


def test_surge_of_one_organisation_costs_the_others_nothing():
    """Guards against a surge below its quota that the other 15 organisations pay for."""
    ranks = {organisation: [1] for organisation in range(ORGANISATIONS)}
    without, shared = lost(ranks, False), lost(ranks, True)
    surging = (SURGING, 1)
    # 22.5 times the usual load of one are asked, and 20 times are served.
    assert all(part == pytest.approx(2.5 / 22.5, abs=0.02) for part in without.values())
    assert all(part == 0.0 for kind, part in shared.items() if kind != surging)
    assert shared[surging] == pytest.approx(2.5 / 7.5, abs=0.01)


def test_rank_goes_before_shares():
    """Guards against excess that is refused although less urgent requests are admitted."""
    ranks = {key: [0] if key == SURGING else [1] for key in range(ORGANISATIONS)}
    urgent = lost(ranks, True)
    assert urgent.pop((SURGING, 0)) == 0.0
    assert all(part == pytest.approx(2.5 / 15, abs=0.02) for part in urgent.values())
    mixed = lost({key: [0, 1] for key in range(ORGANISATIONS)}, True)
    assert all(part == 0.0 for (_, rank), part in mixed.items() if rank == 0)
    assert mixed[SURGING, 1] > 2.5 / 7.5 > max(mixed[key, 1] for key in range(1, ORGANISATIONS)) > 0
