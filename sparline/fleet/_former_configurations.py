"""Routes of the configurations before the one in force, for streams that began under them."""

from collections import deque
from dataclasses import dataclass, replace

from sparline._clock import now_ms
from sparline.routes import Configuration, ServiceShare

# How long they are kept after they were replaced (ms): longer than callers keep on asking for the
# rest of a stream.
FORMER_RETENTION_MS = 120_000.0
# Maximum number of them: one may have thousands of routes, at some 0.5 kB each.
MAX_FORMER = 16


@dataclass(frozen=True, slots=True)
class _Replaced:
    """Hold a configuration and the time at which a newer one replaced it."""

    configuration: Configuration  # its routes only
    at_ms: float  # when it was replaced


class FormerConfigurations:
    """Remember the configurations that were in force lately."""

    def __init__(self) -> None:
        """Remember none."""
        self._replaced: deque[_Replaced] = deque()
        self._dropped_at_ms = float("-inf")  # when the latest one was replaced that was too many

    def note_replaced(self, configuration: Configuration) -> None:
        """Record that a configuration is no longer in force."""
        routes_only = replace(configuration, routes=(), services={}, organisations=None)
        self._replaced.append(_Replaced(routes_only, now_ms()))
        if len(self._replaced) > MAX_FORMER:
            self._dropped_at_ms = self._replaced.popleft().at_ms

    def recent(self, within_ms: float = FORMER_RETENTION_MS) -> list[Configuration]:
        """Return those that were in force within a time, with their routes only."""
        now = now_ms()
        while self._replaced and self._replaced[0].at_ms < now - FORMER_RETENTION_MS:
            self._replaced.popleft()
        return [one.configuration for one in self._replaced if one.at_ms > now - within_ms]

    def has_no_route_moved(self, current: Configuration | None) -> bool:
        """Return whether all that were in force lately send requests to the same services."""
        if current is None or not self.are_complete():
            return False
        shares = _shares_of(current)
        return all(_shares_of(one) == shares for one in self.recent())

    def are_complete(self) -> bool:
        """Return whether none that was in force lately has been dropped."""
        return now_ms() - self._dropped_at_ms >= FORMER_RETENTION_MS


def _shares_of(configuration: Configuration) -> dict[tuple[str, str], tuple[ServiceShare, ...]]:
    """Return the shares of each route, by host and path."""
    routes = (route for found in configuration.by_host.values() for route in found)
    return {(route.host, route.path_start): route.shares for route in routes}
