"""Admission, Retry-After values and remembered refusals of other regions."""

import pytest

from sparline._ids import RegionName
from sparline.decisions import (
    AdmissionFacts,
    RefusalFacts,
    RefusalReason,
    RegionRefusals,
    refusal_reason,
    refusal_retry_after_ms,
    unserved_retry_after_ms,
)
from sparline.decisions._region_refusals import MAX_SHORT_TOKENS, REFUSAL_TTL_MS
from sparline.routes import ServiceName

SOUTH, ENGINES = RegionName("south"), ServiceName("engines")
LATE, COSTLY, OVER = RefusalReason.LATE, RefusalReason.COSTLY, RefusalReason.OVER_DEADLINE


def facts(**changes) -> AdmissionFacts:
    values = {
        "target_ms": 800.0,
        "left_ms": 4_000.0,
        "expected_ms": 300.0,
        "prefill_ms": 20.0,
        "loss": 0.2,
        "is_idle": False,
        "is_relayed": False,
    }
    return AdmissionFacts(**(values | changes))


ADMISSION = [
    ("in time", {}, None),
    ("slightly late", {"expected_ms": 990.0}, None),
    ("late", {"expected_ms": 1_010.0}, LATE),
    ("relayed and slightly late", {"expected_ms": 810.0, "is_relayed": True}, LATE),
    ("late at an idle server", {"expected_ms": 9_000.0, "loss": 90.0, "is_idle": True}, None),
    ("delays others", {"loss": 1.6}, COSTLY),
    ("long prefill of its own", {"expected_ms": 1_900.0, "prefill_ms": 1_000.0, "loss": 2.9}, None),
    (
        "long prefill behind a backlog",
        {"expected_ms": 2_100.0, "prefill_ms": 1_000.0, "loss": 2.9},
        LATE,
    ),
    ("caller gives up before the answer", {"left_ms": 250.0}, OVER),
]


@pytest.mark.parametrize(
    ("changes", "why"), [row[1:] for row in ADMISSION], ids=[row[0] for row in ADMISSION]
)
def test_admission_decision(changes, why):
    assert refusal_reason(facts(**changes)) is why


RETRY_AFTERS = [(1_000.0, 200.0), (900.0, 150.0), (500.0, 150.0), (9_000.0, 1_500.0)]


@pytest.mark.parametrize(("expected_ms", "after_ms"), RETRY_AFTERS)
def test_retry_after_follows_expected_lateness(expected_ms, after_ms):
    assert refusal_retry_after_ms(RefusalFacts(800.0, expected_ms, 4_000.0)) == after_ms


@pytest.mark.parametrize(("left_ms", "after_ms"), [(300, 500), (3_000, 1_000), (60_000, 5_000)])
def test_unserved_wait_is_bounded_fraction_of_time_left(left_ms, after_ms):
    assert unserved_retry_after_ms(left_ms) == after_ms


@pytest.mark.parametrize(("backoff_left_ms", "after_ms"), [(20, 150), (700, 700), (30_000, 1_000)])
def test_server_backoff_shortens_unserved_wait(backoff_left_ms, after_ms):
    assert unserved_retry_after_ms(3_000, backoff_left_ms) == after_ms


REFUSED_AT_MS = 1_000.0
# Queries after a rejection of priority 1 and 300 tokens: region, service, priority, tokens, delay
# (ms), and whether the region counts as full.
QUERIES_AFTER_REFUSAL = [
    ("same request", "south", "engines", 1, 300, 0.0, True),
    ("less urgent", "south", "engines", 2, 300, 0.0, True),
    ("more urgent", "south", "engines", 0, 300, 0.0, False),
    ("shorter", "south", "engines", 1, 0, 0.0, True),
    ("longer but still short", "south", "engines", 1, MAX_SHORT_TOKENS, 0.0, True),
    ("long", "south", "engines", 1, MAX_SHORT_TOKENS + 1, 0.0, False),
    ("another service", "south", "plain", 1, 300, 0.0, False),
    ("another region", "north", "engines", 1, 300, 0.0, False),
    ("after expiry", "south", "engines", 1, 300, REFUSAL_TTL_MS, False),
]


@pytest.mark.parametrize(
    ("region", "service", "priority", "tokens", "later_ms", "full"),
    [row[1:] for row in QUERIES_AFTER_REFUSAL],
    ids=[row[0] for row in QUERIES_AFTER_REFUSAL],
)
def test_region_is_full_for_requests_like_the_rejected_one(
    region, service, priority, tokens, later_ms, full
):
    refusals = RegionRefusals()
    refusals.note(SOUTH, ENGINES, 1, 300, REFUSED_AT_MS)
    at_ms = REFUSED_AT_MS + later_ms
    found = refusals.is_full(RegionName(region), ServiceName(service), priority, tokens, at_ms)
    assert found is full


@pytest.mark.parametrize(("priority", "tokens"), ((2, 300), (1, 9_000)))
def test_later_refusal_does_not_end_earlier_one(priority, tokens):
    refusals = RegionRefusals()
    refusals.note(SOUTH, ENGINES, 1, 300, REFUSED_AT_MS)
    refusals.note(SOUTH, ENGINES, priority, tokens, REFUSED_AT_MS)
    assert refusals.is_full(SOUTH, ENGINES, 1, 300, REFUSED_AT_MS)


def test_refusal_of_long_request_does_not_affect_short_ones():
    refusals = RegionRefusals()
    refusals.note(SOUTH, ENGINES, 1, MAX_SHORT_TOKENS + 1, REFUSED_AT_MS)
    assert not refusals.is_full(SOUTH, ENGINES, 1, 300, REFUSED_AT_MS)
