"""Fair shares between organisations, and the demand that they are computed from."""

import math
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sparline.decisions import fair_shares

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


USUAL = 128  # requests of cost 1 that an organisation usually sends in a second
SURGING, ORGANISATIONS = 0, 16
CAPACITY = 20 * USUAL


def lost(ranks: dict[int, list[int]], with_shares: bool) -> dict[tuple[int, int], float]:
    """Return the part refused of each (organisation, rank), admitting by key until all is used."""
    asked = []
    for organisation in range(ORGANISATIONS):
        surge = 7.5 if organisation == SURGING else 1.0
        for rank in ranks[organisation]:
            count = int(USUAL * surge) // len(ranks[organisation])
            asked += [(organisation, rank, index * 128 // count) for index in range(count)]
    demands = Counter(organisation for organisation, _, _ in asked)
    shares = fair_shares(demands, {}, CAPACITY) if with_shares else {}
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
