import pytest

from sparline.forwarding import EventCutter

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"
THREE = b"id: 3\ndata: c\n\n"

CUTS = [
    ("whole events", [ONE + TWO], ONE + TWO, 2),
    ("an event in two pieces", [ONE[:7], ONE[7:] + TWO], ONE + TWO, 2),
    ("an event that is not whole", [ONE + TWO[:5]], ONE, 1),
    ("carriage returns", [ONE.replace(b"\n", b"\r\n")], ONE.replace(b"\n", b"\r\n"), 1),
    ("nothing yet", [b""], b"", None),
]


@pytest.mark.parametrize(
    ("pieces", "passed", "last_id"), [row[1:] for row in CUTS], ids=[row[0] for row in CUTS]
)
def test_only_whole_events_pass(pieces, passed, last_id):
    cutter = EventCutter(None)
    assert b"".join(cutter.feed(piece) for piece in pieces) == passed
    assert cutter.last_id == last_id


def test_a_resumed_stream_forgets_the_broken_event_of_the_run_before():
    cutter = EventCutter(None)
    assert cutter.feed(ONE + TWO[:9]) == ONE
    cutter.begin_attempt()
    assert cutter.feed(TWO + THREE) == TWO + THREE
    assert cutter.last_id == 3


def test_what_follows_the_last_event_of_a_whole_answer_is_kept():
    cutter = EventCutter(None)
    assert cutter.feed(ONE + b"data: end") == ONE
    assert cutter.rest() == b"data: end"


def test_what_is_held_of_an_event_is_told():
    cutter = EventCutter(None)
    cutter.feed(ONE + b"x" * 500)
    assert cutter.pending_bytes() == 500
