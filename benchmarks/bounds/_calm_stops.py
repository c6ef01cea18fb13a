"""Instances of a region that are stopped in calm, and callers who go by the directory."""

import json
import math
import random
import signal
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from benchmarks.bounds._directory_caller import DirectoryCaller, is_refusal, is_success
from benchmarks.bounds._rules import Finding, SentRequest
from benchmarks.bounds._run import CALLER_TIMEOUT_S, NORTH, BoundsRun
from benchmarks.gateway_fleet import GatewayFleet
from sparline._clock import now_ms
from standins import Got, plain_routes, publish, published_version

# Time in which instances learn how long requests take (s).
LEARN_S = 8.0
# Time from the last stop to the end (s): the process has ended by then.
END_S = 9.0
# Time after which a process that has ended starts again (s).
BACK_S = 0.5
# How long a caller holds an answer of the directory (s): its lifetime, or three times that.
HOLD_S = (2.0, 2.0, 6.0)
CLIENTS = 30
USUAL_MS = 60.0
# Time that a long request needs (ms), and of how many one is long. None was long before the stop.
LONG_MS = 6_500.0
LONG_EACH = 3
# When requests begin to be long, from the stop (s).
LONG_FROM_S = (1.2, 2.2)
SLOTS = 400
# A caller tries once more, elsewhere: after any failure of a safe request, else after a promise that
# it has not run.
MAX_TRIES = 2
TARGETS = ("/safe/x", "/unsafe/x")
# What callers say of the time that they wait, None for as long as the route allows (ms).
DEADLINES_MS = (None, None, None, 2_500)
ROUTES = plain_routes(300, safe_attempts=2)


@dataclass(frozen=True, slots=True)
class Try:
    """Hold what one try of a request came to."""

    request_id: str  # id of the try
    at_ms: float  # when it was sent
    took_ms: float  # time until its answer or its connection ended
    was_stopping: bool  # whether the instance that was asked was stopping
    got: Got | None  # the answer, None if the instance could not be connected to


@dataclass(slots=True)
class CalmStops:
    """Send requests while instances of one region are stopped, and hold what callers got."""

    fleet: GatewayFleet
    rng: random.Random
    rate_per_s: float
    gaps_s: tuple[float, ...] = (0.0,)  # times before each stop, from the one before
    tries: list[list[Try]] = field(default_factory=list)  # by request
    first_stop_ms: float = math.inf  # when the first instance was stopped
    stopping: set[str] = field(default_factory=set)  # names of instances that have not ended yet
    sent: list[SentRequest] = field(default_factory=list)
    _clients: list[DirectoryCaller] = field(default_factory=list)
    _callers: Pool = field(default_factory=lambda: Pool(400))

    def play(self) -> list[Finding]:
        """Stop instances; return what was cut, said falsely and not served anywhere."""
        for name, server in self.fleet.servers.items():
            server.work_ms = USUAL_MS
            self.fleet.list_server(name, slots=SLOTS, sequence=2)
        publish(self.fleet.store, published_version(self.fleet.store) + 1, dict(ROUTES))
        self._clients = [
            DirectoryCaller(self.fleet, self.rng, self.rng.choice(HOLD_S), self._shuffled_names)
            for _ in range(CLIENTS)
        ]
        sender = gevent.spawn(self._send_on)
        gevent.sleep(LEARN_S)
        gevent.spawn_later(self.rng.uniform(*LONG_FROM_S), self._begin_long)
        names = [one.name for one in self.fleet.gateways.values() if one.zone == NORTH]
        self.rng.shuffle(names)
        for name, gap_s in zip(names, self.gaps_s, strict=False):
            gevent.sleep(gap_s)
            self.first_stop_ms = min(self.first_stop_ms, now_ms())
            self.stopping.add(name)
            self.fleet.gateways[name].signal(signal.SIGTERM)
            gevent.spawn(self._start_again, name)
        gevent.sleep(END_S)
        sender.kill()
        self._callers.join(2 * CALLER_TIMEOUT_S)
        return self._findings()

    def _begin_long(self) -> None:
        for server in self.fleet.servers.values():
            server.slow_ms, server.slow_each = LONG_MS, LONG_EACH

    def _start_again(self, name: str) -> None:
        self.fleet.gateways[name].process.wait()
        gevent.sleep(BACK_S)
        self.stopping.discard(name)
        self.fleet.gateways[name].start()

    def _send_on(self) -> None:
        next_at_ms = now_ms()
        while True:
            next_at_ms += self.rng.expovariate(self.rate_per_s) * 1000
            gevent.sleep(max(next_at_ms - now_ms(), 0) / 1000)
            self.sent.append(SentRequest(f"r{len(self.sent)}", now_ms()))
            self.tries.append([])
            client = self.rng.choice(self._clients)
            self._callers.spawn(self._ask, client, self.sent[-1].request_id, self.tries[-1])

    def _ask(self, client: DirectoryCaller, request_id: str, tries: list[Try]) -> None:
        target, deadline_ms = self.rng.choice(TARGETS), self.rng.choice(DEADLINES_MS)
        headers = {} if deadline_ms is None else {"Deadline_Milliseconds": str(deadline_ms)}
        failed: set[str] = set()
        while len(tries) < MAX_TRIES:
            name = client.choose(failed)
            got = self._try(client, name, target, f"{request_id}-{len(tries)}", headers, tries)
            if not self._may_repeat(target, tries[-1]):
                return
            failed.add(name)
            if got is not None:
                gevent.sleep(float(got.headers.get("retry-after", 0)))

    def _shuffled_names(self) -> list[str]:
        return self.rng.sample(sorted(self.fleet.gateways), len(self.fleet.gateways))

    def _try(
        self,
        client: DirectoryCaller,
        name: str,
        target: str,
        request_id: str,
        headers: dict[str, str],
        tries: list[Try],
    ) -> Got | None:
        at_ms, was_stopping = now_ms(), name in self.stopping
        got = client.exchange(name, target, request_id, b"abc", headers)
        tries.append(Try(request_id, at_ms, now_ms() - at_ms, was_stopping, got))
        return got

    def _may_repeat(self, target: str, one: Try) -> bool:
        """Tell whether a caller tries again: a request that may have run only if it is safe."""
        got = one.got
        if got is None or is_refusal(got):
            return True
        if target != "/safe/x":
            return got.status == 0 and one.request_id not in self._ran()
        return not got.whole or got.status >= 500

    def _ran(self) -> set[str]:
        return {run.request_id for server in self.fleet.servers.values() for run in server.runs}

    def _findings(self) -> list[Finding]:
        ran = self._ran()
        every = [one for tries in self.tries for one in tries]
        cut = [one for one in every if _is_cut(one) and one.request_id in ran]
        false = [one for one in every if is_refusal(one.got) and one.request_id in ran]
        ends = [tries[-1] for tries in self.tries if tries]
        unserved = [one for one in ends if is_refusal(one.got) and one.was_stopping]
        self._print_counts()
        return [
            Finding("requests that were passed on and cut", len(cut), 0),
            Finding("requests that ran and were called not run", len(false), 0),
            Finding("requests refused by leaving instances only", len(unserved), 0),
        ]

    def _print_counts(self) -> None:
        late = [tries for tries in self.tries if tries and tries[0].at_ms >= self.first_stop_ms]
        at_stopping = [tries for tries in late if tries[0].was_stopping]
        print(json.dumps({
            "requests since the first stop": len(late),
            "served at once": sum(is_success(tries[0].got) for tries in late),
            "served": sum(is_success(tries[-1].got) for tries in late),
            "first asked a stopping instance": len(at_stopping),
            "and refused there": sum(is_refusal(tries[0].got) for tries in at_stopping),
            "and not connected there": sum(tries[0].got is None for tries in at_stopping),
            "and cut there": sum(_is_cut(tries[0]) for tries in at_stopping),
            "refused": sum(is_refusal(tries[0].got) for tries in late),
        }))  # fmt: skip


def _is_cut(one: Try) -> bool:
    """Tell whether an answer ended before its end, and before its caller gave up."""
    is_given_up = one.took_ms >= CALLER_TIMEOUT_S * 1000
    return one.got is not None and not one.got.whole and not is_given_up


def calm_stop(run: BoundsRun) -> list[Finding]:
    """Stop one instance of a region; requests that come later take longer than any before."""
    stopped = CalmStops(run.fleet, run.rng, run.rate_per_s)
    findings = stopped.play()
    run.sent += stopped.sent
    ends = [tries[-1].got for tries in stopped.tries if tries]
    run.statuses.update(got.status if got and got.whole else 0 for got in ends)
    return findings
