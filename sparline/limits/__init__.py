"""Rate limits of organisations, divided between instances without shared state."""

from sparline.limits._bucket import TokenBucket
from sparline.limits._enforcer import LimitEnforcer
from sparline.limits._exchange import LimitExchange
from sparline.limits._owner import DemandReport, LimitOwner, LimitTerms, RegionView

__all__ = [
    "DemandReport",
    "LimitEnforcer",
    "LimitExchange",
    "LimitOwner",
    "LimitTerms",
    "RegionView",
    "TokenBucket",
]
