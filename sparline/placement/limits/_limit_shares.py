"""This instance's share of the request rate limits set by backend servers."""

from sparline._ids import BackendServerId
from sparline.placement.limits._rate_shares import RateShares
from sparline.placement.limits._server_limits import ServerLimitTable

# Lowest request rate per server, from all instances together. A limit of zero must not stop all
# requests, because only an answer can show that the limit was raised.
MIN_RATE_PER_S = 0.1


class ServerLimitShares:
    """Enforces the limits of backend servers, shared between the instances of a region."""

    def __init__(self, limits: ServerLimitTable, shares: RateShares) -> None:
        """Enforce `limits` for servers of this instance's region, divided by `shares`."""
        self._limits = limits
        self._shares = shares

    def is_limited(self, server_id: BackendServerId) -> bool:
        """Tell whether a server has set a limit."""
        return self._limits.limit_per_s(server_id) is not None

    def may_send(self, server_id: BackendServerId) -> bool:
        """Tell whether this instance may send a server one more request now."""
        per_s = self._limits.limit_per_s(server_id)
        return per_s is None or self._shares.may_send(server_id, max(per_s, MIN_RATE_PER_S))

    def note_sent(self, server_id: BackendServerId) -> None:
        """Record a request to a server of this instance's region."""
        per_s = self._limits.limit_per_s(server_id)
        if per_s is None:
            self._shares.forget(server_id)
        else:
            self._shares.note_sent(server_id, max(per_s, MIN_RATE_PER_S))
