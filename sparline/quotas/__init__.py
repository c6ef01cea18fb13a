"""Fleet-wide quotas of organisations, enforced by message exchange without shared storage.

One instance of each region, the quota coordinator, adds up what the region's instances have
admitted and answers their reports with the remaining quota; coordinators exchange their regions'
totals. An instance without a coordinator, and a region cut off from another, continue with their
own share of the quota.
"""

from sparline.quotas._account import QuotaCoordinator, RegionTotal
from sparline.quotas._allowance import QuotaLimiter, QuotaUsage, RemainingQuota, UsageReport
from sparline.quotas._level import FleetLevel
from sparline.quotas._terms import (
    NO_TOLERANCE,
    QuotaParameters,
    QuotaTolerance,
    make_quota_parameters,
    quota_key,
)

__all__ = [
    "NO_TOLERANCE",
    "FleetLevel",
    "QuotaCoordinator",
    "QuotaLimiter",
    "QuotaParameters",
    "QuotaTolerance",
    "QuotaUsage",
    "RegionTotal",
    "RemainingQuota",
    "UsageReport",
    "make_quota_parameters",
    "quota_key",
]
