import pytest

from sparline.decisions import (
    AdmissionFacts,
    RefusedFor,
    ReturnFacts,
    return_after_ms,
    unserved_wait_ms,
    why_refused,
)

LATE, COSTLY, OVER = RefusedFor.LATE, RefusedFor.COSTLY, RefusedFor.OVER_DEADLINE


def facts(**changes) -> AdmissionFacts:
    values = {
        "wanted_ms": 800.0,
        "left_ms": 4_000.0,
        "expected_ms": 300.0,
        "reading_ms": 20.0,
        "loss": 0.2,
        "is_idle": False,
        "is_relayed": False,
    }
    return AdmissionFacts(**(values | changes))


ADMISSION = [
    ("in time", {}, None),
    ("a little late", {"expected_ms": 990.0}, None),
    ("late", {"expected_ms": 1_010.0}, LATE),
    ("relayed and a little late", {"expected_ms": 810.0, "is_relayed": True}, LATE),
    ("late at an idle place", {"expected_ms": 9_000.0, "loss": 90.0, "is_idle": True}, None),
    ("makes others late", {"loss": 1.6}, COSTLY),
    ("long by its own reading", {"expected_ms": 1_900.0, "reading_ms": 1_000.0, "loss": 2.9}, None),
    ("long, behind a backlog", {"expected_ms": 2_100.0, "reading_ms": 1_000.0, "loss": 2.9}, LATE),
    ("its caller is gone by then", {"left_ms": 250.0}, OVER),
]


@pytest.mark.parametrize(
    ("changes", "why"), [row[1:] for row in ADMISSION], ids=[row[0] for row in ADMISSION]
)
def test_who_is_let_in(changes, why):
    assert why_refused(facts(**changes)) is why


RETURNS = [(1_000.0, 200.0), (900.0, 150.0), (500.0, 150.0), (9_000.0, 1_500.0)]


@pytest.mark.parametrize(("expected_ms", "after_ms"), RETURNS)
def test_when_a_caller_comes_back(expected_ms, after_ms):
    assert return_after_ms(ReturnFacts(800.0, expected_ms, 4_000.0)) == after_ms


@pytest.mark.parametrize(("left_ms", "after_ms"), [(300, 500), (3_000, 1_000), (60_000, 5_000)])
def test_when_one_that_nothing_can_serve_comes_back(left_ms, after_ms):
    assert unserved_wait_ms(left_ms) == after_ms
