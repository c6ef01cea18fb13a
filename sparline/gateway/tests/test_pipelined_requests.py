"""Tests of requests that a caller sends on one connection before the first is answered."""

import pytest

from sparline.http import AnswerParser, HttpAnswer
from sparline.tests.routed_fleet import RoutedFleet
from standins import SealedFaults

SENT = 6
FAULTS = {
    "served": SealedFaults(),
    "refused": SealedFaults(refuse=True),
    "failed": SealedFaults(fail=True),
    "left without an answer": SealedFaults(close_after_run=True),
}


def read_all(caller) -> list[HttpAnswer]:
    """Return all answers up to the end of the connection."""
    parser = AnswerParser()
    while data := caller.socket.recv(65_536):
        parser.feed(data)
    return parser.answers


@pytest.mark.parametrize("at", ["g0", "g1"], ids=["directly", "relayed"])
@pytest.mark.parametrize("faults", FAULTS.values(), ids=FAULTS)
def test_each_pipelined_request_gets_one_answer(faults, at):
    """Guards against a surplus answer that the next request's caller takes for its own."""
    with RoutedFleet(("north-1", "south-1")) as fleet:
        fleet.add_server("s1").faults = faults
        fleet.ready()
        caller = fleet.caller(at)
        ids = [f"r{number}" for number in range(SENT)]
        for one in ids:
            ends = {"Connection": "close"} if one == ids[-1] else {}
            caller.send(f"/unsafe/{one}", one, body=one.encode(), **ends)
        answers = read_all(caller)
        assert len(answers) == SENT and all(one.complete for one in answers), answers
        for one, got in zip(ids, answers, strict=True):
            assert got.status != 200 or got.take().startswith(one.encode()), got
