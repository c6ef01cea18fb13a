"""Admission by quota in one instance, alone and with answers of a quota coordinator."""

import random

import pytest

from sparline._ids import OrganisationId, RegionName
from sparline.quotas import (
    FleetLevel,
    QuotaCoordinator,
    QuotaLimiter,
    QuotaParameters,
    QuotaTolerance,
    QuotaUsage,
    RegionTotal,
    UsageReport,
    make_quota_parameters,
    quota_key,
)
from sparline.routes import Organisation, Quota, QuotaUnit

ORGANISATION_ID = OrganisationId("ore")
KEY = quota_key(ORGANISATION_ID)
PER_S = 1_000.0
QUOTA = Quota(QuotaUnit.TOKENS, PER_S, PER_S, 200.0)
ORGANISATION = Organisation(ORGANISATION_ID, frozenset(), None, frozenset(), QUOTA)
TOLERANCE = QuotaTolerance(window_s=8.0, excess=0.25, slack=750.0)
NORTH, SOUTH = RegionName("north"), RegionName("south")


def new_limiter() -> QuotaLimiter:
    return QuotaLimiter(TOLERANCE, random.Random(1))


COSTS = [
    (QuotaUnit.TOKENS, 4_000, 4_000.0),
    (QuotaUnit.TOKENS, None, 200.0),
    (QuotaUnit.REQUESTS, 4_000, 1.0),
    (QuotaUnit.REQUESTS, None, 1.0),
]


@pytest.mark.parametrize(("unit", "tokens", "cost"), COSTS)
def test_request_cost(unit, tokens, cost):
    assert Quota(unit, PER_S, PER_S, 200.0).cost(tokens) == cost


def test_organisation_without_quota_is_never_refused():
    unlimited = Organisation(ORGANISATION_ID, frozenset(), None, frozenset(), None)
    one = new_limiter()
    assert all(one.admit(unlimited, 1e9, 1, 0.0) is None for _ in range(9))
    assert one.left(ORGANISATION_ID, 0.0) is None


def test_request_above_remaining_quota_is_admitted_and_leaves_debt():
    one = new_limiter()
    assert one.admit(ORGANISATION, 60_000.0, 1, 0.0) is None
    wait_ms = one.admit(ORGANISATION, 1.0, 1, 0.0)
    assert 8_000 <= wait_ms <= 10_000
    assert one.admit(ORGANISATION, 1.0, 1, 61_000.0) is None


def test_instance_without_coordinator_uses_its_own_share():
    one = new_limiter()
    admitted = 0.0
    for ms in range(0, 20_000, 10):
        if one.admit(ORGANISATION, 10.0, 10, float(ms)) is None:
            admitted += 10.0
    assert admitted == pytest.approx(20 * PER_S / 10, rel=0.1)


def test_answer_sets_level_less_units_it_does_not_include():
    one = new_limiter()
    one.admit(ORGANISATION, 10.0, 1, 0.0)
    report = one.report(0.0)
    assert report.uses == [QuotaUsage(KEY, 10.0, 10.0, None)]
    one.admit(ORGANISATION, 5.0, 1, 0.0)
    one.apply_answer(report.sequence, {KEY: 500.0}, 1.0)
    assert one.left(ORGANISATION_ID, 1.0).units == 495.0
    assert one.left(ORGANISATION_ID, 1.0).is_fleet_wide
    assert one.report(2.0).uses == [QuotaUsage(KEY, 15.0, 5.0, 495.0)]


def test_overtaken_answer_is_ignored():
    one = new_limiter()
    one.admit(ORGANISATION, 10.0, 1, 0.0)
    first = one.report(0.0)
    one.admit(ORGANISATION, 10.0, 1, 0.0)
    second = one.report(1.0)
    one.apply_answer(second.sequence, {KEY: 300.0}, 2.0)
    one.apply_answer(first.sequence, {KEY: 900.0}, 3.0)
    assert one.left(ORGANISATION_ID, 3.0).units == 300.0


def test_unanswered_report_falls_back_to_own_share():
    one = new_limiter()
    one.admit(ORGANISATION, 10.0, 10, 0.0)
    one.apply_answer(one.report(0.0).sequence, {KEY: 1_000.0}, 1.0)
    one.admit(ORGANISATION, 10.0, 10, 10.0)
    one.report(20.0)
    one.admit(ORGANISATION, 1.0, 10, 800.0)
    left = one.left(ORGANISATION_ID, 800.0)
    assert not left.is_fleet_wide
    assert left.units <= make_quota_parameters(QUOTA, TOLERANCE).max_level / 10


def test_settle_returns_units_not_run_and_charges_reruns():
    one = new_limiter()
    one.admit(ORGANISATION, 10.0, 1, 0.0)
    before = one.left(ORGANISATION_ID, 0.0).units
    one.settle(ORGANISATION_ID, -10.0)
    assert one.left(ORGANISATION_ID, 0.0).units == before + 10.0
    one.settle(ORGANISATION_ID, 10.0)
    assert one.report(0.0).uses[0].total == 10.0


def test_backward_clock_jump_grants_no_units():
    one = new_limiter()
    one.admit(ORGANISATION, 1_000.0, 1, 50_000.0)
    left = one.left(ORGANISATION_ID, 50_000.0).units
    one.admit(ORGANISATION, 1.0, 1, 10_000.0)
    one.admit(ORGANISATION, 1.0, 1, 50_000.0)
    assert one.left(ORGANISATION_ID, 50_000.0).units <= left


def new_coordinator(parameters: QuotaParameters | None = None) -> QuotaCoordinator:
    found = parameters or make_quota_parameters(QUOTA, TOLERANCE)
    return QuotaCoordinator(
        NORTH, lambda key: found if key == KEY else None, lambda: {NORTH: 0.5, SOUTH: 0.5}
    )


def report(total: float, unsaid: float | None = None, level: float | None = None) -> UsageReport:
    return UsageReport(1, [QuotaUsage(KEY, total, total if unsaid is None else unsaid, level)])


def test_repeated_totals_count_once():
    one = new_coordinator(QuotaParameters(0.0, 1_000.0, 2_000.0))
    one.take_report(("a", 1), report(100.0), 0.0)
    assert one.take_report(("a", 1), report(100.0), 0.0) == {KEY: 900.0}
    assert one.take_report(("b", 1), report(50.0), 0.0) == {KEY: 850.0}
    # The instance has restarted, and its totals start from zero.
    assert one.take_report(("a", 2), report(20.0), 0.0) == {KEY: 830.0}


def test_new_coordinator_continues_from_the_level_in_a_report():
    one = new_coordinator(QuotaParameters(0.0, 1_000.0, 2_000.0))
    assert one.take_report(("a", 1), report(5_000.0, 30.0, 200.0), 0.0) == {KEY: 200.0}
    assert one.take_report(("b", 1), report(7_000.0, 30.0, 200.0), 0.0) == {KEY: 170.0}


def test_use_of_unknown_organisation_is_ignored():
    assert (
        new_coordinator().take_report(
            ("a", 1), UsageReport(1, [QuotaUsage(KEY + 1, 1.0, 1.0, None)]), 0.0
        )
        == {}
    )


def test_use_of_another_region_is_subtracted():
    one = new_coordinator(QuotaParameters(0.0, 1_000.0, 2_000.0))
    one.take_totals(SOUTH, ("s", 1), [RegionTotal(KEY, 70.0)], 0.0)
    one.take_report(("a", 1), report(100.0), 0.0)
    one.take_totals(SOUTH, ("s", 1), [RegionTotal(KEY, 120.0)], 0.0)
    assert one.take_report(("a", 1), report(100.0), 0.0)[KEY] == pytest.approx(850.0)


def test_partitioned_regions_together_stay_within_the_quota():
    parameters = QuotaParameters(PER_S, 1_000.0, 1_000.0)
    sides = [FleetLevel(parameters, 1_000.0, 0.0) for _ in range(2)]
    for one, other in zip(sides, (SOUTH, NORTH), strict=True):
        one.apply_update(other, 0.0, 0.0)
    used = 0.0
    for ms in range(10, 6_010, 10):
        for one, other in zip(sides, (SOUTH, NORTH), strict=True):
            if one.advance_to(float(ms), {other: 0.5}) > 0:
                one.subtract(20.0)
                used += 20.0
    assert used <= 1_000.0 + 6 * PER_S + 2 * 20.0


def test_update_after_silence_replaces_assumed_use():
    one = FleetLevel(QuotaParameters(PER_S, 1_000.0, 1_000.0), 500.0, 0.0)
    one.apply_update(SOUTH, 0.0, 0.0)
    one.advance_to(1_000.0, {SOUTH: 0.5})
    one.apply_update(SOUTH, 0.0, 1_000.0)
    assert one.advance_to(1_000.0, {}) == pytest.approx(1_000.0)


def test_idle_organisation_regains_no_units_when_its_state_is_dropped():
    # The instance drops its idle state meanwhile; the coordinator keeps its state for others.
    one, coordinator = new_limiter(), new_coordinator(QuotaParameters(0.0, 1_000.0, 2_000.0))
    one.admit(ORGANISATION, 60.0, 1, 0.0)
    coordinator.take_report(("a", 1), one.report(0.0), 0.0)
    coordinator.take_report(("b", 1), report(900.0), 70_000.0)
    one.forget_idle(70_000.0)
    one.admit(ORGANISATION, 1.0, 1, 70_000.0)
    left = coordinator.take_report(("a", 1), one.report(70_000.0), 70_000.0)
    assert left[KEY] == pytest.approx(39.0)


def test_idle_region_regains_no_units_when_its_state_is_dropped():
    parameters = QuotaParameters(0.0, 1_000.0, 2_000.0)
    north, south = new_coordinator(parameters), new_coordinator(parameters)
    north.take_report(("a", 1), report(60.0), 1.0)
    south.take_totals(NORTH, ("n", 1), north.totals(1.0), 1.0)
    # The south subtracts only what follows the north's first total: 1 of its 61 units.
    north.forget_idle(70_000.0)
    south.take_report(("b", 1), report(900.0), 70_000.0)
    north.take_report(("a", 1), report(61.0, 1.0), 70_000.0)
    south.take_totals(NORTH, ("n", 1), north.totals(70_000.0), 70_000.0)
    assert south.take_report(("b", 1), report(900.0), 70_000.0)[KEY] == pytest.approx(99.0)


def test_idle_debt_is_not_dropped():
    one, coordinator = new_limiter(), new_coordinator(QuotaParameters(1_000.0, 1_000.0, 1_000.0))
    one.admit(ORGANISATION, 200_000.0, 1, 0.0)
    coordinator.take_report(("a", 1), one.report(0.0), 0.0)
    one.forget_idle(70_000.0)
    coordinator.forget_idle(70_000.0)
    assert one.admit(ORGANISATION, 1.0, 1, 70_000.0) is not None
    assert coordinator.take_report(("b", 1), report(0.0), 70_000.0)[KEY] < 0
