"""What the clients of a crowd send, as a server reads it."""

import pytest

from benchmarks.crowds import (
    half_a_head,
    sends_too_much,
    stops_in_chunks,
    stops_short,
    too_much_announced,
    unread_answer,
    whole_body,
)
from benchmarks.crowds._site import MAX_BODY_BYTES
from sparline.http import RequestParser

SENT = [
    # behaviour, whether the headers end, whether the body ends, bytes of the body
    (half_a_head(), False, False, 0),
    (unread_answer(), True, True, 0),
    (whole_body(), True, True, MAX_BODY_BYTES),
    (stops_short(), True, False, MAX_BODY_BYTES - 1),
    (stops_in_chunks(), True, False, MAX_BODY_BYTES),
    (too_much_announced(), True, False, 8 * MAX_BODY_BYTES),
    (sends_too_much(), True, True, 8 * MAX_BODY_BYTES),
]


@pytest.mark.parametrize(("behaviour", "has_head", "is_whole", "body_bytes"), SENT)
def test_crowd_sends_what_its_name_says(behaviour, has_head, is_whole, body_bytes):
    parser = RequestParser()
    parser.feed(behaviour.head("crowd-1"))
    for piece in behaviour.pieces():
        parser.feed(piece)
    requests = [one for one in parser.requests if one.head_done]
    assert bool(requests) is has_head
    assert behaviour.is_whole is is_whole
    if requests:
        assert (requests[0].complete, len(requests[0].body)) == (is_whole, body_bytes)
