"""Answers are held until they are whole while there is memory, and not while nobody reads them."""

from contextlib import contextmanager
from types import SimpleNamespace

import gevent
import pytest
from gevent import socket

from sparline.forwarding._answer_forwarding import AnswerForwarding
from sparline.forwarding._attempt_types import AttemptResult
from sparline.forwarding._caller_answer import CallerAnswer
from sparline.http import SMALL_BYTES, CallerConnection, HeldBytes, HttpAnswer

ACCOUNT_BYTES = 8_000_000
ANSWER_BYTES = 900_000
MAX_BUFFERED_BYTES = 1_000_000
PIECE = b"p" * 60_000
CALLERS = 30
# Far bound of a wait (s).
FAR_S = 60.0


def dependencies(held):
    return SimpleNamespace(
        held=held,
        buffered_answer_bytes=MAX_BUFFERED_BYTES,
        answer_headers=lambda answer, _version: answer.headers,
        health=SimpleNamespace(
            note_success=lambda _id: None, note_time=lambda *_: None, note_failure=lambda *_: None
        ),
        pace=SimpleNamespace(answer_ms=lambda _service: 1.0, note_answer=lambda *_: None),
        watch=SimpleNamespace(process_resumed_at_ms=lambda: 0.0),
        note_first=lambda *_: None,
    )


class Answer:
    """Forward one answer of a server to a caller that reads it when told."""

    def __init__(self, held, length_bytes=ANSWER_BYTES, status=200):
        self.caller, accepted = socket.socketpair()
        self.connection = CallerConnection(accepted)
        self.caller_answer = CallerAnswer(self.connection)
        pieces = [
            PIECE[: min(len(PIECE), length_bytes - at)] for at in range(0, length_bytes, 60_000)
        ]
        self.left = iter([*pieces, None])
        progress = SimpleNamespace(
            caller_answer=self.caller_answer,
            sent_at_ms=0.0,
            software_version=None,
            failed_answer=None,
            first_at_ms=None,
            splitter=SimpleNamespace(is_within_event=lambda: False),
        )
        self.progress = progress
        forwarding = AnswerForwarding(
            dependencies(held),
            SimpleNamespace(route=SimpleNamespace(kind=None), service="s"),
            SimpleNamespace(server=SimpleNamespace(id="i-1"), peer=None),
            progress,
            None,
            SimpleNamespace(read=lambda read: read()),
            None,
        )
        upstream = SimpleNamespace(read_piece=lambda _answer: next(self.left))
        head = HttpAnswer(status=status, head_done=True)
        self.task = gevent.spawn(forwarding.forward, upstream, head, None)

    def read(self):
        with gevent.Timeout(FAR_S), self.caller.makefile("rb") as file:
            headers = {}
            file.readline()
            while (line := file.readline()) != b"\r\n":
                name, _, value = line.partition(b":")
                headers[name.lower()] = value.strip()
            if b"content-length" in headers:
                return file.read(int(headers[b"content-length"]))
            body = b""
            while size := int(file.readline(), 16):
                body += file.read(size)
                file.readline()
            return body


@contextmanager
def answers(count, held, **options):
    many = [Answer(held, **options) for _ in range(count)]
    try:
        gevent.sleep(0)
        yield many
    finally:
        for one in many:
            one.task.kill()
            one.connection.close()
            one.caller.close()


def test_unread_answers_do_not_fill_the_memory():
    held = HeldBytes(ACCOUNT_BYTES)
    with answers(CALLERS, held) as many:
        assert held.total_bytes <= ACCOUNT_BYTES / 2 + len(PIECE)
        assert [len(one.read()) for one in many] == [ANSWER_BYTES] * CALLERS
        gevent.joinall([one.task for one in many], FAR_S, raise_error=True)
        assert {one.task.value.result for one in many} == {AttemptResult.DELIVERED}
    assert held.total_bytes == 0


def test_held_part_is_released_as_it_is_read():
    held = HeldBytes(ACCOUNT_BYTES)
    with answers(1, held) as (one,):
        before_bytes = held.total_bytes
        assert before_bytes > 0
        with gevent.Timeout(FAR_S):
            read_bytes = 0
            while held.total_bytes > before_bytes / 2:
                read_bytes += len(one.caller.recv(20_000))
        assert read_bytes < ANSWER_BYTES


@pytest.mark.parametrize("length_bytes", (1, SMALL_BYTES, SMALL_BYTES + 1, ANSWER_BYTES))
def test_whole_answer_has_a_length(length_bytes):
    with answers(1, HeldBytes(ACCOUNT_BYTES), length_bytes=length_bytes) as (one,):
        assert len(one.read()) == length_bytes
        assert not one.connection._chunked


def test_caller_that_leaves_or_is_late_leaves_nothing_held():
    held = HeldBytes(ACCOUNT_BYTES)
    with answers(2, held) as many:
        assert held.total_bytes > 0
        many[0].task.kill()
        many[1].caller.close()
        gevent.joinall([one.task for one in many], FAR_S)
        assert held.total_bytes == 0


@pytest.mark.parametrize("status", (500, 503))
def test_failed_answer_is_held_for_another_try(status):
    held = HeldBytes(ACCOUNT_BYTES)
    with answers(1, held, status=status) as (one,):
        one.task.join(FAR_S)
        assert len(one.progress.failed_answer.body) == ANSWER_BYTES
        assert not one.caller_answer.has_begun
    assert held.total_bytes == 0
