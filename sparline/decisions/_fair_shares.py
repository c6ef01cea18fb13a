"""Fair shares: which part of an organisation's demand is within its share of scarce capacity.

Answers one organisation at 7.5 times its usual load while it is still below its quota and the
engines are full. Without shares, the other organisations lose in proportion to what they ask,
although none of them asks for more than usual.
"""

import heapq
import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

# Organisations that are listed one by one; a report and a level each carry at most as many.
MAX_LARGEST = 16
# Time over which demand is summed (ms), and the step in which it is forgotten (ms): a gossip round.
DEFAULT_WINDOW_MS = 1_000.0
SLOT_MS = 250.0
# Organisations kept of one slot: the 5,000 of the largest deployment, with room to spare.
MAX_ORGANISATIONS_PER_SLOT = 8_192
# Largest cost of one addition (tokens): keeps sums finite, whatever an instance reports.
MAX_COST = 1e12


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


@dataclass(frozen=True, slots=True)
class OrganisationDemand:
    """Demand of the organisations of one service, in cost per second."""

    largest: dict[int, float]  # by organisation key, at most `MAX_LARGEST`, the largest first
    rest: float  # of all other organisations together


@dataclass(slots=True)
class _Slot:
    number: int  # its start in multiples of `SLOT_MS`
    costs: dict[int, float] = field(default_factory=dict)
    rest: float = 0.0


class DemandSketch:
    """Demand of the organisations of one service over the last second or so.

    An exact table with a bound is kept instead of a space-saving sketch, because the latter credits
    newcomers with the cost of those they replace and would cut organisations within their shares,
    whereas a full table only counts newcomers in the rest.

    Additions take constant time; the largest are searched for when they are asked for. The caller
    passes the current time in (`now`, ms). A time before the latest one counts as the latest.
    """

    def __init__(self, window_ms: float = DEFAULT_WINDOW_MS) -> None:
        """Start without demand; `window_ms` is rounded up to whole slots of `SLOT_MS`, at least two.

        Raises:
            ValueError: If `window_ms` is not positive and finite.
        """
        if not 0.0 < window_ms < math.inf:
            raise ValueError(f"window is {window_ms} ms")
        self._max_slots = max(2, math.ceil(window_ms / SLOT_MS))
        self._slots: deque[_Slot] = deque()

    @property
    def entry_count(self) -> int:
        """Number of table entries, at most `MAX_ORGANISATIONS_PER_SLOT` for each slot."""
        return sum(len(slot.costs) for slot in self._slots)

    def add(self, key: int, cost: float, now: float) -> None:
        """Add the cost (tokens, or 1 without a prompt) that an organisation's request asks for.

        Raises:
            ValueError: If the cost is not within 0 and `MAX_COST`.
        """
        _check_costs((cost,))
        self._add_to(self._current(now), key, cost)

    def take_report(self, costs: Mapping[int, float], rest: float, now: float) -> None:
        """Add what another instance reports: cost by organisation key, and that of all others.

        Nothing is added if the report is not valid. The costs are those of the time since its
        previous report; `largest` gives costs per second, to be multiplied by the time between
        two reports (s).

        Raises:
            ValueError: If a cost is not within 0 and `MAX_COST`.
        """
        _check_costs((*costs.values(), rest))
        slot = self._current(now)
        slot.rest += rest
        for key, cost in costs.items():
            self._add_to(slot, key, cost)

    def largest(self, now: float) -> OrganisationDemand:
        """Return the demand (cost per second) of the largest organisations and of the rest."""
        current = self._current(now)
        totals: dict[int, float] = {}
        rest = 0.0
        for slot in self._slots:
            rest += slot.rest
            for key, cost in slot.costs.items():
                totals[key] = totals.get(key, 0.0) + cost
        largest = heapq.nlargest(
            MAX_LARGEST, totals.items(), key=lambda entry: (entry[1], -entry[0])
        )
        rest += math.fsum(totals.values()) - math.fsum(cost for _, cost in largest)
        # The window starts with the oldest slot that may still be kept and ends now.
        start_ms = (current.number - self._max_slots + 1) * SLOT_MS
        per_second = 1_000.0 / max(now - start_ms, (self._max_slots - 1) * SLOT_MS)
        return OrganisationDemand(
            {key: cost * per_second for key, cost in largest}, max(0.0, rest) * per_second
        )

    def _current(self, now: float) -> _Slot:
        """Return the slot of the current time, after those outside the window were dropped."""
        number = int(now // SLOT_MS)
        if not self._slots or number > self._slots[-1].number:
            self._slots.append(_Slot(number))
            while self._slots[0].number <= number - self._max_slots:
                self._slots.popleft()
        return self._slots[-1]

    def _add_to(self, slot: _Slot, key: int, cost: float) -> None:
        if cost == 0.0:
            return
        if key in slot.costs or len(slot.costs) < MAX_ORGANISATIONS_PER_SLOT:
            slot.costs[key] = slot.costs.get(key, 0.0) + cost
        else:
            slot.rest += cost


def _check_costs(costs: Iterable[float]) -> None:
    for cost in costs:
        if not 0.0 <= cost <= MAX_COST:
            raise ValueError(f"cost is {cost}, not within 0 and {MAX_COST:g}")
