"""Tests of answers with neither a length nor chunks, which end with their connection."""

import gevent
import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, SealedFaults

EVENTS = 6
UNFRAMED = {"unframed": True, "breaks_cleanly": True}


def stream_of(request_id: str, events: int = EVENTS) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {request_id}-{number}\n\n".encode() for number in range(1, events + 1)
    )


@pytest.fixture(params=[("north-1",), ("north-1", "south-1")], ids=["directly", "relayed"])
def fleet(request):
    """Yield gateways of which the first reaches the servers directly or through the last."""
    with RoutedFleet(request.param) as one:
        zone = request.param[-1]
        for name in ("e1", "e2"):
            one.add_server(name, "engines", zone, events=EVENTS)
        one.add_server("p1", "plain", zone)
        yield one.ready()


def ask(fleet, target, request_id="r1"):
    prompt = {} if target.startswith("/unsafe") else PROMPT
    return fleet.ask(target, request_id, body=b"abc", **prompt)


def fail_once(fleet, **faults):
    shared = SealedFaults(**faults, remaining=1)
    fleet.servers["e1"].faults = fleet.servers["e2"].faults = shared


@pytest.mark.parametrize(
    "framing", [UNFRAMED, {"breaks_cleanly": True}], ids=["unframed", "framed"]
)
def test_stream_broken_off_within_an_event_is_not_taken_for_complete(fleet, framing):
    fail_once(fleet, **framing, break_within_event=3)
    got = ask(fleet, "/once/x")
    assert not got.whole
    assert stream_of("r1").startswith(got.body)
    assert len(fleet.runs()) == 1


def test_resumable_stream_broken_off_within_an_event_is_resumed(fleet):
    fail_once(fleet, **UNFRAMED, break_within_event=3)
    got = ask(fleet, "/stream/x")
    assert (got.whole, got.body) == (True, stream_of("r1"))


@pytest.mark.parametrize(("target", "is_whole"), [("/once/x", False), ("/stream/x", True)])
def test_stream_of_a_server_that_exits_between_events_is_not_taken_for_complete(
    fleet, target, is_whole
):
    for server in fleet.servers.values():
        server.ends_cleanly = True
    fail_once(fleet, **UNFRAMED, exit_after_event=3)
    got = ask(fleet, target)
    assert got.whole is is_whole
    assert got.body == stream_of("r1", EVENTS if is_whole else 3)


def test_exit_shows_although_something_else_keeps_the_servers_port(fleet):
    for server in fleet.servers.values():
        server.ends_cleanly = server.keeps_port = True
    # Leaves several connections to each server on which it has answered.
    before = [gevent.spawn(ask, fleet, "/stream/x", f"before-{number}") for number in range(12)]
    gevent.joinall(before)
    fail_once(fleet, **UNFRAMED, exit_after_event=3)
    got = ask(fleet, "/once/x", "r1")
    assert not got.whole


def test_proper_end_of_one_unframed_answer_refutes_no_other(fleet):
    engine = fleet.servers["e1"]
    fleet.servers["e2"].faults = SealedFaults(refuse=True)
    first = [gevent.spawn(ask, fleet, "/once/x", f"before-{number}") for number in range(2)]
    gevent.joinall(first)
    engine.faults = SealedFaults(**UNFRAMED)
    engine.work_ms = 100.0
    long = gevent.spawn(ask, fleet, "/once/x", "long")
    fleet.until(lambda: engine.runs[-1].request_id == "long", "the long stream runs")
    engine.work_ms = 1.0
    assert ask(fleet, "/once/x", "short").whole
    got = long.get()
    assert (got.whole, got.body) == (True, stream_of("long"))


def test_answer_that_nothing_shows_to_be_cut_claims_no_more_than_the_servers(fleet):
    fail_once(fleet, **UNFRAMED, break_after_event=3)
    got = ask(fleet, "/once/x")
    assert not got.framed
    assert got.body == stream_of("r1", 3)


@pytest.mark.parametrize(
    ("target", "body"), [("/stream/x", stream_of("r1")), ("/unsafe/x", b"r1 /unsafe/x 3")]
)
def test_whole_unframed_answer_reaches_its_caller(fleet, target, body):
    for server in fleet.servers.values():
        server.faults = SealedFaults(**UNFRAMED)
    got = ask(fleet, target)
    assert (got.status, got.whole, got.framed, got.body) == (200, True, False, body)
    assert got.headers["connection"] == "close"


def test_unframed_answer_cut_by_this_instance_is_reset(fleet):
    fail_once(fleet, **UNFRAMED, stop_after_event=3)
    caller = fleet.caller()
    caller.send("/once/x", "r1", b"abc", **PROMPT)
    gevent.spawn_later(0.3, fleet.gateways["g0"].service.close_all)
    got = caller.read()
    assert not got.framed
    assert not got.whole
