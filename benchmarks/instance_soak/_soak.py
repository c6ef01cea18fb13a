"""Randomised run: kills, freezes, cuts, platform outages and competing files; ledgers judge.

The plan is drawn from the seed alone, before anything starts: `--seed` and the number of a
step name every fault of a run. Real processes add their own timing to it.
"""

import argparse
import json
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, replace

import gevent
from gevent.pool import Pool

from benchmarks.instance_fleet import (
    MUST_BE_ZERO,
    SHAPES,
    Fleet,
    InstancePlace,
    Report,
    as_body,
    collect_runs,
    judge,
    model_file,
)
from benchmarks.load_experiments import Mix, callers_by_region, make_job
from sparline._clock import now_ms

REQUESTS_PER_S = 12.0
PAUSE_S = (0.8, 2.0)  # between two steps
QUIET_S = 8.0  # without faults at the end
CONVERGE_MS = 20_000.0


@dataclass(frozen=True, slots=True)
class Step:
    """Hold one fault of the plan."""

    number: int  # place in the plan
    after_s: float  # pause before it
    kind: str  # which fault
    target: int  # index of what it hits
    lasts_s: float  # how long it lasts


def plan(seed: int, seconds: float) -> list[Step]:
    """Draw the faults of a run."""
    chance = random.Random(seed)
    steps: list[Step] = []
    at_s = 0.0
    while True:
        after_s = chance.uniform(*PAUSE_S)
        at_s += after_s
        if at_s >= seconds:
            return steps
        kind = chance.choice(sorted(FAULTS))
        steps.append(
            Step(len(steps), after_s, kind, chance.randrange(1000), chance.uniform(0.5, 4.0))
        )


class SoakRun:
    """Drive one fleet through a plan under load."""

    def __init__(self, fleet: Fleet) -> None:
        """Remember what is broken now, so that faults do not hide each other."""
        self.fleet = fleet
        self.busy: set[str] = set()  # processes that are frozen, dead or leaving now
        self.published = 0  # file versions so far
        self.cuts: list[tuple[str, str]] = []  # cuts in force

    def apply(self, step: Step) -> None:
        """Show one fault and end it after its time."""
        FAULTS[step.kind](self, step)

    def kill(self, step: Step) -> None:
        """Kill an instance and start its replacement under the same address."""
        self._restart(step, signal.SIGKILL)

    def stop(self, step: Step) -> None:
        """Stop an instance as planned and replace it."""
        self._restart(step, signal.SIGTERM)

    def _restart(self, step: Step, number: signal.Signals) -> None:
        place = self._instance(step)
        if place is None:
            return
        self.busy.add(place.name)
        self.fleet.signal(place.name, number)
        self.fleet.process(place.name).wait()
        gevent.sleep(step.lasts_s)
        self.fleet.start_instance(place)
        self.fleet.await_true(lambda: self.fleet.is_live(place), "a replacement")
        self.busy.discard(place.name)

    def freeze(self, step: Step) -> None:
        """Freeze an instance and let it wake late."""
        place = self._instance(step)
        if place is not None:
            self._freeze(place.name, step.lasts_s)

    def freeze_backend(self, step: Step) -> None:
        """Freeze a backend server and let it wake late."""
        backend = self.fleet.backends[step.target % len(self.fleet.backends)]
        if backend.name not in self.busy:
            self._freeze(backend.name, step.lasts_s)

    def _freeze(self, name: str, lasts_s: float) -> None:
        self.busy.add(name)
        self.fleet.signal(name, signal.SIGSTOP)
        gevent.sleep(lasts_s)
        self.fleet.signal(name, signal.SIGCONT)
        self.busy.discard(name)

    def break_backend(self, step: Step) -> None:
        """Let a backend server lose answers, cut streams or refuse for a few requests."""
        faults = (
            {"close_after_run": True},
            {"close_unread": True},
            {"refuse": True},
            {"cut_after_tokens": 3},
        )
        backend = self.fleet.backends[step.target % len(self.fleet.backends)]
        if backend.name in self.busy:
            return
        off = {
            "close_after_run": False,
            "close_unread": False,
            "refuse": False,
            "cut_after_tokens": 0,
        }
        self.fleet.control(
            backend.address, "/control/faults", off | faults[step.target % 4] | {"remaining": 3}
        )

    def cut(self, step: Step) -> None:
        """Cut two regions off from each other."""
        regions = self.fleet.shape.regions
        pair = (regions[step.target % len(regions)], regions[(step.target + 1) % len(regions)])
        self.cuts.append(pair)
        self.fleet.cut(self.cuts)
        gevent.sleep(step.lasts_s)
        self.cuts.remove(pair)
        self.fleet.cut(self.cuts)

    def outage(self, step: Step) -> None:
        """Take the platform down."""
        self.fleet.control(self.fleet.platform, "/control/faults", {"outage": True})
        gevent.sleep(step.lasts_s)
        self.fleet.control(self.fleet.platform, "/control/faults", {"outage": False})

    def publish(self, step: Step) -> None:
        """Publish two versions of one file at once, one of them sometimes bad."""
        shape = self.fleet.shape
        for number in range(2):
            self.published += 1
            document = model_file(shape, "v1") | {"ttft_target_ms": 300 + self.published}
            if step.target % 3 == number:
                document |= {"surprise": True}
            self.fleet.publish(f"models/{shape.model}", as_body(document))

    def _instance(self, step: Step) -> InstancePlace | None:
        place = self.fleet.instances[step.target % len(self.fleet.instances)]
        siblings = [one.name for one in self.fleet.instances if one.zone is place.zone]
        # One instance of each zone stays, so that callers find somebody.
        alone = sum(name not in self.busy for name in siblings) <= 1
        return None if place.name in self.busy or alone else place


FAULTS: dict[str, Callable[[SoakRun, Step], None]] = {
    "kill": SoakRun.kill,
    "stop": SoakRun.stop,
    "freeze": SoakRun.freeze,
    "freeze_backend": SoakRun.freeze_backend,
    "break_backend": SoakRun.break_backend,
    "cut": SoakRun.cut,
    "outage": SoakRun.outage,
    "publish": SoakRun.publish,
}


def soak(options: argparse.Namespace) -> int:
    """Run a plan under load and judge it by the ledgers."""
    shape = replace(SHAPES[options.users], timing={"platform_wait_ms": 3000})
    steps = plan(options.seed, options.seconds)
    chance = random.Random(options.seed + 2)
    with Fleet(shape) as fleet:
        run = SoakRun(fleet)
        load = gevent.spawn(_load, fleet, options.seconds + QUIET_S, chance)
        tasks = []
        for step in steps:
            gevent.sleep(step.after_s)
            print(
                f"step {step.number}: {step.kind} {step.target} for {step.lasts_s:.1f} s",
                flush=True,
            )
            tasks.append(gevent.spawn(run.apply, step))
        gevent.joinall(tasks, raise_error=True)
        reports = load.get()
        result = judge(reports, collect_runs(fleet))
        result |= _converged(fleet) | _process_faults(fleet)
    result |= {"seed": options.seed, "seconds": options.seconds, "steps": len(steps)}
    print(json.dumps(result))
    broken = [name for name in (*MUST_BE_ZERO, "dead", "broken_invariants") if result[name]]
    return 1 if broken or not result["converged"] else 0


def _load(fleet: Fleet, seconds: float, chance: random.Random) -> list[Report]:
    callers = callers_by_region(fleet, chance)
    pool = Pool(500)
    tasks = []
    end_ms = now_ms() + seconds * 1000
    while now_ms() < end_ms:
        organisation = chance.choice(fleet.organisations)
        job = make_job(
            fleet.shape,
            organisation,
            Mix(long_share=0.15, deadline_ms=8000, not_repeatable_share=0.5),
            chance,
        )
        tasks.append(pool.spawn(callers[organisation.home_region].run, job))
        gevent.sleep(chance.expovariate(REQUESTS_PER_S))
    gevent.joinall(tasks, raise_error=True)
    return [task.get() for task in tasks]


def _converged(fleet: Fleet) -> dict[str, object]:
    """Wait until all instances hold the same content up to the same revision."""

    def alike() -> bool:
        states = [fleet.status(place) for place in fleet.instances]
        return (
            all(states)
            and len(
                {
                    (
                        one["complete_revision"],
                        one["digest"],
                        json.dumps([(f["name"], f["version"]) for f in one["files"]]),
                    )
                    for one in states
                }
            )
            == 1
        )

    try:
        return {
            "converged": True,
            "converged_after_ms": int(
                fleet.await_true(alike, "one configuration everywhere", CONVERGE_MS)
            ),
        }
    except TimeoutError:
        return {"converged": False, "converged_after_ms": None}


def _process_faults(fleet: Fleet) -> dict[str, int]:
    dead = sum(1 for place in fleet.instances if fleet.process(place.name).poll() is not None)
    logs = fleet.all_logs()
    return {
        "dead": dead,
        "broken_invariants": logs.count("AssertionError"),
        "tracebacks": logs.count("Traceback"),
    }
