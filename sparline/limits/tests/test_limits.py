"""Tests that shares follow demand, stay within the limit and survive a loss of contact."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sparline._ids import InstanceId, OrganisationId
from sparline.limits import (
    DemandReport,
    LimitEnforcer,
    LimitOwner,
    LimitTerms,
    RegionView,
    TokenBucket,
)
from sparline.limits import _bucket as bucket_module
from sparline.schema._declarations import Organisation

ORG = OrganisationId("o")
LIMIT = 100.0
A, B, C = (InstanceId(name) for name in "abc")
WHOLE = LimitTerms(LIMIT, 3, RegionView.WHOLE)
PARTIAL = LimitTerms(LIMIT, 3, RegionView.PARTIAL)


def run_rounds(
    owner: LimitOwner,
    held: dict[InstanceId, float],
    demand: dict[InstanceId, float],
    terms: LimitTerms,
    count: int = 4,
) -> dict[InstanceId, float]:
    """Run several rounds of reports in which each instance applies its granted share."""
    for _ in range(count):
        for one in demand:
            held[one] = owner.answer(ORG, one, DemandReport(demand[one], held[one]), terms)
    return held


CASES = [
    # name, initial shares, demand, view, minimum and maximum of each resulting share
    ("even demand", {A: 33, B: 33, C: 33}, {A: 10, B: 10, C: 10}, WHOLE, {A: (30, 37), B: (30, 37), C: (30, 37)}),
    ("all demand at one instance", {A: 33, B: 33, C: 33}, {A: 50, B: 0, C: 0}, WHOLE, {A: (90, 100), B: (1, 3), C: (1, 3)}),
    ("demand moved", {A: 97, B: 1.7, C: 1.7}, {A: 0, B: 50, C: 0}, WHOLE, {A: (1, 3), B: (90, 100), C: (1, 3)}),
    ("no demand", {A: 33, B: 33, C: 33}, {A: 0, B: 0, C: 0}, WHOLE, {A: (30, 37), B: (30, 37), C: (30, 37)}),
    ("partitioned: the total does not grow", {A: 20, B: 10}, {A: 50, B: 50}, PARTIAL, {A: (13, 17), B: (13, 17)}),
    ("new instance while another holds the full limit", {A: 96.6, B: 33}, {A: 50, B: 50}, WHOLE, {A: (45, 51), B: (45, 51)}),
]  # fmt: skip


@pytest.mark.parametrize(
    ("name", "held", "demand", "terms", "wanted"), CASES, ids=[row[0] for row in CASES]
)
def test_shares(name: str, held: dict, demand: dict, terms: LimitTerms, wanted: dict) -> None:
    shares = run_rounds(LimitOwner(), dict(held), demand, terms)
    for one, (least, most) in wanted.items():
        assert least <= shares[one] <= most, shares
    assert sum(shares.values()) <= LIMIT + 1e-6


DEMANDS = st.lists(
    st.tuples(st.sampled_from([A, B, C]), st.floats(0, 500), st.booleans()), min_size=1, max_size=40
)


@given(reports=DEMANDS)
@settings(derandomize=True, max_examples=200, deadline=None)
def test_shares_granted_by_one_owner_stay_within_limit(reports: list) -> None:
    owner = LimitOwner()
    held = dict.fromkeys((A, B, C), LIMIT / 3)
    # A view becomes whole only after every instance has reported.
    for one in held:
        held[one] = owner.answer(ORG, one, DemandReport(0, held[one]), PARTIAL)
    for one, demand, whole in reports:
        terms = WHOLE if whole else PARTIAL
        held[one] = owner.answer(ORG, one, DemandReport(demand, held[one]), terms)
        assert sum(held.values()) <= LIMIT + 1e-6


def test_bucket_admits_configured_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    clock = [0.0]
    monkeypatch.setattr(bucket_module, "now_ms", lambda: clock[0])
    bucket = TokenBucket(10, 5)
    assert sum(bucket.take() for _ in range(20)) == 5
    assert bucket.wait_ms() == pytest.approx(100)
    clock[0] += 1000
    assert sum(bucket.take() for _ in range(20)) == 5
    bucket.change(1, 1)
    clock[0] += 500
    assert not bucket.take() or not bucket.take()


def test_share_is_kept_without_new_grant() -> None:
    organisation = Organisation(
        id="o",
        key_sha256=["a" * 64],
        residency_rule="r",
        home_region="n",
        requests_per_s=30,
        burst_requests=30,
    )
    enforcer = LimitEnforcer()
    enforcer.instances_in_fleet = 3
    assert enforcer.admit(organisation) is None
    assert enforcer.share_per_s(ORG) == pytest.approx(10)
    enforcer.note_share(organisation, 25)
    enforcer.demands()
    assert enforcer.share_per_s(ORG) == pytest.approx(25)
    enforcer.note_share(organisation, 1000)
    assert enforcer.share_per_s(ORG) == pytest.approx(30)
