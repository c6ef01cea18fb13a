import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

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
from sparline.platform._incarnations import listed_id
from sparline.routes import EngineSpec, Quota, QuotaUnit, ServiceName, digest_of_key
from standins import configuration

READER = ItemReader({ZoneName("north-1"): RegionName("north")})
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


def decode(key: str, value: Any) -> Any:
    content = value if isinstance(value, bytes) else json.dumps(value).encode()
    return READER(StoreChange(key, 1, content))


TENANT = {
    "name": "huka",
    "api_keys": ["k1", "k2"],
    "priority": 1,
    "unit": "token_count",
    "uncached_tokens": 200,
    "per_s": 5000,
    "burst": 7000,
    "home_regions": ["north"],
}


def with_tenants(*tenants: Any) -> dict[str, Any]:
    return configuration(3) | {"tenants": list(tenants)}


ITEMS = [
    ("op/config", with_tenants(), ConfigurationItem),
    ("op/config", with_tenants(TENANT), ConfigurationItem),
    ("op/config", with_tenants({"name": "bare", "api_keys": []}), ConfigurationItem),
    ("op/config", with_tenants(TENANT, TENANT | {"api_keys": ["k3"]}), BadItem),
    ("op/config", with_tenants(TENANT, TENANT | {"name": "other"}), BadItem),
    ("op/config", with_tenants(TENANT | {"api_keys": ["k1", "k1"]}), BadItem),
    ("op/config", with_tenants(TENANT | {"api_keys": [""]}), BadItem),
    ("op/config", with_tenants(TENANT | {"api_keys": "k1"}), BadItem),
    ("op/config", with_tenants(TENANT | {"name": ""}), BadItem),
    ("op/config", with_tenants(TENANT | {"name": "a\r\nb: c"}), BadItem),
    ("op/config", with_tenants(TENANT | {"per_s": -1}), BadItem),
    ("op/config", with_tenants(TENANT | {"burst": -1}), BadItem),
    ("op/config", with_tenants(TENANT | {"uncached_tokens": -1}), BadItem),
    ("op/config", with_tenants(TENANT | {"unit": "bytes"}), BadItem),
    ("op/config", with_tenants(TENANT | {"priority": -1}), BadItem),
    ("op/config", with_tenants({"api_keys": ["k1"]}), BadItem),
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
    ("servers/i-1", ENTRY | {"state": "parked"}, BadItem),
    ("servers/i-1", ENTRY | {"service": ""}, BadItem),
    ("servers/i-1", ENTRY | {"service": 7}, BadItem),
    ("servers/i-1", ENTRY | {"slots": 0}, BadItem),
    ("servers/i-1", ENTRY | {"slots": "6"}, BadItem),
    ("servers/i-1", ENTRY | {"cold_remaining_ms": -1}, BadItem),
    ("servers/i-1", ENTRY | {"address": "front:80"}, BadItem),
    ("servers/i-1", ENTRY | {"address": "10.0.0.1:99999"}, BadItem),
    ("servers/i-1", ENTRY | {"born": 1_764_700_000_000}, BackendServerItem),
    ("servers/i-1", ENTRY | {"version": 1.5}, BadItem),
    ("servers/i-1", ENTRY | {"version": "v" * 129}, BadItem),
    ("servers/i-1", ENTRY | {"born": 1.5}, BadItem),
    ("servers/i-1", ENTRY | {"born": "1764700000000"}, BadItem),
    ("servers/i-1", ENTRY | {"born": True}, BadItem),
    ("servers/i-1", ENTRY | {"born": None}, BadItem),
    ("servers/i-1", b"[" * 100_000, BadItem),
    ("somebody/else", b"\xff", UnknownItem),
]


@pytest.mark.parametrize(("key", "value", "kind"), ITEMS)
def test_each_item_is_decoded_or_reported_as_bad(key, value, kind):
    item = decode(key, value)
    assert isinstance(item, kind)
    if isinstance(item, BadItem):
        assert item.text


def test_a_duplicate_key_is_reported_by_its_position_and_not_quoted():
    item = decode("op/config", with_tenants(TENANT, TENANT | {"name": "other"}))
    assert item.text == (
        "op/config: tenants[1].api_keys[0]: expected one of its own, "
        "found that of tenants[0].api_keys[0]"
    )


def test_organisations_are_decoded_with_their_defaults():
    item = decode(
        "op/config", with_tenants(TENANT, {"name": "bare", "api_keys": ["k3"], "per_s": 0})
    )
    decoded = item.configuration.organisations
    organisation = decoded.by_id["huka"]
    assert (organisation.priority, organisation.allowed_regions) == (1, {"north"})
    assert organisation.quota == Quota(QuotaUnit.TOKENS, 5000.0, 7000.0, 200.0)
    assert decoded.by_key[digest_of_key(b"k2")] is organisation
    bare = decoded.by_id["bare"]
    assert (bare.priority, bare.allowed_regions, bare.quota) == (None, set(), None)


def test_only_a_configuration_without_tenants_requires_no_keys():
    assert decode("op/config", configuration(3)).configuration.organisations is None
    assert decode("op/config", with_tenants()).configuration.organisations is not None


def test_a_route_is_decoded_with_its_split_and_home_regions():
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
    decoded = decode("op/config", configuration(3, routes)).configuration
    route = decoded.find("host.example", "/a/c")
    assert [(share.service, share.weight) for share in route.shares] == [("x", 9), ("y", 1)]
    assert route.allows(RegionName("north")) and not route.allows(RegionName("south"))
    assert decoded.find("host.example", "/a/b/c").path_start == "/a/b/"
    assert decoded.find("host.example", "/b/") is None
    assert decoded.find("other.example", "/a/c") is None


SERVER_FIELDS = [
    ({}, "leaving", False),
    ({"state": "draining"}, "leaving", True),
    ({"state": "draining", "time_left_ms": 2000}, "leaving", True),
    ({}, "address", ("10.0.0.1", 80)),
    ({}, "region", "north"),
    ({}, "software_version", "v1"),
    ({"version": 7}, "software_version", "7"),
    ({"version": None}, "software_version", ""),
]


@pytest.mark.parametrize(("changes", "name", "value"), SERVER_FIELDS)
def test_a_backend_server_entry_is_decoded(changes, name, value):
    assert getattr(decode("servers/i-1", ENTRY | changes).server, name) == value


def test_a_server_is_cold_for_the_time_that_its_entry_states():
    server = decode("servers/i-1", ENTRY | {"cold_remaining_ms": 60_000}).server
    assert 50_000 < server.cold_until_ms - now_ms() <= 60_000


def test_the_parameters_of_an_engine_are_decoded():
    decoded = decode("op/config", configuration(3))
    engine = decoded.configuration.services[ServiceName("engines")].engine
    assert engine == EngineSpec(8, 300_000, 163_840, 550_000.0, True)
    # 163,840 bytes per token at 550 Gbit/s: 2.4 microseconds per token.
    assert round(engine.fetch_ms(13_000), 1) == 31.0


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=200),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=6,
)
MAX_MESSAGE_CHARS = 1_000


def is_usable_server(item: Any) -> bool:
    server = item.server
    has_integers = isinstance(server.born_ms, int) and isinstance(server.slots, int)
    return (
        has_integers
        and server.slots >= 1
        and server.region == "north"
        and 0 < server.address[1] < 65_536
    )


@settings(max_examples=300, deadline=None)
@given(st.sampled_from(sorted(ENTRY) + ["born"]), JSON)
def test_an_entry_with_an_arbitrary_field_value_gives_a_usable_server_or_a_bad_item(name, value):
    item = decode("servers/i-1", ENTRY | {name: value})
    if isinstance(item, BadItem):
        assert len(item.text) < MAX_MESSAGE_CHARS
    else:
        assert is_usable_server(item)


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=400) | JSON.map(lambda value: json.dumps(value).encode()))
def test_arbitrary_content_gives_a_bad_item_with_a_short_message(value):
    item = decode("servers/i-1", value)
    assert isinstance(item, BadItem) and len(item.text) < MAX_MESSAGE_CHARS


def test_each_incarnation_under_one_key_has_a_unique_id():
    incarnations = [decode("servers/i-1", ENTRY | {"born": born}).server for born in (5_000, 5_001)]
    assert [incarnation.born_ms for incarnation in incarnations] == [5_000, 5_001]
    assert incarnations[0].id != incarnations[1].id
    assert {listed_id(incarnation.id) for incarnation in incarnations} == {"i-1"}
