import pytest

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.fleet import ServerLoad
from sparline.forwarding._attempt_types import Progress
from sparline.forwarding._events import EventCutter
from sparline.forwarding._resume_wait import given_up_ms, resumes_later
from sparline.placement import Doubt, Placement
from sparline.tests.routed import make_request, make_route, make_server


def place(queue_ms: float) -> Placement:
    return Placement(
        server=make_server(BackendServerId("e1")),
        peer=None,
        expected_ms=queue_ms + 700.0,
        reading_ms=700.0,
        unread_tokens=14_000,
        effort_tokens=14_000,
        source=None,
        loss=1.0,
        load=ServerLoad(),
        load_age_ms=None,
        doubt=Doubt.NONE,
    )


# The wanted time is 800 ms and the wanted pause 400 ms, so callers leave after 3,200 ms.
ROWS = [
    # what the caller has, time since the last event (ms), queue (ms), waits
    ("a new request", False, 0, 2_000.0, False),
    ("a stream, short queue", True, 0, 190.0, False),
    ("a stream, long queue", True, 100, 210.0, True),
    ("a stream that waited long", True, 1_700, 5_000.0, False),
]


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_a_stream_that_broke_off_waits_for_a_short_queue(row):
    _, began, ago_ms, queue_ms, waits = row
    progress = Progress(EventCutter(None), began=began, heard_at_ms=now_ms() - ago_ms)
    assert resumes_later(make_request(), progress, place(queue_ms)) is waits


def test_a_stream_that_a_caller_resumes_waits_from_its_arrival():
    progress = Progress(EventCutter(3))
    assert resumes_later(make_request(resume_after=3), progress, place(500.0))
    old = make_request(resume_after=3, arrived_at_ms=now_ms() - 1_700.0)
    assert not resumes_later(old, progress, place(500.0))


GIVEN_UP = [
    (800.0, 400.0, 3_200.0),
    (100.0, 400.0, 3_200.0),
    (100.0, 0.0, 2_000.0),
    (1_200.0, 600.0, 4_800.0),
]


@pytest.mark.parametrize(("wanted_ms", "pause_ms", "given_up"), GIVEN_UP)
def test_when_callers_give_a_stream_up(wanted_ms, pause_ms, given_up):
    assert (
        given_up_ms(make_route(wanted_latency_ms=wanted_ms, pause_target_ms=pause_ms)) == given_up
    )
