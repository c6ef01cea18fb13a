"""Tests of a part of prompts that ends each engine that answers it, and of sound requests beside."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import count

import gevent
import pytest

from sparline.cli import ExitCode, main
from sparline.tests.routed_fleet import RoutedFleet
from standins import prompt_headers

GATEWAY_ZONES = ("north-1", "north-1", "south-1", "south-1")
ENGINE_ZONES = ("north-1", "north-1", "north-1", "south-1", "south-1")
# Ends after which operators allow few more sends.
TOLERATED_ENDS = 5
MAX_LATER_SENDS = 3
# Time within which every instance learns of an end (s), far less than the 5 s that operators allow.
EXCHANGE_S = 1.0
# Time after which an engine that has ended is back (s).
RESTART_S = 0.4
# Time between two requests with a part that ends engines (s).
PAUSE_S = 0.1
SOUND_PER_PAUSE = 4
ROUNDS = 40
# The part that sound requests and others have in common.
SHARED = "aa"


@dataclass(slots=True)
class CrashingParts:
    """Send requests with parts that end engines, and sound ones beside."""

    fleet: RoutedFleet
    parts: frozenset[str]  # that end engines
    is_unframed: bool = False  # whether answers have neither a length nor chunks
    sound: list[bool] = field(default_factory=list)  # whether each sound request was answered whole
    numbers: Iterator[int] = field(default_factory=count)

    def add_engine(self, name: str, zone: str) -> None:
        """Start an engine that ends on the parts and comes back under another id."""
        engine = self.fleet.add_server(name, "engines", zone, events=4)
        engine.ends_on_parts = self.parts
        engine.work_ms = 20.0
        engine.faults.unframed = self.is_unframed
        engine.on_end = lambda: gevent.spawn_later(RESTART_S, self._restart, name, zone)

    def _restart(self, name: str, zone: str) -> None:
        self.fleet.store.delete(f"servers/{name}")
        self.add_engine(f"{name}n", zone)

    def sends(self) -> int:
        """Return how often engines began to run a request with one of the parts."""
        runs = [run for one in self.fleet.servers.values() for run in one.runs]
        return sum(not self.parts.isdisjoint(run.shared_parts) for run in runs)

    def ask(self, *parts: str) -> bool:
        """Send a request like no other at the next instance; tell whether it was answered whole."""
        number = next(self.numbers)
        headers = prompt_headers((*parts, f"own{number}"))
        at = f"g{number % len(GATEWAY_ZONES)}"
        got = self.fleet.ask("/stream/x", f"r{number}", at, body=b"%d" % number, **headers)
        return got.status == 200 and got.whole

    def _ask_sound(self, *parts: str) -> None:
        self.sound.append(self.ask(*parts))

    def send_round(self, *parts: str, sound: int = SOUND_PER_PAUSE) -> None:
        """Send one request with the parts and some sound ones, and wait for the pause."""
        gevent.spawn(self.ask, *parts)
        for number in range(sound):
            gevent.spawn(self._ask_sound, SHARED, f"sound{number}")
        gevent.sleep(PAUSE_S)

    def stop_sending(self, *parts: str) -> None:
        """Send rounds until the engines that operators tolerate have ended, and all have heard."""
        for _ in range(ROUNDS):
            if self.sends() >= TOLERATED_ENDS:
                break
            self.send_round(*parts)
        gevent.sleep(EXCHANGE_S)


@contextmanager
def crashing_parts(*parts: str, is_unframed: bool = False) -> Iterator[CrashingParts]:
    """Run engines that end on parts."""
    with RoutedFleet(GATEWAY_ZONES) as fleet:
        one = CrashingParts(fleet, frozenset(parts), is_unframed)
        for number, zone in enumerate(ENGINE_ZONES):
            one.add_engine(f"e{number}", zone)
        fleet.ready()
        yield one


@pytest.mark.parametrize(
    ("parts", "is_unframed"),
    [
        ((SHARED, "bad"), False),
        (("bad", SHARED), False),
        ((SHARED, "sound1", "bad", "sound2"), False),
        ((SHARED, "bad"), True),
    ],
    ids=["second", "first", "between parts of others", "answers without framing"],
)
def test_requests_with_a_part_that_ends_servers_are_sent_on_and_on(parts, is_unframed):
    # Ends were counted by the digest of whole requests, of which no two are alike.
    with crashing_parts("bad", is_unframed=is_unframed) as crashing:
        crashing.stop_sending(*parts)
        before = crashing.sends()
        crashing.sound.clear()
        for _ in range(ROUNDS):
            crashing.send_round(*parts)
        assert crashing.sends() - before <= MAX_LATER_SENDS
        assert sum(crashing.sound) > 0.5 * len(crashing.sound)


def test_an_operator_sees_a_part_in_quarantine_and_releases_it(capsys):
    with crashing_parts("bad") as crashing:
        crashing.stop_sending(SHARED, "bad")
        gateways = crashing.fleet.gateways
        assert not crashing.ask(SHARED, "bad")
        (part,) = gateways["g0"].crashing_parts.quarantined()
        metrics = gateways["g3"].settings.listen.metrics
        assert main(["quarantine", metrics]) == ExitCode.OK
        assert capsys.readouterr().out.startswith(f"{part.part.hex()}: ")
        for server in crashing.fleet.servers.values():
            server.ends_on_parts = frozenset()
        assert main(["quarantine", metrics, "--release", part.part.hex()]) == ExitCode.OK
        crashing.fleet.until(
            lambda: not any(one.crashing_parts.quarantined() for one in gateways.values()),
            "all instances release it",
        )
        assert crashing.ask(SHARED, "bad")
        assert main(["quarantine", metrics, "--release", "no part"]) == ExitCode.REFUSED
        assert main(["quarantine", metrics, "--release", "00"]) == ExitCode.REFUSED
