"""All instances of a region that are stopped in turn, and callers whose requests may run there only."""

import json
import math
import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import gevent

from benchmarks.bounds._directory_caller import DirectoryCaller, is_refusal, is_success
from benchmarks.bounds._rules import Finding, SentRequest
from benchmarks.bounds._run import CALLER_TIMEOUT_S, NORTH, BoundsRun
from benchmarks.gateway_fleet import REGIONS, GatewayFleet
from sparline._clock import now_ms
from standins import Got, plain_routes, publish, published_version, work_body

# Time in which instances learn how long requests take (s).
LEARN_S = 8.0
# Time from the last stop to the last request (s): all instances are back by then.
END_S = 9.0
# Time between two stops (s).
GAPS_S = (0.1, 2.2)
# Time after which a process that has ended starts again (s).
BACK_S = 0.5
# How long a caller holds an answer of the directory (s): its lifetime, or three times that.
HOLD_S = (1.0, 1.0, 3.0)
CALLERS = 16
PAUSE_S = (0.1, 0.3)  # between the requests, and the tries, of one caller
MAX_TRIES = 4
SLOTS = 400
USUAL_MS = 60.0
# Requests that take this long are counted apart, and none takes longer than the second (ms).
LONG_MS = 1_500.0
LONGEST_MS = 5_000.0
# Factor by which growing work grows each second: 12% each 0.1 s.
GROWTH_PER_S = 1.12**10
TARGET_LATENCY_MS = 8_000


@dataclass(frozen=True, slots=True)
class Work:
    """Say how long one request takes."""

    took_ms: float
    is_long: bool = False


# How long a request takes, by the time since the first stop (s), negative before it.
DrawWork = Callable[[random.Random, float], Work]


def long_once_stopped(rng: random.Random, since_stop_s: float) -> Work:
    """One request in six takes seconds, none did before the stop."""
    if since_stop_s > 0 and rng.random() < 1 / 6:
        return Work(rng.uniform(LONG_MS, LONGEST_MS), True)
    return Work(USUAL_MS)


def long_always(rng: random.Random, _since_stop_s: float) -> Work:
    """One request in eight takes as long, also before the stop."""
    return Work(2 * LONG_MS, True) if rng.random() < 1 / 8 else Work(USUAL_MS)


def growing(_rng: random.Random, since_stop_s: float) -> Work:
    """Each request takes longer than those before it, up to 5 s."""
    took_ms = min(USUAL_MS * GROWTH_PER_S ** max(since_stop_s, 0.0), LONGEST_MS)
    return Work(took_ms, took_ms >= LONG_MS)


def short_only(_rng: random.Random, _since_stop_s: float) -> Work:
    """All requests take the same short time."""
    return Work(USUAL_MS)


@dataclass(frozen=True, slots=True)
class StopForm:
    """Say how a region is stopped, and what its callers ask meanwhile."""

    gaps_s: tuple[float, ...]  # time before each stop, from the one before; 0.0 for the first
    draw_work: DrawWork = long_once_stopped
    kind: str = "unsafe"


@dataclass(frozen=True, slots=True)
class Try:
    """Hold what one try of a request came to."""

    request_id: str  # id of the try
    took_ms: float  # time until its answer or its connection ended, or its caller gave up
    got: Got | None  # the answer, None if the instance could not be connected to

    @property
    def is_served(self) -> bool:
        """Return whether a whole success came."""
        return is_success(self.got)

    @property
    def may_be_repeated(self) -> bool:
        """Return whether the caller knows that the request has not run."""
        return self.got is None or is_refusal(self.got)

    @property
    def is_incomplete(self) -> bool:
        """Return whether the answer ended before its end, and before its caller gave up."""
        has_given_up = self.took_ms >= CALLER_TIMEOUT_S * 1000
        return self.got is not None and not self.got.whole and not has_given_up


@dataclass(slots=True)
class Asked:
    """Hold one request of a caller, which tries again until it is served or gives up."""

    number: int
    at_ms: float  # when it was first sent
    work: Work
    tries: list[Try] = field(default_factory=list)
    ended_at_ms: float = math.inf  # when its last try ended


@dataclass(slots=True)
class RegionStops:
    """Send requests while the instances of the north are stopped, and hold what callers got."""

    fleet: GatewayFleet
    rng: random.Random
    form: StopForm
    asked: list[Asked] = field(default_factory=list)
    first_stop_ms: float = math.inf  # when the first instance was stopped
    last_stop_ms: float = -math.inf  # when the last one was

    def play(self) -> list[Finding]:
        """Stop the instances; return what was cut and what was said falsely."""
        for name, server in self.fleet.servers.items():
            server.reads_work = True
            self.fleet.list_server(name, slots=SLOTS, sequence=2)
        # Requests may run in this region only.
        routes = plain_routes(TARGET_LATENCY_MS, homes=(REGIONS[NORTH],))
        publish(self.fleet.store, published_version(self.fleet.store) + 1, routes)
        callers = [gevent.spawn(self._call) for _ in range(CALLERS)]
        gevent.sleep(LEARN_S)
        names = [one.name for one in self.fleet.gateways.values() if one.zone == NORTH]
        for number, gap_s in enumerate(self.form.gaps_s):
            gevent.sleep(gap_s)
            self._stop(names[number % len(names)])
        gevent.joinall(callers, timeout=END_S + 2 * MAX_TRIES * CALLER_TIMEOUT_S, raise_error=True)
        return self._findings()

    def _stop(self, name: str) -> None:
        gateway = self.fleet.gateways[name]
        self.last_stop_ms = now_ms()
        self.first_stop_ms = min(self.first_stop_ms, self.last_stop_ms)
        gateway.signal(signal.SIGTERM)
        gevent.spawn(self._start_again, name)

    def _start_again(self, name: str) -> None:
        self.fleet.gateways[name].process.wait()
        gevent.sleep(BACK_S)
        self.fleet.gateways[name].start()

    def _is_over(self) -> bool:
        return now_ms() > self.last_stop_ms + END_S * 1000 and math.isfinite(self.last_stop_ms)

    def _call(self) -> None:
        """Send requests one after the other, as one caller."""
        caller = DirectoryCaller(self.fleet, self.rng, self.rng.choice(HOLD_S), self._near_first)
        while not self._is_over():
            gevent.sleep(self.rng.uniform(*PAUSE_S))
            since_stop_s = (now_ms() - self.first_stop_ms) / 1000
            asked = Asked(len(self.asked), now_ms(), self.form.draw_work(self.rng, since_stop_s))
            self.asked.append(asked)
            self._ask(caller, asked)
            asked.ended_at_ms = now_ms()

    def _near_first(self) -> list[str]:
        gateways = self.fleet.gateways.values()
        return [one.name for one in sorted(gateways, key=lambda one: one.zone != NORTH)]

    def _ask(self, caller: DirectoryCaller, asked: Asked) -> None:
        target, body = f"/{self.form.kind}/x", work_body(asked.work.took_ms)
        failed: set[str] = set()
        while len(asked.tries) < MAX_TRIES:
            if not caller.has_alternative(failed):
                caller.look_up()
            name = caller.choose(failed)
            request_id = f"r{asked.number}-{len(asked.tries)}"
            sent_at_ms = now_ms()
            got = caller.exchange(name, target, request_id, body, {})
            asked.tries.append(Try(request_id, now_ms() - sent_at_ms, got))
            if not asked.tries[-1].may_be_repeated:
                return
            failed.add(name)
            wait_s = float(got.headers.get("retry-after", 0)) if got else 0.0
            gevent.sleep(max(wait_s, self.rng.uniform(*PAUSE_S)))

    def _findings(self) -> list[Finding]:
        ran = {run.request_id for one in self.fleet.servers.values() for run in one.runs}
        tries = [one for asked in self.asked for one in asked.tries]
        cut = [one for one in tries if one.is_incomplete and one.request_id in ran]
        false = [one for one in tries if one.may_be_repeated and one.request_id in ran]
        print(json.dumps(self.counts() | {"cut": len(cut)}))
        return [
            Finding("requests that were passed on and cut", len(cut), 0),
            Finding("requests that ran and were called not run", len(false), 0),
        ]

    def counts(self) -> dict[str, object]:
        """Return what was asked and served since the first stop, and the longest time without."""
        late = [one for one in self.asked if one.at_ms >= self.first_stop_ms]
        groups = {
            "usual": [one for one in late if not one.work.is_long],
            "long": [one for one in late if one.work.is_long],
        }
        counts: dict[str, object] = {
            name: {
                "asked": len(group),
                "served at once": sum(one.tries[0].is_served for one in group),
                "served in the end": sum(one.tries[-1].is_served for one in group),
            }
            for name, group in groups.items()
        }
        tries = [one for asked in late for one in asked.tries]
        counts["refusals"] = sum(one.got is not None and one.may_be_repeated for one in tries)
        counts["not connected"] = sum(one.got is None for one in tries)
        counts["longest unserved ms"] = round(self._longest_unserved_ms(groups["usual"]))
        return counts

    def _longest_unserved_ms(self, usual: list[Asked]) -> float:
        """Return the longest time between two usual requests that were served."""
        served = sorted(one.ended_at_ms for one in usual if one.tries[-1].is_served)
        ends = [self.first_stop_ms, *served]
        return max(
            (after - before for before, after in zip(ends, ends[1:], strict=False)), default=0.0
        )


def _play(draw_work: DrawWork, run: BoundsRun) -> list[Finding]:
    """Stop all instances of a region one after the other, at gaps that the seed draws."""
    stops = sum(one.zone == NORTH for one in run.fleet.gateways.values())
    gaps_s = (0.0, *(run.rng.uniform(*GAPS_S) for _ in range(stops - 1)))
    kind = run.rng.choice(("safe", "unsafe"))
    stopped = RegionStops(run.fleet, run.rng, StopForm(gaps_s, draw_work, kind))
    findings = stopped.play()
    run.sent += [SentRequest(f"r{one.number}", one.at_ms) for one in stopped.asked]
    ends = [one.tries[-1].got for one in stopped.asked if one.tries]
    run.statuses.update(got.status if got and got.whole else 0 for got in ends)
    return findings


REGION_STOPS: dict[str, Callable[[BoundsRun], list[Finding]]] = {
    "region-stops": partial(_play, long_once_stopped),
    "region-stops-long-before": partial(_play, long_always),
    "region-stops-growing": partial(_play, growing),
    "region-stops-short": partial(_play, short_only),
}
