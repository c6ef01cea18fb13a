"""Selection of the few backend servers of a service that are evaluated for one request.

The time of a choice grows with the number of servers evaluated. Those that hold the prompt's prefix,
its owner and some drawn at random suffice: the best of six random servers is almost as good as the
best of all, and instances with the same old readings do not all send to the same server.
"""

import random
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import IntEnum

from sparline._hashing import hash64
from sparline._ids import BackendServerId, RegionName
from sparline.fleet import BackendServer
from sparline.placement._prompt_cache import is_fleet_wide
from sparline.requests import Prompt

# Services of up to this many servers are evaluated completely.
MAX_COMPLETE_SERVERS = 12
# Numbers of servers evaluated otherwise: that hold the prompt's prefix, drawn from the own region,
# and drawn from all others together. The owner of the prefix comes in addition.
MAX_HOLDERS = 3
OWN_REGION_DRAWS = 6
OTHER_REGIONS_DRAWS = 3
MAX_SHORTLISTED = MAX_HOLDERS + 1 + OWN_REGION_DRAWS + OTHER_REGIONS_DRAWS
# Of more servers that hold a prefix, this many random ones are compared by load.
MAX_COMPARED_HOLDERS = 12
# Total number of servers in the remembered orders of owners, which bounds their memory to some MB.
MAX_REMEMBERED_OWNERS = 100_000


class Standing(IntEnum):
    """Whether a server may get a request; candidates of a higher standing are preferred."""

    BARRED = 0  # the request must not be sent there
    LAST_RESORT = 1  # leaving, or in doubt and limited or in a region that is full
    LIMITED = 2  # has a rate limit, which is left to the instances of its own region
    REGION_FULL = 3  # its region just refused such a request
    DOUBTED = 4  # failed, or was full or unresponsive a moment ago
    HEALTHY = 5  # nothing speaks against it


Judge = Callable[[BackendServer], Standing]


@dataclass(slots=True)
class Shortlisted:
    """Servers that are evaluated for one request."""

    servers: list[BackendServer]  # candidates
    healthy: list[BackendServer]  # those of them that nothing speaks against
    owner: BackendServerId | None = None  # engine that is to hold the prompt's prefix


@dataclass(slots=True)
class _ServicePool:
    """Servers of one service, sorted for drawing."""

    servers: list[BackendServer]  # all servers
    near: list[BackendServer]  # of the own region, in an order that drawing changes
    far: list[BackendServer]  # of other regions, in an order that drawing changes
    by_id: dict[BackendServerId, BackendServer]  # all servers by id
    # Servers by prefix, the owner first: of the own region and of all.
    near_owners: OrderedDict[str, list[BackendServer]] = field(default_factory=OrderedDict)
    all_owners: OrderedDict[str, list[BackendServer]] = field(default_factory=OrderedDict)


class Shortlist:
    """Selects the servers that are evaluated."""

    def __init__(self, region: RegionName, rng: random.Random) -> None:
        """Select for the callers of an instance in a region."""
        self._region = region
        self._rng = rng
        self._pools: dict[str, _ServicePool] = {}

    def select(
        self,
        service: str,
        servers: list[BackendServer],
        prompt: Prompt | None,
        judge: Judge,
        holders: Callable[[], Sequence[BackendServerId]],
        load: Callable[[BackendServer], float],
    ) -> Shortlisted:
        """Return the candidates for a request among a service's servers, none of them barred.

        `judge` is asked for few servers of a large service, unless those cannot be used; `holders`
        returns the engines that have the prompt's prefix cached, and `load` their load, in any unit.
        Without a server of standing, the result is empty.
        """
        judged: dict[BackendServerId, Standing] = {}

        def standing(server: BackendServer) -> Standing:
            known = judged.get(server.id)
            if known is None:
                known = judged[server.id] = judge(server)
            return known

        pool = self._pool(service, servers)
        owner = self._owner(pool, prompt, standing) if prompt is not None else None
        if len(servers) <= MAX_COMPLETE_SERVERS:
            found = list(servers)
        else:
            found = self._holders(pool, holders(), standing, load)
            if owner is not None and owner not in found:
                found.append(owner)
            found += self._draw(pool, {one.id for one in found}, standing)
        best = max((standing(one) for one in found), default=Standing.BARRED)
        if best is Standing.BARRED:
            return Shortlisted([], [])
        least = min(best, Standing.DOUBTED)
        servers = [one for one in found if standing(one) >= least]
        is_in_doubt = best in (Standing.DOUBTED, Standing.LAST_RESORT)
        return Shortlisted(
            servers,
            [] if is_in_doubt else [one for one in servers if standing(one) is best],
            owner.id if owner is not None else None,
        )

    def _pool(self, service: str, servers: list[BackendServer]) -> _ServicePool:
        pool = self._pools.get(service)
        if pool is None or pool.servers is not servers or len(pool.by_id) != len(servers):
            pool = self._pools[service] = _ServicePool(
                servers,
                [one for one in servers if one.region == self._region],
                [one for one in servers if one.region != self._region],
                {one.id: one for one in servers},
            )
        return pool

    def _holders(
        self,
        pool: _ServicePool,
        holders: Sequence[BackendServerId],
        standing: Judge,
        load: Callable[[BackendServer], float],
    ) -> list[BackendServer]:
        """Return the best of the engines that hold the prefix."""
        known = [pool.by_id[one] for one in holders if one in pool.by_id]
        usable = [one for one in known if standing(one) > Standing.BARRED]
        if len(usable) <= MAX_HOLDERS:
            return usable
        compared = self._rng.sample(usable, min(len(usable), MAX_COMPARED_HOLDERS))
        compared.sort(key=lambda one: (-standing(one), one.region != self._region, load(one)))
        return compared[:MAX_HOLDERS]

    def _draw(
        self, pool: _ServicePool, taken: set[BackendServerId], standing: Judge
    ) -> list[BackendServer]:
        """Return random servers of the own region and of others, healthy ones if possible."""
        drawn = self._draw_from(pool.near, OWN_REGION_DRAWS, taken, standing)
        missing = OWN_REGION_DRAWS - len(drawn)
        return drawn + self._draw_from(pool.far, OTHER_REGIONS_DRAWS + missing, taken, standing)

    def _draw_from(
        self,
        servers: list[BackendServer],
        count: int,
        taken: set[BackendServerId],
        standing: Judge,
    ) -> list[BackendServer]:
        """Return up to `count` random servers, of lower standing only if too few are healthy.

        All servers are tried if too few are healthy, so that no server is missed that can be used.
        """
        found: list[BackendServer] = []
        others: list[BackendServer] = []
        draw, size = self._rng.random, len(servers)
        for index in range(size):
            # A step of a Fisher-Yates shuffle in place.
            other = index + int(draw() * (size - index))
            server = servers[other]
            servers[other], servers[index] = servers[index], server
            if server.id in taken:
                continue
            judged = standing(server)
            if judged is Standing.HEALTHY:
                found.append(server)
                if len(found) >= count:
                    return found
            elif judged is not Standing.BARRED:
                others.append(server)
        others.sort(key=standing, reverse=True)
        return found + others[: count - len(found)]

    def _owner(self, pool: _ServicePool, prompt: Prompt, standing: Judge) -> BackendServer | None:
        """Return the engine that is to hold the prompt's prefix.

        This is the first healthy one in an order on which all instances agree, or if none is
        healthy, the first that is in doubt. Long prefixes have one owner in the whole fleet.
        """
        if not prompt.shared_prefixes:
            return None
        key = prompt.shared_prefixes[-1].key
        orders = [self._order(pool.all_owners, key, pool.servers)]
        if not is_fleet_wide(prompt) and pool.near:
            orders.insert(0, self._order(pool.near_owners, key, pool.near))
        for least in (Standing.HEALTHY, Standing.DOUBTED, Standing.LAST_RESORT):
            for order in orders:
                for server in order:
                    if standing(server) >= least:
                        return server
        return None

    def _order(
        self,
        remembered: OrderedDict[str, list[BackendServer]],
        key: str,
        servers: Iterable[BackendServer],
    ) -> list[BackendServer]:
        """Return servers in the order of rendezvous hashing."""
        order = remembered.get(key)
        if order is None:
            order = sorted(servers, key=lambda one: hash64(f"{key}/{one.id}"), reverse=True)
            remembered[key] = order
            while len(remembered) * len(order) > MAX_REMEMBERED_OWNERS:
                remembered.popitem(last=False)
        else:
            remembered.move_to_end(key)
        return order
