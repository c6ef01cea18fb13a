import random

import pytest

from sparline.forwarding import RetryRule, RetryWindow, _retry_window
from sparline.routes import ServiceName
from sparline.tests.fake_fleet import RETRY_RULE, STEP_MS, FakeFleet

ONE, OTHER = ServiceName("one"), ServiceName("other")
RULE = RetryRule(ratio=0.2, slack=40, window_ms=10_000)

BUDGETS = [
    # requests, instances, repeats allowed: 0.7 of ratio and slack
    (0, 1, 28),
    (100, 1, 42),
    (0, 4, 7),
    (100, 4, 21),
    (0, 40, 0),
]


@pytest.mark.parametrize(("requests", "instances", "allowed"), BUDGETS)
def test_repeats_are_bounded(requests, instances, allowed):
    window = RetryWindow(RULE, lambda: instances)
    for _ in range(requests):
        window.note_request(ONE)
    assert sum(window.spend(ONE) for _ in range(200)) == allowed


def test_each_service_has_its_own_budget_and_the_window_slides(monkeypatch):
    clock = [0.0]
    monkeypatch.setattr(_retry_window, "now_ms", lambda: clock[0])
    window = RetryWindow(RULE, lambda: 1)
    while window.spend(ONE):
        pass
    assert window.spend(OTHER)
    clock[0] += 10_001
    assert window.spend(ONE)


# Requests whose callers wait for each instance while it starts (count): 1.5 s of them.
WAITING = 12


def test_instances_that_start_together_keep_to_the_budget_of_all(monkeypatch):
    """Bound what instances that don't know each other yet repeat.

    The budget beyond a share of the requests is divided by the instances that one knows. All 78
    start within a second, callers wait at each of them, and all of their first requests fail, as
    where the backend servers were lost too. Divided by those that were known at each moment, they
    sent 486 repeats; all together may send 385.
    """
    fleet = FakeFleet(random.Random(1), seeds=[f"10.{region}.0.1" for region in (1, 2, 3)])
    fleet.install(monkeypatch)
    for region in (1, 2, 3):
        for number in range(1, 27):
            after_ms = fleet.chance.uniform(0, 1_000)
            fleet.start(f"10.{region}.0.{number}", str(region), after_ms)
    requests = repeats = 0
    waiting: dict[str, int] = {}
    for _ in range(round(3_000 / STEP_MS)):
        fleet.step()
        for ip, one in fleet.instances.items():
            if waiting.setdefault(ip, WAITING) and fleet.chance.random() < 0.2:
                waiting[ip] -= 1
                requests += 1
                one.retries.note_request(ONE)
                repeats += one.retries.spend(ONE)
    assert repeats <= RETRY_RULE.ratio * requests + RETRY_RULE.slack
    # A repeat here and there is allowed from the start.
    assert repeats >= len(fleet.instances)
