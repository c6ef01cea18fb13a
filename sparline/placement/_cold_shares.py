"""How many requests a cold backend server gets from this instance."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.fleet import BackendServer
from sparline.placement._rate_shares import IsSettled, RateShares, Sharers


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
        self._shares = RateShares(own_ip, sharers, is_settled)
        self._on_use = on_use

    def may_use(self, server: BackendServer, rate_per_s: float) -> bool:
        """Tell whether this instance may send a cold server one more request now."""
        if rate_per_s <= 0 or now_ms() >= server.cold_until_ms:
            return True
        return self._shares.may_send(server.id, rate_per_s)

    def note_sent(self, server: BackendServer, rate_per_s: float) -> None:
        """Count a request that goes to a server; spaces out those to a cold one."""
        if rate_per_s <= 0 or now_ms() >= server.cold_until_ms:
            self._shares.forget(server.id)
            return
        sharers, pause_ms = self._shares.note_sent(server.id, rate_per_s)
        self._on_use(ColdUse(server.id, server.cold_until_ms - now_ms(), sharers, pause_ms))
