"""Tickets bind a request to one incarnation, where a request ID runs at most once."""

import pytest

from sparline._ids import Incarnation, InstanceId, OrganisationId, RequestId
from sparline.requests import (
    COMPLETE,
    AnswerEnd,
    Outcome,
    Reason,
    RequestBody,
    RequestLedger,
    Ticket,
    make_ticket,
    not_run,
    parse_ticket,
    unknown,
)
from sparline.requests._ledger import TICKET_TTL_MS

INSTANCE_ID, INCARNATION = InstanceId("a-0"), Incarnation("now")
ORG, ID = OrganisationId("o"), RequestId("r")

TICKETS = [
    # name, ticket, refusal
    ("valid ticket of this incarnation", Ticket(INSTANCE_ID, INCARNATION, 0, "n"), None),
    ("another instance", Ticket(InstanceId("a-1"), INCARNATION, 0, "n"), Reason.TICKET_ELSEWHERE),
    (
        "an earlier incarnation",
        Ticket(INSTANCE_ID, Incarnation("before"), 0, "n"),
        Reason.TICKET_ELSEWHERE,
    ),
    ("issued in the future", Ticket(INSTANCE_ID, INCARNATION, 60_000, "n"), Reason.TICKET_EXPIRED),
    ("expired", Ticket(INSTANCE_ID, INCARNATION, -TICKET_TTL_MS - 1, "n"), Reason.TICKET_EXPIRED),
]


@pytest.mark.parametrize(("name", "ticket", "reason"), TICKETS, ids=[row[0] for row in TICKETS])
def test_ticket(name: str, ticket: Ticket, reason: Reason | None) -> None:
    refusal = RequestLedger(INSTANCE_ID, INCARNATION).check_ticket(ticket)
    assert (refusal.reason if refusal else None) is reason
    # It may have run on the instance that it names, so the outcome is never not_run.
    assert refusal is None or refusal.outcome is Outcome.unknown


REPEATS = [
    # name, end of the first attempt (None: still running), answer to the second
    ("first is still running", None, unknown(Reason.DUPLICATE)),
    ("first is complete", COMPLETE, AnswerEnd(Outcome.complete, Reason.DUPLICATE)),
    ("first is unknown", unknown(Reason.PEER_LOST), AnswerEnd(Outcome.unknown, Reason.DUPLICATE)),
    ("first is not_run", not_run(Reason.OVERLOADED), None),
]


@pytest.mark.parametrize(("name", "first", "second"), REPEATS, ids=[row[0] for row in REPEATS])
def test_second_attempt(name: str, first: AnswerEnd | None, second: AnswerEnd | None) -> None:
    ledger = RequestLedger(INSTANCE_ID, INCARNATION)
    assert ledger.begin(ORG, ID) is None
    if first:
        ledger.end(ORG, ID, first)
    assert ledger.earlier_outcome(ORG, ID) == second
    assert ledger.begin(ORG, ID) == second
    assert ledger.begin(OrganisationId("another"), ID) is None


def test_request_can_not_end_twice() -> None:
    ledger = RequestLedger(INSTANCE_ID, INCARNATION)
    ledger.begin(ORG, ID)
    ledger.end(ORG, ID, COMPLETE)
    with pytest.raises(AssertionError, match="ended twice"):
        ledger.end(ORG, ID, COMPLETE)


@pytest.mark.parametrize("text", ["", "a", "a~b~c~d", "a~b~1~", "a~b~-1~n", "a~b~1~n~x"])
def test_bad_ticket_is_refused(text: str) -> None:
    assert parse_ticket(text).is_err()


def test_ticket_round_trips_through_text() -> None:
    ticket = make_ticket(INSTANCE_ID, INCARNATION, 17)
    assert parse_ticket(str(ticket)).unwrap() == ticket


BODIES = [
    # name, parts, whether the body can be replayed
    ("small", [b"a" * 1000] * 3, True),
    ("large", [b"a" * 30_000] * 20, False),
]


@pytest.mark.parametrize(("name", "parts", "replayable"), BODIES, ids=[row[0] for row in BODIES])
def test_body_is_replayable_only_while_it_is_buffered(
    name: str, parts: list[bytes], replayable: bool
) -> None:
    rest = iter(parts)
    body = RequestBody(lambda _size: next(rest, b""), -1)
    assert b"".join(body.parts()) == b"".join(parts)
    assert body.replayable is replayable
    if replayable:
        assert b"".join(body.parts()) == b"".join(parts)


def test_parts_of_a_buffered_body_fit_in_a_frame() -> None:
    content = b"x" * 3_500_000
    parts = list(RequestBody.of(content).parts())
    assert b"".join(parts) == content
    assert max(len(part) for part in parts) <= 1_000_000
