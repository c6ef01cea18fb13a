"""Streams at engines that send nothing for a while, while instances are stopped in series that overlap."""

import random
from dataclasses import dataclass, field

import gevent

from benchmarks.bounds._planned_stops import AnswerSpan, StoppedRun, note_stopped
from benchmarks.bounds._rules import Finding
from benchmarks.bounds._run import CALLER_TIMEOUT_S, NORTH, SOUTH, BoundsRun
from benchmarks.gateway_fleet import GRACE_S
from standins import PROMPT, SealedServer

EVENTS = 20
# Engines: three in the north, three in the south.
STREAM_ENGINES = {
    f"e{zone[0]}{number}": (zone, "engines", EVENTS)
    for zone in (NORTH, SOUTH)
    for number in range(3)
}
EVENT_MS = 25.0
# Time between the events of long streams, of which each engine has one in so many.
LONG_EVENT_MS = (50.0, 250.0)
LONG_EACH = (5, 40)
# How long engines send nothing, and the time between two such silences (s).
SILENCE_S = (0.5, 4.0)
SILENCE_GAP_S = (0.5, 3.0)
# Share of the disturbances in which all engines are silent, and in which one resets its connections.
ALL_SILENT_SHARE = 0.4
RESET_SHARE = 0.15
TARGETS = ("/stream/x", "/once/x")
# Callers get what they wait for, or give up, this long before their time is over (s).
MARGIN_S = 0.3
# A stream that was sent this long after a stop at the latest, and runs until this long after it at least,
# may be cut by the end of its process (ms): the operators' rule for planned stops.
SOON_MS = 3_000.0
NEARLY_ALL_OF_GRACE_MS = GRACE_S * 1000 * 5 / 6
ROUTES = {
    "/stream/": {"kind": "streaming", "allow_resume": True, "max_attempts": 2},
    "/once/": {"kind": "streaming", "allow_resume": False, "max_attempts": 1},
}


@dataclass(slots=True)
class SilentEngines:
    """Let engines send nothing for a while, one by one and all at once."""

    engines: list[SealedServer]
    rng: random.Random
    _resuming: list[gevent.Greenlet] = field(default_factory=list)

    def run(self) -> None:
        """Disturb engines until the greenlet is killed."""
        try:
            while True:
                gevent.sleep(self.rng.uniform(*SILENCE_GAP_S))
                self._disturb()
        finally:
            gevent.killall(self._resuming)
            for engine in self.engines:
                engine.may_send.set()

    def _disturb(self) -> None:
        kind = self.rng.random()
        if kind < RESET_SHARE:
            self.rng.choice(self.engines).reset_connections()
            return
        is_all = kind < RESET_SHARE + ALL_SILENT_SHARE
        for engine in self.engines if is_all else [self.rng.choice(self.engines)]:
            engine.may_send.clear()
            silence_s = self.rng.uniform(*SILENCE_S)
            self._resuming.append(gevent.spawn_later(silence_s, engine.may_send.set))


def silent_engines(run: BoundsRun) -> list[Finding]:
    """Play the situation."""
    engines = list(run.fleet.servers.values())
    for engine in engines:
        engine.work_ms = EVENT_MS
        engine.long_event_ms = run.rng.uniform(*LONG_EVENT_MS)
        engine.long_each = run.rng.randint(*LONG_EACH)
    stopped = StoppedRun(
        run.fleet, run.rng, run.rate_per_s, work=TARGETS, headers=PROMPT, routes=ROUTES
    )
    disturbing = gevent.spawn(SilentEngines(engines, random.Random(run.rng.random())).run)
    findings = stopped.play()
    disturbing.kill()
    note_stopped(run, stopped)
    return [*findings[1:], *_findings(stopped)]


def _findings(stopped: StoppedRun) -> list[Finding]:
    runs = [one for server in stopped.fleet.servers.values() for one in server.runs]
    ran = {one.request_id for one in runs}
    reset = {one.request_id for one in runs if one.was_reset}
    in_time_ms = (CALLER_TIMEOUT_S - MARGIN_S) * 1000
    judged = [
        one
        for one, span in stopped.spans.items()
        if one in ran and one not in reset and span.took_ms < in_time_ms
    ]
    cut = [
        one
        for one in judged
        if not stopped.answers[one].whole and not _outlasts_grace(stopped, stopped.spans[one])
    ]
    failed = [one for one in judged if stopped.answers[one].status in (502, 504)]
    return [
        Finding("streams of living engines that were cut", len(cut), 0),
        Finding("streams of living engines that failed", len(failed), 0),
    ]


def _outlasts_grace(stopped: StoppedRun, span: AnswerSpan) -> bool:
    """Tell whether the operators count a cut stream as one that no instance could complete.

    That is so if it was sent soon after the stop, and its engine was at work for nearly all of the
    grace period.
    """
    return any(
        span.began_at_ms <= at_ms + SOON_MS and span.ended_at_ms >= at_ms + NEARLY_ALL_OF_GRACE_MS
        for at_ms in stopped.stops_ms.get(span.gateway, ())
        if at_ms <= span.ended_at_ms
    )
