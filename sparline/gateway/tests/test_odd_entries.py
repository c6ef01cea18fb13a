"""Tests of odd entries that another writer leaves in the store, before a stand-in."""

import json
from typing import Any

import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import configuration, publish

ROUTES = {
    "/safe/": {"kind": "safe", "service": "plain", "max_attempts": 2},
    "/unsafe/": {"kind": "unsafe", "service": "plain"},
}
ASKED = 8  # requests that show whether servers are used, half of them over a hop
# Levels of nesting below and beyond what a JSON reader follows.
NESTINGS = (500, 900, 50_000, 1_000_000)
PORTS = {"0": "0", "-1": "-1", "99999": "99999", "of 5,000 digits": "1" * 5_000}
NUMBERS = {
    "1e999": "1e999",
    "10**25": str(10**25),
    "10**400": str(10**400),
    "of 4,000 digits": "9" * 4_000,
    "of 100,000 digits": "9" * 100_000,
    "NaN": "NaN",
}
NUMBER_FIELDS = ("slots", "born", "version", "cold_remaining_ms")


KEYS = {
    "empty": "",
    "beyond Latin": "日本",
    "beyond ASCII": "ä",
    "of two lines": "a\r\nAttempt-Id: other",
    "with spaces": " a b ",
    "with a separator": "a@b",
    "of 70,000 characters": "k" * 70_000,
}


def entry_of(address, **fields: str) -> bytes:
    """Return the entry of a server; `fields` are written as they are, and may be no JSON."""
    entry = {"service": "plain", "zone": "north-1", "state": "ready", "version": "v1", "slots": 8}
    entry |= {"address": address, "born": 1_764_700_000_000, "cold_remaining_ms": 0}
    known = {name: json.dumps(value) for name, value in entry.items()} | fields
    return ("{" + ", ".join(f'"{name}": {value}' for name, value in known.items()) + "}").encode()


def odd_values(ip: str, port: int) -> dict[str, bytes]:
    """Return odd entries by name; those that name a server's address have it."""
    address = f"{ip}:{port}"
    deep = {levels: "[" * levels + "]" * levels for levels in NESTINGS}
    return {
        **{f"nested {levels} deep": one.encode() for levels, one in deep.items()},
        **{f"a field {levels} deep": entry_of(address, x=one) for levels, one in deep.items()},
        **{f"port {name}": entry_of(f"{ip}:{one}") for name, one in PORTS.items()},
        **{
            f"{field} {name}": entry_of(address, **{field: number})
            for field in NUMBER_FIELDS
            for name, number in NUMBERS.items()
        },
        "no text": b"\xff\xfe",
        "empty": b"",
        "no object": b"7",
        "900,000 bytes": entry_of(address, x=json.dumps("x" * 900_000)),
        "a service of 70,000 characters": entry_of(address, service=json.dumps("s" * 70_000)),
        "a service beyond ASCII": entry_of(address, service='"日本"'),
    }


GROUPS = {
    "nestings": lambda name: name.startswith(("nested", "a field")),
    "ports": lambda name: name.startswith("port"),
    **{field: lambda name, field=field: name.startswith(field) for field in NUMBER_FIELDS},
    "others": lambda name: not name.startswith(("nested", "a field", "port", *NUMBER_FIELDS)),
}


@pytest.fixture
def fleet():
    """Yield two gateways, of which the first reaches the servers directly, the other by a hop."""
    with RoutedFleet(("north-1", "south-1")) as one:
        for name in ("s1", "s2"):
            # A server that states this limit has its free slots counted.
            one.add_server(name).brittle_per_s = 1_000
        publish(one.store, 1, ROUTES)
        one.until(one.is_ready, "all gateways are live and hold the store's state")
        yield one


def odd_values_of(fleet, group: str) -> dict[str, bytes]:
    server = fleet.servers["s1"]
    values = odd_values(server.ip, server.port)
    return {name: value for name, value in values.items() if GROUPS[group](name)}


def expect_served(fleet, prefix: str, may_refuse: bool = False) -> None:
    """Expect that all gateways hold the store's state, and that requests are served.

    Where an entry names a server that isn't at its address, requests may be refused instead.
    """
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    for number in range(ASKED):
        target = ("/safe/x", "/unsafe/x")[number // 2 % 2]
        got = fleet.ask(target, f"{prefix}{number}", f"g{number % 2}", body=b"abc")
        assert got.whole and got.status in ((200, 503) if may_refuse else (200,)), got
    expect_no_task_ended(fleet)


def expect_no_task_ended(fleet) -> None:
    failed = [one.exception for gateway in fleet.gateways.values() for one in gateway._tasks]
    assert not any(failed), failed


def expect_follows(fleet, prefix: str) -> None:
    """Expect that a server that is listed later serves alone once the others are gone."""
    name = f"{prefix}-later"
    fleet.add_server(name)
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    for key in [one for one in fleet.store._items if one.startswith("servers/")]:
        if key != f"servers/{name}":
            fleet.store.delete(key)
    expect_served(fleet, prefix)
    assert len(fleet.servers[name].runs) == ASKED


@pytest.mark.parametrize("group", GROUPS)
def test_odd_entries_end_nobody_who_reads_the_list(fleet, group):
    for number, value in enumerate(odd_values_of(fleet, group).values()):
        fleet.store.put_bytes(f"servers/odd{number}", value)
    expect_served(fleet, "a", may_refuse=True)
    expect_follows(fleet, "b")


@pytest.mark.parametrize("group", GROUPS)
def test_odd_change_of_a_server_s_own_entry_lasts_until_a_sound_one(fleet, group):
    for number, value in enumerate(odd_values_of(fleet, group).values()):
        fleet.store.put_bytes("servers/s1", value)
        expect_served(fleet, f"{number}-")
    fleet.list_server("s1", "plain", born=1_764_700_000_001)
    fleet.until(fleet.is_ready, "all gateways hold the store's state")
    fleet.store.delete("servers/s2")
    runs = len(fleet.servers["s1"].runs)
    expect_served(fleet, "again")
    assert len(fleet.servers["s1"].runs) == runs + ASKED


@pytest.mark.parametrize("key", KEYS.values(), ids=KEYS)
def test_entry_with_an_odd_key_is_not_served_and_ends_nobody(fleet, key):
    server = fleet.servers["s1"]
    fleet.store.put_bytes(f"servers/{key}", entry_of(f"{server.ip}:{server.port}"))
    expect_served(fleet, "a")
    assert all(one.fleet.servers.keys() == {"s1", "s2"} for one in fleet.gateways.values())
    expect_follows(fleet, "b")


LARGE_INTEGER = str(10**400)
LARGE_FLOAT = "1e308"
CONFIGURATION_FIELDS = {
    ("version",): LARGE_INTEGER,
    ("routes", 0, "timeout_ms"): LARGE_FLOAT,
    ("routes", 0, "target_latency_ms"): LARGE_FLOAT,
    ("routes", 0, "gap_target_ms"): LARGE_FLOAT,
    ("routes", 0, "priority"): LARGE_INTEGER,
    ("routes", 0, "max_attempts"): LARGE_INTEGER,
    ("services", 0, "engine", "slots"): LARGE_INTEGER,
    ("services", 0, "engine", "kv_cache_tokens"): LARGE_INTEGER,
    ("services", 1, "cold_start_s"): LARGE_FLOAT,
    ("services", 1, "cold_per_s"): LARGE_FLOAT,
    ("limits", "max_body_bytes"): LARGE_INTEGER,
    ("limits", "max_header_bytes"): LARGE_INTEGER,
    ("limits", "header_timeout_ms"): LARGE_INTEGER,
    ("limits", "idle_timeout_ms"): LARGE_INTEGER,
}


def odd_configuration(path: tuple, number: str) -> bytes:
    """Return a configuration in which one field has a number as it is written."""
    document: Any = configuration(2, ROUTES)
    parent = document
    for step in path[:-1]:
        parent = parent[step]
    parent[path[-1]] = "NUMBER"
    return json.dumps(document).replace('"NUMBER"', number).encode()


def odd_configurations() -> dict[str, bytes]:
    """Return odd configurations by name."""
    deep = {f"nested {levels} deep": b"[" * levels + b"]" * levels for levels in NESTINGS}
    numbers = {
        ".".join(map(str, path)): odd_configuration(path, number)
        for path, number in CONFIGURATION_FIELDS.items()
    }
    return deep | numbers


@pytest.mark.parametrize("name", odd_configurations())
def test_odd_configuration_leaves_the_one_before_in_force(fleet, name):
    fleet.store.put_bytes("op/config", odd_configurations()[name])
    fleet.add_server("s3")
    expect_served(fleet, "a")
    assert {one.fleet.configuration_version for one in fleet.gateways.values()} == {1}
    publish(fleet.store, 3, ROUTES)
    expect_served(fleet, "b")
    assert {one.fleet.configuration_version for one in fleet.gateways.values()} == {3}
