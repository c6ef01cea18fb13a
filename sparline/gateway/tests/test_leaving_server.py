"""A gateway sends no new requests to a backend server whose answers report that it is leaving."""

import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import StoreMode

# A prompt of a single part has no reusable prefix, so no engine is preferred.
PROMPT = {"Model": "m", "Token-Counts": "400,50", "Prompt-Prefix": "cc:400"}
REQUESTS = 60


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "south-1")) as routed_fleet:
        routed_fleet.add_server("e0", "engines", "north-1", events=2)
        routed_fleet.add_server("e1", "engines", "north-1", events=2)
        routed_fleet.add_server("p0")
        routed_fleet.add_server("p1")
        yield routed_fleet.ready()


def send_until_run_by(fleet: RoutedFleet, name: str, target: str) -> None:
    for number in range(REQUESTS):
        fleet.ask(target, f"before-{number}", **PROMPT)
        if fleet.servers[name].runs:
            return
    raise AssertionError(f"expected {name} to run one of {REQUESTS} requests")


@pytest.mark.parametrize(("leaving", "target"), [("e0", "/stream/x"), ("p0", "/safe/x")])
def test_server_that_reports_leaving_gets_no_further_request(fleet, leaving, target):
    # The gateway can't learn of the leaving state from the store.
    fleet.store.mode = StoreMode.SILENT
    fleet.servers[leaving].reports_leaving = True
    send_until_run_by(fleet, leaving, target)
    runs = len(fleet.servers[leaving].runs)
    for number in range(REQUESTS):
        assert fleet.ask(target, f"after-{number}", **PROMPT).status == 200
    assert len(fleet.servers[leaving].runs) == runs


def test_later_store_entry_does_not_clear_leaving(fleet):
    fleet.servers["e0"].reports_leaving = True
    send_until_run_by(fleet, "e0", "/stream/x")
    runs = len(fleet.servers["e0"].runs)
    # Neither an updated entry nor a deleted and recreated one may clear the leaving state.
    for change_entry in (rewrite_entry, delete_and_recreate_entry):
        change_entry(fleet)
        for number in range(REQUESTS):
            fleet.ask("/stream/x", f"after-{number}", **PROMPT)
    assert len(fleet.servers["e0"].runs) == runs


def rewrite_entry(fleet: RoutedFleet) -> None:
    fleet.list_server("e0", "engines")
    wait_for_store_sync(fleet)


def delete_and_recreate_entry(fleet: RoutedFleet) -> None:
    fleet.store.delete("servers/e0")
    wait_for_store_sync(fleet)
    rewrite_entry(fleet)


def wait_for_store_sync(fleet: RoutedFleet) -> None:
    g0 = fleet.gateways["g0"]
    fleet.until(lambda: g0.copy.revision == fleet.store.revision, "the entry is known")
