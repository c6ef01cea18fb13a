"""A caller that sends its requests to the instances that the directory names."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent

from benchmarks.bounds._run import CALLER_TIMEOUT_S, NORTH
from benchmarks.gateway_fleet import GatewayFleet
from sparline._clock import now_ms
from standins import HOST, Caller, Got

# Share of the requests after which a caller keeps its connection.
KEEPING_SHARE = 0.5


@dataclass(slots=True)
class DirectoryCaller:
    """Hold where one caller in the north sends its requests."""

    fleet: GatewayFleet
    rng: random.Random
    hold_s: float  # how long an answer of the directory is held
    directory_order: Callable[[], list[str]]  # names of the instances in the order of asking
    names: list[str] = field(default_factory=list)  # instances that the last answer named
    until_ms: float = 0.0  # how long they are held
    _kept: dict[str, list[Caller]] = field(default_factory=dict)  # open connections, by instance

    def choose(self, failed: set[str]) -> str:
        """Choose an instance that has not failed, or any if all have."""
        if now_ms() >= self.until_ms:
            self.look_up()
        return self.rng.choice([one for one in self.names if one not in failed] or self.names)

    def has_alternative(self, failed: set[str]) -> bool:
        """Tell whether the last answer names an instance that has not failed."""
        return bool(set(self.names) - failed)

    def look_up(self) -> None:
        """Ask an instance that runs which ones callers in the north use."""
        self.names = self._found()
        assert self.names, "expected an instance that answers for the directory, found none"
        self.until_ms = now_ms() + self.hold_s * 1000

    def _found(self) -> list[str]:
        by_ip = {one.ip: one.name for one in self.fleet.gateways.values()}
        for name in self.directory_order():
            found = self.fleet.directory_answer(name, HOST, NORTH)
            if found:
                return [by_ip[one.partition(":")[0]] for one in found]
        return []

    def exchange(
        self, name: str, target: str, request_id: str, body: bytes, headers: dict[str, str]
    ) -> Got | None:
        """Send a request and return its answer, None if the instance could not be connected to."""
        kept = self._kept[name] = [one for one in self._kept.get(name, []) if one.is_open()]
        got, caller = None, None
        try:
            caller = kept.pop() if kept else self.fleet.caller(name)
            got = Got(0, {}, b"", False)
            with gevent.Timeout(CALLER_TIMEOUT_S, False):
                caller.send(target, request_id, body, **headers)
                got = caller.read()
        except OSError:
            pass  # It was not connected, or not all of the request was written.
        keeps = got is not None and got.whole and got.headers.get("connection") != "close"
        if keeps and self.rng.random() < KEEPING_SHARE:
            kept.append(caller)
        elif caller is not None:
            caller.close()
        return got


def is_refusal(got: Got | None) -> bool:
    """Tell whether an answer says that its request has not run."""
    return got is not None and got.status in (408, 421, 429, 503)


def is_success(got: Got | None) -> bool:
    """Tell whether a whole success came."""
    return got is not None and got.whole and got.status == 200
