import json
from typing import Any

import pytest

from sparline._clock import now_ms
from sparline._ids import RegionName, ZoneName
from sparline.fleet import (
    BackendServerItem,
    BadItem,
    ConfigurationItem,
    EvacuationItem,
    StoreChange,
    UnknownItem,
)
from sparline.platform import ItemReader
from sparline.routes import EngineFigures, ServiceName
from standins import configuration

READ = ItemReader({ZoneName("north-1"): RegionName("north")})
ENTRY = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "north-1",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold_remaining_ms": 0,
    "sequence": 4,
    "field_of_later": [1],
}


def item(key: str, value: Any) -> Any:
    content = value if isinstance(value, bytes) else json.dumps(value).encode()
    return READ(StoreChange(key, 1, content))


KINDS = [
    ("op/config", configuration(3), ConfigurationItem),
    ("op/config", {"version": 3}, BadItem),
    ("op/config", b"\xff", BadItem),
    ("op/config", configuration(3, {"/a/": {"kind": "often"}}), BadItem),
    ("op/evacuate/north-1", {}, EvacuationItem),
    ("op/evacuate/north-1", b"", EvacuationItem),
    ("servers/i-1", ENTRY, BackendServerItem),
    ("servers/i-1", ENTRY | {"zone": "nowhere"}, BadItem),
    ("servers/i-1", ENTRY | {"address": "10.0.0.1"}, BadItem),
    ("servers/i-1", {}, BadItem),
    ("somebody/else", b"\xff", UnknownItem),
]


@pytest.mark.parametrize(("key", "value", "kind"), KINDS)
def test_each_item_is_read_or_told_as_bad(key, value, kind):
    read = item(key, value)
    assert isinstance(read, kind)
    if isinstance(read, BadItem):
        assert read.text


def test_a_route_with_a_split_and_homes():
    routes = {
        "/a/": {
            "service": None,
            "split": [{"service": "x", "weight": 9}, {"service": "y", "weight": 1}],
            "home_regions": ["north"],
        },
        "/a/b/": {},
    }
    for route in routes.values():
        route["kind"] = "safe"
    held = item("op/config", configuration(3, routes)).configuration
    route = held.find("host.example", "/a/c")
    assert [(share.service, share.weight) for share in route.shares] == [("x", 9), ("y", 1)]
    assert route.allows(RegionName("north")) and not route.allows(RegionName("south"))
    assert held.find("host.example", "/a/b/c").path_start == "/a/b/"
    assert held.find("host.example", "/b/") is None
    assert held.find("other.example", "/a/c") is None


SERVERS = [
    ({}, "leaving", False),
    ({"state": "draining"}, "leaving", True),
    ({"state": "draining", "time_left_ms": 2000}, "leaving", True),
    ({}, "address", ("10.0.0.1", 80)),
    ({}, "region", "north"),
]


@pytest.mark.parametrize(("changes", "name", "value"), SERVERS)
def test_a_servers_entry(changes, name, value):
    assert getattr(item("servers/i-1", ENTRY | changes).server, name) == value


def test_a_cold_server_is_cold_for_what_it_tells():
    server = item("servers/i-1", ENTRY | {"cold_remaining_ms": 60_000}).server
    assert 50_000 < server.cold_until_ms - now_ms() <= 60_000


def test_an_engines_figures_are_read():
    found = item("op/config", configuration(3))
    engine = found.configuration.services[ServiceName("engines")].engine
    assert engine == EngineFigures(8, 300_000, 163_840, 550_000.0, True)
    # 163,840 bytes a token over 550 Gbit/s: 2.4 microseconds a token.
    assert round(engine.fetch_ms(13_000), 1) == 31.0
