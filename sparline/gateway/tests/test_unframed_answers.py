"""Tests of answers with neither a length nor chunks, which end with their connection."""

import pytest

from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, SealedFaults

EVENTS = 6
PLACES = [("north-1",), ("north-1", "south-1")]
UNFRAMED = {"unframed": True, "breaks_cleanly": True}


def stream_of(request_id: str, events: int = EVENTS) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {request_id}-{number}\n\n".encode() for number in range(1, events + 1)
    )


@pytest.fixture(params=PLACES, ids=["directly", "by way of another region"])
def fleet(request):
    """Yield gateways of which the first reaches the servers directly or through the last."""
    with RoutedFleet(request.param) as one:
        zone = request.param[-1]
        for name in ("e1", "e2"):
            one.add_server(name, "engines", zone, events=EVENTS)
        one.add_server("p1", "plain", zone)
        yield one.ready()


def ask(fleet, target):
    prompt = {} if target.startswith("/unsafe") else PROMPT
    return fleet.ask(target, body=b"abc", **prompt)


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
