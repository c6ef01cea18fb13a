"""A part of prompts that ends each engine that answers it, with sound requests and faults beside."""

import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from enum import Enum

import gevent
from gevent.pool import Pool

from benchmarks.bounds._rules import Finding
from benchmarks.gateway_fleet import GatewayFleet
from sparline._clock import now_ms
from standins import Caller, SealedFaults, prompt_headers

# Engines: three in the north, three in the south.
ENGINES = {
    f"e{zone[0]}{number}": (zone, "engines", 6)
    for zone in ("north-1", "south-1")
    for number in range(3)
}
# An engine that has ended is back after this long (s).
ENGINE_BACK_S = 2.5
ENGINE_WORK_MS = 40.0
# Ends after which operators allow few more sends, once they had time to become known (ms).
TOLERATED_ENDS = 5
CONTACT_MS = 5_000.0
MAX_LATER_SENDS = 3
# Share of the sound requests begun before that still has to begin.
SOUND_SHARE = 0.5
# Time of sound requests before the first bad one (s), and of both (s).
ANSWERED_S = 4.0
CRASHING_S = 24.0
TROUBLE_S = 3.0
FREEZE_S = 1.5
# Parts that sound requests have in common: all of them the first, each one of the others.
SHARED = "aa"
SOUND_PARTS = 30
CALLER_TIMEOUT_S = 6.0


class BadPlace(Enum):
    """Name where a bad part stands in a prompt."""

    FIRST = "first"
    SECOND = "second"  # behind the part that all share
    ANYWHERE = "anywhere"  # among sound parts, in any order


class Trouble(Enum):
    """Name what happens to instances or engines meanwhile."""

    NONE = "none"
    KILLS = "kills"  # a third of the instances are killed and start again, every few seconds
    FREEZES = "freezes"  # a third of the instances are suspended, every few seconds
    EXITS = "exits"  # engines end by themselves


@dataclass(frozen=True, slots=True)
class CrashDraw:
    """Hold what a seed draws."""

    place: BadPlace
    bad_per_s: float
    bad_parts: int  # how many different parts end engines
    is_answered_before: bool  # whether sound requests are answered before the first bad one
    turns_bad: bool  # whether the parts are answered, too, until then
    is_unframed: bool  # whether answers have neither a length nor chunks
    trouble: Trouble

    @classmethod
    def make(cls, rng: random.Random) -> "CrashDraw":
        """Draw a situation."""
        is_answered_before = rng.random() < 0.7
        return cls(
            rng.choice(list(BadPlace)),
            rng.choice((4.0, 10.0, 20.0)),
            rng.choice((1, 1, 2)),
            is_answered_before,
            is_answered_before and rng.random() < 0.25,
            rng.random() < 0.2,
            rng.choice(list(Trouble)),
        )

    def described(self) -> dict[str, object]:
        """Return the draw as JSON values."""
        return {
            name: one.value if isinstance(one, Enum) else one for name, one in asdict(self).items()
        }


@dataclass(frozen=True, slots=True)
class SoundRequest:
    """Hold one sound request."""

    at_ms: float  # when it was sent
    has_begun: bool  # whether its answer began at the first try


@dataclass(slots=True)
class CrashingRun:
    """Send bad and sound requests, and judge what reached the engines and the callers."""

    fleet: GatewayFleet
    rng: random.Random
    rate_per_s: float  # of sound requests
    draw: CrashDraw
    sound: list[SoundRequest] = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)
    number: int = 0  # requests sent
    _disturbed_at_ms: dict[str, float] = field(default_factory=dict)  # by instance
    _callers: Pool = field(default_factory=lambda: Pool(400))

    @property
    def bad_parts(self) -> list[str]:
        """Return the names of the parts that end engines."""
        return [f"bad{number}" for number in range(self.draw.bad_parts)]

    def play(self) -> list[Finding]:
        """Play the situation."""
        for engine in self.fleet.servers.values():
            engine.work_ms = ENGINE_WORK_MS
            engine.faults = SealedFaults(unframed=self.draw.is_unframed)
        tasks = [gevent.spawn(self._send_sound)]
        if self.draw.turns_bad:
            tasks.append(gevent.spawn(self._send_bad))
        if self.draw.is_answered_before:
            gevent.sleep(ANSWERED_S)
        crashing_since_ms = now_ms()
        for engine in self.fleet.servers.values():
            engine.ends_on_parts = frozenset(self.bad_parts)
        if not self.draw.turns_bad:
            tasks.append(gevent.spawn(self._send_bad))
        tasks.append(gevent.spawn(self._make_trouble))
        gevent.sleep(CRASHING_S)
        gevent.killall(tasks)
        self._callers.join(CALLER_TIMEOUT_S)
        for name in self.fleet.gateways:
            self.fleet.gateways[name].signal(signal.SIGCONT)
        return self._findings(crashing_since_ms)

    def _send_sound(self) -> None:
        self._send_at(self.rate_per_s, self._sound_parts, is_sound=True)

    def _send_bad(self) -> None:
        self._send_at(self.draw.bad_per_s, self._parts_with_bad, is_sound=False)

    def _send_at(self, rate_per_s: float, parts: Callable[[], list[str]], is_sound: bool) -> None:
        next_at_ms = now_ms()
        while True:
            next_at_ms += self.rng.expovariate(rate_per_s) * 1000
            gevent.sleep(max(next_at_ms - now_ms(), 0) / 1000)
            self.number += 1
            at = self.rng.choice(sorted(self.fleet.gateways))
            self._callers.spawn(self._ask, self.number, at, parts(), is_sound)

    def _sound_parts(self) -> list[str]:
        return [SHARED, f"sound{self.rng.randrange(SOUND_PARTS)}"]

    def _parts_with_bad(self) -> list[str]:
        bad = self.rng.choice(self.bad_parts)
        if self.draw.place is BadPlace.SECOND:
            return [SHARED, bad]
        parts = self._sound_parts()
        parts.insert(
            self.rng.randrange(3) if self.draw.place is BadPlace.ANYWHERE else 0,
            bad,
        )
        return parts

    def _ask(self, number: int, at: str, parts: list[str], is_sound: bool) -> None:
        sent_at_ms = now_ms()
        status = self._status(number, at, parts)
        self.statuses[status] += 1
        disturbed_at_ms = self._disturbed_at_ms.get(at, 0.0)
        if is_sound and sent_at_ms - disturbed_at_ms > CONTACT_MS:
            self.sound.append(SoundRequest(sent_at_ms, status == 200))

    def _status(self, number: int, at: str, parts: list[str]) -> int:
        headers = prompt_headers((*parts, f"own{number}"))
        caller: Caller | None = None
        try:
            with gevent.Timeout(CALLER_TIMEOUT_S, False):
                caller = self.fleet.caller(at)
                caller.send("/stream/x", f"r{number}", b"%d" % number, **headers)
                return caller.read().status
        except OSError:
            # The instance is down: nothing was promised.
            return 0
        finally:
            if caller is not None:
                caller.close()
        return 0

    def _make_trouble(self) -> None:
        while self.draw.trouble is not Trouble.NONE:
            gevent.sleep(self.rng.uniform(0.5, 1.5) * TROUBLE_S)
            if self.draw.trouble is Trouble.EXITS:
                self._end_engine()
            else:
                self._disturb_instances()

    def _end_engine(self) -> None:
        running = [one for one in self.fleet.servers.values() if one.is_listening()]
        if running:
            self.rng.choice(running).end()

    def _disturb_instances(self) -> None:
        names = self.rng.sample(sorted(self.fleet.gateways), max(len(self.fleet.gateways) // 3, 1))
        gateways = [self.fleet.gateways[name] for name in names]
        is_kill = self.draw.trouble is Trouble.KILLS
        for one in gateways:
            one.signal(signal.SIGKILL if is_kill else signal.SIGSTOP)
        gevent.sleep(FREEZE_S)
        for name, one in zip(names, gateways, strict=True):
            self._disturbed_at_ms[name] = now_ms()
            if is_kill:
                one.process.wait()
                one.start()
            else:
                one.signal(signal.SIGCONT)

    def _findings(self, crashing_since_ms: float) -> list[Finding]:
        findings = []
        last_known_ms = crashing_since_ms
        for part in self.bad_parts:
            times = self._times_of(part, crashing_since_ms)
            known_ms = (times[:TOLERATED_ENDS] or [crashing_since_ms])[-1] + CONTACT_MS
            last_known_ms = max(last_known_ms, known_ms)
            later = sum(one > known_ms for one in times) if len(times) >= TOLERATED_ENDS else 0
            what = f"requests with a part that ended {len(times)} engines, sent late"
            findings.append(Finding(what, later, MAX_LATER_SENDS))
        return [*findings, self._sound_finding(crashing_since_ms, last_known_ms + CONTACT_MS)]

    def _times_of(self, part: str, since_ms: float) -> list[float]:
        runs = [run for one in self.fleet.servers.values() for run in one.runs]
        return sorted(
            run.at_ms for run in runs if part in run.shared_parts and run.at_ms > since_ms
        )

    def _sound_finding(self, crashing_since_ms: float, since_ms: float) -> Finding:
        before = [one for one in self.sound if one.at_ms < crashing_since_ms]
        after = [one for one in self.sound if one.at_ms > since_ms]
        assert len(after) >= 20, f"expected sound requests to be judged, found {len(after)}"
        share_before = _begun_share(before) if len(before) >= 20 else 1.0
        what = f"percent of {len(after)} sound requests that did not begin"
        allowed = 100 * (1 - SOUND_SHARE * share_before)
        return Finding(what, round(100 * (1 - _begun_share(after)), 1), round(allowed, 1))


def _begun_share(requests: list[SoundRequest]) -> float:
    return sum(one.has_begun for one in requests) / len(requests)
