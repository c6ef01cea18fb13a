"""Tests of the software versions that a service's servers have or had lately."""

import pytest

from sparline.fleet import BackendServerItem, FleetState, StoreChange, _software_versions
from sparline.tests.routed import ENGINES, make_server


def state_after(*changes: tuple[str, str | None]) -> FleetState:
    """Return the state after servers were listed with versions, or removed."""

    def read(change: StoreChange) -> BackendServerItem:
        return BackendServerItem(make_server(change.key, software_version=change.value.decode()))

    state = FleetState(read, lambda: None, lambda: 1e9, {"north-1": "north"})
    for server_id, version in changes:
        value = None if version is None else version.encode()
        state.take(StoreChange(server_id, 1, value))
    return state


LISTED = [
    ("none", [], set()),
    ("one version", [("s1", "v1"), ("s2", "v1")], {"v1"}),
    ("two versions", [("s1", "v1"), ("s2", "v2")], {"v1", "v2"}),
    ("one has left", [("s1", "v1"), ("s2", "v2"), ("s2", None)], {"v1", "v2"}),
    ("an entry changes its version", [("s1", "v1"), ("s1", "v2")], {"v1", "v2"}),
    ("an entry without a version", [("s1", "v1"), ("s2", "")], {"v1", ""}),
]


@pytest.mark.parametrize("row", LISTED, ids=[row[0] for row in LISTED])
def test_versions_of_current_and_recent_servers_are_known(row):
    _, changes, versions = row
    found = state_after(*changes).software_versions
    assert found.known(ENGINES) == versions
    assert found.only(ENGINES) == ("v1" if versions == {"v1"} else None)


def test_version_is_forgotten_long_after_its_last_server_has_left(monkeypatch):
    state = state_after(("s1", "v1"), ("s2", "v2"), ("s2", None))
    monkeypatch.setattr(_software_versions, "VERSION_RETENTION_MS", 0.0)
    assert state.software_versions.known(ENGINES) == {"v1"}
