"""Routes and services as operators configure them."""

from sparline.routes._types import (
    DEFAULT_LIMITS,
    CallerLimits,
    Configuration,
    ConfigurationVersion,
    EngineFigures,
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
    "EngineFigures",
    "RequestKind",
    "Route",
    "RouteName",
    "Service",
    "ServiceName",
    "ServiceShare",
    "make_configuration",
]
