"""The active configuration: routes, services and limits on what callers may send."""

from dataclasses import dataclass, field
from enum import Enum
from typing import NewType

from sparline._ids import RegionName
from sparline.routes._organisations import Organisation, Organisations
from sparline.routes._ranks import Ranks, make_ranks

ServiceName = NewType("ServiceName", str)
RouteName = NewType("RouteName", str)
# 1 Mbit/s is 1,000 bits per millisecond.
KBITS_PER_MBIT = 1_000
BITS_PER_BYTE = 8

ConfigurationVersion = NewType("ConfigurationVersion", int)


class RequestKind(Enum):
    """Name how often a request may run, and whether its answer is a stream."""

    SAFE = "safe"  # may run more than once
    UNSAFE = "unsafe"  # runs at most once
    STREAM = "stream"  # a stream of events; may run again only if it is resumable


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Assign a share of a route's requests to one service."""

    service: ServiceName  # service that receives them
    weight: float  # share, relative to the sum of the route's weights


@dataclass(frozen=True, slots=True)
class Route:
    """Say how requests with a matching host and path are handled."""

    name: RouteName  # name given by the operators
    host: str  # host in lower case, without port
    path_start: str  # begins and ends with a slash
    kind: RequestKind  # whether requests may run again
    timeout_ms: float  # longest time that a request may take
    wanted_latency_ms: float  # target time to the answer, or to the first event of a stream
    pause_target_ms: float  # target for the longest gap between events of a stream, 0 for none
    priority: int  # 0 is the most urgent
    shares: tuple[ServiceShare, ...]  # services that handle the requests
    max_backends: int  # most backend servers on which one request may run
    resumable: bool  # whether a stream may resume on another backend server
    allowed_regions: frozenset[RegionName]  # regions that may run it, empty for all
    allows_anonymous: bool = False  # whether callers need no key

    def allows(self, region: RegionName) -> bool:
        """Tell whether requests may run in a region."""
        return not self.allowed_regions or region in self.allowed_regions

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may safely run more than once."""
        return self.kind is RequestKind.SAFE or (self.kind is RequestKind.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """Hold what is declared of a model engine."""

    slots: int  # requests that run concurrently
    cache_tokens: int  # cache size in tokens, for running requests and cached prompt prefixes
    token_bytes: int = 0  # cache bytes per token, as transferred between engines
    link_mbit_per_s: float = 0.0  # bandwidth of the link between two engines, 0 if not declared
    fetches: bool = False  # whether an engine fetches cached prefixes from another in its region

    def fetch_ms(self, tokens: int) -> float:
        """Return the time to transfer the cache of a number of tokens between two engines."""
        if not self.link_mbit_per_s:
            return 0.0
        return tokens * self.token_bytes * BITS_PER_BYTE / (self.link_mbit_per_s * KBITS_PER_MBIT)


@dataclass(frozen=True, slots=True)
class Service:
    """Describe the backend servers of one service."""

    name: ServiceName  # name given by the operators
    cold_start_ms: float  # how long a new backend server stays cold
    cold_requests_per_s: float  # most requests per second to a cold backend server, 0 for no limit
    engine: EngineSpec | None  # only for model engines


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit how much callers may send and how slowly."""

    max_head_bytes: int  # size of the request line and headers
    max_body_bytes: int  # size of the body
    head_timeout_ms: int  # longest time to receive the headers
    idle_timeout_ms: int  # longest time without receiving a byte


# Used until the first configuration arrives; the values come from the operators' examples.
DEFAULT_LIMITS = CallerLimits(16_384, 4_194_304, 3_000, 15_000)


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one complete version of the configuration."""

    version: ConfigurationVersion  # increases with each change
    routes: tuple[Route, ...]  # all routes
    services: dict[ServiceName, Service]  # by name
    limits: CallerLimits  # what callers may send
    by_host: dict[str, tuple[Route, ...]] = field(default_factory=dict)  # longest prefix first
    organisations: Organisations | None = None  # owners of the keys, None if no keys are required
    ranks: Ranks = field(default_factory=Ranks)  # order of urgency of the requests

    def rank_of(self, route: Route, organisation: Organisation | None) -> int:
        """Return the rank of a request, 0 for the most urgent."""
        return self.ranks.of(route.priority, organisation.priority if organisation else None)

    def find(self, host: str, path: str) -> Route | None:
        """Return the matching route with the longest path prefix."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.path_start):
                return route
        return None


def make_configuration(
    version: ConfigurationVersion,
    routes: tuple[Route, ...],
    services: dict[ServiceName, Service],
    limits: CallerLimits,
    organisations: Organisations | None = None,
) -> Configuration:
    """Create a configuration with its routes indexed by host, longest path prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda item: -len(item.path_start)):
        by_host.setdefault(route.host, []).append(route)
    routes_by_host = {host: tuple(found) for host, found in by_host.items()}
    ranks = make_ranks(
        (route.priority for route in routes),
        (one.priority for one in organisations.by_id.values()) if organisations else (),
    )
    return Configuration(version, routes, services, limits, routes_by_host, organisations, ranks)
