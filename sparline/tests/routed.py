"""Routes, requests and servers for tests, with only what a row changes named."""

from typing import Any

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, RequestId, ZoneName
from sparline.fleet import BackendServer
from sparline.requests import Origin, Prompt, RoutedRequest
from sparline.routes import (
    DEFAULT_LIMITS,
    Configuration,
    ConfigurationVersion,
    EngineSpec,
    Organisations,
    RequestKind,
    Route,
    RouteName,
    Service,
    ServiceName,
    ServiceShare,
    make_configuration,
)

FAR_MS = 1e9

ENGINES = ServiceName("engines")
PLAIN = ServiceName("plain")


def make_route(**changes: Any) -> Route:
    """Return a route that streams from engines."""
    values: dict[str, Any] = {
        "name": RouteName("route"),
        "host": "host.example",
        "path_start": "/a/",
        "kind": RequestKind.STREAM,
        "timeout_ms": 4_000.0,
        "wanted_latency_ms": 800.0,
        "pause_target_ms": 400.0,
        "priority": 0,
        "shares": (ServiceShare(ENGINES, 1.0),),
        "max_backends": 2,
        "resumable": True,
        "allowed_regions": frozenset(),
    }
    return Route(**(values | changes))


def make_request(route: Route | None = None, **changes: Any) -> RoutedRequest:
    """Return a request on a route."""
    route = route or make_route()
    values: dict[str, Any] = {
        "request_id": RequestId("r1"),
        "route": route,
        "service": route.shares[0].service,
        "method": b"POST",
        "target": b"/a/1",
        "headers": [(b"host", b"host.example"), (b"attempt-id", b"r1")],
        "body": b"",
        "prompt": Prompt(400, 50, ()),
        "resume_after": None,
        # So far away that it does not matter when a test runs.
        "deadline_at_ms": now_ms() + FAR_MS,
        "origin": Origin.CALLER,
    }
    return RoutedRequest(**(values | changes))


def make_server(server_id: str, region: str = "north", **changes: Any) -> BackendServer:
    """Return a backend server in the one zone of a region."""
    values: dict[str, Any] = {
        "id": BackendServerId(server_id),
        "service": ENGINES,
        "address": ("127.0.0.1", 1),
        "zone": ZoneName(f"{region}-1"),
        "region": RegionName(region),
        "slots": 8,
        "leaving": False,
        "cold_until_ms": 0.0,
    }
    return BackendServer(**(values | changes))


def make_services(cold_per_s: float = 10.0) -> dict[ServiceName, Service]:
    """Return an engine service and a plain one."""
    return {
        ENGINES: Service(ENGINES, 3_000.0, cold_per_s, EngineSpec(64, 300_000)),
        PLAIN: Service(PLAIN, 0.0, 0.0, None),
    }


def make_rules(
    *routes: Route, version: int = 1, organisations: Organisations | None = None
) -> Configuration:
    """Return a configuration with routes and both services."""
    return make_configuration(
        ConfigurationVersion(version),
        routes or (make_route(),),
        make_services(),
        DEFAULT_LIMITS,
        organisations,
    )
