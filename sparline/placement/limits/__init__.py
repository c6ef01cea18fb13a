"""How often this instance may send to a backend server: limits that servers set, and cold servers."""

from sparline.placement.limits._cold_shares import ColdRequest, ColdShares
from sparline.placement.limits._limit_shares import ServerLimitShares
from sparline.placement.limits._rate_shares import RateShares
from sparline.placement.limits._refusal_limits import RefusalLimit, RefusalLimitTable
from sparline.placement.limits._server_limits import ServerLimit, ServerLimitTable

__all__ = [
    "ColdRequest",
    "ColdShares",
    "RateShares",
    "RefusalLimit",
    "RefusalLimitTable",
    "ServerLimit",
    "ServerLimitShares",
    "ServerLimitTable",
]
