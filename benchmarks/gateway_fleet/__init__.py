"""Gateways as processes on loopback, their settings, and what callers and servers saw of streams."""

from benchmarks.gateway_fleet._fleet import (
    GRACE_S,
    SERVERS,
    FleetShape,
    GatewayFleet,
    GatewayProcess,
)
from benchmarks.gateway_fleet._settings import PORTS, REGIONS, RETRIES, gateway_settings
from benchmarks.gateway_fleet._stream_events import EventWriters, event_ids

__all__ = [
    "GRACE_S",
    "PORTS",
    "REGIONS",
    "RETRIES",
    "SERVERS",
    "EventWriters",
    "FleetShape",
    "GatewayFleet",
    "GatewayProcess",
    "event_ids",
    "gateway_settings",
]
