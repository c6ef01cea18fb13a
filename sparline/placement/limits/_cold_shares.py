"""Rate limits for requests from this instance to cold backend servers."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.fleet import BackendServer
from sparline.placement.limits._rate_shares import IsSettled, RateShares, Sharers


@dataclass(frozen=True, slots=True)
class ColdRequest:
    """Request to a cold server, with the facts behind the decision."""

    server_id: BackendServerId  # the server
    cold_ms: float  # estimated time until it is warm
    sharers: int  # instances that share its rate, as far as is known
    pause_ms: float  # time until this instance may send it another request


class ColdShares:
    """Divides the rate of each cold server between instances without any messages."""

    def __init__(
        self,
        own_ip: str,
        sharers: Sharers,
        is_settled: IsSettled = lambda: True,
        on_send: Callable[[ColdRequest], None] = lambda _request: None,
    ) -> None:
        """Share with the instances of this region.

        `sharers` returns their addresses, including unresponsive ones; `is_settled` tells whether
        that list is likely to be complete; `on_send` is called for each request.
        """
        self._shares = RateShares(own_ip, sharers, is_settled)
        self._on_use = on_send

    def may_send(self, server: BackendServer, rate_per_s: float) -> bool:
        """Tell whether this instance may send a server one more request now."""
        if rate_per_s <= 0 or now_ms() >= server.cold_until_ms:
            return True
        return self._shares.may_send(server.id, rate_per_s)

    def note_sent(self, server: BackendServer, rate_per_s: float) -> None:
        """Record a request to a server and space out those to a cold one."""
        if rate_per_s <= 0 or now_ms() >= server.cold_until_ms:
            self._shares.forget(server.id)
            return
        sharers, pause_ms = self._shares.note_sent(server.id, rate_per_s)
        self._on_use(ColdRequest(server.id, server.cold_until_ms - now_ms(), sharers, pause_ms))
