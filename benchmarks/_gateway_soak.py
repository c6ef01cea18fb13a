"""A randomised run of gateway processes under faults, judged by callers and servers."""

import argparse
import json
import random
import signal
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from benchmarks._gateway_fleet import SERVERS, GatewayFleet
from benchmarks._loopback_proxy import LoopbackProxy
from sparline._clock import now_ms
from standins import (
    PROMPT,
    SEAL,
    Got,
    SealedFaults,
    StoreMode,
    evacuate,
    is_evacuated,
    listed_server,
    publish,
    published_version,
    take_back,
)

REQUESTS_PER_S = 20.0
# Longest pause between two faults (s).
PAUSE_S = 1.5
# Longest time that a fault holds (s).
HOLD_S = 3.0
# Callers give up after this (s).
CALLER_TIMEOUT_S = 12.0
# After the last fault all must be well within this (s); the users allow 12 to 15.
RECOVERY_S = 15.0
# A request with this body ends each engine that runs it; its caller comes back so often (count).
CRASHING = b"whoever runs this ends"
CRASHING_TRIES = 6
# Once three engines have ended under it and an operator's time to hear of that is over (ms), so many
# more may be sent it.
MOST_ENDS = 3
CONTACT_MS = 5_000.0
MOST_LATER_SENDS = 3
# Upper bound of Retry-After in 503 responses from backend servers (s).
MOST_RETRY_AFTER_S = 2.0
# Upper bound of the writes that a restored store has lost (count).
MOST_LOST_WRITES = 30
# Upper bound of the time in which what was lost is written again (s).
MOST_REWRITE_S = 1.0
TARGETS = ("/safe/x", "/unsafe/x", "/stream/x", "/once/x", "/home/x")
ONCE = ("/unsafe/x", "/once/x")


@dataclass(slots=True)
class Record:
    """Hold one request and what its caller got."""

    request_id: str
    target: str
    body: bytes = b"abc"
    got: Got | None = None  # None where no connection came up or it broke before the head


@dataclass(slots=True)
class SoakRun:
    """Drive requests and faults, and judge."""

    fleet: GatewayFleet
    chance: random.Random
    # Separate generator for server states, so that they take no draws from the other faults.
    server_chance: random.Random = field(default_factory=random.Random)
    store_chance: random.Random = field(default_factory=random.Random)  # for restorations alone
    records: list[Record] = field(default_factory=list)
    faults: Counter = field(default_factory=Counter)
    version: int = 1
    _leaving: set[str] = field(default_factory=set)  # backend servers whose entry says so
    _is_evacuated: bool = False  # whether north-1 is evacuated
    _callers: Pool = field(default_factory=lambda: Pool(200))

    def drive(self, seconds: float) -> None:
        """Send requests while faults come and go."""
        end_ms = now_ms() + seconds * 1000
        faults = [
            gevent.spawn(self._trouble, end_ms),
            gevent.spawn(self._change_server_states, end_ms),
            gevent.spawn(self._restore_store, end_ms, self.fleet.store.revision),
        ]
        while now_ms() < end_ms:
            self.send_one()
            gevent.sleep(self.chance.expovariate(REQUESTS_PER_S))
        gevent.joinall(faults, raise_error=True)
        self.join()

    def join(self) -> None:
        """Wait for all callers."""
        self._callers.join()

    def send_one(self) -> None:
        """Send a request of some kind to some instance."""
        record = Record(f"r{len(self.records)}", self.chance.choice(TARGETS))
        self.records.append(record)
        self._callers.spawn(self._ask, record, self.chance.choice(sorted(self.fleet.gateways)))

    def _ask(self, record: Record, at: str) -> None:
        caller = None
        try:
            with gevent.Timeout(CALLER_TIMEOUT_S, False):
                caller = self.fleet.caller(at)
                more = PROMPT if record.target in ("/stream/x", "/once/x") else {}
                caller.send(record.target, record.request_id, record.body, **more)
                record.got = caller.read()
        except OSError:
            # The instance is down: nothing was promised.
            return
        finally:
            if caller is not None:
                caller.close()

    def _trouble(self, end_ms: float) -> None:
        kinds: list[Callable[[], None]] = [
            self._kill, self._freeze, self._leave, self._change_settings, self._break_server,
            self._break_way, self._break_store_way, self._break_store, self._drain_server,
            self._configure, self._forget, self._evacuate, self._crash,
        ]  # fmt: skip
        pending = Pool(20)
        while now_ms() < end_ms:
            kind = self.chance.choice(kinds)
            self.faults[kind.__name__.strip("_")] += 1
            pending.spawn(kind)
            gevent.sleep(self.chance.uniform(0.1, PAUSE_S))
        pending.join()

    def _change_server_states(self, end_ms: float) -> None:
        """Make random backend servers announce limits, back-off times and shutdowns."""
        kinds = [self._limit_server, self._back_off_server, self._retire_server]
        pending = Pool(20)
        while now_ms() < end_ms:
            kind = self.server_chance.choice(kinds)
            self.faults[kind.__name__.strip("_")] += 1
            pending.spawn(kind, self.server_chance.choice(sorted(SERVERS)))
            gevent.sleep(self.server_chance.uniform(0.5, 2 * PAUSE_S))
        pending.join()

    def _restore_store(self, end_ms: float, first_revision: int) -> None:
        """Let the store come back from older copies; what they lack is written again."""
        store = self.fleet.store
        while now_ms() < end_ms:
            gevent.sleep(self.store_chance.uniform(PAUSE_S, 3 * PAUSE_S))
            self.faults["restore_store"] += 1
            store.mode = StoreMode.RESET
            gevent.sleep(self.store_chance.uniform(0.1, HOLD_S))
            lost = self.store_chance.randint(0, MOST_LOST_WRITES)
            store.restore(max(first_revision, store.revision - lost))
            store.mode = StoreMode.OK
            gevent.sleep(self.store_chance.uniform(0.0, MOST_REWRITE_S))
            self._write_again()
        # Confirmed at a revision that may have been given out before.
        self._configure()

    def _write_again(self) -> None:
        """Write what the restored store lacks, and nothing else: its revision stays low."""
        store = self.fleet.store
        if published_version(store) != self.version:
            publish(store, self.version)
        for name in sorted(SERVERS):
            entry = listed_server(store, name)
            expected = (self.fleet.starts[name], self._state_of(name))
            if (entry.get("born"), entry.get("state")) != expected:
                self._list_server(name)
        is_listed = is_evacuated(store, "north-1")
        if self._is_evacuated and not is_listed:
            evacuate(store, "north-1")
        if is_listed and not self._is_evacuated:
            take_back(store, "north-1")

    def _state_of(self, name: str) -> str:
        return "draining" if name in self._leaving else "ready"

    def _list_server(self, name: str) -> None:
        self.fleet.list_server(name, state=self._state_of(name))

    def _limit_server(self, name: str) -> None:
        server = self.fleet.servers[name]
        server.limit_per_s = self.server_chance.uniform(1.0, REQUESTS_PER_S)
        gevent.sleep(self.server_chance.uniform(0.3, HOLD_S))
        server.limit_per_s = None

    def _back_off_server(self, name: str) -> None:
        server = self.fleet.servers[name]
        server.rest_s = self.server_chance.uniform(0.1, MOST_RETRY_AFTER_S)
        server.faults = SealedFaults(refuse=True)
        gevent.sleep(self.server_chance.uniform(0.3, HOLD_S))
        server.faults = SealedFaults()
        server.rest_s = 0.0

    def _retire_server(self, name: str) -> None:
        """Announce a shutdown, then end the server; the fleet restarts it."""
        server = self.fleet.servers[name]
        server.reports_leaving = True
        gevent.sleep(self.server_chance.uniform(0.3, HOLD_S))
        server.reports_leaving = False
        # A server that has already ended must not schedule a second restart.
        if server.is_listening():
            server.end()

    def _hold(self) -> None:
        gevent.sleep(self.chance.uniform(0.3, HOLD_S))

    def _gateway(self):
        return self.fleet.gateways[self.chance.choice(sorted(self.fleet.gateways))]

    def _kill(self) -> None:
        gateway = self._gateway()
        if gateway.is_running():
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            self._restart(gateway)

    def _restart(self, gateway) -> None:
        process = gateway.process
        process.wait()
        gevent.sleep(self.chance.uniform(0.1, 1.0))
        if gateway.process is process:
            gateway.start()

    def _freeze(self) -> None:
        gateway = self._gateway()
        gateway.signal(signal.SIGSTOP)
        self._hold()
        gateway.signal(signal.SIGCONT)

    def _leave(self) -> None:
        gateway = self._gateway()
        if gateway.is_running():
            gateway.signal(signal.SIGTERM)
            self._restart(gateway)

    def _change_settings(self) -> None:
        gateway = self._gateway()
        self.fleet.rewrite_settings(gateway.name, self.chance.choice(("INFO", "WARNING")))
        gateway.signal(signal.SIGHUP)

    def _break_server(self) -> None:
        server = self.fleet.servers[self.chance.choice(sorted(SERVERS))]
        name = self.chance.choice(
            ("refuse", "fail", "close_after_run", "hang", "unframed", "without_seal", "early")
        )
        changes = {name: True} | {"break_within_event": self.chance.choice((0, 2, 4))}
        server.faults = SealedFaults(**changes)
        self._hold()
        server.faults = SealedFaults()

    def _break_way(self) -> None:
        self._break(self.fleet.proxies[self.chance.choice(sorted(SERVERS))])

    def _break_store_way(self) -> None:
        self._break(self._gateway().store_proxy)

    def _break(self, proxy: LoopbackProxy) -> None:
        name = self.chance.choice(("refuse", "silent_to", "silent_from", "delay_ms"))
        setattr(proxy.faults, name, 200.0 if name == "delay_ms" else True)
        if name == "refuse":
            proxy.reset_all()
        self._hold()
        setattr(proxy.faults, name, 0.0 if name == "delay_ms" else False)

    def _break_store(self) -> None:
        self.fleet.store.mode = self.chance.choice(list(StoreMode))
        self._hold()
        self.fleet.store.mode = StoreMode.OK

    def _drain_server(self) -> None:
        name = self.chance.choice(sorted(SERVERS))
        self._leaving.add(name)
        self._list_server(name)
        self._hold()
        self._leaving.discard(name)
        self._list_server(name)

    def _configure(self) -> None:
        self.version += self.chance.randint(1, 3)
        publish(self.fleet.store, self.version)

    def _forget(self) -> None:
        self.fleet.store.forget_history()

    def _evacuate(self) -> None:
        self._is_evacuated = True
        evacuate(self.fleet.store, "north-1")
        self._hold()
        self._is_evacuated = False
        take_back(self.fleet.store, "north-1")

    def _crash(self) -> None:
        for _ in range(CRASHING_TRIES):
            self._ask(
                Record(f"crash{self.chance.random()}", "/stream/x", body=CRASHING),
                self._gateway().name,
            )
            gevent.sleep(self.chance.uniform(0.1, 1.0))

    def recover(self) -> list[str]:
        """Wait until all is well again; return what is not."""
        broken = []
        took_ms = self.fleet.until_ready()
        if took_ms > RECOVERY_S * 1000:
            broken.append(f"ready only after {took_ms:.0f} ms")
        began_ms = now_ms()
        for at in sorted(self.fleet.gateways):
            for target in TARGETS:
                while (status := self._probe(at, target)) != 200:
                    if now_ms() - began_ms > RECOVERY_S * 1000:
                        broken.append(f"{at} answers {target} with {status} after the faults")
                        break
                    gevent.sleep(0.3)
        return broken + self._judge_versions(began_ms + RECOVERY_S * 1000)

    def _judge_versions(self, until_ms: float) -> list[str]:
        """Wait until all instances follow the newest version; return those that don't."""
        while True:
            versions = {name: self.fleet.version_at(name) for name in sorted(self.fleet.gateways)}
            behind = {name: one for name, one in versions.items() if one != self.version}
            if not behind or now_ms() > until_ms:
                break
            gevent.sleep(0.3)
        return [
            f"{name} follows version {one}, confirmed is {self.version}"
            for name, one in behind.items()
        ]

    def _probe(self, at: str, target: str) -> int:
        record = Record(f"r{len(self.records)}", target)
        self.records.append(record)
        self._ask(record, at)
        return record.got.status if record.got else 0

    def judge(self) -> list[str]:
        """Return every promise that was broken."""
        runs: dict[str, list[str]] = {}
        for name, server in self.fleet.servers.items():
            for run in server.runs:
                runs.setdefault(run.request_id, []).append(name)
        return self._judge_crashes() + [
            text
            for record in self.records
            for text in _broken(record, runs.get(record.request_id, []))
        ]

    def crashes_ms(self) -> list[float]:
        """Return when engines ran the request that ends them, in order."""
        runs = [run for one in self.fleet.servers.values() for run in one.runs]
        return sorted(run.at_ms for run in runs if run.body == CRASHING)

    def _judge_crashes(self) -> list[str]:
        """Return what was sent on although it had ended the engines that ran it."""
        at_ms = self.crashes_ms()
        known_ms = at_ms[MOST_ENDS - 1] + CONTACT_MS if len(at_ms) >= MOST_ENDS else 0.0
        later = [one for one in at_ms if known_ms and one > known_ms]
        if len(later) <= MOST_LATER_SENDS:
            return []
        return [f"{len(at_ms)} engines ended under one request, {len(later)} of them late"]


def _broken(record: Record, ran_at: list[str]) -> list[str]:
    broken = []
    got = record.got
    if record.target in ONCE and len(ran_at) > 1:
        broken.append(f"{record.request_id} {record.target} ran at {ran_at}")
    if record.target == "/home/x" and any(SERVERS[one][0] != "south-1" for one in ran_at):
        broken.append(f"{record.request_id} ran outside its home at {ran_at}")
    if got is None or not got.status:
        return broken
    if got.status in (429, 503) and ran_at:
        broken.append(f"{record.request_id} was called not run and ran at {ran_at}")
    if got.status == 200 and got.whole and got.body != _expected(record):
        broken.append(f"{record.request_id} got {got.body!r}")
    if got.status == 200 and not _expected(record).startswith(got.body):
        broken.append(f"{record.request_id} got a wrong part: {got.body!r}")
    if got.status == 200 and SEAL not in got.headers:
        broken.append(f"{record.request_id} got a success without its signature")
    return broken


def _expected(record: Record) -> bytes:
    if record.target in ("/stream/x", "/once/x"):
        events = range(1, SERVERS["en1"][2] + 1)
        return b"".join(
            f"id: {number}\ndata: {record.request_id}-{number}\n\n".encode() for number in events
        )
    return f"{record.request_id} {record.target} 3".encode()


def gateway_soak(options: argparse.Namespace) -> int:
    """Run one seed and return an exit code."""
    with GatewayFleet() as fleet:
        server_chance = random.Random(f"servers/{options.seed}")
        store_chance = random.Random(f"store/{options.seed}")
        run = SoakRun(fleet, random.Random(options.seed), server_chance, store_chance)
        for server in fleet.servers.values():
            server.ends_on = CRASHING
        run.drive(options.seconds)
        broken = run.recover() + run.judge()
        statuses = Counter(one.got.status if one.got else 0 for one in run.records)
        result = {
            "seed": options.seed,
            "requests": len(run.records),
            "statuses": dict(sorted(statuses.items())),
            "faults": sum(run.faults.values()),
            "engines_ended": len(run.crashes_ms()),
            "broken": broken[:20],
        }
        if broken:
            print(f"logs in {fleet.folder}: {dict(run.faults)}", file=sys.stderr)
    print(json.dumps(result))
    return 1 if broken else 0
