"""Experiment on limits: shares that follow demand, and the overshoot when cut off."""

import argparse
import json
import random
from dataclasses import dataclass, replace

import gevent

from benchmarks.instance_fleet import (
    CARVALHO,
    SHAPES,
    Caller,
    Fleet,
    Job,
    OrganisationShape,
    Report,
    collect_runs,
    judge,
)
from benchmarks.load_experiments._load import entries_of
from sparline._clock import now_ms

LIMIT_PER_S = 30.0
OFFERED = 2.0  # offered load, as a multiple of the limit
SETTLE_S = 5.0


@dataclass(frozen=True, slots=True)
class Phase:
    """Describe one phase of the load on one organisation."""

    name: str  # label
    parts: tuple[float, ...]  # part of the offered load in each region
    cut: bool = False  # whether the first region is cut off from the others


PHASES = (
    Phase("one region", (1.0, 0.0, 0.0)),
    Phase("moved to another", (0.0, 1.0, 0.0)),
    Phase("all regions", (0.34, 0.33, 0.33)),
    Phase("cut in two", (0.34, 0.33, 0.33), cut=True),
    Phase("cut, all on one side", (1.0, 0.0, 0.0), cut=True),
    Phase("whole again", (0.34, 0.33, 0.33)),
)


def limits(options: argparse.Namespace) -> int:
    """Offer twice an organisation's limit in changing places and count what is let through."""
    seconds = 5.0 if options.quick else 15.0
    shape = replace(SHAPES[options.users or CARVALHO.user], limit_per_s=LIMIT_PER_S)
    with Fleet(shape) as fleet:
        gevent.sleep(2)
        rows = [_run_phase(fleet, phase, seconds) for phase in PHASES]
        reports = [report for row in rows for report in row[1]]
        faults = judge(reports, collect_runs(fleet))
    print(f"{'phase':24} {'offered/s':>9} {'settling/s':>10} {'settled/s':>9} {'to the limit':>12}")
    ratio = {}
    for phase, _, offered, settling, settled in rows:
        ratio[phase.name] = round(settled / LIMIT_PER_S, 3)
        ratio[f"{phase.name}, settling"] = round(settling / LIMIT_PER_S, 3)
        print(
            f"{phase.name:24} {offered:9.1f} {settling:10.1f} {settled:9.1f} {settled / LIMIT_PER_S:12.2f}"
        )
    goals = {
        "within 10% of the limit once settled, uncut": all(
            0.9 <= ratio[one.name] <= 1.1 for one in PHASES if not one.cut
        ),
        "never more than twice the limit": all(value <= 2.0 for value in ratio.values()),
    }
    for goal, met in goals.items():
        print(f"goal {'met' if met else 'UNMET'}: {goal}")
    print(
        json.dumps(
            {"experiment": "limits", "ratio": ratio, "goals": goals, "limit_per_s": LIMIT_PER_S}
        )
    )
    return (
        1 if any(faults[key] for key in ("lost", "doubled", "left_region", "false_not_run")) else 0
    )


def _run_phase(
    fleet: Fleet, phase: Phase, seconds: float
) -> tuple[Phase, list[Report], float, float, float]:
    regions = fleet.shape.regions
    pairs = [(regions[0], other) for other in regions[1:]] if phase.cut else []
    fleet.cut(pairs)
    organisation = next(one for one in fleet.organisations if one.residency_rule == "anywhere")
    began_ms = now_ms()
    senders = [
        gevent.spawn(
            _send, fleet, region, organisation, part * OFFERED * LIMIT_PER_S, SETTLE_S + seconds
        )
        for region, part in zip(regions, phase.parts, strict=True)
        if part
    ]
    reports = [report for sender in gevent.joinall(senders) for report in sender.get()]
    passed = [report for report in reports if report.outcome == "complete"]
    settling = sum(1 for one in passed if one.began_ms - began_ms < SETTLE_S * 1000)
    offered = len(reports) / (SETTLE_S + seconds)
    return phase, reports, offered, settling / SETTLE_S, (len(passed) - settling) / seconds


def _send(
    fleet: Fleet, region: str, organisation: OrganisationShape, rate: float, seconds: float
) -> list[Report]:
    chance = random.Random(region)
    caller = Caller(entries_of(fleet, region), chance)
    tasks = []
    end_ms = now_ms() + seconds * 1000
    number = 0
    while now_ms() < end_ms:
        number += 1
        job = Job(
            organisation,
            "lookup",
            f"/services/{fleet.shape.service}/items/{number}",
            method="GET",
            tries=1,
        )
        tasks.append(gevent.spawn(caller.run, job))
        gevent.sleep(chance.expovariate(rate))
    gevent.joinall(tasks)
    return [task.get() for task in tasks]
