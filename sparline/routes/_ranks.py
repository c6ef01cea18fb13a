"""Ranks: one order of urgency from the priorities of organisations and routes."""

from collections.abc import Iterable
from dataclasses import dataclass, field

# Highest rank; requests with less urgent priorities share it.
MAX_RANK = 9


@dataclass(frozen=True, slots=True)
class Ranks:
    """Number the priorities that occur in one configuration, from the most urgent one, 0.

    The priority of an organisation goes before that of a route. Among requests of equal priority by
    their organisation, the priority of the route decides.
    """

    by_priorities: dict[tuple[int, int], int] = field(default_factory=dict)

    def of(self, route_priority: int, organisation_priority: int | None) -> int:
        """Return the rank of a request; `organisation_priority` is None where the route decides."""
        first = route_priority if organisation_priority is None else organisation_priority
        rank = self.by_priorities.get((first, route_priority))
        return min(first, MAX_RANK) if rank is None else rank


def make_ranks(
    route_priorities: Iterable[int], organisation_priorities: Iterable[int | None]
) -> Ranks:
    """Return the ranks of all requests that a configuration allows.

    If no organisation has a priority, the priorities of the routes are the ranks.
    """
    own_priorities = set(organisation_priorities) - {None}
    if not own_priorities:
        return Ranks()
    pairs = {
        (route if own is None else own, route)
        for route in set(route_priorities)
        for own in (None, *own_priorities)
    }
    return Ranks({pair: min(rank, MAX_RANK) for rank, pair in enumerate(sorted(pairs))})
