"""Routes, requests and the fleet's state as instances of a simulated deployment hold them."""

import sparline._clock
from benchmarks.choice_simulation._draws import Arrival, KindDraw
from benchmarks.choice_simulation._world import World
from sparline._ids import RegionName, RequestId, ZoneName
from sparline.fleet import (
    FleetState,
    UnknownItem,
)
from sparline.requests import Origin, Prompt, PromptPrefix, RoutedRequest
from sparline.routes import (
    DEFAULT_LIMITS,
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

ENGINES = ServiceName("engines")


def make_route(kind: KindDraw) -> Route:
    """Return the route of a kind of request."""
    return Route(
        name=RouteName(kind.name),
        host="host.example",
        path_start=f"/{kind.name}/",
        kind=RequestKind.STREAM,
        timeout_ms=kind.deadline_ms,
        wanted_latency_ms=kind.wanted_ms,
        pause_target_ms=kind.pause_ms,
        priority=kind.rank,
        shares=(ServiceShare(ENGINES, 1.0),),
        max_backends=2,
        resumable=kind.resumable,
        allowed_regions=frozenset(),
    )


def make_request(arrival: Arrival, left_ms: float, origin: Origin) -> RoutedRequest:
    """Return a caller's request as an instance holds it."""
    kind = arrival.kind
    start = PromptPrefix(f"{kind.name}/{arrival.start}", kind.shared_tokens)
    return RoutedRequest(
        request_id=RequestId(f"r{id(arrival)}"),
        route=make_route(kind),
        service=ENGINES,
        method=b"POST",
        target=b"/",
        headers=[],
        body=b"",
        prompt=Prompt(arrival.tokens, arrival.output_tokens, (start,)),
        resume_after=None,
        deadline_at_ms=sparline._clock.now_ms() + left_ms,
        origin=origin,
    )


def make_fleet_state(world: World) -> FleetState:
    """Return the state of the store that all instances hold."""
    zones = {ZoneName(f"{one}-1"): RegionName(one) for one in world.draw.regions}
    fleet = FleetState(lambda _change: UnknownItem(), lambda: None, lambda: 1e9, zones)
    service = Service(
        ENGINES, 0.0, 0.0, EngineSpec(world.draw.engine.slots, world.draw.engine.memory_tokens)
    )
    routes = [make_route(kind) for kind in world.draw.kinds]
    fleet.configuration = make_configuration(
        ConfigurationVersion(1), routes, {ENGINES: service}, DEFAULT_LIMITS
    )
    fleet.by_service[ENGINES] = world.servers
    return fleet
