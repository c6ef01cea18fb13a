"""Tests of the validation of settings."""

import json

import pytest

from sparline.gateway import load_settings

VALID = {
    "name": "a",
    "ip": "10.0.0.1",
    "region": "north",
    "availability_zone": "north-1",
    "zone_regions": {"north-1": "north"},
    "listen": {
        "callers": "10.0.0.1:1",
        "readiness": "10.0.0.1:2",
        "directory": "10.0.0.1:3",
        "gossip": "10.0.0.1:4",
        "relay": "10.0.0.1:5",
        "metrics": "10.0.0.1:6",
    },
    "seeds": ["10.0.0.2:4"],
    "store": "10.0.0.9:7",
    "retries": {"ratio": 0.2, "slack": 58, "window_s": 10},
    "grace_s": 8,
    "first_start": True,
    "log_level": "INFO",
}


def changed(**changes: object) -> str:
    return json.dumps(VALID | changes)


INVALID = [
    ("no JSON", "{", "truncated"),
    ("a field missing", json.dumps({"name": "a"}), "missing required field"),
    ("an unknown field", changed(nmae="b"), "nmae"),
    ("no address", changed(store="store"), "$.store"),
    ("a seed that is none", changed(seeds=["x"]), "$.seeds[0]"),
    ("no grace", changed(grace_s=0), "$.grace_s"),
    ("an unknown level", changed(log_level="LOUD"), "$.log_level"),
    ("a zone of no region", changed(zone_regions={}), "$.zone_regions"),
    (
        "an address taken twice",
        changed(listen=VALID["listen"] | {"relay": "10.0.0.1:1"}),
        "$.listen.relay",
    ),
    ("a ratio below zero", changed(retries=VALID["retries"] | {"ratio": -1}), "$.retries.ratio"),
]


@pytest.mark.parametrize(
    ("text", "place"), [row[1:] for row in INVALID], ids=[row[0] for row in INVALID]
)
def test_invalid_settings_are_refused_with_their_field(tmp_path, text, place):
    path = tmp_path / "settings.json"
    path.write_text(text)
    refusal = load_settings(str(path)).unwrap_err()
    assert str(path) in refusal
    assert place in refusal
    assert "\n" not in refusal


def test_valid_settings_are_accepted(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(VALID))
    assert load_settings(str(path)).unwrap().grace_s == 8


def test_missing_settings_file_is_refused(tmp_path):
    assert "expected a readable file" in load_settings(str(tmp_path / "none")).unwrap_err()
