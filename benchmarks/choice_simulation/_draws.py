"""Deployments that are drawn at random, with their requests, for experiments on the choice."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

# Seeds of the draws of a report. The second half is looked at only when nothing is changed any
# more, so that no figure of the choice can be fitted to it.
SHOWN_SEEDS = tuple(range(1, 25))
UNSEEN_SEEDS = tuple(range(101, 125))
# Longest played day (ms), and the most requests of one (count): a day of many is shorter.
LONGEST_DAY_MS = 16_000.0
MOST_REQUESTS = 2_500
INSTANCES_A_REGION = 2
# Callers wait for their answer so many times as long as its steps take.
DEADLINE_STEPS = 3
# Busy times of regions follow each other: a region's rate swings between these parts of its mean.
SWING_LEAST = 0.4
SWING_MOST = 1.9
# Callers come at most so many times as often as on average.
MOST_RATE = 2.5


@dataclass(frozen=True, slots=True)
class EngineDraw:
    """Describe one engine."""

    region: str  # where it stands
    speed: float  # against the slowest kind, at least 1


@dataclass(frozen=True, slots=True)
class KindDraw:
    """Describe one kind of request."""

    name: str  # of its route
    share: float  # of all requests
    shared_tokens: int  # start of its prompts that others share
    starts: int  # different shared starts
    own_tokens: float  # mean of the rest of a prompt
    spread: float  # standard deviation of the logarithm of that rest
    output_tokens: float  # mean length of an answer
    wanted_ms: float  # wanted time to the first event
    pause_ms: float  # wanted longest pause
    deadline_ms: float  # when its callers give up
    worth: float  # credit of the mean request in time
    late_worth: float  # the same of one that is late
    resumable: bool  # whether it may run twice
    rank: int  # urgency of its route, 0 for the most urgent


@dataclass(frozen=True, slots=True)
class EngineKind:
    """Describe how all engines of a deployment work."""

    tokens_per_ms: float  # reading of an engine of speed 1
    pairs_ms_per_m: float  # more time for a million pairs of a token and one before it
    step_ms: float  # a step without reading
    step_ms_per_slot: float  # the same for each running request
    chunk_tokens: int  # most tokens read in a step
    slots: int  # requests that run at once
    memory_tokens: int  # memory of an engine
    event_tokens: int  # tokens in an event

    @property
    def crowded_step_ms(self) -> float:
        """Return the time of a step without reading, with all places taken."""
        return self.step_ms + self.step_ms_per_slot * self.slots


@dataclass(frozen=True, slots=True)
class Draw:
    """Describe one deployment."""

    seed: int  # what it was drawn with
    regions: tuple[str, ...]  # all regions
    engines: tuple[EngineDraw, ...]  # all engines
    kinds: tuple[KindDraw, ...]  # all kinds of request
    engine: EngineKind  # what all engines are, but for their speed
    one_way_ms: float  # between regions
    load: float  # work that comes, against what all engines can do
    instances_a_region: int = INSTANCES_A_REGION  # count


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe one request of a caller."""

    at_ms: float  # when it comes
    region: str  # where
    instance: int  # at which instance of the region
    kind: KindDraw  # what
    start: int  # which shared start
    tokens: int  # whole prompt
    output_tokens: int  # answer, as told and as made
    credit: float  # earned in time

    @property
    def own_tokens(self) -> int:
        """Return the tokens that no other request shares."""
        return self.tokens - self.kind.shared_tokens


def draw_deployment(seed: int) -> Draw:
    """Return the deployment of a seed."""
    chance = random.Random(seed)
    regions = tuple(f"region-{number}" for number in range(chance.choice((2, 3, 3, 4))))
    engines = tuple(
        EngineDraw(region, chance.choice((1.0, 1.0, 1.0, 1.5, 3.0)))
        for region in regions
        for _ in range(_between(chance, 1, 8))
    )
    engine = EngineKind(
        tokens_per_ms=_log_between(chance, 10, 200),
        pairs_ms_per_m=_log_between(chance, 0.05, 0.8),
        step_ms=_log_between(chance, 3, 20),
        step_ms_per_slot=chance.uniform(0.0, 0.09),
        chunk_tokens=chance.choice((2_048, 4_096, 8_192)),
        slots=chance.choice((8, 16, 32, 64, 128)),
        memory_tokens=round(_log_between(chance, 100_000, 500_000)),
        event_tokens=_between(chance, 3, 9),
    )
    long_share = chance.choice((0.04, 0.1, 0.25, 0.5))
    # Operators want what their engines can do: a pause that running requests alone stay within.
    pause_ms = chance.choice((300.0, 400.0, 600.0, 900.0))
    pause_ms = max(pause_ms, 2 * engine.event_tokens * engine.crowded_step_ms)
    return Draw(
        seed=seed,
        regions=regions,
        engines=engines,
        kinds=(
            _long_kind(chance, long_share, engine, pause_ms),
            _short_kind(chance, 1 - long_share, engine, pause_ms),
        ),
        engine=engine,
        one_way_ms=chance.uniform(12.0, 90.0),
        load=chance.choice((0.35, 0.6, 0.85, 1.1)),
    )


def draw_short_work(seed: int) -> tuple[EngineKind, tuple[KindDraw, ...]]:
    """Return engines with few slots, and requests of which nearly all are short and urgent.

    Slots bind there, not reading: a short request reads for some ms and runs for hundreds.
    """
    chance = random.Random(seed * 104_729)
    engine = EngineKind(
        tokens_per_ms=_log_between(chance, 40, 100),
        pairs_ms_per_m=_log_between(chance, 0.3, 0.8),
        step_ms=_log_between(chance, 3, 8),
        step_ms_per_slot=chance.uniform(0.0, 0.03),
        chunk_tokens=4_096,
        slots=chance.choice((8, 16, 16, 24)),
        memory_tokens=round(_log_between(chance, 250_000, 500_000)),
        event_tokens=8,
    )
    pause_ms = max(400.0, 2 * engine.event_tokens * engine.crowded_step_ms)
    long_share = chance.uniform(0.02, 0.06)
    long = _long_kind(chance, long_share, engine, pause_ms)
    short = _short_kind(chance, 1 - long_share, engine, pause_ms)
    short = replace(short, own_tokens=_log_between(chance, 150, 500), resumable=True)
    return engine, (long, replace(short, output_tokens=_log_between(chance, 25, 70)))


def draw_ranked_work(seed: int) -> tuple[EngineKind, tuple[KindDraw, ...]]:
    """Return engines with few slots, and requests of three ranks, a third of them most urgent.

    The more urgent a request, the shorter it is and the sooner its first event is wanted.
    """
    chance = random.Random(seed * 15_485_863)
    engine, _ = draw_short_work(seed)
    pause_ms = max(400.0, 2 * engine.event_tokens * engine.crowded_step_ms)
    medium_share = chance.uniform(0.3, 0.45)
    short = replace(
        _short_kind(chance, 1 / 3, engine, pause_ms),
        own_tokens=_log_between(chance, 150, 500),
        output_tokens=_log_between(chance, 20, 50),
        wanted_ms=500.0,
        resumable=True,
        rank=0,
    )
    medium = replace(
        _short_kind(chance, medium_share, engine, pause_ms),
        name="medium",
        shared_tokens=_between(chance, 500, 1_500),
        own_tokens=_log_between(chance, 400, 1_200),
        output_tokens=_log_between(chance, 2, 30),
        wanted_ms=600.0,
        resumable=True,
    )
    long = replace(
        _long_kind(chance, 2 / 3 - medium_share, engine, pause_ms),
        output_tokens=_log_between(chance, 30, 100),
        wanted_ms=1_500.0,
    )
    return engine, (long, medium, short)


def _long_kind(
    chance: random.Random, share: float, engine: EngineKind, pause_ms: float
) -> KindDraw:
    worth = _log_between(chance, 2, 30)
    own_tokens = _log_between(chance, 2_000, 7_000)
    output_tokens = _log_between(chance, 100, 400)
    reading_ms = work_ms(engine, own_tokens, 0)
    return KindDraw(
        name="long",
        share=share,
        shared_tokens=round(_log_between(chance, 2_000, 14_000)),
        starts=_between(chance, 5, 70),
        own_tokens=own_tokens,
        spread=chance.uniform(0.3, 1.0),
        output_tokens=output_tokens,
        wanted_ms=max(chance.uniform(1_000.0, 1_800.0), 2 * reading_ms + pause_ms),
        pause_ms=pause_ms,
        deadline_ms=8_000.0 + DEADLINE_STEPS * output_tokens * engine.crowded_step_ms,
        worth=worth,
        late_worth=worth * chance.choice((0.1, 0.3)),
        resumable=True,
        rank=2,
    )


def _short_kind(
    chance: random.Random, share: float, engine: EngineKind, pause_ms: float
) -> KindDraw:
    output_tokens = _log_between(chance, 20, 300)
    return KindDraw(
        name="short",
        share=share,
        shared_tokens=_between(chance, 50, 400),
        starts=_between(chance, 10, 150),
        own_tokens=_log_between(chance, 200, 2_000),
        spread=chance.uniform(0.3, 1.0),
        output_tokens=output_tokens,
        wanted_ms=max(800.0, 1.5 * pause_ms),
        pause_ms=pause_ms,
        deadline_ms=4_000.0 + DEADLINE_STEPS * output_tokens * engine.crowded_step_ms,
        worth=1.9,
        late_worth=1.9 * chance.choice((0.1, 0.3)),
        resumable=chance.random() < 0.5,
        rank=1,
    )


Rate = Callable[[str, float], float]


def draw_arrivals(
    draw: Draw,
    rate: Rate | None = None,
    longest_ms: float = LONGEST_DAY_MS,
    most_requests: int = MOST_REQUESTS,
) -> list[Arrival]:
    """Return the requests of a deployment's day, in order of time.

    `rate` tells how many times as often as on average callers of a region come at a time, at
    most `MOST_RATE`; without it the regions' busy times follow each other.
    """
    chance = random.Random(draw.seed * 7_919)
    per_ms = draw.load * sum(engine.speed for engine in draw.engines) / _mean_work_ms(draw)
    day_ms = min(longest_ms, most_requests / per_ms)
    found = []
    for region in draw.regions:
        at_ms = 0.0
        most = MOST_RATE if rate else SWING_MOST
        while True:
            at_ms += chance.expovariate(per_ms / len(draw.regions) * most)
            if at_ms >= day_ms:
                break
            # A day that is cut short has all of its pattern.
            wanted = rate(region, at_ms * longest_ms / day_ms) if rate else None
            if wanted is None:
                wanted = _swing(draw, region, at_ms / day_ms)
            if chance.random() * most < wanted:
                found.append(_arrival(chance, draw, at_ms, region))
    return sorted(found, key=lambda one: one.at_ms)


def _swing(draw: Draw, region: str, part: float) -> float:
    """Return how often callers of a region come at a part of the day: one region after another."""
    phase = 2 * math.pi * (part + draw.regions.index(region) / len(draw.regions))
    middle = (SWING_MOST + SWING_LEAST) / 2
    return middle + (SWING_MOST - SWING_LEAST) / 2 * math.sin(phase)


def _arrival(chance: random.Random, draw: Draw, at_ms: float, region: str) -> Arrival:
    kind = chance.choices(draw.kinds, [one.share for one in draw.kinds])[0]
    own = max(round(_spread(chance, kind.own_tokens, kind.spread)), 10)
    own = min(own, draw.engine.memory_tokens // 4)
    output = max(round(_spread(chance, kind.output_tokens, 0.5)), 1)
    size = kind.shared_tokens + own + 10 * output
    mean = kind.shared_tokens + kind.own_tokens + 10 * kind.output_tokens
    return Arrival(
        at_ms=at_ms,
        region=region,
        instance=chance.randrange(INSTANCES_A_REGION),
        kind=kind,
        start=chance.randrange(kind.starts),
        tokens=kind.shared_tokens + own,
        output_tokens=output,
        credit=kind.worth * min(0.3 + 0.7 * size / mean, 4.0),
    )


def work_ms(engine: EngineKind, own_tokens: float, output_tokens: float) -> float:
    """Return the least time that a request takes of an engine of speed 1."""
    reading_ms = own_tokens / engine.tokens_per_ms
    pairs_ms = engine.pairs_ms_per_m * own_tokens**2 / 2 / 1e6
    # A step serves all that run: each takes its part of it where all places are taken.
    steps_ms = output_tokens * engine.crowded_step_ms / engine.slots
    return reading_ms + pairs_ms + steps_ms


def _mean_work_ms(draw: Draw) -> float:
    return sum(
        kind.share * work_ms(draw.engine, kind.own_tokens, kind.output_tokens)
        for kind in draw.kinds
    )


def _spread(chance: random.Random, mean: float, spread: float) -> float:
    return mean * math.exp(chance.gauss(-(spread**2) / 2, spread))


def _between(chance: random.Random, least: int, most: int) -> int:
    return chance.randint(least, most)


def _log_between(chance: random.Random, least: float, most: float) -> float:
    return math.exp(chance.uniform(math.log(least), math.log(most)))
