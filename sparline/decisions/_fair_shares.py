"""Fair shares: which part of an organisation's demand is within its share of scarce capacity.

Answers one organisation at 7.5 times its usual load while it is still below its quota and the
engines are full. Without shares, the other organisations lose in proportion to what they ask,
although none of them asks for more than usual.
"""

import math
from collections.abc import Mapping


def fair_shares(
    demands: Mapping[int, float], weights: Mapping[int, float], capacity: float
) -> dict[int, float]:
    """Return, for each organisation that asks for more than its share, the fraction of its demand within it.

    The shares are weighted max-min shares, found by progressive filling: what an organisation
    leaves of its part goes to the others in proportion to their weights. Organisations that ask for
    no more than their share are left out, so the result is empty if all demands fit.

    Args:
        demands: Cost that each organisation asks for, in the unit of `capacity` (for example tokens
            per second), by key. The coordinator adds it up from the reports of the instances.
            Organisations that are known only by their sum are passed under a key of their own, with
            the sum of their weights.
        weights: Weight of each organisation from the configuration, in any common unit. An
            organisation without one gets the smallest positive weight. One of weight 0 gets only
            what the others leave, and several of weight 0 share it equally.
        capacity: Cost that can be served; infinite if there is no limit.

    Raises:
        ValueError: If a demand or weight is negative or not finite, or the capacity is negative or
            not a number.
    """
    for name, values in (("demand", demands), ("weight", weights)):
        for key, value in values.items():
            if not 0.0 <= value < math.inf:
                raise ValueError(f"{name} of organisation {key} is {value}")
    if not capacity >= 0.0:
        raise ValueError(f"capacity is {capacity}")
    if math.fsum(demands.values()) <= capacity:
        return {}
    default = min((weight for weight in weights.values() if weight > 0.0), default=1.0)
    weighted = {key: weights.get(key, default) for key in demands}
    first = [(demands[key], weight, key) for key, weight in weighted.items() if weight > 0.0]
    last = [(demands[key], 1.0, key) for key, weight in weighted.items() if weight == 0.0]
    fractions, left = _fill(first, capacity)
    return fractions | _fill(last, left)[0]


def _fill(
    asking: list[tuple[float, float, int]], capacity: float
) -> tuple[dict[int, float], float]:
    """Share the capacity between `(demand, weight, key)`; return the fractions and what is left."""
    # In this order, everyone behind the first whose demand exceeds its share exceeds its own, too.
    asking = sorted(asking, key=lambda entry: (entry[0] / entry[1], entry[2]))
    # Weight of each and of all behind it: added up, since subtracting would leave rounding errors.
    weights_left = []
    total = 0.0
    for _, weight, _ in reversed(asking):
        total += weight
        weights_left.append(total)
    for index, (demand, weight, _) in enumerate(asking):
        weight_left = weights_left[-1 - index]
        if demand > capacity * (weight / weight_left):
            fractions = {
                key: capacity * (weight / weight_left) / demand
                for demand, weight, key in asking[index:]
            }
            return {key: part for key, part in fractions.items() if part < 1.0}, 0.0
        capacity = max(0.0, capacity - demand)
    return {}, capacity
