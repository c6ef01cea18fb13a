"""Occupancy of the own region's backend servers, from the loads that this instance knows."""

from collections.abc import Callable

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName
from sparline.decisions import ServerUse, region_occupancy
from sparline.fleet import BackendServer, FleetState
from sparline.placement import LoadTable, PaceTable
from sparline.routes import Service, ServiceName


class RegionOccupancy:
    """Measures how much of a service's capacity in the own region is in use."""

    def __init__(
        self,
        region: RegionName,
        fleet: FleetState,
        loads: LoadTable,
        pace: PaceTable,
        is_usable: Callable[[BackendServerId], bool],
    ) -> None:
        """Use the tables of an instance; `is_usable` tells whether a server takes any request."""
        self._region = region
        self._fleet = fleet
        self._loads = loads
        self._pace = pace
        self._is_usable = is_usable

    def of(self, name: ServiceName) -> float | None:
        """Return the mean occupancy, 0 to 1, of the usable servers; None if there are none.

        Servers that leave, fail or are cold are left out: they report little load and would look
        free.
        """
        configuration = self._fleet.configuration
        service = configuration.services.get(name) if configuration else None
        if configuration is None or service is None:
            return None
        target_ms = min(
            (
                route.wanted_latency_ms
                for route in configuration.routes
                if any(share.service == name for share in route.shares)
            ),
            default=0.0,
        )
        now = now_ms()
        return region_occupancy(
            self._use(server, service, target_ms)
            for server in self._fleet.by_service.get(name, [])
            if server.region == self._region
            and not server.leaving
            and server.zone not in self._fleet.evacuated
            and server.cold_until_ms <= now
            and self._is_usable(server.id)
        )

    def _use(self, server: BackendServer, service: Service, target_ms: float) -> ServerUse:
        load = self._loads.of(server)
        engine = service.engine
        if engine is None:
            return ServerUse(load.running, server.slots)
        token_ms = self._pace.engine(service.name, server.id).token_ms
        return ServerUse(
            load.running,
            engine.slots,
            load.held_tokens / max(engine.cache_tokens, 1),
            load.unread_tokens * token_ms,
            target_ms,
        )
