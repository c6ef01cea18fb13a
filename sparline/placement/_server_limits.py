"""Request rate limits that backend servers set in their answers."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Hold the request rate limit in a backend server's latest answer."""

    server_id: BackendServerId
    per_s: float | None  # requests per second from all instances together, None if unlimited
    at_ms: float  # when the answer arrived


class ServerLimitTable:
    """Hold the latest limit of each known backend server that has set one."""

    def __init__(self, on_change: Callable[[ServerLimit], None] = lambda _limit: None) -> None:
        """Start empty; `on_change` is called when a limit is added, changed or removed."""
        self._on_change = on_change
        self._limits: dict[BackendServerId, ServerLimit] = {}

    def note_answer(self, server_id: BackendServerId, per_s: float | None) -> None:
        """Record the limit in a server's answer, None if it has none."""
        if per_s is None and server_id not in self._limits:
            return
        self._update(ServerLimit(server_id, per_s, now_ms()))

    def _update(self, limit: ServerLimit) -> None:
        previous = self._limits.get(limit.server_id)
        self._limits[limit.server_id] = limit
        if previous is None or previous.per_s != limit.per_s:
            self._on_change(limit)

    def limit_per_s(self, server_id: BackendServerId) -> float | None:
        """Return the limit of a server in requests per second, None if it has none."""
        limit = self._limits.get(server_id)
        return None if limit is None else limit.per_s

    def limited_count(self) -> int:
        """Return how many servers have a limit."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget the limits of all servers that are not in `known`."""
        self._limits = {
            server_id: limit for server_id, limit in self._limits.items() if server_id in known
        }
