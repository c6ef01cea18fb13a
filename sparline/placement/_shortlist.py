"""Which backend servers of a large service are looked at for one request.

A choice looks at each candidate, so that its time grows with them; of a service of hundreds it looks at
some. All that share a start of a prompt look at the same ones in each region, whichever instance asks:
an engine that keeps the start is among them.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline.fleet import BackendServer
from sparline.requests import RoutedRequest

# Services of up to so many servers are looked at whole (count): a choice then takes about a millisecond.
MOST_WHOLE = 64
# Servers of the own region, of all others together and of one of them, that are looked at otherwise
# (count).
MOST_NEAR = 40
MOST_FAR = 24
MOST_IN_FAR_REGION = 12


@dataclass(frozen=True, slots=True)
class _Slices:
    """Hold one service's servers by region, dealt into slices of about equal size."""

    servers: list[BackendServer]  # what was dealt
    by_region: dict[RegionName, list[list[BackendServer]]]  # slices of each region


class Shortlist:
    """Name the servers that are looked at."""

    def __init__(self, region: RegionName, chance: random.Random) -> None:
        """Serve the callers of an instance in a region."""
        self._region = region
        self._chance = chance
        self._slices: dict[str, _Slices] = {}

    def of(self, request: RoutedRequest, servers: list[BackendServer]) -> Sequence[BackendServer]:
        """Return the candidates for a request among a service's servers."""
        if len(servers) <= MOST_WHOLE:
            return servers
        slices = self._slices.get(request.service)
        if slices is None or slices.servers is not servers:
            slices = self._slices[request.service] = _Slices(servers, self._dealt(servers))
        point = self._point(request)
        found = list(_slice(slices.by_region.get(self._region, []), point))
        others = [region for region in slices.by_region if region != self._region]
        self._chance.shuffle(others)
        far: list[BackendServer] = []
        for region in others:
            if len(far) + MOST_IN_FAR_REGION <= MOST_FAR:
                far += _slice(slices.by_region[region], point)
        return found + far

    def _dealt(self, servers: list[BackendServer]) -> dict[RegionName, list[list[BackendServer]]]:
        by_region: dict[RegionName, list[BackendServer]] = {}
        for server in sorted(servers, key=lambda one: hash64(one.id)):
            by_region.setdefault(server.region, []).append(server)
        return {
            region: _cut(some, MOST_NEAR if region == self._region else MOST_IN_FAR_REGION)
            for region, some in by_region.items()
        }

    def _point(self, request: RoutedRequest) -> int:
        """Return what decides on the slices: the longest start that others share, else chance."""
        starts = request.prompt.shared_prefixes if request.prompt else ()
        return hash64(starts[-1].key) if starts else self._chance.getrandbits(64)


def _slice(slices: list[list[BackendServer]], point: int) -> list[BackendServer]:
    return slices[point % len(slices)] if slices else []


def _cut(servers: list[BackendServer], most: int) -> list[list[BackendServer]]:
    """Deal servers into as few slices as hold at most so many each."""
    count = -(-len(servers) // most)
    return [servers[number::count] for number in range(count)]
