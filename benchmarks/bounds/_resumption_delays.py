"""Resumptions of streams at one software version: how many go on, and how soon."""

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent

from benchmarks.bounds._release_out_of_step import EVENT_MS, OutOfStep, Trouble
from benchmarks.bounds._resumed_streams import ResumedStreams
from benchmarks.bounds._rules import Finding
from benchmarks.bounds._run import NORTH
from benchmarks.bounds._way_cuts import WayCuts
from benchmarks.gateway_fleet import GatewayFleet
from standins import StoreMode

SENT_S = 18.0
# Time between two series of kills, and for which killed instances are down (s).
KILLS_GAP_S = 3.0
DOWN_S = 0.3
# Time between two pauses, their length, and for how long an instance counts as just back (s).
PAUSES_GAP_S = 1.5
PAUSE_S = 1.5
JUST_BACK_S = 0.5


class ResumedWhile(Enum):
    """Name what streams are resumed in."""

    CALM = "resumed-calm"
    KILLS = "resumed-after-kills"  # half of the instances are killed, again and again
    CUT_REGION = "resumed-in-cut-region"  # all callers are in a region that is cut off
    NO_STORE = "resumed-without-store"  # the store answers nothing
    PAUSES = "resumed-after-pauses"  # at instances that stood still until just now


@dataclass(slots=True)
class DelayRun:
    """Send streams in one of the situations."""

    fleet: GatewayFleet
    rng: random.Random
    rate_per_s: float
    resumed_while: ResumedWhile
    streams: ResumedStreams = field(init=False)
    _just_back: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Share the fleet with the callers."""
        callers_rng = random.Random(self.rng.random())
        self.streams = ResumedStreams(
            self.fleet, callers_rng, self.rate_per_s, lambda: self._just_back
        )

    def play(self) -> list[Finding]:
        """Play the situation."""
        for engine in self.fleet.servers.values():
            engine.work_ms = EVENT_MS
        disturb: dict[ResumedWhile, Callable[[], None]] = {
            ResumedWhile.KILLS: self._kill_on,
            ResumedWhile.CUT_REGION: self._cut_region,
            ResumedWhile.NO_STORE: self._silence_store,
            ResumedWhile.PAUSES: self._pause_on,
        }
        disturbing = gevent.spawn(disturb.get(self.resumed_while, lambda: None))
        self.streams.start()
        gevent.sleep(SENT_S)
        self.streams.stop()
        disturbing.kill()
        return self.streams.findings()

    def described(self) -> dict[str, object]:
        """Return what became of the resumptions as JSON values."""
        return self.streams.described()

    def _kill_on(self) -> None:
        while True:
            names = self.rng.sample(sorted(self.fleet.gateways), len(self.fleet.gateways) // 2)
            gateways = [self.fleet.gateways[name] for name in names]
            for one in gateways:
                one.signal(signal.SIGKILL)
            gevent.sleep(DOWN_S)
            for one in gateways:
                one.process.wait()
                one.start()
            gevent.sleep(KILLS_GAP_S - DOWN_S)

    def _cut_region(self) -> None:
        names = sorted(self.fleet.gateways)
        own = [name for name in names if self.fleet.gateways[name].zone == NORTH]
        self.streams.places = own
        WayCuts(self.fleet).begin(Trouble(OutOfStep.REGION, tuple(own), 0, SENT_S).cut(names))

    def _silence_store(self) -> None:
        self.fleet.store.mode = StoreMode.SILENT

    def _pause_on(self) -> None:
        while True:
            names = self.rng.sample(sorted(self.fleet.gateways), 2)
            for name in names:
                self.fleet.gateways[name].signal(signal.SIGSTOP)
            gevent.sleep(PAUSE_S)
            for name in names:
                self.fleet.gateways[name].signal(signal.SIGCONT)
            self._just_back.extend(names)
            gevent.sleep(JUST_BACK_S)
            self._just_back.clear()
            gevent.sleep(PAUSES_GAP_S)
