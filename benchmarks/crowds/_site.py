"""Instances of lowered limits before three servers: a slow one, one of long answers, and another."""

from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import gevent

from benchmarks.gateway_fleet import FleetShape, GatewayFleet
from sparline._clock import now_ms
from standins import SealedFaults, publish, unsafe_route

# Memory and descriptors that the settings allow a process.
MEMORY_MB = 120
DESCRIPTORS = 300
# Largest body that the configuration allows, and the length of long answers.
MAX_BODY_BYTES = 4_000_000
LONG_ANSWER_BYTES = 8_000_000
LIMITS = {
    "max_body_bytes": MAX_BODY_BYTES,
    # Long enough for a crowd to be in place before the first of it is given up.
    "header_timeout_ms": 20_000,
    "idle_timeout_ms": 30_000,
}
CROWD_TARGET, LONG_TARGET, ORDINARY_TARGET = "/crowd/x", "/long/x", "/ordinary/x"
SLOW_SERVER, LONG_SERVER, ORDINARY_SERVER = "slow", "long", "ordinary"
SERVICES = {SLOW_SERVER: "plain", LONG_SERVER: "long", ORDINARY_SERVER: "ordinary"}
# Far longer than a crowd takes to be in place.
TIMEOUT_MS = 60_000
ROUTES: dict[str, dict[str, Any]] = {
    target.removesuffix("x"): unsafe_route(SERVICES[server], TIMEOUT_MS)
    for target, server in (
        (CROWD_TARGET, SLOW_SERVER),
        (LONG_TARGET, LONG_SERVER),
        (ORDINARY_TARGET, ORDINARY_SERVER),
    )
}
# Places that each server states: more than a crowd asks for.
SLOTS = 500
NORTH, SOUTH = "north-1", "south-1"
VERSION = 2
POLL_S = 0.05
MAX_WAIT_MS = 60_000.0


@contextmanager
def crowd_site(is_over_hop: bool, folder: Path) -> Iterator[GatewayFleet]:
    """Start one instance, or for a hop two whose servers are all with the second."""
    zones = (NORTH, SOUTH) if is_over_hop else (NORTH,)
    shape = FleetShape(
        gateway_zones=zones,
        servers={name: (zones[-1], service, 0) for name, service in SERVICES.items()},
        has_server_proxies=False,
        settings={"memory_mb": MEMORY_MB, "file_descriptors": DESCRIPTORS},
    )
    with GatewayFleet(shape, folder) as fleet:
        fleet.servers[LONG_SERVER].faults = SealedFaults(body_bytes=LONG_ANSWER_BYTES)
        for name in SERVICES:
            fleet.list_server(name, slots=SLOTS, sequence=2)
        publish(
            fleet.store,
            VERSION,
            ROUTES,
            more_services=(SERVICES[LONG_SERVER], SERVICES[ORDINARY_SERVER]),
            limits=LIMITS,
        )
        _until_in_force(fleet)
        yield fleet


def _until_in_force(fleet: GatewayFleet) -> None:
    began_ms = now_ms()
    while any(fleet.version_at(name) != VERSION for name in fleet.gateways):
        assert now_ms() - began_ms < MAX_WAIT_MS, f"expected version {VERSION} at all instances"
        gevent.sleep(POLL_S)


def runs_of(fleet: GatewayFleet) -> set[str]:
    """Return the ids of the requests that ran at any server."""
    return {run.request_id for server in fleet.servers.values() for run in server.runs}
