"""Subset of the backend servers of a large service that is considered for one request.

The time of a choice grows with the number of candidates, so that only some of hundreds are
considered. All requests that share a prompt prefix get the same subset of each region on every
instance, so that an engine with the prefix in its cache is among them.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline.fleet import BackendServer
from sparline.requests import RoutedRequest

# Services of up to this many servers are considered completely: a choice then takes about a
# millisecond.
MAX_COMPLETE_SERVERS = 64
# Numbers of servers considered otherwise: of the own region, of all others together, and of one of
# these.
MAX_OWN_REGION_SERVERS = 40
MAX_OTHER_REGIONS_SERVERS = 24
MAX_SERVERS_PER_OTHER_REGION = 12


@dataclass(frozen=True, slots=True)
class _Slices:
    """Servers of one service by region, dealt into slices of about equal size."""

    servers: list[BackendServer]  # all servers
    by_region: dict[RegionName, list[list[BackendServer]]]  # slices by region


class Shortlist:
    """Selects the servers that are considered."""

    def __init__(self, region: RegionName, rng: random.Random) -> None:
        """Select for the callers of an instance in a region."""
        self._region = region
        self._rng = rng
        self._slices: dict[str, _Slices] = {}

    def of(self, request: RoutedRequest, servers: list[BackendServer]) -> Sequence[BackendServer]:
        """Return the candidates for a request among a service's servers."""
        if len(servers) <= MAX_COMPLETE_SERVERS:
            return servers
        slices = self._slices.get(request.service)
        if slices is None or slices.servers is not servers:
            slices = self._slices[request.service] = _Slices(
                servers, self._sliced_by_region(servers)
            )
        selector = self._slice_selector(request)
        found = list(_slice(slices.by_region.get(self._region, []), selector))
        others = [region for region in slices.by_region if region != self._region]
        self._rng.shuffle(others)
        far: list[BackendServer] = []
        for region in others:
            if len(far) + MAX_SERVERS_PER_OTHER_REGION <= MAX_OTHER_REGIONS_SERVERS:
                far += _slice(slices.by_region[region], selector)
        return found + far

    def _sliced_by_region(
        self, servers: list[BackendServer]
    ) -> dict[RegionName, list[list[BackendServer]]]:
        by_region: dict[RegionName, list[BackendServer]] = {}
        for server in sorted(servers, key=lambda one: hash64(one.id)):
            by_region.setdefault(server.region, []).append(server)
        return {
            region: _deal(
                some,
                MAX_OWN_REGION_SERVERS if region == self._region else MAX_SERVERS_PER_OTHER_REGION,
            )
            for region, some in by_region.items()
        }

    def _slice_selector(self, request: RoutedRequest) -> int:
        """Return what selects the slices: hash of the longest shared prefix, else random."""
        starts = request.prompt.shared_prefixes if request.prompt else ()
        return hash64(starts[-1].key) if starts else self._rng.getrandbits(64)


def _slice(slices: list[list[BackendServer]], selector: int) -> list[BackendServer]:
    return slices[selector % len(slices)] if slices else []


def _deal(servers: list[BackendServer], max_size: int) -> list[list[BackendServer]]:
    """Deal servers into the fewest slices of at most `max_size` servers."""
    count = -(-len(servers) // max_size)
    return [servers[number::count] for number in range(count)]
