"""Division of a backend server's request rate between the instances of its region.

Each instance derives its share from the membership alone, without messages to the others.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import BackendServerId

# Maximum number of instances that share one server's rate. Each may send one request early, so this
# is also the largest burst.
MAX_SHARERS = 4
# Part of the rate that is used; the rest is a margin for clock differences and network delay.
USED_RATE_SHARE = 0.85

Sharers = Callable[[], list[str]]
IsSettled = Callable[[], bool]


@dataclass(frozen=True, slots=True)
class _LastSend:
    """Latest request from this instance to a server."""

    at_ms: float  # when it was sent
    sharers: int  # instances that shared the rate at that time


class RateShares:
    """Spaces out the requests of this instance to servers with a limited rate."""

    def __init__(self, own_ip: str, sharers: Sharers, is_settled: IsSettled) -> None:
        """Share rates with the instances of this region.

        `sharers` returns their addresses, including unresponsive ones; `is_settled` tells whether
        that list is likely to be complete.
        """
        self._own_ip = own_ip
        self._sharers = sharers
        self._is_settled = is_settled
        self._last: dict[BackendServerId, _LastSend] = {}

    def may_send(self, server_id: BackendServerId, rate_per_s: float) -> bool:
        """Tell whether this instance may send a server one more request now."""
        last = self._last.get(server_id)
        if last is not None and now_ms() < last.at_ms + _pause_ms(last.sharers, rate_per_s):
            return False
        # Instances that start together do not know each other yet: each would use the whole rate.
        return self._is_settled() and self._has_share(server_id)

    def note_sent(self, server_id: BackendServerId, rate_per_s: float) -> tuple[int, float]:
        """Record a request; return the number of sharing instances and the pause after it (ms)."""
        sharers = len(self._sharers())
        self._last[server_id] = _LastSend(now_ms(), sharers)
        return sharers, _pause_ms(sharers, rate_per_s)

    def forget(self, server_id: BackendServerId) -> None:
        """Forget the latest request to a server whose rate is no longer limited."""
        self._last.pop(server_id, None)

    def _has_share(self, server_id: BackendServerId) -> bool:
        """Tell whether this instance is one of those that share the server's rate."""
        sharers = self._sharers()
        if len(sharers) <= MAX_SHARERS:
            return True
        order = sorted(sharers, key=lambda ip: hash64(f"cold/{server_id}/{ip}"), reverse=True)
        return self._own_ip in order[:MAX_SHARERS]


def _pause_ms(sharers: int, rate_per_s: float) -> float:
    return 1000 * min(sharers, MAX_SHARERS) / (rate_per_s * USED_RATE_SHARE)
