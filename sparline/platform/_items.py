"""Items of the users' store, read into our types."""

import ipaddress
from typing import Annotated, Literal

import msgspec

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName, ZoneName
from sparline.fleet import (
    BackendServer,
    BackendServerItem,
    BadItem,
    ConfigurationItem,
    EvacuationItem,
    StoreChange,
    StoreItem,
    UnknownItem,
)
from sparline.platform import _names as names
from sparline.platform._incarnations import incarnation_id
from sparline.routes import (
    CallerLimits,
    ConfigurationVersion,
    EngineSpec,
    KeyDigest,
    Organisation,
    Organisations,
    Quota,
    QuotaUnit,
    RequestKind,
    Route,
    RouteName,
    Service,
    ServiceName,
    ServiceShare,
    digest_of_key,
    make_configuration,
    make_organisations,
)

MS_PER_S = 1000.0
# What is found in an entry is told with this many characters at the most.
MOST_TOLD_CHARS = 80
MOST_PORT = 65_535


class _SplitNode(msgspec.Struct):
    service: str
    weight: float


class _RouteNode(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    service: str | None = None
    split: list[_SplitNode] | None = None
    target_latency_ms: float = 1000.0
    priority: int = 0
    max_attempts: int = 1  # backend servers that may run it, not tries of the caller
    allow_resume: bool = False
    gap_target_ms: float = 0.0  # longest wanted pause between events
    home_regions: list[str] | None = None  # empty means any region
    allow_anonymous: bool = False  # whether callers need no key


class _EngineNode(msgspec.Struct):
    slots: int
    kv_cache_tokens: int
    kv_token_bytes: int = 0
    link_mbps: float = 0.0  # megabits a second
    moves: bool = False  # whether memory moves between engines; orders are none of ours


class _ServiceNode(msgspec.Struct):
    name: str
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0  # requests a second that a cold server bears
    engine: _EngineNode | None = None


class _LimitsNode(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: int
    idle_timeout_ms: int


NotNegative = Annotated[float, msgspec.Meta(ge=0.0)]


class _TenantNode(msgspec.Struct):
    # It is sent as a header.
    name: Annotated[str, msgspec.Meta(pattern="^[!-~]([ -~]*[!-~])?$")]
    api_keys: list[Annotated[str, msgspec.Meta(min_length=1)]]
    priority: Annotated[int, msgspec.Meta(ge=0)] | None = None
    unit: Literal["token_count", ""] = ""  # requests where it is empty
    uncached_tokens: NotNegative = 0.0  # counted for a request that names no tokens
    per_s: NotNegative = 0.0  # 0 means no limit
    burst: NotNegative = 0.0
    home_regions: list[str] | None = None  # empty means any region


class _ConfigurationNode(msgspec.Struct):
    version: int
    routes: list[_RouteNode]
    services: list[_ServiceNode]
    limits: _LimitsNode
    tenants: list[_TenantNode] | None = None  # none at all means that no key is asked for


class _ServerNode(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=1)] = 1
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0.0)] = 0.0  # until it has warmed up
    born: Annotated[int, msgspec.Meta(ge=0)] = 0  # Unix ms of its start, 0 where it does not tell


class ItemReader:
    """Read items; what can't be read is told with its place."""

    def __init__(self, zones: dict[ZoneName, RegionName]) -> None:
        """Name the zones and their regions."""
        self._zones = zones

    def __call__(self, change: StoreChange) -> StoreItem:
        """Read one item."""
        assert change.value is not None, "deleted items have nothing to read"
        try:
            return self._read(change.key, change.value)
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            return BadItem(f"{change.key}: {error}")

    def _read(self, key: str, value: bytes) -> StoreItem:
        if key == names.CONFIGURATION_KEY:
            return _configuration(msgspec.json.decode(value, type=_ConfigurationNode))
        if key.startswith(names.EVACUATION_PREFIX):
            return EvacuationItem(ZoneName(key.removeprefix(names.EVACUATION_PREFIX)))
        if key.startswith(names.SERVER_PREFIX):
            listed_id = key.removeprefix(names.SERVER_PREFIX)
            return self._server(listed_id, msgspec.json.decode(value, type=_ServerNode))
        return UnknownItem()

    def _server(self, listed_id: str, node: _ServerNode) -> StoreItem:
        zone = ZoneName(node.zone)
        region = self._zones.get(zone)
        if region is None:
            found = node.zone[:MOST_TOLD_CHARS]
            return BadItem(f"zone: expected one of {sorted(self._zones)}, found {found!r}")
        address = _address(node.address)
        if address is None:
            found = node.address[:MOST_TOLD_CHARS]
            return BadItem(f"address: expected IP:PORT, found {found!r}")
        server = BackendServer(
            id=incarnation_id(listed_id, node.born),
            service=ServiceName(node.service),
            address=address,
            zone=zone,
            region=region,
            slots=node.slots,
            leaving=node.state != "ready",
            cold_until_ms=now_ms() + node.cold_remaining_ms,
            born_ms=node.born,
        )
        return BackendServerItem(server)


def _address(text: str) -> tuple[str, int] | None:
    """Return the parts of IP:PORT, None for anything else."""
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MOST_PORT):
        return None
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        # No number of an address: `None` says so.
        return None
    return ip, int(port)


def _configuration(node: _ConfigurationNode) -> StoreItem:
    kinds = {
        "safe": RequestKind.SAFE,
        "unsafe": RequestKind.UNSAFE,
        "streaming": RequestKind.STREAM,
    }
    routes = []
    for place, route in enumerate(node.routes):
        if route.kind not in kinds:
            return BadItem(
                f"routes[{place}].kind: expected one of {sorted(kinds)}, found {route.kind!r}"
            )
        routes.append(_route(route, kinds[route.kind]))
    services = {ServiceName(one.name): _service(one) for one in node.services}
    limits = CallerLimits(
        node.limits.max_header_bytes,
        node.limits.max_body_bytes,
        node.limits.header_timeout_ms,
        node.limits.idle_timeout_ms,
    )
    organisations = _organisations(node.tenants)
    if isinstance(organisations, BadItem):
        return organisations
    version = ConfigurationVersion(node.version)
    return ConfigurationItem(
        make_configuration(version, tuple(routes), services, limits, organisations)
    )


def _organisations(nodes: list[_TenantNode] | None) -> Organisations | BadItem | None:
    """Read organisations; a name or a key that stands twice makes the whole version unfit."""
    if nodes is None:
        return None
    places: dict[str | KeyDigest, str] = {}
    found = []
    for place, node in enumerate(nodes):
        one = _organisation(node)
        told = [(one.id, f"tenants[{place}].name")]
        told += [
            (digest_of_key(key.encode()), f"tenants[{place}].api_keys[{number}]")
            for number, key in enumerate(node.api_keys)
        ]
        for value, where in told:
            if value in places:
                text = f"expected one of its own, found that of {places[value]}"
                return BadItem(f"{names.CONFIGURATION_KEY}: {where}: {text}")
            places[value] = where
        found.append(one)
    return make_organisations(found)


def _organisation(node: _TenantNode) -> Organisation:
    unit = QuotaUnit.TOKENS if node.unit else QuotaUnit.REQUESTS
    return Organisation(
        id=OrganisationId(node.name),
        keys=frozenset(digest_of_key(key.encode()) for key in node.api_keys),
        priority=node.priority,
        allowed_regions=frozenset(RegionName(one) for one in node.home_regions or ()),
        quota=Quota(unit, node.per_s, node.burst, node.uncached_tokens) if node.per_s else None,
    )


def _route(node: _RouteNode, kind: RequestKind) -> Route:
    split = node.split or [_SplitNode(node.service or "", 1.0)]
    return Route(
        name=RouteName(node.name),
        host=node.host.lower(),
        path_start=node.path_prefix,
        kind=kind,
        timeout_ms=node.timeout_ms,
        wanted_latency_ms=node.target_latency_ms,
        pause_target_ms=node.gap_target_ms,
        priority=node.priority,
        shares=tuple(ServiceShare(ServiceName(one.service), one.weight) for one in split),
        max_backends=node.max_attempts,
        resumable=node.allow_resume,
        allowed_regions=frozenset(RegionName(one) for one in node.home_regions or ()),
        allows_anonymous=node.allow_anonymous,
    )


def _service(node: _ServiceNode) -> Service:
    return Service(
        name=ServiceName(node.name),
        cold_start_ms=node.cold_start_s * MS_PER_S,
        cold_requests_per_s=node.cold_per_s,
        engine=_engine(node.engine) if node.engine else None,
    )


def _engine(node: _EngineNode) -> EngineSpec:
    return EngineSpec(
        slots=node.slots,
        cache_tokens=node.kv_cache_tokens,
        token_bytes=node.kv_token_bytes,
        link_mbit_per_s=node.link_mbps,
        fetches=node.moves,
    )
