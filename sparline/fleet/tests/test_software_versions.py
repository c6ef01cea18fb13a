"""Tests of the software versions that a service's servers have or had lately."""

from collections.abc import Callable

import pytest

from sparline.fleet import BackendServerItem, FleetState, StoreChange, _software_versions
from sparline.tests.routed import ENGINES, make_server

ZONES = {"north-1": "north"}


def take(state: FleetState, server_id: str, version: str | None) -> None:
    """List a server with a version, or remove it."""
    value = None if version is None else version.encode()
    state.take(StoreChange(server_id, 1, value))


@pytest.fixture
def state():
    def read(change: StoreChange) -> BackendServerItem:
        return BackendServerItem(make_server(change.key, software_version=change.value.decode()))

    one = FleetState(read, lambda: None, lambda: 1e9, ZONES)
    take(one, "s1", "v1")
    return one


CHANGES: list[tuple[str, Callable[[FleetState], None], set[str]]] = [
    ("one version", lambda state: take(state, "s2", "v1"), {"v1"}),
    ("two versions", lambda state: take(state, "s2", "v2"), {"v1", "v2"}),
    ("a server of another version has left", lambda state: (take(state, "s2", "v2"), take(state, "s2", None)), {"v1", "v2"}),
    ("an entry changes its version", lambda state: take(state, "s1", "v2"), {"v1", "v2"}),
    ("an entry without a version", lambda state: take(state, "s2", ""), {"v1", ""}),
]  # fmt: skip


@pytest.mark.parametrize("row", CHANGES, ids=[row[0] for row in CHANGES])
def test_versions_of_current_and_recent_servers_are_known(state, row):
    _, change, versions = row
    change(state)
    assert state.software_versions.known(ENGINES) == versions
    assert state.software_versions.only(ENGINES) == ("v1" if len(versions) == 1 else None)


def test_version_is_forgotten_long_after_its_last_server_has_left(state, monkeypatch):
    take(state, "s2", "v2")
    take(state, "s2", None)
    monkeypatch.setattr(_software_versions, "VERSION_RETENTION_MS", 0.0)
    assert state.software_versions.known(ENGINES) == {"v1"}


def test_no_version_is_known_without_servers(state):
    assert state.software_versions.only("other") is None
