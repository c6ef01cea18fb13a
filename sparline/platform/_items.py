"""Decoding of items of the users' store."""

import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName, SoftwareVersion, ZoneName
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
# Maximum length of an invalid value quoted in an error message.
MAX_QUOTED_CHARS = 80
MAX_PORT = 65_535
# Maximum length of a software version, which instances tell each other in datagrams.
MAX_VERSION_CHARS = 128
# Ids of backend servers, which stand in headers and in datagrams; "@" separates them from a start.
LISTED_ID = re.compile(r"[!-?A-~]{1,128}")
# Largest number of an item, which a writer may use for one without a limit. Calculations with a
# larger one may overflow.
MAX_NUMBER = 2**63 - 1

Integer = Annotated[int, msgspec.Meta(le=MAX_NUMBER)]
Number = Annotated[float, msgspec.Meta(le=MAX_NUMBER)]
NonNegativeInteger = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
NonNegative = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_NUMBER)]


class _SplitNode(msgspec.Struct):
    service: str
    weight: Number


class _RouteNode(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: Number
    service: str | None = None
    split: list[_SplitNode] | None = None
    target_latency_ms: Number = 1000.0
    priority: Integer = 0
    max_attempts: Integer = (
        1  # maximum number of backend servers; retries by the caller do not count
    )
    allow_resume: bool = False
    gap_target_ms: Number = 0.0  # target for the longest gap between events of a stream
    home_regions: list[str] | None = None  # none or empty: all regions
    allow_anonymous: bool = False  # whether callers need no key


class _EngineNode(msgspec.Struct):
    slots: Integer
    kv_cache_tokens: Integer
    kv_token_bytes: Integer = 0
    link_mbps: Number = 0.0  # megabits per second
    moves: bool = False  # whether engines move cache memory; this system orders no moves


class _ServiceNode(msgspec.Struct):
    name: str
    cold_start_s: Number = 0.0
    cold_per_s: Number = 0.0  # requests per second that a cold server can handle
    engine: _EngineNode | None = None


class _LimitsNode(msgspec.Struct):
    max_header_bytes: Integer
    max_body_bytes: Integer
    header_timeout_ms: Integer
    idle_timeout_ms: Integer


class _TenantNode(msgspec.Struct):
    # Sent as a header value.
    name: Annotated[str, msgspec.Meta(pattern="^[!-~]([ -~]*[!-~])?$")]
    api_keys: list[Annotated[str, msgspec.Meta(min_length=1)]]
    priority: NonNegativeInteger | None = None
    unit: Literal["token_count", ""] = ""  # empty means requests
    uncached_tokens: NonNegative = 0.0  # charged for a request without token counts
    per_s: NonNegative = 0.0  # 0 means no limit
    burst: NonNegative = 0.0
    home_regions: list[str] | None = None  # none or empty: all regions


class _ConfigurationNode(msgspec.Struct):
    version: Integer
    routes: list[_RouteNode]
    services: list[_ServiceNode]
    limits: _LimitsNode
    tenants: list[_TenantNode] | None = None  # if missing, callers need no key


class _ServerNode(msgspec.Struct):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    state: Literal["ready", "draining"]
    # Version of its software. Not a fraction: 1.10 and 1.1 would be the same.
    version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARS)] | Integer | None = None
    slots: Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)] = 1
    cold_remaining_ms: NonNegative = 0.0  # time until it is warm
    born: NonNegativeInteger = 0  # start time in Unix ms, 0 if unknown


class ItemReader:
    """Decode items; an invalid one is returned as a `BadItem` that names the invalid part."""

    def __init__(self, zones: dict[ZoneName, RegionName]) -> None:
        """Set the region of each availability zone."""
        self._zones = zones

    def __call__(self, change: StoreChange) -> StoreItem:
        """Decode one item."""
        assert change.value is not None, "a deleted item has no value"
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
        if not LISTED_ID.fullmatch(listed_id):
            found = listed_id[:MAX_QUOTED_CHARS]
            return BadItem(f"key: expected an id that matches {LISTED_ID.pattern}, found {found!r}")
        zone = ZoneName(node.zone)
        region = self._zones.get(zone)
        if region is None:
            found = node.zone[:MAX_QUOTED_CHARS]
            return BadItem(f"zone: expected one of {sorted(self._zones)}, found {found!r}")
        address = _address(node.address)
        if address is None:
            found = node.address[:MAX_QUOTED_CHARS]
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
            software_version=_software_version(node.version),
            born_ms=node.born,
        )
        return BackendServerItem(server)


def _software_version(version: str | int | None) -> SoftwareVersion:
    return SoftwareVersion("" if version is None else str(version))


def _address(text: str) -> tuple[str, int] | None:
    """Parse IP:PORT; return None if the text has another form."""
    ip, _, port = text.rpartition(":")
    if not (port.isascii() and port.isdigit() and 0 < int(port) <= MAX_PORT):
        return None
    try:
        ipaddress.IPv4Address(ip)
    except ValueError:
        # Not an IPv4 address, for example a host name.
        return None
    return ip, int(port)


def _configuration(node: _ConfigurationNode) -> StoreItem:
    kinds = {
        "safe": RequestKind.SAFE,
        "unsafe": RequestKind.UNSAFE,
        "streaming": RequestKind.STREAM,
    }
    routes = []
    for index, route in enumerate(node.routes):
        if route.kind not in kinds:
            return BadItem(
                f"routes[{index}].kind: expected one of {sorted(kinds)}, found {route.kind!r}"
            )
        routes.append(_route(route, kinds[route.kind]))
    services = {ServiceName(service.name): _service(service) for service in node.services}
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
    """Decode organisations; a duplicate name or key makes the whole configuration invalid."""
    if nodes is None:
        return None
    path_by_value: dict[str | KeyDigest, str] = {}
    organisations = []
    for index, node in enumerate(nodes):
        organisation = _organisation(node)
        unique_values = [(organisation.id, f"tenants[{index}].name")]
        unique_values += [
            (digest_of_key(key.encode()), f"tenants[{index}].api_keys[{key_index}]")
            for key_index, key in enumerate(node.api_keys)
        ]
        for value, path in unique_values:
            if value in path_by_value:
                text = f"expected one of its own, found that of {path_by_value[value]}"
                return BadItem(f"{names.CONFIGURATION_KEY}: {path}: {text}")
            path_by_value[value] = path
        organisations.append(organisation)
    return make_organisations(organisations)


def _organisation(node: _TenantNode) -> Organisation:
    unit = QuotaUnit.TOKENS if node.unit else QuotaUnit.REQUESTS
    return Organisation(
        id=OrganisationId(node.name),
        keys=frozenset(digest_of_key(key.encode()) for key in node.api_keys),
        priority=node.priority,
        allowed_regions=frozenset(RegionName(region) for region in node.home_regions or ()),
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
        shares=tuple(ServiceShare(ServiceName(share.service), share.weight) for share in split),
        max_backends=node.max_attempts,
        resumable=node.allow_resume,
        allowed_regions=frozenset(RegionName(region) for region in node.home_regions or ()),
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
