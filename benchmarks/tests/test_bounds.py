import pytest

from benchmarks.bounds._rules import (
    RepeatRule,
    SeenArrival,
    SentRequest,
    latest_after_ms,
    most_in_a_second,
    worst_repeat_window,
)

RULE = RepeatRule(ratio=0.5, slack=2.0, window_ms=10_000.0)

REPEATS = [
    # times of requests, arrivals of one request, repeats and bound of the worst window
    ([], [0.0], 0, 2.0),
    ([], [0.0, 1.0, 2.0], 2, 2.0),
    ([], [0.0, 1.0, 10_002.0], 1, 2.0),
    ([1.0, 2.0, 3.0, 4.0], [5.0, 6.0], 1, 4.0),
    # The window before holds more.
    ([1.0, 2.0, 3.0, 4.0], [5.0, 15_000.0], 1, 4.0),
    ([1.0, 2.0, 3.0, 4.0], [5.0, 25_000.0], 1, 2.0),
]


@pytest.mark.parametrize(("sent", "arrived", "repeats", "allowed"), REPEATS)
def test_repeats_are_held_against_the_fullest_of_three_windows(sent, arrived, repeats, allowed):
    requests = [SentRequest(f"r{place}", at_ms) for place, at_ms in enumerate(sent)]
    arrivals = [SeenArrival("r0", "p0", at_ms) for at_ms in arrived]
    worst = worst_repeat_window(requests, arrivals, RULE)
    assert (worst.repeats, worst.allowed) == (repeats, allowed)


def test_a_second_slides():
    assert most_in_a_second([0.0, 900.0, 1_000.0, 1_800.0, 1_900.0], 0.0, 5_000.0) == 4
    assert most_in_a_second([0.0, 900.0, 6_000.0], 500.0, 5_000.0) == 1


def test_arrivals_before_the_moment_do_not_count():
    assert latest_after_ms([10.0, 30.0], 20.0) == 10.0
    assert latest_after_ms([10.0], 20.0) == 0.0
