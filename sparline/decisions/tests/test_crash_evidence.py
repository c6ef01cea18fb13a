"""Evidence that a server exited under a request, and how exits are counted."""

import pytest

from sparline._ids import BackendServerId
from sparline.decisions import (
    UNPROVEN_EXIT,
    EndEvidence,
    InterruptionFacts,
    Liveness,
    ProbeResult,
    counted_exit,
    exit_evidence,
    liveness,
    may_be_shown_later,
)

SERVER = BackendServerId("e1")
REFUSED, GONE, WITNESSED = EndEvidence.REFUSED, EndEvidence.GONE, EndEvidence.WITNESSED
PROVEN, UNPROVEN = Liveness.PROVEN, Liveness.UNPROVEN
BOTH, SOME = (True, True), (True, False)

INTERRUPTIONS = [
    # what happened, facts, evidence, liveness when sent, whether the store may show it later
    ("port closed", {"probe": ProbeResult.REFUSED}, REFUSED, UNPROVEN, False),
    ("accepted and reset, probe reset too", {"probe": ProbeResult.RESET}, None, UNPROVEN, True),
    ("accepted and reset, port open", {"probe": ProbeResult.OPEN}, None, UNPROVEN, True),
    ("all connections closed", {"witnesses_closed": BOTH}, WITNESSED, PROVEN, False),
    ("one connection survives", {"witnesses_closed": SOME}, None, PROVEN, True),
    ("answer broke off, none beside it", {"has_answered": True}, None, PROVEN, True),
    ("replaced after it had answered", {"is_replaced": True, "has_answered": True}, GONE, PROVEN, False),
    ("replaced, perhaps before the send", {"is_replaced": True}, GONE, UNPROVEN, False),
    ("server silent, request received", {"was_closed": False}, None, UNPROVEN, True),
    (
        "server silent, it had answered before",
        {"was_closed": False, "has_answered": True, "witnesses_closed": (False,)},
        None,
        UNPROVEN,
        True,
    ),
    (
        "server silent, it answered just before",
        {"was_closed": False, "has_answered_lately": True},
        None,
        PROVEN,
        True,
    ),
    ("network cut", {"was_closed": False, "was_received": False}, None, UNPROVEN, False),
    (
        "network cut, only the others were reset",
        {"was_closed": False, "was_received": False, "witnesses_closed": BOTH},
        None,
        UNPROVEN,
        False,
    ),
]  # fmt: skip


@pytest.mark.parametrize(
    ("changes", "evidence", "known", "later"),
    [row[1:] for row in INTERRUPTIONS],
    ids=[row[0] for row in INTERRUPTIONS],
)
def test_evidence_of_an_interrupted_answer(changes, evidence, known, later):
    # Resets on the way to a living server counted as exits, up to twelve for one server.
    facts = InterruptionFacts(**changes)
    assert exit_evidence(facts) is evidence
    assert liveness(facts) is known
    assert may_be_shown_later(facts) is later


EXITS = [
    ("first exit, by any evidence", WITNESSED, PROVEN, 0, "e1"),
    ("the same, refused", REFUSED, UNPROVEN, 0, "e1"),
    ("the same, from the store", GONE, PROVEN, 0, "e1"),
    ("restarted under its id", WITNESSED, PROVEN, 1, "e1/2"),
    ("restarted twice under its id", REFUSED, PROVEN, 2, "e1/3"),
    ("not heard from since its exit", REFUSED, UNPROVEN, 2, "e1"),
    ("perhaps gone before the send", GONE, UNPROVEN, 0, UNPROVEN_EXIT),
]


@pytest.mark.parametrize(
    ("evidence", "known", "earlier", "counted"),
    [row[1:] for row in EXITS],
    ids=[row[0] for row in EXITS],
)
def test_each_exit_is_counted_once(evidence, known, earlier, counted):
    # One exit counted twice (witnessed, then gone), and once for each instance that found it.
    assert counted_exit(SERVER, evidence, known, earlier) == counted
