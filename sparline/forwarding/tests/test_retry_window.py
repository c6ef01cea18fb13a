import random

import pytest

from sparline.forwarding import RetryRule, RetryWindow, _retry_window
from sparline.routes import ServiceName
from sparline.tests.fake_fleet import RETRY_RULE, STEP_MS, FakeFleet

ONE, OTHER = ServiceName("one"), ServiceName("other")
RULE = RetryRule(ratio=0.2, slack=40, window_ms=10_000)

BUDGETS = [
    # requests, instances, allowed retries: 0.7 of ratio and slack
    (0, 1, 28),
    (100, 1, 42),
    (0, 4, 7),
    (100, 4, 21),
    (0, 40, 0),
]


@pytest.mark.parametrize(("requests", "instances", "allowed"), BUDGETS)
def test_retries_are_bounded(requests, instances, allowed):
    window = RetryWindow(RULE, lambda: instances)
    for _ in range(requests):
        window.note_request(ONE)
    assert sum(window.spend(ONE) for _ in range(200)) == allowed


def test_budget_is_per_service_and_window_slides(monkeypatch):
    clock = [0.0]
    monkeypatch.setattr(_retry_window, "now_ms", lambda: clock[0])
    window = RetryWindow(RULE, lambda: 1)
    while window.spend(ONE):
        pass
    assert window.spend(OTHER)
    clock[0] += 10_001
    assert window.spend(ONE)


def test_instances_that_start_again_and_again_use_the_slack_once(monkeypatch):
    # Each start forgot what had been used; three starts in a window allowed twice the slack.
    clock = [0.0]
    monkeypatch.setattr(_retry_window, "now_ms", lambda: clock[0])
    instances = 8
    retries_made = 0
    for is_first_start in (True, False, False):
        for _ in range(instances):
            window = RetryWindow(RULE, lambda: instances, is_first_start=is_first_start)
            while window.spend(ONE):
                retries_made += 1
        clock[0] += 3_000
    assert retries_made <= RULE.slack


def test_an_instance_up_for_a_whole_window_uses_its_share_of_the_slack(monkeypatch):
    clock = [0.0]
    monkeypatch.setattr(_retry_window, "now_ms", lambda: clock[0])
    window = RetryWindow(RULE, lambda: 4, is_first_start=False)
    clock[0] += RULE.window_ms
    assert sum(window.spend(ONE) for _ in range(200)) == 7


# Requests pending at each instance when it starts (count): the arrivals of 1.5 s.
PENDING_REQUESTS = 12


def test_instances_starting_together_stay_within_fleet_budget(monkeypatch):
    """Limit retries of instances that have not discovered each other yet.

    Each instance divides the slack by the number of instances it knows. All 78 start within a
    second with pending requests, and every first attempt fails, as after a loss of the backend
    servers. Dividing by the instances known at each moment allowed 486 retries; the fleet's budget
    is 385.
    """
    fleet = FakeFleet(random.Random(1), seeds=[f"10.{region}.0.1" for region in (1, 2, 3)])
    fleet.install(monkeypatch)
    for region in (1, 2, 3):
        for number in range(1, 27):
            after_ms = fleet.chance.uniform(0, 1_000)
            fleet.start(f"10.{region}.0.{number}", str(region), after_ms)
    requests = retries_made = 0
    pending: dict[str, int] = {}
    for _ in range(round(3_000 / STEP_MS)):
        fleet.step()
        for ip, one in fleet.instances.items():
            if pending.setdefault(ip, PENDING_REQUESTS) and fleet.chance.random() < 0.2:
                pending[ip] -= 1
                requests += 1
                one.retries.note_request(ONE)
                retries_made += one.retries.spend(ONE)
    assert retries_made <= RETRY_RULE.ratio * requests + RETRY_RULE.slack
    # On average each instance is allowed at least one retry while the fleet is starting.
    assert retries_made >= len(fleet.instances)
