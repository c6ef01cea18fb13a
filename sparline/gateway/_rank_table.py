"""The services to which admission levels apply, with the ranks and weights that the levels need."""

from collections.abc import Mapping

from sparline.fleet import FleetState, ServiceRanks
from sparline.quotas import quota_key
from sparline.routes import Configuration, Organisation, Route, ServiceName


class RankTable:
    """Finds the services to which levels apply, and their ranks, in the current configuration."""

    def __init__(self, fleet: FleetState, enabled: bool) -> None:
        """Create a table that follows the configuration of a fleet."""
        self._fleet = fleet
        self._enabled = enabled
        self._configuration: Configuration | None = None
        self._ranks: dict[ServiceName, ServiceRanks] = {}
        self._weights: dict[int, float] = {}

    def _refresh(self) -> None:
        configuration = self._fleet.configuration
        if configuration is self._configuration or not self._enabled:
            return
        self._configuration = configuration
        self._ranks = _service_ranks(configuration) if configuration else {}
        self._weights = _organisation_weights(configuration) if configuration else {}

    def ranks_of(self, service: ServiceName) -> ServiceRanks | None:
        """Return the ranks of a service, None if no level applies to it."""
        self._refresh()
        return self._ranks.get(service)

    def rank_of(self, route: Route, organisation: Organisation | None) -> int:
        """Return the rank of a request, 0 for the most urgent."""
        assert self._configuration is not None, "a level applies without a configuration"
        return self._configuration.rank_of(route, organisation)

    def services(self) -> list[ServiceName]:
        """Return the services to which levels apply."""
        self._refresh()
        return list(self._ranks)

    def weights(self) -> Mapping[int, float]:
        """Return the weight of each organisation by its key."""
        self._refresh()
        return self._weights


def _service_ranks(configuration: Configuration) -> dict[ServiceName, ServiceRanks]:
    """Return the ranks of each service to which levels apply, with the longest timeout of each.

    Levels apply to a service with several ranks, and to all services if any organisation has a
    priority or a quota.
    """
    known = configuration.organisations
    organisations = known.by_id.values() if known else ()
    is_shared = any(one.priority is not None or one.quota is not None for one in organisations)
    own_priorities = {None, *(one.priority for one in organisations)}
    timeouts_ms: dict[ServiceName, dict[int, float]] = {}
    for route in configuration.routes:
        for share in route.shares:
            service_timeouts_ms = timeouts_ms.setdefault(share.service, {})
            for rank in {configuration.ranks.of(route.priority, own) for own in own_priorities}:
                service_timeouts_ms[rank] = max(
                    service_timeouts_ms.get(rank, 0.0), route.timeout_ms
                )
    return {
        service: ServiceRanks(max(by_rank) + 1, by_rank)
        for service, by_rank in timeouts_ms.items()
        if len(by_rank) > 1 or is_shared
    }


def _organisation_weights(configuration: Configuration) -> dict[int, float]:
    """Return the weight of each organisation: its quota if all have one, else the same for all."""
    known = configuration.organisations
    if known is None:
        return {}
    quotas = [one.quota for one in known.by_id.values()]
    all_have_quotas = all(quota is not None for quota in quotas)
    return {
        quota_key(one.id): one.quota.per_s if one.quota and all_have_quotas else 1.0
        for one in known.by_id.values()
    }
