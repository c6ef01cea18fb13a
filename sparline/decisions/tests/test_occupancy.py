"""Occupancy of a region, and levels while its servers are free."""

import pytest

from sparline.decisions import (
    ADJUSTMENT_MS,
    OPEN_LEVEL,
    LevelController,
    RoundReport,
    ServerUse,
    region_occupancy,
)
from sparline.decisions.tests.admission_plant import PATIENCE_MS

USES = [
    ("none known", [], None),
    ("slots", [ServerUse(8, 16), ServerUse(0, 16)], 0.25),
    ("waiting requests do not count twice", [ServerUse(40, 16)], 1.0),
    ("memory is full before the slots", [ServerUse(4, 16, 0.9)], 0.9),
    ("queue of prefill", [ServerUse(2, 16, 0.1, 125.0, 500.0)], 0.5),
]


@pytest.mark.parametrize(
    ("servers", "expected"), [row[1:] for row in USES], ids=[row[0] for row in USES]
)
def test_occupancy_is_that_of_the_scarcest_resource(servers, expected):
    assert region_occupancy(servers) == expected


def play(level: int, occupancy: float, refused: float = 0.0) -> LevelController:
    controller = LevelController(PATIENCE_MS, level)
    for number in range(1, 17):
        demand = {bucket: 10.0 for bucket in range(48)}
        controller.note(RoundReport(demand, 480.0, 96.0, 384.0, refused))
        controller.step(number * ADJUSTMENT_MS, occupancy)
    return controller


def test_late_answers_close_no_level_while_servers_are_free():
    # Answers are late after a start with cold caches; refusing requests then helps nobody.
    assert play(OPEN_LEVEL, 0.4).level == OPEN_LEVEL
    assert play(OPEN_LEVEL, 1.0).level < OPEN_LEVEL


def test_a_closed_level_opens_while_servers_are_free():
    # A level that only rises without misses stays closed where some answers are always late.
    assert play(256, 0.4).level == OPEN_LEVEL


def test_servers_that_refuse_close_the_level_whatever_load_is_known():
    # Servers also get requests from others than this fleet, which no instance knows of.
    assert play(OPEN_LEVEL, 0.1, refused=96.0).level < OPEN_LEVEL
