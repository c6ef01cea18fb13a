"""The demo: one user's fleet, mixed traffic, one instance killed and replaced."""

import argparse
import json
import random
import sys

import gevent
from gevent.pool import Pool

from benchmarks.demo._gateway_demo import gateway_demo
from benchmarks.instance_fleet import (
    MUST_BE_ZERO,
    SHAPES,
    Fleet,
    Job,
    OrganisationShape,
    Report,
    Shape,
    collect_runs,
    judge,
    percentiles,
    sent_away_share,
    ttfts,
)
from benchmarks.load_experiments import callers_by_region
from sparline._clock import now_ms

SEED = 20_261_202
REQUESTS = 400
REQUESTS_PER_S = 20.0
REPLACE_AFTER_S = 1.5


def demo(options: argparse.Namespace) -> int:
    """Run the demo and return an exit code."""
    shape = SHAPES[options.users]
    _say(f"starting the stand-ins and 9 instances of {shape.user}'s shape")
    began_ms = now_ms()
    with Fleet(shape) as fleet:
        _say(
            f"all instances live after {(now_ms() - began_ms) / 1000:.1f} s; sending {REQUESTS} requests"
        )
        reports = _drive(fleet)
        versions = {json.dumps(_versions(fleet, place)) for place in fleet.instances}
        runs = collect_runs(fleet)
    result = judge(reports, runs)
    ttft = percentiles(ttfts([one for one in reports if one.job.output_tokens]))
    result |= {"ttft_ms_p50": ttft["p50"], "ttft_ms_p95": ttft["p95"]}
    result |= {
        "sent_away_share": round(sent_away_share(reports, runs), 4),
        "versions_in_force": len(versions),
    }
    _print_table(reports, result)
    _say("starting 4 instances on the users' platform; one is killed midway")
    result |= gateway_demo(SEED)
    print(json.dumps(result))
    broken = any(result[name] for name in MUST_BE_ZERO) or result["gateway_broken"]
    return 1 if broken else 0


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


def _versions(fleet: Fleet, place: object) -> list:
    status = fleet.status(place)
    return (
        [(one["name"], one["version"], one["digest"]) for one in status["files"]] if status else []
    )


def _drive(fleet: Fleet) -> list[Report]:
    """Send the load; kill one instance midway and replace it."""
    chance = random.Random(SEED)
    callers = callers_by_region(fleet, chance)
    jobs = [
        _make_job(fleet.shape, chance.choice(fleet.organisations), number, chance)
        for number in range(REQUESTS)
    ]
    pool = Pool(300)
    tasks = []
    for number, job in enumerate(jobs):
        tasks.append(pool.spawn(callers[job.organisation.home_region].run, job))
        if number == REQUESTS // 2:
            gevent.spawn(_kill_and_replace, fleet)
        if number % 100 == 99:
            _say(f"  {number + 1} sent, {sum(1 for task in tasks if task.ready())} answered")
        gevent.sleep(chance.expovariate(REQUESTS_PER_S))
    gevent.joinall(tasks)
    return [task.get() for task in tasks]


def _kill_and_replace(fleet: Fleet) -> None:
    place = fleet.instances[1]
    _say(f"  killing {place.name}")
    fleet.kill(place.name)
    gevent.sleep(REPLACE_AFTER_S)
    fleet.start_instance(place)
    took_ms = fleet.await_true(lambda: fleet.is_live(place), "the replacement")
    _say(f"  {place.name} replaced, live after {took_ms / 1000:.1f} s")


def _make_job(
    shape: Shape, organisation: OrganisationShape, number: int, chance: random.Random
) -> Job:
    draw = chance.random()
    if draw < 0.15:
        return Job(
            organisation, "lookup", f"/services/{shape.service}/items/{number}", method="GET"
        )
    if draw < 0.30:
        return Job(
            organisation,
            "filing",
            f"/services/{shape.service}/items",
            prompt=f"item {number}",
            repeatable=False,
        )
    if draw < 0.45:
        log = f"borehole {number % 12} of {organisation.name}: " + "sandy clay with gravel; " * 120
        return Job(
            organisation,
            "long",
            shape.model,
            prompt=log,
            output_tokens=60,
            repeatable=number % 2 == 0,
            deadline_ms=20_000,
        )
    question = f"Which lithology is in box {number} of {organisation.name}?"
    return Job(
        organisation,
        "short",
        shape.model,
        prompt=question,
        output_tokens=16,
        repeatable=number % 3 != 0,
    )


def _print_table(reports: list[Report], result: dict) -> None:
    print(
        f"{'kind':8} {'sent':>5} {'complete':>9} {'not run':>8} {'unknown':>8} {'ttft p50':>9} {'ttft p95':>9} {'total p95':>10}"
    )
    for kind in sorted({report.job.kind for report in reports}):
        mine = [report for report in reports if report.job.kind == kind]
        ttft = percentiles(ttfts(mine))
        total = percentiles([report.total_ms for report in mine if report.outcome == "complete"])
        counts = [
            sum(1 for one in mine if one.outcome == outcome)
            for outcome in ("complete", "not_run", "unknown")
        ]
        print(
            f"{kind:8} {len(mine):5} {counts[0]:9} {counts[1]:8} {counts[2]:8} {ttft['p50']:9.1f} {ttft['p95']:9.1f} {total['p95']:10.1f}"
        )
    wrong = ", ".join(f"{name} {result[name]}" for name in MUST_BE_ZERO)
    print(f"must be zero: {wrong}; sent away: {result['sent_away_share']:.1%}")
