"""Items of the users' store, read into our types."""

import msgspec

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, ZoneName
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
from sparline.routes import (
    CallerLimits,
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

MS_PER_S = 1000.0


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


class _ConfigurationNode(msgspec.Struct):
    version: int
    routes: list[_RouteNode]
    services: list[_ServiceNode]
    limits: _LimitsNode


class _ServerNode(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 1
    cold_remaining_ms: float = 0.0  # time until the server has warmed up


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
        except (msgspec.DecodeError, ValueError) as error:
            return BadItem(f"{change.key}: {error}")

    def _read(self, key: str, value: bytes) -> StoreItem:
        if key == names.CONFIGURATION_KEY:
            return _configuration(msgspec.json.decode(value, type=_ConfigurationNode))
        if key.startswith(names.EVACUATION_PREFIX):
            return EvacuationItem(ZoneName(key.removeprefix(names.EVACUATION_PREFIX)))
        if key.startswith(names.SERVER_PREFIX):
            server_id = BackendServerId(key.removeprefix(names.SERVER_PREFIX))
            return self._server(server_id, msgspec.json.decode(value, type=_ServerNode))
        return UnknownItem()

    def _server(self, server_id: BackendServerId, node: _ServerNode) -> StoreItem:
        zone = ZoneName(node.zone)
        region = self._zones.get(zone)
        if region is None:
            return BadItem(f"zone: expected one of {sorted(self._zones)}, found {node.zone!r}")
        ip, _, port = node.address.rpartition(":")
        if not port.isdigit():
            return BadItem(f"address: expected IP:PORT, found {node.address!r}")
        server = BackendServer(
            id=server_id,
            service=ServiceName(node.service),
            address=(ip, int(port)),
            zone=zone,
            region=region,
            slots=node.slots,
            leaving=node.state != "ready",
            cold_until_ms=now_ms() + node.cold_remaining_ms,
        )
        return BackendServerItem(server)


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
    version = ConfigurationVersion(node.version)
    return ConfigurationItem(make_configuration(version, tuple(routes), services, limits))


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
        homes=frozenset(RegionName(one) for one in node.home_regions or ()),
    )


def _service(node: _ServiceNode) -> Service:
    return Service(
        name=ServiceName(node.name),
        cold_start_ms=node.cold_start_s * MS_PER_S,
        cold_requests_per_s=node.cold_per_s,
        engine=_engine(node.engine) if node.engine else None,
    )


def _engine(node: _EngineNode) -> EngineFigures:
    return EngineFigures(
        slots=node.slots,
        cache_tokens=node.kv_cache_tokens,
        token_bytes=node.kv_token_bytes,
        link_mbit_per_s=node.link_mbps,
        fetches=node.moves,
    )
