"""Experiments on routing: baselines at moderate load, overload, a lost region, a slow link."""

import argparse
import json
import signal
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import gevent

from benchmarks.instance_fleet import CARVALHO, SHAPES, Fleet, Report, Shape
from benchmarks.load_experiments._load import Mix, Rate, offset_peaks, run_load
from benchmarks.load_experiments._measures import Measures, measure, print_table

SEED = 11
# Peaks are long beside the pause between summaries, as a day is; a quick run sees a part.
PEAK_PERIOD_S = 20.0
ALL_POLICIES = ("estimate", "round_robin", "random", "round_robin_priority", "home_only")
QUICK_POLICIES = ALL_POLICIES[:3]
# Load of an engine of these shapes that fills it: 4 slots, 20 ms a token, the mix below.
FULL_PER_ENGINE = 10.5
SLOW_ENGINE = {
    "slots": 4,
    "token_interval_ms": 20.0,
    "prefill_tokens_per_s": 4000.0,
    "cache_tokens": 6_000,
}


@dataclass(frozen=True, slots=True)
class Plan:
    """Describe one run."""

    policy: str  # which routing
    shape: Shape  # whose fleet
    rate: Rate  # load of each region
    seconds: float  # how long
    mix: Mix  # which requests
    during: Callable[[Fleet], None] | None = None  # what happens meanwhile


def run_plan(plan: Plan, name: str) -> tuple[Measures, list[Report]]:
    """Start a fleet, run the load, and stop the fleet."""
    runner = ("-m", "benchmarks", "serve", "--policy", plan.policy)
    with Fleet(plan.shape, runner) as fleet:
        gevent.sleep(2.5)
        meanwhile = gevent.spawn(plan.during, fleet) if plan.during else None
        reports = run_load(fleet, plan.rate, plan.seconds, plan.mix, SEED)
        if meanwhile:
            meanwhile.get()
        return measure(name, fleet, reports, plan.seconds), reports


def capacity_per_region(shape: Shape) -> float:
    """Return the load that fills the engines, for each region on average."""
    return sum(zone.engines for zone in shape.zones) * FULL_PER_ENGINE / len(shape.regions)


def users_of(options: argparse.Namespace) -> list[Shape]:
    """Return the fleets that an experiment runs on."""
    names = [options.users] if options.users else ["carvalho"] if options.quick else sorted(SHAPES)
    return [replace(SHAPES[name], **SLOW_ENGINE) for name in names]


def finish(
    experiment: str, rows: list[Measures], ratio: dict[str, float], goals: dict[str, bool]
) -> int:
    """Print the table, the goals and the last line of JSON."""
    print_table(rows)
    for goal, met in goals.items():
        print(f"goal {'met' if met else 'UNMET'}: {goal}")
    result: dict[str, Any] = {
        "experiment": experiment,
        "ratio": {key: round(value, 3) for key, value in ratio.items()},
    }
    print(json.dumps(result | {"goals": goals, "rows": [row.as_json() for row in rows]}))
    return 1 if any(any(row.faults.values()) for row in rows) else 0


def _ratio(one: float, other: float) -> float:
    return one / other if other else float("inf") if one else 1.0


def compare(options: argparse.Namespace, experiment: str, load: float, swing: float) -> int:
    """Run every routing under one load, and hold them against each other."""
    rows, ratio, goals = [], {}, {}
    seconds = 5.0 if options.quick else 20.0
    policies = QUICK_POLICIES if options.quick else ALL_POLICIES
    for shape in users_of(options):
        rate = offset_peaks(
            load * capacity_per_region(shape), swing, PEAK_PERIOD_S, len(shape.regions)
        )
        found = {}
        for policy in policies:
            found[policy], _ = run_plan(
                Plan(policy, shape, rate, seconds, Mix()), f"{shape.user} {policy}"
            )
        rows += found.values()
        mine, turns, chance = found["estimate"], found["round_robin"], found["random"]
        ratio[f"{shape.user}_short_p99_to_round_robin"] = _ratio(
            mine.short_ttft_p99_ms, turns.short_ttft_p99_ms
        )
        ratio[f"{shape.user}_away_to_random"] = _ratio(mine.sent_away, chance.sent_away)
        ratio[f"{shape.user}_goodput_to_random"] = _ratio(mine.goodput_per_s, chance.goodput_per_s)
        ratio[f"{shape.user}_cost_to_random"] = _ratio(mine.cost_per_1000, chance.cost_per_1000)
        goals[f"{shape.user}: share sent away at most a third of random's at no less goodput"] = (
            mine.sent_away <= chance.sent_away / 3 and mine.goodput_per_s >= chance.goodput_per_s
        )
        if experiment == "overload":
            goals[f"{shape.user}: p99 TTFT of short requests at most half of round-robin's"] = (
                mine.short_ttft_p99_ms <= turns.short_ttft_p99_ms / 2
            )
    return finish(experiment, rows, ratio, goals)


def routing(options: argparse.Namespace) -> int:
    """Compare routings at moderate load with offset peaks."""
    return compare(options, "routing", load=0.55, swing=0.6)


def overload(options: argparse.Namespace) -> int:
    """Compare routings where the peaks are more than all regions can carry."""
    return compare(options, "overload", load=1.15, swing=0.5)


def slow_link(options: argparse.Namespace) -> int:
    """Compare links of today's delay with links ten times slower."""
    seconds = 6.0 if options.quick else 20.0
    rows, ratio = [], {}
    for shape in users_of(options):
        rate = offset_peaks(0.7 * capacity_per_region(shape), 0.7, seconds, len(shape.regions))
        slow = replace(shape, link_delay_ms=shape.link_delay_ms * 10)
        fast_row, _ = run_plan(
            Plan("estimate", shape, rate, seconds, Mix()), f"{shape.user} today's links"
        )
        slow_row, _ = run_plan(
            Plan("estimate", slow, rate, seconds, Mix()), f"{shape.user} slow links"
        )
        rows += [fast_row, slow_row]
        ratio[f"{shape.user}_away_slow_to_fast"] = _ratio(slow_row.sent_away, fast_row.sent_away)
        ratio[f"{shape.user}_goodput_slow_to_fast"] = _ratio(
            slow_row.goodput_per_s, fast_row.goodput_per_s
        )
    return finish("slow-link", rows, ratio, {})


def region_loss(options: argparse.Namespace) -> int:
    """Lose all engines of a region, and see what the rest carries and how soon."""
    seconds = 26.0 if options.quick else 45.0
    lose_at_s, return_at_s = seconds * 0.25, seconds * 0.75
    shape = replace(SHAPES[options.users or CARVALHO.user], **SLOW_ENGINE)
    lost = shape.zones[0]
    rest = (
        capacity_per_region(shape)
        * len(shape.regions)
        * (1 - lost.engines / sum(zone.engines for zone in shape.zones))
    )
    per_region = 0.9 * rest / len(shape.regions)

    def lose(fleet: Fleet) -> None:
        engines = [one for one in fleet.backends if one.role == "engine" and one.zone is lost]
        gevent.sleep(lose_at_s)
        for one in engines:
            fleet.signal(one.name, signal.SIGSTOP)
        gevent.sleep(return_at_s - lose_at_s)
        for one in engines:
            fleet.signal(one.name, signal.SIGCONT)

    plan = Plan("estimate", shape, lambda _region, _at: per_region, seconds, Mix(), lose)
    row, reports = run_plan(plan, f"{shape.user} region lost")
    began_ms = min(report.began_ms for report in reports)
    seconds_seen = _by_second(reports, began_ms, seconds, shape)
    before = _share_in_time(seconds_seen[1 : int(lose_at_s)])
    after = _share_in_time(seconds_seen[int(lose_at_s) + 10 : int(return_at_s)])
    back = _share_in_time(seconds_seen[int(return_at_s) + 2 :])
    print("requests free to move, arrived/in time, by second:", _as_text(seconds_seen))
    ratio = {
        "in_time_10s_after_loss_to_before": _ratio(after, before),
        "in_time_after_return_to_before": _ratio(back, before),
    }
    goals = {
        "goodput back to 90% within 10 s": after >= 0.9 * before,
        "none lost or doubled": not any(row.faults.values()),
    }
    return finish("region-loss", [row], ratio, goals)


def peak(options: argparse.Namespace) -> int:
    """Go through a peak far above what engines carry, and compare goodput before and after."""
    phase_s = 6.0 if options.quick else 12.0
    shape = replace(SHAPES[options.users or CARVALHO.user], **SLOW_ENGINE)
    full = capacity_per_region(shape)

    def rate(_region: int, at_s: float) -> float:
        return full * (2.0 if phase_s <= at_s < 2 * phase_s else 0.6)

    # Callers come back at once and often, as in a storm.
    mix = Mix(tries=6)
    row, reports = run_plan(Plan("estimate", shape, rate, 3 * phase_s, mix), f"{shape.user} peak")
    began_ms = min(report.began_ms for report in reports)
    seconds_seen = _by_second(reports, began_ms, 3 * phase_s, shape)
    before = _share_in_time(seconds_seen[1 : int(phase_s)])
    during = _share_in_time(seconds_seen[int(phase_s) : int(2 * phase_s)])
    after = _share_in_time(seconds_seen[int(2 * phase_s) + 2 : int(3 * phase_s)])
    print("requests free to move, arrived/in time, by second:", _as_text(seconds_seen))
    ratio = {
        "in_time_after_to_before": _ratio(after, before),
        "in_time_during_to_before": _ratio(during, before),
    }
    goals = {"goodput after the peak at least 90% of before": after >= 0.9 * before}
    return finish("peak", [row], ratio, goals)


@dataclass(slots=True)
class _Second:
    """Count the requests that arrived in one second."""

    arrived: int = 0  # all that may run in another region
    in_time: int = 0  # those complete within their deadline


def _by_second(
    reports: list[Report], began_ms: float, seconds: float, shape: Shape
) -> list[_Second]:
    """Count requests by second of arrival; those bound to the first region can't move."""
    first_region = shape.zones[0].region
    found = [_Second() for _ in range(int(seconds) + 1)]
    for report in reports:
        if report.job.organisation.allowed == (first_region,):
            continue
        second = found[min(int((report.began_ms - began_ms) / 1000), int(seconds))]
        second.arrived += 1
        in_time = report.total_ms <= report.job.deadline_ms
        second.in_time += report.outcome == "complete" and in_time
    return found


def _share_in_time(seconds: list[_Second]) -> float:
    """Return goodput as a part of what arrived, so that chance in the arrivals drops out."""
    return sum(one.in_time for one in seconds) / max(sum(one.arrived for one in seconds), 1)


def _as_text(seconds: list[_Second]) -> str:
    return " ".join(f"{one.arrived}/{one.in_time}" for one in seconds)
