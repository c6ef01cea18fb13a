"""Patterns of load at its worst, as data, on deployments of three regions of unlike size."""

import random
from dataclasses import replace
from functools import cache
from pathlib import Path

import msgspec

from benchmarks.choice_simulation import (
    MOST_REQUESTS,
    Arrival,
    Draw,
    EngineDraw,
    draw_arrivals,
    draw_deployment,
    draw_ranked_work,
    draw_short_work,
)

PATTERNS_FILE = Path(__file__).with_name("patterns.json")
REGIONS = ("large", "middle", "small")
ENGINES = (6, 4, 3)  # of each region
ONE_WAY_MS = 55.0
DAY_MS = 8_000.0
# Short requests come by the thousand a second, and a day of less than some rounds of gossip tells nothing
# (count).
MOST_SHORT_REQUESTS = 6_000
# Seeds that are played while something is changed, and those kept for the end.
SHOWN_SEEDS = (1, 2, 3)
UNSEEN_SEEDS = (101, 102, 103)


class LoadPattern(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Describe how often callers come, by region and time."""

    name: str  # short
    answers: str  # what happens, in words
    settle_ms: float  # how long instances hear of each other before the first request
    load: float  # work that comes, against what all engines can do, where the rate is 1
    # For each region: from when (ms) callers come how many times as often as on average.
    rates: tuple[tuple[tuple[float, float], ...], ...]
    is_ranked: bool = False  # whether requests have three ranks, and the most urgent are short
    is_short: bool = False  # whether nearly all requests are short, before engines with few slots

    def rate(self, region: str, at_ms: float) -> float:
        """Return how many times as often callers of a region come at a time."""
        steps = self.rates[REGIONS.index(region)]
        return [factor for from_ms, factor in steps if from_ms <= at_ms][-1]


@cache
def load_patterns() -> dict[str, LoadPattern]:
    """Return all patterns by name."""
    patterns = msgspec.json.decode(PATTERNS_FILE.read_bytes(), type=list[LoadPattern])
    return {one.name: one for one in patterns}


def deployment_of(pattern: LoadPattern, instances: int, seed: int) -> Draw:
    """Return a deployment with so many instances a region; its engines and mix follow the seed."""
    engines = [
        EngineDraw(region, 1.0)
        for region, count in zip(REGIONS, ENGINES, strict=True)
        for _ in range(count)
    ]
    drawn = draw_deployment(seed)
    if pattern.is_short:
        engine, kinds = draw_short_work(seed)
        drawn = replace(drawn, engine=engine, kinds=kinds)
    if pattern.is_ranked:
        engine, kinds = draw_ranked_work(seed)
        drawn = replace(drawn, engine=engine, kinds=kinds)
    return replace(
        drawn,
        regions=REGIONS,
        engines=tuple(engines),
        one_way_ms=ONE_WAY_MS,
        load=pattern.load,
        instances_a_region=instances,
    )


def arrivals_of(pattern: LoadPattern, draw: Draw) -> list[Arrival]:
    """Return the requests of a day; who asks which instance differs with their number alone."""
    most = MOST_SHORT_REQUESTS if pattern.is_short or pattern.is_ranked else MOST_REQUESTS
    arrivals = draw_arrivals(draw, pattern.rate, DAY_MS, most)
    chance = random.Random(draw.seed)
    return [replace(one, instance=chance.randrange(draw.instances_a_region)) for one in arrivals]
