"""A backend server whose answers state that it leaves gets no new requests from who passed one on."""

import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import StoreMode

# No prompt prefix is shared with other requests, so that no engine is preferred.
PROMPT = {"Model": "m", "Token-Counts": "400,50", "Prompt-Prefix": "cc:400"}
REQUESTS = 60


@pytest.fixture
def fleet():
    with RoutedFleet(("north-1", "south-1")) as one:
        one.add_server("e0", "engines", "north-1", events=2)
        one.add_server("e1", "engines", "north-1", events=2)
        one.add_server("p0")
        one.add_server("p1")
        yield one.ready()


def send_until_run_by(fleet: RoutedFleet, name: str, target: str) -> None:
    for number in range(REQUESTS):
        fleet.ask(target, f"before-{number}", **PROMPT)
        if fleet.servers[name].runs:
            return
    raise AssertionError(f"expected {name} to run one of {REQUESTS} requests")


@pytest.mark.parametrize(("leaving", "target"), [("e0", "/stream/x"), ("p0", "/safe/x")])
def test_a_server_that_says_it_leaves_gets_no_further_request(fleet, leaving, target):
    # The store does not tell.
    fleet.store.mode = StoreMode.SILENT
    fleet.servers[leaving].says_leaving = True
    send_until_run_by(fleet, leaving, target)
    runs = len(fleet.servers[leaving].runs)
    for number in range(REQUESTS):
        assert fleet.ask(target, f"after-{number}", **PROMPT).status == 200
    assert len(fleet.servers[leaving].runs) == runs


def test_an_entry_that_is_written_later_does_not_take_it_back(fleet):
    fleet.servers["e0"].says_leaving = True
    send_until_run_by(fleet, "e0", "/stream/x")
    runs = len(fleet.servers["e0"].runs)
    # Written before the server said that it leaves, or lapsed and written again.
    for write_entry in (list_again, lapse_and_return):
        write_entry(fleet)
        for number in range(REQUESTS):
            fleet.ask("/stream/x", f"after-{number}", **PROMPT)
    assert len(fleet.servers["e0"].runs) == runs


def list_again(fleet: RoutedFleet) -> None:
    fleet.list_server("e0", "engines")
    wait_for_store(fleet)


def lapse_and_return(fleet: RoutedFleet) -> None:
    fleet.store.delete("servers/e0")
    wait_for_store(fleet)
    list_again(fleet)


def wait_for_store(fleet: RoutedFleet) -> None:
    g0 = fleet.gateways["g0"]
    fleet.until(lambda: g0.copy.revision == fleet.store.revision, "the entry is known")
