"""Files are accepted whole or refused with the path of the fault."""

import json

import pytest

from sparline.declarations import MAX_DOCUMENT_BYTES, accept_file

TOPOLOGY = {
    "kind": "topology",
    "regions": [
        {"name": "north", "availability_zones": ["zone-a"]},
        {"name": "south", "availability_zones": ["zone-b"]},
    ],
    "links": [{"between": ["north", "south"], "delay_ms": 5}],
    "residency_rules": [{"name": "anywhere", "regions": ["north", "south"]}],
}
MODEL = {
    "kind": "model",
    "name": "m",
    "versions": [{"version": "v1", "weights": "w"}],
    "current_version": "v1",
}
ORGANISATION = {
    "id": "o",
    "key_sha256": ["a" * 64],
    "residency_rule": "anywhere",
    "home_region": "north",
    "requests_per_s": 5,
}
ORGANISATIONS = {"kind": "organisations", "organisations": [ORGANISATION]}
SERVICE = {"kind": "service", "name": "s", "repeatable_methods": ["GET"]}
BACKENDS = {
    "kind": "backend_servers",
    "backend_servers": [{"id": "e", "orders": "fenced", "models": ["m"]}],
}


def changed(document: dict, **changes: object) -> str:
    return json.dumps(document | changes)


@pytest.mark.parametrize(
    "document", [TOPOLOGY, MODEL, ORGANISATIONS, SERVICE, BACKENDS], ids=lambda one: one["kind"]
)
def test_good_file_is_accepted(document: dict) -> None:
    assert accept_file(json.dumps(document)).is_ok()


BAD_FILES = [
    # name, text, path, part of what was expected, part of what was found
    ("not json", "{", "$", "JSON", "line 1"),
    ("not an object", "[1]", "$", "object", "list"),
    ("unknown kind", '{"kind": "topologie"}', "$.kind", "topology", "topologie"),
    ("no kind", "{}", "$.kind", "model", "None"),
    ("doubled key", '{"kind": "model", "name": "a", "name": "b"}', "$.name", "once", "twice"),
    ("doubled inner key", '{"kind": "x", "a": [{"b": 1, "b": 2}]}', "$.a[0].b", "once", "twice"),
    ("not a number", '{"kind": "topology", "x": NaN}', "$.x", "finite", "NaN"),
    ("infinity", '{"kind": "topology", "x": [-Infinity]}', "$.x[0]", "finite", "-Infinity"),
    ("number too large", '{"kind": "topology", "x": 1e999}', "$.x", "finite", "large"),
    ("over a megabyte", '"' + "x" * MAX_DOCUMENT_BYTES + '"', "$", "at most", "bytes"),
    ("unknown field", changed(MODEL, surprise=1), "$.surprise", "known", "surprise"),
    ("wrong unit", changed(MODEL, default_deadline_s=3), "$.default_deadline_s", "default_deadline_ms", "default_deadline_s"),
    ("missing field", json.dumps({"kind": "model", "name": "m"}), "$", "versions", "none"),
    ("text for number", changed(MODEL, ttft_target_ms="310"), "$.ttft_target_ms", "int", "str"),
    ("fraction for whole", changed(MODEL, ttft_target_ms=1.5), "$.ttft_target_ms", "int", "float"),
    ("number too small", changed(MODEL, ttft_target_ms=0), "$.ttft_target_ms", ">= 1", ""),
    ("unknown objective", changed(MODEL, objective="speed"), "$.objective", "", "speed"),
    ("current version not listed", changed(MODEL, current_version="v2"), "$.current_version", "v1", "v2"),
    ("version twice", changed(MODEL, versions=MODEL["versions"] * 2), "$.versions[1].version", "once", "v1"),
    ("link to unknown region", changed(TOPOLOGY, links=[{"between": ["north", "west"], "delay_ms": 1}]), "$.links[0].between", "south", "west"),
    ("link to itself", changed(TOPOLOGY, links=[{"between": ["north", "north"], "delay_ms": 1}]), "$.links[0].between", "two", "twice"),
    ("negative delay", changed(TOPOLOGY, links=[{"between": ["north", "south"], "delay_ms": -1}]), "$.links[0].delay_ms", ">= 0", ""),
    ("rule with unknown region", changed(TOPOLOGY, residency_rules=[{"name": "r", "regions": ["west"]}]), "$.residency_rules[0].regions", "north", "west"),
    ("empty rule", changed(TOPOLOGY, residency_rules=[{"name": "r", "regions": []}]), "$.residency_rules[0].regions", "1", ""),
    ("region twice", changed(TOPOLOGY, regions=TOPOLOGY["regions"][:1] * 2), "$.regions[1].name", "once", "north"),
    ("organisation twice", changed(ORGANISATIONS, organisations=[ORGANISATION] * 2), "$.organisations[1].id", "once", "o"),
    ("key of two", changed(ORGANISATIONS, organisations=[ORGANISATION, ORGANISATION | {"id": "p"}]), "$.organisations", "once", "a" * 64),
    ("key not hashed", changed(ORGANISATIONS, organisations=[ORGANISATION | {"key_sha256": ["secret"]}]), "$.organisations[0].key_sha256[0]", "", ""),
    ("limit of zero", changed(ORGANISATIONS, organisations=[ORGANISATION | {"requests_per_s": 0}]), "$.organisations[0].requests_per_s", "> 0", ""),
    ("method twice", changed(SERVICE, repeatable_methods=["GET", "GET"]), "$.repeatable_methods[1]", "once", "GET"),
    ("backend server twice", changed(BACKENDS, backend_servers=[{"id": "e"}, {"id": "e"}]), "$.backend_servers[1].id", "once", "e"),
    ("unknown order check", changed(BACKENDS, backend_servers=[{"id": "e", "orders": "maybe"}]), "$.backend_servers[0].orders", "", "maybe"),
]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "text", "path", "expected", "found"), BAD_FILES, ids=[row[0] for row in BAD_FILES]
)
def test_bad_file_is_refused_with_its_path(
    name: str, text: str, path: str, expected: str, found: str
) -> None:
    refusal = accept_file(text).unwrap_err()
    assert refusal.path.startswith(path), refusal
    assert expected in refusal.expected, refusal
    assert found in refusal.found, refusal
