"""Rate limits of organisations, divided between instances without shared state."""

from sparline.limits._bucket import TokenBucket
from sparline.limits._enforcer import LimitEnforcer
from sparline.limits._exchange import LimitExchange
from sparline.limits._owner import LimitOwner, LimitTerms, RegionView, Reported

__all__ = [
    "LimitEnforcer",
    "LimitExchange",
    "LimitOwner",
    "LimitTerms",
    "RegionView",
    "Reported",
    "TokenBucket",
]
