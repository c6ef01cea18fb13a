"""Tests of answers with neither a length nor chunks, which end with their connection."""

from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, SealedFaults

EVENTS = 6
UNFRAMED = {"unframed": True, "breaks_cleanly": True}


def stream_of(request_id: str, events: int = EVENTS) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {request_id}-{number}\n\n".encode() for number in range(1, events + 1)
    )


def test_stream_broken_off_within_an_event_is_not_taken_for_complete():
    with RoutedFleet() as fleet:
        server = fleet.add_server("e1", "engines", events=EVENTS)
        fleet.ready()
        server.faults = SealedFaults(**UNFRAMED, break_within_event=3)
        got = fleet.ask("/once/x", body=b"abc", **PROMPT)
    assert not got.whole
    assert stream_of("r1").startswith(got.body)
    assert fleet.runs() == ["r1"]
