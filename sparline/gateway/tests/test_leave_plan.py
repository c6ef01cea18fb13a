"""Tests of which requests a leaving instance accepts."""

from dataclasses import replace

import pytest

from sparline.gateway import _leave_plan
from sparline.gateway._late_requests import LONGEST_TIME_FACTOR, LateRequest
from sparline.gateway._leave_plan import (
    NOTICE_MS,
    RESTART_MS,
    LeavePlan,
    StopPhase,
    StopSources,
)
from sparline.requests import Prompt
from sparline.routes import RequestKind
from sparline.tests.routed import make_route

GRACE_MS = 8_000.0
STREAM = make_route(kind=RequestKind.STREAM, wanted_latency_ms=1_000, timeout_ms=8_000)
ONCE = make_route(
    kind=RequestKind.STREAM, wanted_latency_ms=1_000, timeout_ms=8_000, resumable=False
)
PLAIN = make_route(kind=RequestKind.UNSAFE, wanted_latency_ms=400, timeout_ms=1_200)
# Their own limit ends before the process as long as the instance accepts requests.
SHORT_STREAM = make_route(kind=RequestKind.STREAM, wanted_latency_ms=1_000, timeout_ms=3_500)
SHORT_ONCE = make_route(
    kind=RequestKind.STREAM, wanted_latency_ms=1_000, timeout_ms=3_500, resumable=False
)


def make_plan(is_last, **changes):
    """Return the plan of a stop that began at 0, while another instance is about to be back."""
    values = {
        "is_return_expected": True,
        "is_relieved": False,
        "are_others_leaving": True,
        "shortest_ms": None,
        "remaining_ms": 0.0,
    } | changes
    sources = {name: (lambda value=value: value) for name, value in values.items()}
    return LeavePlan(0.0, GRACE_MS, StopSources(is_last_in_region=lambda: is_last, **sources))


def make_changing_plan():
    """Return such a plan, and the list whose one value says whether no other instance is live."""
    is_last = [True]
    sources = make_plan(True).sources
    return LeavePlan(0.0, GRACE_MS, replace(sources, is_last_in_region=lambda: is_last[0])), is_last


def make_late_request(route, prompt, token_ms=15.0, longest_ms=None):
    """Return a request whose longest time lately lies as far below its target as is allowed for."""
    if longest_ms is None:
        longest_ms = route.wanted_latency_ms / LONGEST_TIME_FACTOR
    return LateRequest(route, prompt, route.timeout_ms, longest_ms, 0.0, token_ms)


ROWS = [
    ("a long answer at once", STREAM, Prompt(17_000, 120, ()), 0, True),
    ("a long answer while there is time", STREAM, Prompt(17_000, 120, ()), 2_900, True),
    ("a very long answer half way", STREAM, Prompt(17_000, 400, ()), 2_900, False),
    ("a long answer that ends just in time", STREAM, Prompt(17_000, 300, ()), 2_000, True),
    ("a short answer before the last moment", SHORT_STREAM, Prompt(300, 20, ()), 3_900, True),
    ("a short answer after the last moment", SHORT_STREAM, Prompt(300, 20, ()), 4_050, False),
    ("a long answer of slow engines", STREAM, Prompt(17_000, 120, ()), 2_000, False, 45.0),
    ("a long answer of quick engines", STREAM, Prompt(17_000, 400, ()), 2_900, True, 5.0),
    ("one that runs once and may last longer", ONCE, Prompt(17_000, 110, ()), 0, False),
    ("one that runs once and ends soon", ONCE, Prompt(17_000, 50, ()), 0, False),
    ("one that runs once, with a limit", SHORT_ONCE, Prompt(17_000, 110, ()), 3_850, True),
    ("one that can be picked up again", STREAM, Prompt(17_000, 110, ()), 2_950, True),
    ("a plain one before the last moment", PLAIN, None, 3_900, True),
    ("a plain one after the last moment", PLAIN, None, 4_100, False),
]


@pytest.mark.parametrize(
    ("route", "prompt", "at_ms", "taken", "token_ms"),
    [(*row[1:5], row[5] if len(row) > 5 else 15.0) for row in ROWS],
    ids=[row[0] for row in ROWS],
)
def test_leaving_instance_accepts_requests_that_it_can_complete(
    monkeypatch, route, prompt, at_ms, taken, token_ms
):
    plan = make_plan(is_last=False)
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: float(at_ms))
    assert plan.decide(make_late_request(route, prompt, token_ms)).is_accepted is taken


# It is the last of its region, and accepts by recent times for 3 s.
NEEDED_ROWS = [
    ("a plain one, its own limit ends before the exit", PLAIN, None, 6_300, True),
    ("a plain one, its own limit ends after the exit", PLAIN, None, 6_500, False),
    ("a long answer that would not end in time", STREAM, Prompt(17_000, 270, ()), 2_700, False),
    ("one that runs once, half as long again", ONCE, Prompt(17_000, 160, ()), 2_400, True),
    # Such ones were cut: they had waited for a place, or engines paused longer than usual.
    ("one that runs once and may wait", ONCE, Prompt(17_000, 160, ()), 2_600, False),
    ("one that runs once and ends soon", ONCE, Prompt(17_000, 50, ()), 2_900, True),
    ("a long answer that can be picked up again", STREAM, Prompt(17_000, 160, ()), 2_900, True),
    ("the same, after those 3 s", STREAM, Prompt(17_000, 160, ()), 3_000, False),
]


@pytest.mark.parametrize(
    ("route", "prompt", "at_ms", "taken"),
    [row[1:] for row in NEEDED_ROWS],
    ids=[row[0] for row in NEEDED_ROWS],
)
def test_last_instance_of_a_region_accepts_requests_for_longer(
    monkeypatch, route, prompt, at_ms, taken
):
    plan = make_plan(is_last=True)
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: float(at_ms))
    assert plan.decide(make_late_request(route, prompt)).is_accepted is taken


MIXED_WORK = make_route(kind=RequestKind.UNSAFE, wanted_latency_ms=1_000, timeout_ms=8_000)
ONCE_MIXED = make_route(
    kind=RequestKind.STREAM, wanted_latency_ms=1_000, timeout_ms=8_000, resumable=False
)
LONG_ROWS = [
    # The process exits 7.6 s into the stop.
    ("longer than the target", MIXED_WORK, None, 3_000.0, 8_000.0, 4_600, False),
    ("longer than the target, just in time", MIXED_WORK, None, 4_000.0, 8_000.0, 2_500, True),
    ("longer than the target, just too late", MIXED_WORK, None, 4_000.0, 8_000.0, 2_700, False),
    ("not known", MIXED_WORK, None, None, 8_000.0, 0, False),
    ("not known, but its caller gives up in time", MIXED_WORK, None, None, 2_500.0, 5_000, True),
    ("not known, and its caller gives up late", MIXED_WORK, None, None, 2_500.0, 5_200, False),
    ("its caller gives up before the longest ends", MIXED_WORK, None, 3_000.0, 900.0, 6_500, True),
    ("usual work", MIXED_WORK, None, 200.0, 8_000.0, 2_900, True),
    ("safe, longer than the target", make_route(kind=RequestKind.SAFE, wanted_latency_ms=1_000, timeout_ms=8_000), None, 3_000.0, 8_000.0, 4_600, False),
    ("a late first event", STREAM, Prompt(400, 20, ()), 3_000.0, 8_000.0, 4_600, False),
    ("a late first event of one that runs once", ONCE_MIXED, Prompt(400, 20, ()), 2_000.0, 8_000.0, 4_000, False),
    ("a first event whose time is not known", STREAM, Prompt(400, 20, ()), None, 8_000.0, 100, False),
]  # fmt: skip


@pytest.mark.parametrize(
    ("route", "prompt", "longest_ms", "limit_ms", "at_ms", "taken"),
    [row[1:] for row in LONG_ROWS],
    ids=[row[0] for row in LONG_ROWS],
)
def test_target_latency_is_no_bound_on_the_time_of_a_late_request(
    monkeypatch, route, prompt, longest_ms, limit_ms, at_ms, taken
):
    """Guards against requests that are accepted although they may outlast the process."""
    plan = make_plan(is_last=True)
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: float(at_ms))
    request = LateRequest(route, prompt, limit_ms, longest_ms, None, 15.0)
    assert plan.decide(request).is_accepted is taken


# Whether it is the last of its region, the longest whole answer lately, how much time is left.
WHOLE_ROWS = [
    ("longer than what is left", False, 2_000.0, 4_700, False),
    ("far shorter than what is left", False, 1_800.0, 4_700, True),
    ("not known while another instance is live", False, None, 4_700, False),
    ("longer than what is left, where none is live", True, 4_700.0, 4_700, False),
    ("just shorter than what is left, where none is live", True, 3_700.0, 4_700, True),
    ("not known where none is live", True, None, 4_700, True),
]


@pytest.mark.parametrize(
    ("is_last", "longest_whole_ms", "left_ms", "taken"),
    [row[1:] for row in WHOLE_ROWS],
    ids=[row[0] for row in WHOLE_ROWS],
)
def test_late_stream_is_not_accepted_by_its_first_event_and_usual_output_alone(
    monkeypatch, is_last, longest_whole_ms, left_ms, taken
):
    """Guards against streams that are cut because their engine is slower than it was on average."""
    plan = make_plan(is_last)
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: plan.exits_at_ms() - left_ms)
    monkeypatch.setattr(LeavePlan, "accepts_until_ms", lambda plan: plan.exits_at_ms())
    request = LateRequest(STREAM, Prompt(400, 20, ()), 8_000.0, 100.0, longest_whole_ms, 15.0)
    assert plan.decide(request).is_accepted is taken


UNSAFE = make_route(kind=RequestKind.UNSAFE, wanted_latency_ms=300, timeout_ms=8_000)
SAFE = make_route(kind=RequestKind.SAFE, wanted_latency_ms=300, timeout_ms=8_000)
# Its route, its own limit, when it comes, whether its instance is the last of the region, whether it
# is accepted, whether other instances leave, too. Such requests took 100 ms lately; the process exits
# 7.6 s into the stop.
LIMIT_ROWS = [
    ("runs once, at once", UNSAFE, 8_000.0, 0, False, False),
    ("runs once, a stream", ONCE, 8_000.0, 0, False, False),
    ("runs once, its own limit ends before the exit", UNSAFE, 2_500.0, 3_900, False, True),
    ("runs once, its own limit ends after the exit", UNSAFE, 4_000.0, 3_700, False, False),
    ("may be repeated, early, while others leave", SAFE, 8_000.0, 2_900, False, True, True),
    ("may be resumed, early, while others leave", STREAM, 8_000.0, 2_900, False, True, True),
    ("may be repeated, at once, while no other leaves", SAFE, 8_000.0, 0, False, False, False),
    ("may be resumed, at once, while no other leaves", STREAM, 8_000.0, 0, False, False, False),
    ("may be repeated, late", SAFE, 8_000.0, 3_100, False, False),
    ("may be resumed, late", STREAM, 8_000.0, 3_100, False, False),
    (
        "may be repeated, late, its own limit ends before the exit",
        SAFE,
        4_000.0,
        3_500,
        False,
        True,
    ),
    ("runs once, early, where no other instance is live", UNSAFE, 8_000.0, 2_900, True, True),
    ("may be repeated, early, where no other instance is live", SAFE, 8_000.0, 2_900, True, True),
    ("runs once, late, where no other instance is live", UNSAFE, 8_000.0, 3_000, True, False),
    ("may be repeated, late, where no other instance is live", SAFE, 8_000.0, 3_000, True, False),
    ("may be resumed, late, where no other instance is live", STREAM, 8_000.0, 3_000, True, False),
    ("in time by its own limit, where none is live", UNSAFE, 2_500.0, 5_000, True, True),
]


@pytest.mark.parametrize(
    ("route", "limit_ms", "at_ms", "is_last", "taken", "others_leave"),
    [(*row[1:6], row[6] if len(row) > 6 else True) for row in LIMIT_ROWS],
    ids=[row[0] for row in LIMIT_ROWS],
)
def test_late_request_is_cut_though_another_instance_could_take_it(
    monkeypatch, route, limit_ms, at_ms, is_last, taken, others_leave
):
    """Guards against requests accepted by recent times, which any request may exceed."""
    plan = make_plan(is_last, are_others_leaving=others_leave)
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: float(at_ms))
    request = LateRequest(route, None, limit_ms, 100.0, 100.0, 15.0)
    assert plan.decide(request).is_accepted is taken


@pytest.mark.parametrize("route", [UNSAFE, SAFE, STREAM, ONCE])
@pytest.mark.parametrize("returned_ms_ago", [0, 2_900])
def test_late_request_is_cut_though_its_region_has_a_live_instance_again(
    monkeypatch, route, returned_ms_ago
):
    """Guards against requests that the last instance goes on to accept by recent times."""
    at_ms = [1_000.0]
    plan, is_last = make_changing_plan()
    plan = replace(plan, sources=replace(plan.sources, are_others_leaving=lambda: False))
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: at_ms[0])
    request = LateRequest(route, None, 8_000.0, 100.0, 100.0, 15.0)
    assert plan.decide(request).is_accepted
    is_last[0] = False
    at_ms[0] += returned_ms_ago
    assert not plan.decide(request).is_accepted
    in_time = replace(request, limit_ms=plan.exits_at_ms() - at_ms[0] - 1.0)
    assert plan.decide(in_time).is_accepted


@pytest.mark.parametrize("route", [UNSAFE, SAFE, STREAM, ONCE])
def test_late_request_is_cut_where_nobody_replaces_its_instance(monkeypatch, route):
    """Guards against requests accepted by recent times at the only instance of a region."""
    plan = make_plan(True, is_return_expected=False, are_others_leaving=False)
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: 0.0)
    request = LateRequest(route, None, 8_000.0, 100.0, 100.0, 15.0)
    assert not plan.decide(request).is_accepted
    assert plan.decide(replace(request, limit_ms=7_500.0)).is_accepted


# Whether another instance is about to be back, the time, and what the instance is there for then.
PHASE_ROWS = [
    ("another one was there lately", {}, 2_900.0, StopPhase.SUBSTITUTING),
    ("another one was there lately, but is not back", {}, 3_000.0, StopPhase.FINISHING),
    ("no other one", {"is_return_expected": False}, 0.0, StopPhase.FINISHING),
    ("another leaving one is there longer", {"is_relieved": True}, 0.0, StopPhase.RELIEVED),
]


@pytest.mark.parametrize(
    ("changes", "at_ms", "phase"),
    [row[1:] for row in PHASE_ROWS],
    ids=[row[0] for row in PHASE_ROWS],
)
def test_last_instance_waits_only_for_others_that_come_back(monkeypatch, changes, at_ms, phase):
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: at_ms)
    assert make_plan(True, **changes).phase() is phase
    assert make_plan(False, **changes).phase() is StopPhase.REPLACED


# When the oldest request in flight at 1,000 ms had arrived, the time, and whether the instance closes then.
CLOSE_ROWS = [
    ("callers are not told yet", None, 400.0, False),
    ("nothing in flight", None, 600.0, True),
    ("one from before the stop has just ended", -100.0, 1_400.0, False),
    ("one from before the stop ended a while ago", -100.0, 1_600.0, True),
    ("only one that will end in time", 100.0, 1_000.0, True),
]


@pytest.mark.parametrize(
    ("oldest_ms", "at_ms", "may_close"),
    [row[1:] for row in CLOSE_ROWS],
    ids=[row[0] for row in CLOSE_ROWS],
)
def test_region_is_without_an_instance_for_longer_than_it_has_to_be(
    monkeypatch, oldest_ms, at_ms, may_close
):
    """Guards against an only instance that waits although it could be back."""
    now = [0.0]
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: now[0])
    plan = make_plan(True, is_return_expected=False)
    assert plan.phase() is StopPhase.FINISHING
    if at_ms >= 1_000.0:
        now[0] = 1_000.0
        plan.may_close_early(oldest_ms)
    now[0] = at_ms
    assert plan.may_close_early(None) is may_close


# What is known of others and of requests in flight, and the wait of a refused caller (ms).
WAIT_ROWS = [
    ("another instance is live", False, {}, 1_000.0, 0.0),
    ("another one is about to be back", True, {}, 1_000.0, 2_000.0),
    ("the next process comes", True, {"is_return_expected": False}, 0.0, NOTICE_MS + RESTART_MS),
    (
        "the next process comes once a long request is complete",
        True,
        {"is_return_expected": False, "remaining_ms": 2_500.0},
        0.0,
        2_500.0 + NOTICE_MS + RESTART_MS,
    ),
]


@pytest.mark.parametrize(
    ("is_last", "changes", "at_ms", "wait_ms"),
    [row[1:] for row in WAIT_ROWS],
    ids=[row[0] for row in WAIT_ROWS],
)
def test_refused_caller_comes_back_before_anybody_can_serve_it(
    monkeypatch, is_last, changes, at_ms, wait_ms
):
    """Guards against callers that use up their tries while their region has no instance."""
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: at_ms)
    assert make_plan(is_last, **changes).served_again_in_ms() == wait_ms


# Whether it is the last of its region, relieved, the shortest work (ms), and until when it accepts.
END_ROWS = [
    ("others live", False, False, None, 4_000.0),
    ("none lives", True, False, None, 6_800.0),
    ("none lives, another left later", True, True, None, 0.0),
    ("another left later, but others live", False, True, None, 4_000.0),
    ("nothing would end in time, but none lives", True, False, 3_000.0, 6_800.0),
    ("nothing would end in time, and others live", False, False, 3_000.0, 3_850.0),
]


@pytest.mark.parametrize(
    ("is_last", "is_relieved", "shortest_ms", "until_ms"),
    [row[1:] for row in END_ROWS],
    ids=[row[0] for row in END_ROWS],
)
def test_instance_that_is_not_needed_stops_early(is_last, is_relieved, shortest_ms, until_ms):
    """Guards against instances that wait for their end with nothing that they could accept."""
    plan = make_plan(is_last, is_relieved=is_relieved, shortest_ms=shortest_ms)
    assert plan.accepts_until_ms() == until_ms


@pytest.mark.parametrize(
    ("returned_at_ms", "until_ms"), [(500, 4_000), (3_000, 6_000), (6_000, 6_800)]
)
def test_callers_led_to_the_last_instance_are_served_after_another_is_back(
    monkeypatch, returned_at_ms, until_ms
):
    """Guards against callers that find the port closed to which they were sent."""
    plan, is_last = make_changing_plan()
    monkeypatch.setattr(_leave_plan, "now_ms", lambda: float(returned_at_ms))
    assert plan.accepts_until_ms() == 6_800.0
    is_last[0] = False
    assert plan.accepts_until_ms() == until_ms
