import pytest

from sparline.forwarding import RetryRule, RetryWindow, _retry_window
from sparline.routes import ServiceName

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
