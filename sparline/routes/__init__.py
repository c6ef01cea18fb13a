"""Routes, services and organisations as operators configure them."""

from sparline.routes._organisations import (
    KeyDigest,
    Organisation,
    Organisations,
    Quota,
    QuotaUnit,
    digest_of_key,
    make_organisations,
)
from sparline.routes._ranks import MAX_RANK, Ranks, make_ranks
from sparline.routes._types import (
    DEFAULT_LIMITS,
    CallerLimits,
    Configuration,
    ConfigurationVersion,
    EngineSpec,
    RequestKind,
    Route,
    RouteName,
    Service,
    ServiceName,
    ServiceShare,
    make_configuration,
)

__all__ = [
    "DEFAULT_LIMITS",
    "CallerLimits",
    "Configuration",
    "ConfigurationVersion",
    "EngineSpec",
    "KeyDigest",
    "MAX_RANK",
    "Organisation",
    "Organisations",
    "Quota",
    "QuotaUnit",
    "Ranks",
    "RequestKind",
    "Route",
    "RouteName",
    "Service",
    "ServiceName",
    "ServiceShare",
    "digest_of_key",
    "make_configuration",
    "make_organisations",
    "make_ranks",
]
