"""Tests that the copy of a refusal is not taken for the answer to another send."""

import gevent
import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, CopyTime, RefusalCopies, SealedFaults, list_server

EVENTS = 6
# Requests that may run at most once, by their targets.
ONCE = {"/unsafe/x": {}, "/once/x": {"body": b"abc", **PROMPT}}
ROUNDS = 10
# Sends of one id until a server runs it (count), and the time between two of them (s).
MAX_ASKS = 200
PAUSE_S = 0.02


@pytest.fixture(params=[("north-1",), ("north-1", "south-1")], ids=["directly", "relayed"])
def fleet(request):
    """Yield gateways of which the first reaches the servers directly or through the last."""
    with RoutedFleet(request.param) as one:
        zone = request.param[-1]
        for name in ("p1", "p2"):
            one.add_server(name, "plain", zone)
        for name in ("e1", "e2"):
            one.add_server(name, "engines", zone, events=EVENTS)
        yield one.ready()


def copy_refusals(fleet, time=CopyTime.WITH_NEXT, without_id=False):
    for server in fleet.servers.values():
        server.copies = RefusalCopies(time, without_id)


def refuse_next(fleet, count):
    """Let the next requests be refused, whichever servers they are sent to."""
    shared = SealedFaults(refuse=True, remaining=count)
    for server in fleet.servers.values():
        server.faults = shared


def assert_is_true(fleet, request_id, got):
    """Check that a request ran once at most, and not at all where its caller was told so."""
    runs = fleet.runs().count(request_id)
    assert runs <= 1
    assert runs == (got.status == 200)


def ask_until_run(fleet, target, request_id):
    """Send a request under one id until a server runs it; return the last answer.

    So does the first instance of a hop, which may ask the second one again.
    """
    for _ in range(MAX_ASKS):
        got = fleet.ask(target, request_id, **ONCE[target])
        if request_id in fleet.runs():
            return got
        gevent.sleep(PAUSE_S)
    raise AssertionError(f"expected a run of {request_id}, found none")


@pytest.mark.parametrize("target", ONCE)
def test_copy_of_a_refusal_is_not_taken_for_the_answer_to_the_same_id(fleet, target):
    copy_refusals(fleet)
    for number in range(ROUNDS):
        refuse_next(fleet, 2)
        request_id = f"r{number}"
        got = ask_until_run(fleet, target, request_id)
        assert got.status == 200
        assert_is_true(fleet, request_id, got)


def test_copy_of_a_misdirection_is_not_taken_for_the_answer_of_the_next_incarnation(fleet):
    """A server that has restarted at its address turns a request away, and then runs it."""
    copy_refusals(fleet)
    server = fleet.servers["p1"]
    fleet.servers["p2"].faults = SealedFaults(refuse=True)
    for number in range(ROUNDS):
        before, server.server_id = server.server_id, f"p1-{number}"
        request_id = f"r{number}"
        assert fleet.ask("/unsafe/x", request_id).status == 503
        fleet.store.delete(f"servers/{before}")
        address = (server.ip, server.port)
        list_server(fleet.store, server.server_id, address, "plain", fleet.places[-1])
        got = ask_until_run(fleet, "/unsafe/x", request_id)
        assert got.status == 200
        assert_is_true(fleet, request_id, got)


@pytest.mark.parametrize("target", ONCE)
def test_copy_without_an_id_is_not_taken_for_the_answer_to_another_request(fleet, target):
    copy_refusals(fleet, without_id=True)
    for number in range(ROUNDS):
        refuse_next(fleet, 2)
        fleet.ask(target, f"before-{number}", **ONCE[target])
        request_id = f"r{number}"
        got = ask_until_run(fleet, target, request_id)
        assert got.status == 200
        assert_is_true(fleet, request_id, got)


def test_copy_of_a_presence_check_s_answer_is_not_taken_for_a_refusal(fleet):
    """The connection of a presence check goes on to carry requests."""
    copy_refusals(fleet)
    asking = list(fleet.gateways.values())[-1]
    for number in range(ROUNDS):
        for name in ("p1", "p2"):
            server = fleet.servers[name]
            address = (server.ip, server.port)
            asking.pool.forget(address)
            assert asking.region_servers.is_present(address, 5_000.0)
        request_id = f"r{number}"
        got = ask_until_run(fleet, "/unsafe/x", request_id)
        assert got.status == 200
        assert_is_true(fleet, request_id, got)


@pytest.mark.parametrize("without_id", [False, True], ids=["with-id", "without-id"])
def test_copy_that_comes_with_its_refusal_is_dropped(fleet, without_id):
    copy_refusals(fleet, CopyTime.AT_ONCE, without_id)
    for number in range(ROUNDS):
        refuse_next(fleet, 2)
        request_id = f"r{number}"
        got = ask_until_run(fleet, "/unsafe/x", request_id)
        assert got.status == 200
        assert_is_true(fleet, request_id, got)


@pytest.mark.parametrize("outcome", ["not-run", "not-sent", "quarantined"])
def test_outcome_that_a_server_names_is_not_taken_for_that_of_an_instance(fleet, outcome):
    answer = (
        "HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Seal: seal-of-it\r\n"
        f"Sparline-Outcome: {outcome}\r\nContent-Length: 2\r\n\r\nok"
    )
    for server in fleet.servers.values():
        server.faults = SealedFaults(surplus_answer=answer.encode())
    got = fleet.ask("/unsafe/x", "r1")
    assert fleet.runs().count("r1") == 1
    assert (got.status, got.body) == (200, b"ok")
    assert "sparline-outcome" not in got.headers


COPY = b"HTTP/1.1 503 Status\r\nAttempt-Id: before\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"


class CopiesAtRest(RefusalCopies):
    """Send copies on the resting connections of a server as a request arrives on another one."""

    server = None
    are_due = False

    def send_owed(self, connection):
        if self.are_due:
            for other in self.server._open - {connection}:
                other.sendall(COPY)


@pytest.mark.parametrize("has_copies", [False, True], ids=["no-copies", "copies"])
def test_exit_shows_although_copies_arrived_on_resting_connections(fleet, has_copies):
    """An answer without framing that an exit has cut is not taken for complete."""
    for server in fleet.servers.values():
        server.ends_cleanly = server.keeps_port = True
        server.copies = CopiesAtRest()
        server.copies.server = server
    once = ONCE["/once/x"]
    before = [
        gevent.spawn(fleet.ask, "/stream/x", f"before-{number}", **once) for number in range(12)
    ]
    gevent.joinall(before)
    shared = SealedFaults(unframed=True, breaks_cleanly=True, exit_after_event=3, remaining=1)
    for server in fleet.servers.values():
        server.copies.are_due = has_copies
        server.faults = shared
    assert not fleet.ask("/once/x", "r1", **once).whole
