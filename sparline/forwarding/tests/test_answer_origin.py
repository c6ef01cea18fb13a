"""Tests of what a response on a connection may have been caused by."""

from types import SimpleNamespace

import pytest

from sparline._ids import RequestId
from sparline.forwarding._answer_origin import OriginCheck
from sparline.http import HttpAnswer
from sparline.platform import InstanceWire, ServerWire

ID = (b"attempt-id", b"r1")
OTHER_ID = (b"attempt-id", b"r2")
NOT_RUN = (b"not-executed", b"1")
OUTCOME = (b"sparline-outcome", b"not-run")

CASES = [
    # what comes, headers, from a peer, requests on the connection, whether it is the answer
    ("own id", [ID, NOT_RUN], False, 2, True),
    ("another id", [OTHER_ID, NOT_RUN], False, 1, False),
    ("no id on a new connection", [NOT_RUN], False, 1, True),
    ("no id on a used connection", [NOT_RUN], False, 2, False),
    ("neither id nor proof", [], False, 1, False),
    ("outcome of a peer", [OUTCOME], True, 2, True),
]


@pytest.mark.parametrize(
    ("headers", "is_from_peer", "requests", "is_answer"),
    [row[1:] for row in CASES],
    ids=[row[0] for row in CASES],
)
def test_only_what_nothing_else_can_have_caused_is_an_answer(
    headers, is_from_peer, requests, is_answer
):
    wire = InstanceWire() if is_from_peer else ServerWire()
    connection = SimpleNamespace(uses=requests, reusable=True)
    check = OriginCheck(wire, RequestId("r1"), is_from_peer)
    answer = HttpAnswer(status=503, headers=headers, head_done=True)
    assert check.is_answer(connection, answer) is is_answer
    # After an answer without an id, the next one on the connection would prove nothing.
    assert connection.reusable is (
        ID in headers or OTHER_ID in headers or not headers or is_from_peer
    )
