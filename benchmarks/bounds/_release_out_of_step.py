"""A release of a new software version while some instances are out of step with the others."""

import random
import signal
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import gevent

from benchmarks.bounds._resumed_streams import EVENTS, ResumedStreams
from benchmarks.bounds._rules import Finding
from benchmarks.bounds._run import NORTH, SOUTH
from benchmarks.bounds._way_cuts import ALL_TRAFFIC, Cut, Traffic, WayCuts, ways_out
from benchmarks.gateway_fleet import GatewayFleet

OLD, NEW = "v1", "v2"
EVENT_MS = 40.0
# Engines in each zone, and how often each may come back as another version.
ENGINES_IN_ZONE = 4
RETURNS = 2
OLD_ENGINES = {
    f"e{zone[0]}{number}": (zone, "engines", EVENTS)
    for zone in (NORTH, SOUTH)
    for number in range(ENGINES_IN_ZONE)
}
NEW_ENGINES = {
    f"{name}-{count}": place for name, place in OLD_ENGINES.items() for count in range(RETURNS)
}
RELEASE_ENGINES = OLD_ENGINES | NEW_ENGINES
RELEASE_VERSIONS = dict.fromkeys(NEW_ENGINES, NEW)
# Bounds of how long instances are cut off, stand still and are down (s).
CUT_S = (0.3, 5.0)
PAUSE_S = (0.4, 2.0)
DOWN_S = (0.1, 0.6)
# When the trouble begins, from the time at which the first engine comes back (s): before it, and
# also later where the new version goes again.
BEGINS_S = (-1.0, 0.0)
BEGINS_LATER_S = (-1.0, 3.0)
# Time between two engines that come back, and for which one says that it leaves (s).
ENGINE_GAP_S = (0.0, 0.3)
LEAVING_S = 0.3
# Time without trouble before the release and after it (s).
CALM_S = 2.0
# How long a version that goes again is there, and then away (s).
THERE_S = (0.5, 1.5)
GONE_S = (0.3, 3.0)


class OutOfStep(Enum):
    """Name how an instance is out of step."""

    ALONE = "alone"  # cut from the others and the store
    NO_OTHERS = "no others"
    NO_STORE = "no store"
    REGION = "region"  # one region cut from the other and the store, but not within itself
    UNHEARD = "unheard"  # nothing of it arrives, at the others or the store
    DEAF = "deaf"  # nothing arrives at it, of the others or the store
    NO_GOSSIP = "no gossip"  # hops pass; the store does not
    NO_HOPS = "no hops"  # gossip passes; the store does not
    PAUSED = "paused"  # suspended
    KILLED_NO_STORE = "killed, no store"  # killed, and started again while cut from the store
    KILLED_NO_OTHERS = "killed, no others"  # killed, and started again while cut from the others


@dataclass(frozen=True, slots=True)
class Trouble:
    """Hold what puts some instances out of step."""

    kind: OutOfStep
    instances: tuple[str, ...]
    begins_s: float  # when it begins, from the time of the release
    lasts_s: float

    @classmethod
    def make(
        cls, rng: random.Random, fleet: GatewayFleet, begins_s: tuple[float, float]
    ) -> "Trouble":
        """Draw a trouble."""
        kind = rng.choice(list(OutOfStep))
        names = sorted(fleet.gateways)
        if kind is OutOfStep.REGION:
            zone = rng.choice((NORTH, SOUTH))
            instances = [name for name in names if fleet.gateways[name].zone == zone]
        else:
            instances = rng.sample(names, rng.randint(1, 2))
        lasts_s = rng.uniform(*(PAUSE_S if kind is OutOfStep.PAUSED else CUT_S))
        return cls(kind, tuple(instances), rng.uniform(*begins_s), lasts_s)

    def cut(self, names: list[str]) -> Cut:
        """Return what is cut."""
        own = frozenset(self.instances)
        others = [name for name in names if name not in own]
        # Unlike those of a region, instances that are cut off alone do not hear each other.
        peers = others if self.kind is OutOfStep.REGION else names

        def both_ways(traffic: frozenset[Traffic] = ALL_TRAFFIC) -> Cut:
            ways = ways_out(own, peers, traffic) | ways_out(peers, own, traffic)
            return Cut(ways, own, own)

        match self.kind:
            case OutOfStep.ALONE | OutOfStep.REGION:
                return both_ways()
            case OutOfStep.NO_OTHERS | OutOfStep.KILLED_NO_OTHERS:
                return Cut(both_ways().ways)
            case OutOfStep.UNHEARD:
                return Cut(ways_out(own, peers), silent_to_store=own)
            case OutOfStep.DEAF:
                return Cut(ways_out(peers, own), silent_from_store=own)
            case OutOfStep.NO_GOSSIP:
                return both_ways(frozenset({Traffic.GOSSIP}))
            case OutOfStep.NO_HOPS:
                return both_ways(frozenset({Traffic.HOPS}))
            case OutOfStep.NO_STORE | OutOfStep.KILLED_NO_STORE:
                return Cut(frozenset(), own, own)
            case OutOfStep.PAUSED:
                return Cut()


@dataclass(frozen=True, slots=True)
class ReleaseDraw:
    """Hold what a seed draws."""

    troubles: tuple[Trouble, ...]
    moving: tuple[str, ...]  # engines that end and come back as the new version, in order
    says_leaving: bool  # whether these say that they leave before
    goes_twice: bool  # whether the new version comes and goes twice instead of staying
    there_s: float  # how long it is there each time, if it goes
    gone_s: float  # how long it is away, if it goes

    @classmethod
    def make(cls, rng: random.Random, fleet: GatewayFleet) -> "ReleaseDraw":
        """Draw a release; some engines of each zone keep the old version."""
        goes_twice = rng.random() < 0.4
        begins_s = BEGINS_LATER_S if goes_twice else BEGINS_S
        troubles = [Trouble.make(rng, fleet, begins_s) for _ in range(rng.randint(2, 4))]
        moving = [
            name
            for zone in (NORTH, SOUTH)
            for name in rng.sample(
                [one for one, (of, _, _) in OLD_ENGINES.items() if of == zone],
                rng.randint(1, ENGINES_IN_ZONE - 1),
            )
        ]
        rng.shuffle(moving)
        says_leaving = rng.random() < 0.5
        times_s = rng.uniform(*THERE_S), rng.uniform(*GONE_S)
        return cls(tuple(troubles), tuple(moving), says_leaving, goes_twice, *times_s)

    @classmethod
    def taken_back(cls, rng: random.Random, fleet: GatewayFleet) -> "ReleaseDraw":
        """Draw a release that is taken back while some instances start again, cut from the others."""
        names = rng.sample(sorted(fleet.gateways), 2)
        starting = Trouble(OutOfStep.KILLED_NO_OTHERS, tuple(names), begins_s=1.5, lasts_s=4.5)
        moving = ("en0", "en1", "es0", "es1")
        return cls((starting,), moving, False, goes_twice=True, there_s=1.0, gone_s=3.0)

    def described(self) -> dict[str, object]:
        """Return the draw as JSON values."""
        return {
            "troubles": [
                f"{one.kind.value} {' '.join(one.instances)} {one.lasts_s:.1f} s"
                f" from {one.begins_s:.1f} s on"
                for one in self.troubles
            ],
            "moving": list(self.moving),
            "says_leaving": self.says_leaving,
            "goes_twice": self.goes_twice,
            "there_s": round(self.there_s, 2),
            "gone_s": round(self.gone_s, 2),
        }


@dataclass(slots=True)
class ReleaseRun:
    """Send streams during a release, and judge what their callers hold."""

    fleet: GatewayFleet
    rng: random.Random
    rate_per_s: float
    draw: ReleaseDraw
    streams: ResumedStreams = field(init=False)
    _cuts: WayCuts = field(init=False)
    _out_of_step: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Let the callers draw for themselves."""
        callers_rng = random.Random(self.rng.random())
        self.streams = ResumedStreams(
            self.fleet, callers_rng, self.rate_per_s, lambda: self._out_of_step
        )
        self._cuts = WayCuts(self.fleet)

    def play(self) -> list[Finding]:
        """Play the release."""
        for engine in self.fleet.servers.values():
            engine.work_ms = EVENT_MS
        self.streams.start()
        gevent.sleep(CALM_S)
        earliest_s = BEGINS_S[0]
        tasks = [
            gevent.spawn_later(one.begins_s - earliest_s, self._make_trouble, one)
            for one in self.draw.troubles
        ]
        gevent.sleep(-earliest_s)
        self._release()
        gevent.joinall(tasks, raise_error=True)
        gevent.sleep(CALM_S)
        self.streams.stop()
        return self.streams.findings()

    def described(self) -> dict[str, object]:
        """Return what was drawn and what became of the resumptions as JSON values."""
        return self.draw.described() | self.streams.described()

    def _make_trouble(self, trouble: Trouble) -> None:
        cut = trouble.cut(sorted(self.fleet.gateways))
        self._cuts.begin(cut)
        self._out_of_step.extend(trouble.instances)
        gateways = [self.fleet.gateways[name] for name in trouble.instances]
        if trouble.kind is OutOfStep.PAUSED:
            _signal_all(gateways, signal.SIGSTOP)
        if trouble.kind in (OutOfStep.KILLED_NO_STORE, OutOfStep.KILLED_NO_OTHERS):
            _signal_all(gateways, signal.SIGKILL)
            gevent.sleep(self.rng.uniform(*DOWN_S))
            for one in gateways:
                one.process.wait()
                one.start()
        gevent.sleep(trouble.lasts_s)
        _signal_all(gateways, signal.SIGCONT)
        self._cuts.end(cut)
        # What an instance missed reaches it only some moments later.
        gevent.sleep(0.2)
        for name in trouble.instances:
            self._out_of_step.remove(name)

    def _release(self) -> None:
        self._each_moving(lambda name: self._replace(name, f"{name}-0"))
        if not self.draw.goes_twice:
            return
        gevent.sleep(self.draw.there_s)
        self._each_moving(lambda name: self._end(f"{name}-0"))
        gevent.sleep(self.draw.gone_s)
        self._each_moving(lambda name: self._begin(f"{name}-1"))
        gevent.sleep(self.draw.there_s)
        self._each_moving(lambda name: self._end(f"{name}-1"))

    def _each_moving(self, move: Callable[[str], None]) -> None:
        for name in self.draw.moving:
            move(name)
            gevent.sleep(self.rng.uniform(*ENGINE_GAP_S))

    def _replace(self, old: str, new: str) -> None:
        self._begin(new)
        if self.draw.says_leaving:
            self.fleet.list_server(old, state="draining")
            gevent.spawn_later(LEAVING_S, self._end, old)
        else:
            self._end(old)

    def _begin(self, name: str) -> None:
        self.fleet.add_server(name)
        self.fleet.servers[name].work_ms = EVENT_MS

    def _end(self, name: str) -> None:
        self.fleet.remove_server(name)


def _signal_all(gateways: list, number: signal.Signals) -> None:
    for one in gateways:
        one.signal(number)
