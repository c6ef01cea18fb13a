"""Gateways follow a store that comes back from an older copy and gives out its revisions again."""

import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import publish

REQUESTS = 20


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "north-1", "south-1")) as routed_fleet:
        routed_fleet.add_server("e0", "engines", "north-1", events=2)
        routed_fleet.add_server("p0")
        routed_fleet.add_server("p1")
        yield routed_fleet.ready()


def restore_after(fleet: RoutedFleet, lost_version: int) -> None:
    """Write a version several times and restore the store to the state before it."""
    before = fleet.store.revision
    for _ in range(4):
        publish(fleet.store, lost_version)
    wait_for_version(fleet, lost_version)
    fleet.store.restore(before)
    # The operator writes again what was lost.
    publish(fleet.store, lost_version)
    wait_for_answers(fleet)


def test_started_gateway_takes_the_version_that_its_siblings_hold(fleet):
    # The store has come back from a copy without version 2, and nobody has written that again.
    before = fleet.store.revision
    publish(fleet.store, 2)
    wait_for_version(fleet, 2)
    fleet.store.restore(before)
    wait_for_answers(fleet)
    started = fleet.add_gateway("g3", "127.0.1.4", "north-1")
    fleet.until(started.is_ready, "the gateway is live")
    wait_for_version(fleet, 2)


def wait_for_version(fleet: RoutedFleet, version: int) -> None:
    fleet.until(
        lambda: all(one.fleet.configuration.version == version for one in fleet.gateways.values()),
        f"version {version} is in force at all gateways",
    )


def wait_for_answers(fleet: RoutedFleet) -> None:
    """Wait until the restored store has answered all gateways."""
    era = fleet.store.era
    fleet.until(
        lambda: all(one.reader.era == era for one in fleet.gateways.values()),
        "all gateways have heard of the restoration",
    )


def test_configuration_written_at_a_reissued_revision_comes_into_force(fleet):
    # The new version has a revision that is lower than the one that the gateways hold.
    restore_after(fleet, 2)
    publish(fleet.store, 3)
    wait_for_version(fleet, 3)


def test_server_that_leaves_at_a_reissued_revision_gets_no_further_request(fleet):
    # The leaving state has a revision that is lower than the one that the gateways hold.
    restore_after(fleet, 2)
    fleet.list_server("p0", "plain", state="draining", sequence=2)
    fleet.until(
        lambda: all(one.fleet.servers["p0"].leaving for one in fleet.gateways.values()),
        "all gateways know that the server leaves",
    )
    runs = len(fleet.servers["p0"].runs)
    for number in range(REQUESTS):
        assert fleet.ask("/safe/x", f"after-{number}").status == 200
    assert len(fleet.servers["p0"].runs) == runs
