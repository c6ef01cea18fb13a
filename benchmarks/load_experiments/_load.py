"""Open load: requests arrive whether or not earlier ones are answered."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from gevent.pool import Pool

from benchmarks.instance_fleet import Caller, Fleet, Job, OrganisationShape, Report, Shape
from sparline._clock import now_ms
from sparline.backends import BackendAddress

MOST_IN_FLIGHT = 1500
PROMPT_SETS = 6

# Requests per second of a region at a moment, by the region's number and seconds since start.
Rate = Callable[[int, float], float]


@dataclass(frozen=True, slots=True)
class Mix:
    """Describe the requests of a load."""

    long_share: float = 0.2  # part that is long
    short_tokens: int = 10  # output of a short request
    long_tokens: int = 40  # output of a long request
    long_prompt_tokens: int = 600  # prompt of a long request
    deadline_ms: int = 6_000  # deadline of all
    not_repeatable_share: float = 0.3  # part that may not run twice
    tries: int = 3  # how often a caller comes back when told to


def offset_peaks(mean_per_s: float, swing: float, period_s: float, regions: int) -> Rate:
    """Return a rate whose peaks come in one region after the other."""

    def rate(region: int, at_s: float) -> float:
        phase = 2 * math.pi * (at_s / period_s + region / regions)
        return mean_per_s * (1 + swing * math.sin(phase))

    return rate


def run_load(fleet: Fleet, rate: Rate, seconds: float, mix: Mix, seed: int) -> list[Report]:
    """Send a load from every region's callers and wait for every answer."""
    pool = Pool(MOST_IN_FLIGHT)
    tasks: list[gevent.Greenlet] = []
    senders = [
        gevent.spawn(
            _send_region,
            fleet,
            number,
            rate,
            seconds,
            mix,
            random.Random(seed * 100 + number),
            pool,
            tasks,
        )
        for number in range(len(fleet.shape.regions))
    ]
    gevent.joinall(senders, raise_error=True)
    gevent.joinall(tasks, raise_error=True)
    return [task.get() for task in tasks]


def _send_region(
    fleet: Fleet,
    number: int,
    rate: Rate,
    seconds: float,
    mix: Mix,
    chance: random.Random,
    pool: Pool,
    tasks: list[gevent.Greenlet],
) -> None:
    region = fleet.shape.regions[number]
    organisations = [one for one in fleet.organisations if one.home_region == region]
    caller = Caller(entries_of(fleet, region), chance)
    began_ms = now_ms()
    due_s = 0.0
    while True:
        due_s += chance.expovariate(max(rate(number, due_s), 0.01))
        if due_s > seconds:
            return
        gevent.sleep(max(due_s - (now_ms() - began_ms) / 1000, 0))
        job = make_job(fleet.shape, chance.choice(organisations), mix, chance)
        tasks.append(pool.spawn(caller.run, job))


def entries_of(fleet: Fleet, region: str) -> list[BackendAddress]:
    """Return the callers' addresses of a region's instances."""
    return [
        BackendAddress(one.ip, one.callers_port)
        for one in fleet.instances
        if one.zone.region == region
    ]


def callers_by_region(fleet: Fleet, chance: random.Random) -> dict[str, Caller]:
    """Return callers that know the instances of their region."""
    return {region: Caller(entries_of(fleet, region), chance) for region in fleet.shape.regions}


def make_job(shape: Shape, organisation: OrganisationShape, mix: Mix, chance: random.Random) -> Job:
    """Return one request of a mix."""
    repeatable = chance.random() >= mix.not_repeatable_share
    if chance.random() < mix.long_share:
        number = chance.randrange(PROMPT_SETS)
        start = f"log {number} of {organisation.name}: "
        prompt = (start + "sandy clay with gravel; " * 1000)[: mix.long_prompt_tokens * 4]
        kind, output_tokens = "long", mix.long_tokens
    else:
        prompt = f"box {chance.randrange(10**6)} of {organisation.name}: which lithology?"
        kind, output_tokens = "short", mix.short_tokens
    return Job(
        organisation,
        kind,
        shape.model,
        prompt,
        output_tokens,
        repeatable=repeatable,
        deadline_ms=mix.deadline_ms,
        tries=mix.tries,
    )
