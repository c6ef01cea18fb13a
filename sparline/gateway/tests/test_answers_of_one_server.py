"""Tests that the parts of an answer come from one server, but for events that another resumes."""

import socket

import pytest
from gevent.event import Event

from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, SealedFaults

EVENTS = 6
LONG = {"body_bytes": 2_500_000}
CUT_AFTER_BYTES = 1_600_000
FRAMINGS = {"length": {}, "chunks": {"chunked": True}, "unframed": {"unframed": True}}
# How a server's connection ends in the middle of a body.
BREAKS = {
    "reset": {"break_after_bytes": CUT_AFTER_BYTES},
    "closed": {"break_after_bytes": CUT_AFTER_BYTES, "breaks_cleanly": True},
    "exited": {"exit_after_bytes": CUT_AFTER_BYTES},
}


@pytest.fixture(params=[("north-1",), ("north-1", "south-1")], ids=["directly", "relayed"])
def fleet(request):
    """Yield gateways of which the first reaches the servers directly or through the last."""
    with RoutedFleet(request.param) as one:
        zone = request.param[-1]
        for name in ("e1", "e2"):
            one.add_server(name, "engines", zone, events=EVENTS)
        for name in ("p1", "p2", "p3"):
            one.add_server(name, "plain", zone)
        yield one.ready()


def set_faults(fleet, **faults):
    """Let the next request meet the faults, whichever server it is sent to."""
    shared = SealedFaults(**faults, remaining=1)
    for server in fleet.servers.values():
        server.faults = shared


def servers_in(body: bytes) -> set[bytes]:
    return {line for line in body.split(b"\n") if len(line) == 2}


def ask_and_cut(fleet, target, **more):
    """Send one request, and let its server cut the answer once a part of it has arrived."""
    faults = next(iter(fleet.servers.values())).faults
    faults.may_cut = Event()
    caller = fleet.caller()
    caller.send(target, "r1", **more)
    caller.socket.recv(1, socket.MSG_PEEK)
    faults.may_cut.set()
    return caller.read()


def cuts(fleet) -> float:
    """Return how many answers all instances have cut."""
    text = b"".join(one._render_metrics() for one in fleet.gateways.values()).decode()
    lines = [one for one in text.splitlines() if one.startswith("sparline_cut_answers_total{")]
    return sum(float(one.rpartition(" ")[2]) for one in lines)


CASES = [
    (framing, how, status)
    for framing in FRAMINGS
    for how in BREAKS
    for status in (200, 404, 500)
    # A server that lives and closes an unframed answer can't be told from one that has finished.
    if (framing, how) != ("unframed", "closed")
]


@pytest.mark.parametrize(("framing", "how", "status"), CASES)
def test_long_answer_that_breaks_off_is_not_continued_by_another_server(
    fleet, framing, how, status
):
    """Guards against a second server's body behind a part of the first one's."""
    set_faults(fleet, **LONG, **FRAMINGS[framing], **BREAKS[how], status=status)
    got = ask_and_cut(fleet, "/safe/x")
    assert (got.status, got.whole) == (status, False)
    assert len(servers_in(got.body)) == 1
    assert len(got.body) <= CUT_AFTER_BYTES
    assert len(fleet.runs()) == 1
    assert cuts(fleet) > 0


def test_answer_that_breaks_off_before_any_of_it_was_sent_is_repeated(fleet):
    set_faults(fleet, **LONG, break_after_bytes=500_000)
    got = fleet.ask("/safe/x", body=b"abc")
    assert (got.whole, got.body) == (True, b"r1 /safe/x 3")
    assert len(fleet.runs()) == 2


def stream_of(events: int) -> bytes:
    return b"".join(
        f"id: {number}\ndata: r1-{number}\n\n".encode() for number in range(1, events + 1)
    )


@pytest.mark.parametrize("unframed", [False, True], ids=["framed", "unframed"])
@pytest.mark.parametrize("status", [204, 301, 404, 409])
def test_stream_is_not_continued_by_an_answer_that_holds_no_events(fleet, status, unframed):
    """Guards against another answer's head and body in the middle of a stream."""
    set_faults(fleet, break_after_event=3, unframed=unframed, later=SealedFaults(status=status))
    got = fleet.ask("/stream/x", body=b"abc", **PROMPT)
    assert (got.status, got.whole) == (200, False)
    assert got.body == stream_of(3)


def test_stream_without_ids_is_not_continued_from_its_start(fleet):
    """Guards against events that a caller gets twice, as no id tells where to go on."""
    set_faults(fleet, break_after_event=3, without_ids=True)
    got = fleet.ask("/stream/x", body=b"abc", **PROMPT)
    assert not got.whole
    assert got.body == b"".join(b"data: r1-%d\n\n" % number for number in (1, 2, 3))
    assert len(fleet.runs()) == 1


def test_long_failure_of_an_engine_is_not_continued_by_a_stream(fleet):
    """Guards against events behind the head and a part of a failure."""
    set_faults(fleet, **LONG, status=404, break_after_bytes=CUT_AFTER_BYTES)
    got = ask_and_cut(fleet, "/stream/x", body=b"abc", **PROMPT)
    assert not got.whole
    assert len(servers_in(got.body)) == 1
    assert len(fleet.runs()) == 1


BUFFERED = [
    # length that is held, whether the caller has a part as the answer breaks off, runs
    (500_000, True, 1),
    (2_000_000, False, 2),
]


@pytest.mark.parametrize(("buffered_bytes", "is_begun", "runs"), BUFFERED)
def test_answer_is_held_up_to_the_length_that_operators_set(buffered_bytes, is_begun, runs):
    with RoutedFleet(buffered_answer_bytes=buffered_bytes) as fleet:
        for name in ("p1", "p2"):
            fleet.add_server(name)
        fleet.ready()
        set_faults(fleet, body_bytes=1_800_000, break_after_bytes=1_000_000)
        got = ask_and_cut(fleet, "/safe/x") if is_begun else fleet.ask("/safe/x")
        assert got.whole is not is_begun
        assert len(fleet.runs()) == runs
