"""How many requests a cold backend server gets from this instance."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import BackendServerId
from sparline.fleet import BackendServer

# Instances that share one cold server's rate (count): each may be ahead by one request, and so
# many requests at once are borne.
MOST_SHARING = 4
# Part of the declared rate that is used, so that clocks and late arrivals stay within it.
RATE_USED = 0.85

Sharers = Callable[[], list[str]]
IsSettled = Callable[[], bool]


@dataclass(frozen=True, slots=True)
class ColdUse:
    """Tell that a cold server gets a request, and what that was decided by."""

    server_id: BackendServerId  # the server
    cold_ms: float  # how much longer it is taken to be cold
    sharers: int  # instances that its rate is shared out among, as far as this one knows
    pause_ms: float  # until this instance sends it the next one


class ColdShares:
    """Give each cold server its rate, shared out without a word between instances."""

    def __init__(
        self,
        own_ip: str,
        sharers: Sharers,
        is_settled: IsSettled = lambda: True,
        on_use: Callable[[ColdUse], None] = lambda _use: None,
    ) -> None:
        """Share with the instances of this region.

        `sharers` names them, silent ones too; `is_settled` tells whether these are likely to be
        all of them; `on_use` is told of each send.
        """
        self._own_ip = own_ip
        self._sharers = sharers
        self._is_settled = is_settled
        self._on_use = on_use
        self._next_at_ms: dict[BackendServerId, float] = {}

    def may_use(self, server: BackendServer, rate_per_s: float) -> bool:
        """Tell whether this instance may send a cold server one more request now."""
        if rate_per_s <= 0 or now_ms() >= server.cold_until_ms:
            return True
        if now_ms() < self._next_at_ms.get(server.id, 0.0):
            return False
        # Instances that start together know nobody yet, and each would take the whole rate.
        return self._is_settled() and self._has_share(server.id)

    def note_sent(self, server: BackendServer, rate_per_s: float) -> None:
        """Count a request that goes to a server; spaces out those to a cold one."""
        if rate_per_s <= 0 or now_ms() >= server.cold_until_ms:
            self._next_at_ms.pop(server.id, None)
            return
        sharers = len(self._sharers())
        pause_ms = 1000 * min(sharers, MOST_SHARING) / (rate_per_s * RATE_USED)
        self._next_at_ms[server.id] = now_ms() + pause_ms
        self._on_use(ColdUse(server.id, server.cold_until_ms - now_ms(), sharers, pause_ms))

    def _has_share(self, server_id: BackendServerId) -> bool:
        """Tell whether this instance is one of those that share the server."""
        sharers = self._sharers()
        if len(sharers) <= MOST_SHARING:
            return True
        order = sorted(sharers, key=lambda ip: hash64(f"cold/{server_id}/{ip}"), reverse=True)
        return self._own_ip in order[:MOST_SHARING]
