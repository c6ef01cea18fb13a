from unittest.mock import Mock

import pytest

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.fleet import ServerLoad
from sparline.forwarding._attempt_types import Progress
from sparline.forwarding._caller_answer import CallerAnswer, ServerAnswerHead
from sparline.forwarding._events import EventSplitter
from sparline.forwarding._resume_wait import caller_patience_ms, should_delay_resume
from sparline.placement import Doubt, Placement
from sparline.tests.routed import make_request, make_route, make_server


def make_progress(splitter: EventSplitter) -> Progress:
    return Progress(splitter, CallerAnswer(Mock()))


def make_placement(queue_ms: float) -> Placement:
    return Placement(
        server=make_server(BackendServerId("e1")),
        peer=None,
        expected_ms=queue_ms + 700.0,
        prefill_ms=700.0,
        unread_tokens=14_000,
        effort_tokens=14_000,
        source=None,
        loss=1.0,
        load=ServerLoad(),
        load_age_ms=None,
        doubt=Doubt.NONE,
    )


# Target latency 800 ms and target pause 400 ms, so callers are expected to give up after 3,200 ms.
ROWS = [
    # name, whether the response has begun, time since the last event (ms), queue (ms), waits
    ("a new request", False, 0, 2_000.0, False),
    ("a stream, short queue", True, 0, 190.0, False),
    ("a stream, long queue", True, 100, 210.0, True),
    ("a stream past its wait limit", True, 1_700, 5_000.0, False),
]


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_interrupted_stream_waits_for_short_queue(row):
    _, began, ago_ms, queue_ms, waits = row
    progress = make_progress(EventSplitter(None))
    progress.last_event_at_ms = now_ms() - ago_ms
    if began:
        origin = ServerAnswerHead(BackendServerId("e0"), 200, [], is_unframed=False)
        progress.caller_answer.send_events(origin, b"id: 1\n\n")
    assert should_delay_resume(make_request(), progress, make_placement(queue_ms)) is waits


def test_stream_resumed_by_caller_waits_from_arrival():
    progress = make_progress(EventSplitter(3))
    assert should_delay_resume(make_request(resume_after=3), progress, make_placement(500.0))
    old = make_request(resume_after=3, arrived_at_ms=now_ms() - 1_700.0)
    assert not should_delay_resume(old, progress, make_placement(500.0))


PATIENCE = [
    (800.0, 400.0, 3_200.0),
    (100.0, 400.0, 3_200.0),
    (100.0, 0.0, 2_000.0),
    (1_200.0, 600.0, 4_800.0),
]


@pytest.mark.parametrize(("wanted_ms", "pause_ms", "expected_ms"), PATIENCE)
def test_pause_after_which_callers_give_up(wanted_ms, pause_ms, expected_ms):
    assert (
        caller_patience_ms(make_route(wanted_latency_ms=wanted_ms, pause_target_ms=pause_ms))
        == expected_ms
    )
