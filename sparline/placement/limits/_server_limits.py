"""Request rate limits that backend servers set in their answers."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.schema._gossip import ServerLimitNote

# Time after which a limit that no answer has repeated is forgotten (ms). Removed limits are kept as
# long, so that an instance that was partitioned does not restore an outdated one.
LIMIT_TTL_MS = 120_000.0
# A limit from a peer replaces the known one only if it is newer by more than this (ms), because
# ages in gossip do not include the network delay, which varies between datagrams.
AGE_TOLERANCE_MS = 100.0
# Maximum number of limits in one datagram, a random sample where there are more: about 25 bytes
# each.
MAX_LIMITS_PER_DATAGRAM = 8


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Request rate limit in a backend server's latest answer."""

    server_id: BackendServerId
    per_s: float | None  # requests per second from all instances together, None if unlimited
    at_ms: float  # when the answer arrived
    from_peer: bool = False  # whether a peer received the answer and sent its limit


class ServerLimitTable:
    """Holds the latest limit of each known backend server that has set one."""

    def __init__(self, on_change: Callable[[ServerLimit], None] = lambda _limit: None) -> None:
        """Start empty; `on_change` is called when a limit is added, changed or removed."""
        self._on_change = on_change
        self._rng = random.Random()
        self._limits: dict[BackendServerId, ServerLimit] = {}

    def note_answer(self, server_id: BackendServerId, per_s: float | None) -> None:
        """Record the limit in a server's answer, None if it has none."""
        if per_s is None and server_id not in self._limits:
            return
        self._update(ServerLimit(server_id, per_s, now_ms()))

    def merge_limits(self, notes: Iterable[ServerLimitNote]) -> None:
        """Merge limits from a peer; the newest answer of each server counts."""
        for note in notes:
            server_id = BackendServerId(note.backend_server)
            at_ms = now_ms() - max(note.age_ms, 0)
            known = self._limits.get(server_id)
            if known is None or known.at_ms + AGE_TOLERANCE_MS < at_ms:
                self._update(ServerLimit(server_id, note.per_s, at_ms, from_peer=True))

    def limits_to_send(self) -> list[ServerLimitNote]:
        """Return the limits to send to a peer, a random sample where there are many.

        Limits from peers are left out, because forwarding them would make an answer appear newer by
        the network delay of each hop.
        """
        limits = [limit for limit in self._limits.values() if not limit.from_peer]
        if len(limits) > MAX_LIMITS_PER_DATAGRAM:
            limits = self._rng.sample(limits, MAX_LIMITS_PER_DATAGRAM)
        return [_note(limit) for limit in limits]

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

    def forget_old(self) -> None:
        """Forget limits that no answer has repeated for `LIMIT_TTL_MS`."""
        since_ms = now_ms() - LIMIT_TTL_MS
        self._limits = {
            server_id: limit for server_id, limit in self._limits.items() if limit.at_ms >= since_ms
        }


def _note(limit: ServerLimit) -> ServerLimitNote:
    return ServerLimitNote(limit.server_id, limit.per_s, round(now_ms() - limit.at_ms))
