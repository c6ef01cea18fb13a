"""Instances that are stopped in series that overlap, while some requests take seconds."""

import random
import signal
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.pool import Pool

from benchmarks.bounds._rules import Finding, SentRequest
from benchmarks.bounds._run import CALLER_TIMEOUT_S, NORTH, SOUTH, BoundsRun
from benchmarks.gateway_fleet import GatewayFleet, GatewayProcess
from sparline._clock import now_ms
from standins import Caller, Got, plain_routes, publish, published_version

# Time in which instances learn how long requests take (s).
LEARN_S = 8.0
# Time that a long request needs (ms). One that was sent in the first 3 s of a stop is over well before
# the process is killed.
SLOW_MS = (500.0, 3_000.0)
# One request in so many is long.
SLOW_EACH = (5, 40)
SERIES = 3
# Time between the starts of two series, and between two stops of one (s).
SERIES_GAPS_S = (0.0, 6.0)
STOP_GAPS_S = (0.0, 0.1, 0.5, 1.0, 1.5, 3.0)
# Time after which a process that has ended starts again (s).
BACK_S = (0.1, 1.0)
# Time in which the last process that was stopped has ended and started again (s).
END_S = 16.0
# Share of the callers that keep their connection.
KEEPING_SHARE = 0.5
# A caller that is not connected tries at most so many instances.
MAX_CONNECTS = 3
TARGETS = ("/safe/x", "/unsafe/x")
# Paths of requests that must not run again once they have run.
RUN_ONCE = ("/unsafe/x", "/once/x")
# Status under which callers that gave up are listed.
GIVEN_UP = 499
# The target lies far below the time of long requests, the timeout above what is left of a stop.
ROUTES = plain_routes(300, safe_attempts=2)
# Share of the series that stop a whole zone.
WHOLE_ZONE_SHARE = 0.7


@dataclass(frozen=True, slots=True)
class AnswerSpan:
    """Hold which instance a caller asked, and when."""

    gateway: str  # name of the instance
    began_at_ms: float  # when the request was sent
    ended_at_ms: float  # when the answer, or its connection, ended

    @property
    def took_ms(self) -> float:
        """Return how long the caller waited."""
        return self.ended_at_ms - self.began_at_ms


@dataclass(slots=True)
class StoppedRun:
    """Send requests while instances are stopped, and judge what callers got."""

    fleet: GatewayFleet
    rng: random.Random
    rate_per_s: float
    # What callers got who did not give up before; one that gave up was not cut.
    answers: dict[str, Got] = field(default_factory=dict)
    given_up: int = 0  # callers that waited for as long as their route allows
    targets: dict[str, str] = field(default_factory=dict)
    sent: list[SentRequest] = field(default_factory=list)
    work: tuple[str, ...] = TARGETS  # paths of the requests
    headers: Mapping[str, str] = field(default_factory=dict)  # headers of the requests
    routes: Mapping[str, dict[str, Any]] = field(default_factory=lambda: ROUTES)
    spans: dict[str, AnswerSpan] = field(default_factory=dict)  # of requests that were answered
    stops_ms: dict[str, list[float]] = field(default_factory=dict)  # times of stops, by instance
    _kept: dict[str, list[Caller]] = field(default_factory=dict)
    _callers: Pool = field(default_factory=lambda: Pool(400))

    def play(self) -> list[Finding]:
        """Stop instances in several series; return what was cut and what was said falsely."""
        self._publish()
        sender = gevent.spawn(self._send_on)
        gevent.sleep(LEARN_S)
        series = []
        for _ in range(SERIES):
            series.append(gevent.spawn(self._stop_in_series, self.rng.choice((NORTH, SOUTH))))
            gevent.sleep(self.rng.uniform(*SERIES_GAPS_S))
        gevent.joinall(series, raise_error=True)
        gevent.sleep(END_S)
        sender.kill()
        self._callers.join(CALLER_TIMEOUT_S)
        return self._findings()

    def draw_slow_servers(self) -> None:
        """Let servers take seconds for some requests."""
        for server in self.fleet.servers.values():
            server.slow_ms = self.rng.uniform(*SLOW_MS)
            server.slow_each = self.rng.randint(*SLOW_EACH)

    def _send_on(self) -> None:
        next_at_ms = now_ms()
        while True:
            next_at_ms += self.rng.expovariate(self.rate_per_s) * 1000
            gevent.sleep(max(next_at_ms - now_ms(), 0) / 1000)
            request = SentRequest(f"r{len(self.sent)}", now_ms())
            self.sent.append(request)
            self._callers.spawn(self._ask, request.request_id, self.rng.choice(self.work))

    def _ask(self, request_id: str, target: str) -> None:
        self.targets[request_id] = target
        found = self._connect()
        if found is None:
            return
        name, caller = found
        got = None
        began_at_ms = now_ms()
        try:
            with gevent.Timeout(CALLER_TIMEOUT_S, False):
                caller.send(target, request_id, b"abc", **self.headers)
                got = caller.read()
        except OSError:
            # The connection ended before the whole request was written.
            got = Got(0, {}, b"", False)
        if got is None:
            self.given_up += 1
            caller.close()
            return
        self.answers[request_id] = got
        self.spans[request_id] = AnswerSpan(name, began_at_ms, now_ms())
        keeps = got.whole and got.headers.get("connection") != "close"
        if keeps and self.rng.random() < KEEPING_SHARE:
            self._kept.setdefault(name, []).append(caller)
        else:
            caller.close()

    def _connect(self) -> tuple[str, Caller] | None:
        """Take a connection that was kept, or open one to an instance that takes it."""
        for name in self.rng.sample(sorted(self.fleet.gateways), MAX_CONNECTS):
            if self._kept.get(name):
                return name, self._kept[name].pop()
            try:
                return name, self.fleet.caller(name)
            except OSError:
                continue
        return None

    def _stop_in_series(self, zone: str) -> None:
        gateways = [one for one in self.fleet.gateways.values() if one.zone == zone]
        self.rng.shuffle(gateways)
        gap_s = self.rng.choice(STOP_GAPS_S)
        is_whole = self.rng.random() < WHOLE_ZONE_SHARE
        count = len(gateways) if is_whole else self.rng.randint(1, len(gateways))
        for gateway in gateways[:count]:
            if gateway.is_running():
                self.stops_ms.setdefault(gateway.name, []).append(now_ms())
                gateway.signal(signal.SIGTERM)
                gevent.spawn(self._start_again, gateway)
            self._change_plans()
            gevent.sleep(gap_s)

    def _start_again(self, gateway: GatewayProcess) -> None:
        process = gateway.process
        process.wait()
        gevent.sleep(self.rng.uniform(*BACK_S))
        if gateway.process is process:
            gateway.start()

    def _change_plans(self) -> None:
        """Change the settings of an instance, or the configuration of all."""
        if self.rng.random() < 0.5:
            name = self.rng.choice(sorted(self.fleet.gateways))
            self.fleet.rewrite_settings(name, self.rng.choice(("INFO", "WARNING")))
            self.fleet.gateways[name].signal(signal.SIGHUP)
        else:
            self._publish()

    def _publish(self) -> None:
        publish(self.fleet.store, published_version(self.fleet.store) + 1, dict(self.routes))

    def _findings(self) -> list[Finding]:
        ran = {run.request_id for server in self.fleet.servers.values() for run in server.runs}
        cut = [one for one, got in self.answers.items() if not got.whole and one in ran]
        false = [one for one in self._refused() if self.targets[one] in RUN_ONCE and one in ran]
        return [
            Finding("requests that were passed on and cut", len(cut), 0),
            Finding("requests that ran and were called not run", len(false), 0),
        ]

    def _refused(self) -> Iterable[str]:
        return (one for one, got in self.answers.items() if got.status in (408, 421, 429, 503))


def planned_stops(run: BoundsRun) -> list[Finding]:
    """Play the situation."""
    stopped = StoppedRun(run.fleet, run.rng, run.rate_per_s)
    stopped.draw_slow_servers()
    findings = stopped.play()
    note_stopped(run, stopped)
    return findings


def note_stopped(run: BoundsRun, stopped: StoppedRun) -> None:
    """Add what callers sent and got to a run."""
    run.sent += stopped.sent
    run.statuses.update(one.status if one.whole else 0 for one in stopped.answers.values())
    run.statuses[GIVEN_UP] = stopped.given_up
