from unittest.mock import Mock

import pytest

from sparline._ids import BackendServerId
from sparline.forwarding._caller_answer import (
    CallerAnswer,
    ContentMismatch,
    SentContent,
    ServerAnswerHead,
)

ORIGIN = ServerAnswerHead(BackendServerId("first"), 200, [], is_unframed=False)
OTHER = ServerAnswerHead(BackendServerId("second"), 200, [], is_unframed=False)
OTHER_STATUS = ServerAnswerHead(BackendServerId("second"), 206, [], is_unframed=False)

FIRSTS = {
    SentContent.EVENTS: lambda answer: answer.send_events(ORIGIN, b"id: 1\n\n"),
    SentContent.BODY: lambda answer: answer.begin_body(ORIGIN).send(b"part"),
}
SECONDS = {
    "events": lambda answer: answer.send_events(OTHER, b"id: 2\n\n"),
    "events of another status": lambda answer: answer.send_events(OTHER_STATUS, b"id: 2\n\n"),
    "a body": lambda answer: answer.begin_body(OTHER),
    "a complete answer": lambda answer: answer.send_complete(OTHER, b"whole"),
    "an answer of the instance": lambda answer: answer.answer(502, [], b""),
}


@pytest.mark.parametrize("second", SECONDS)
@pytest.mark.parametrize("first", FIRSTS)
def test_only_events_are_written_behind_those_of_another_server(first, second):
    caller = Mock()
    answer = CallerAnswer(caller)
    FIRSTS[first](answer)
    assert (answer.content, answer.begun_by) == (first, "first")
    written = len(caller.method_calls)
    if (first, second) == (SentContent.EVENTS, "events"):
        SECONDS[second](answer)
        assert answer.sent_bytes == 14
        return
    with pytest.raises(ContentMismatch):
        SECONDS[second](answer)
    assert len(caller.method_calls) == written
