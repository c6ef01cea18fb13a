"""Order of waiting requests, without starvation of long ones, and the retry budget."""

from dataclasses import replace

import pytest

from sparline.dispatch import RetryBudget, WaitQueue
from sparline.relay.tests.test_sender import make_request
from sparline.requests import Length, Request

SHORT, LONG = Length.SHORT, Length.LONG

ORDERS = [
    # name, waiting as (length, priority), free slots, indexes of the requests that get them
    ("first come, first served", [(SHORT, 5), (SHORT, 5)], 1, [0]),
    ("short before long", [(LONG, 5), (SHORT, 5)], 1, [1]),
    ("higher priority first", [(SHORT, 5), (SHORT, 9)], 1, [1]),
    ("short before long of higher priority", [(LONG, 9), (SHORT, 0)], 1, [1]),
    ("all fit", [(LONG, 5), (SHORT, 5), (SHORT, 5)], 3, [0, 1, 2]),
]


@pytest.mark.parametrize(
    ("name", "waiting", "slots", "placed"), ORDERS, ids=[row[0] for row in ORDERS]
)
def test_order(name: str, waiting: list, slots: int, placed: list[int]) -> None:
    free_slots = [slots]

    def reserve_slot(_request: Request, _excluded: frozenset) -> object | None:
        if not free_slots[0]:
            return None
        free_slots[0] -= 1
        return object()

    queue = WaitQueue(reserve_slot)
    waiters = [
        queue.enter(replace(make_request(True), length=length, priority=priority), frozenset())
        for length, priority in waiting
    ]
    queue.place_waiting()
    assert [number for number, one in enumerate(waiters) if one.reservation] == placed
    assert len(queue) == len(waiting) - len(placed)


def test_long_request_overtakes_short_one_without_a_slot() -> None:
    queue = WaitQueue(lambda request, _excluded: object() if request.length is LONG else None)
    short = queue.enter(replace(make_request(True), length=SHORT), frozenset())
    long = queue.enter(replace(make_request(True), length=LONG), frozenset())
    queue.place_waiting()
    assert long.reservation and not short.reservation


def test_counts_waiting_requests_by_target_and_length() -> None:
    queue = WaitQueue(lambda *_: None)
    for length in (SHORT, LONG, LONG):
        queue.enter(replace(make_request(True), length=length), frozenset())
    assert [(one.target, one.short, one.long) for one in queue.counts()] == [("m", 1, 2)]


def test_retry_budget_limits_retries_to_a_fraction_of_requests() -> None:
    budget = RetryBudget()
    spent = 0
    for _ in range(1000):
        budget.earn()
        spent += sum(budget.spend() for _ in range(3))
    assert spent <= 0.2 * 1000 + 20
