"""The backend servers of this instance's region, and whether they are present."""

import random
from collections.abc import Callable

from sparline._ids import RegionName
from sparline.decisions import ProbeResult
from sparline.fleet import BackendServer, FleetState
from sparline.forwarding import BackendWire, answers_presence_check
from sparline.http import Address, ConnectionPool


class RegionServers:
    """Sample, check and probe the servers of one region."""

    def __init__(
        self,
        region: RegionName,
        fleet: FleetState,
        pool: ConnectionPool,
        wire: BackendWire,
        check_isolated: Callable[[], bool],
    ) -> None:
        """Use the connections of one instance.

        `check_isolated` returns whether the instance reaches none of them, by a check that is recent.
        """
        self._region = region
        self._fleet = fleet
        self._pool = pool
        self._wire = wire
        self._check_isolated = check_isolated
        self._rng = random.Random()

    def sample(self, count: int) -> list[BackendServer]:
        """Return up to `count` random servers that stay."""
        servers = self._staying()
        return self._rng.sample(servers, min(count, len(servers)))

    def is_present(self, address: Address, timeout_ms: float) -> bool:
        """Tell whether a server answers on a new connection."""
        return answers_presence_check(self._pool, self._wire, address, timeout_ms)

    def probe(self, address: Address, timeout_s: float) -> ProbeResult:
        """Tell whether something listens at an address; an isolated instance can't know."""
        result = self._pool.probe(address, timeout_s)
        is_refused = result in (ProbeResult.REFUSED, ProbeResult.RESET)
        if is_refused and len(self._staying()) > 1 and self._check_isolated():
            return ProbeResult.UNKNOWN
        return result

    def _staying(self) -> list[BackendServer]:
        servers = (self._fleet.servers[one] for one in self._fleet.ids_in(self._region))
        return [one for one in servers if not one.leaving]
