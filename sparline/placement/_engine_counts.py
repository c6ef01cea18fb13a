"""Number of healthy engines among which a region's demand is divided."""

from dataclasses import dataclass

from sparline._ids import RegionName
from sparline.fleet import BackendServer
from sparline.placement._health import HealthTable

# Time after which the engines are counted again (ms): much less than a burst of demand takes to
# change the rate.
COUNT_TTL_MS = 100.0


@dataclass(frozen=True, slots=True)
class _Count:
    """Engines of one service."""

    servers: list[BackendServer]  # that were counted
    at_ms: float  # when
    engines: int  # result


class EngineCounts:
    """Counts the engines of services at most every `COUNT_TTL_MS`."""

    def __init__(self, region: RegionName, health: HealthTable) -> None:
        """Count for an instance in a region, by its observations."""
        self._region = region
        self._health = health
        self._counts: dict[str, _Count] = {}

    def count(self, service: str, servers: list[BackendServer], now: float) -> int:
        """Return the number of healthy engines of the own region, or of all without any, at least 1.

        `now` is the current time in ms.
        """
        known = self._counts.get(service)
        if (
            known is None
            or known.servers is not servers
            or not 0 <= now - known.at_ms < COUNT_TTL_MS
        ):
            usable = [
                one for one in servers if not one.leaving and self._health.is_usable_at(one.id, now)
            ]
            here = sum(one.region == self._region for one in usable)
            known = self._counts[service] = _Count(servers, now, max(here or len(usable), 1))
        return known.engines
