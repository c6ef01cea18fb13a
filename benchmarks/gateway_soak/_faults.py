"""Random faults of gateway processes, backend servers and the store."""

import random
import signal
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from benchmarks.gateway_fleet import SERVERS, GatewayFleet
from benchmarks.gateway_soak._judge import CRASHING, LONG_BYTES, Record
from benchmarks.loopback import LoopbackProxy
from sparline._clock import now_ms
from standins import (
    CopyTime,
    RefusalCopies,
    SealedFaults,
    StoreMode,
    evacuate,
    is_evacuated,
    listed_server,
    publish,
    published_version,
    take_back,
)

# Longest pause between two faults (s).
PAUSE_S = 1.5
# Longest time that a fault holds (s).
HOLD_S = 3.0
# The caller of a request that ends each engine that runs it comes back so often (count).
CRASHING_TRIES = 6
# Upper bound of the rate that a backend server names as its limit (requests per second).
MOST_LIMIT_PER_S = 20.0
# Upper bound of Retry-After in 503 responses from backend servers (s).
MOST_RETRY_AFTER_S = 2.0
# Upper bound of the writes that a restored store has lost (count).
MOST_LOST_WRITES = 30
# Upper bound of the streams that an engine cuts in a row (count).
MOST_CUT_STREAMS = 6
# Upper bound of the long answers that a plain server gives in a row (count).
MOST_LONG_ANSWERS = 20
# Upper bound of the refusals that a server gives in a row and sends twice (count).
MOST_COPIED_REFUSALS = 6
# Upper bound of the time in which what was lost is written again (s).
MOST_REWRITE_S = 1.0


@dataclass(slots=True)
class SoakFaults:
    """Cause faults at random times, many at once."""

    fleet: GatewayFleet
    chance: random.Random
    # Separate generators, so that they take no draws from the other faults.
    server_chance: random.Random  # for server states
    store_chance: random.Random  # for restorations
    stream_chance: random.Random  # for streams without length or chunks
    long_chance: random.Random  # for long answers
    copy_chance: random.Random  # for copies of refusals
    ask: Callable[[Record, str], None]  # sends a request to an instance
    counts: Counter = field(default_factory=Counter)
    version: int = 1
    _leaving: set[str] = field(default_factory=set)  # backend servers whose entry says so
    _is_evacuated: bool = False  # whether north-1 is evacuated

    def start(self, end_ms: float) -> list[gevent.Greenlet]:
        """Start all faults, which end at a time; return their greenlets."""
        return [
            gevent.spawn(self._trouble, end_ms),
            gevent.spawn(self._change_server_states, end_ms),
            gevent.spawn(self._restore_store, end_ms, self.fleet.store.revision),
            gevent.spawn(self._cut_unframed_streams, end_ms),
            gevent.spawn(self._break_long_answers, end_ms),
            gevent.spawn(self._copy_refusals, end_ms),
        ]

    def _trouble(self, end_ms: float) -> None:
        kinds: list[Callable[[], None]] = [
            self._kill, self._freeze, self._leave, self._change_settings, self._break_server,
            self._break_way, self._break_store_way, self._break_store, self._drain_server,
            self._configure, self._forget, self._evacuate, self._crash,
        ]  # fmt: skip
        pending = Pool(20)
        while now_ms() < end_ms:
            kind = self.chance.choice(kinds)
            self.counts[kind.__name__.strip("_")] += 1
            pending.spawn(kind)
            gevent.sleep(self.chance.uniform(0.1, PAUSE_S))
        pending.join()

    def _change_server_states(self, end_ms: float) -> None:
        """Make random backend servers announce limits, back-off times and shutdowns."""
        kinds = [self._limit_server, self._back_off_server, self._retire_server]
        pending = Pool(20)
        while now_ms() < end_ms:
            kind = self.server_chance.choice(kinds)
            self.counts[kind.__name__.strip("_")] += 1
            pending.spawn(kind, self.server_chance.choice(sorted(SERVERS)))
            gevent.sleep(self.server_chance.uniform(0.5, 2 * PAUSE_S))
        pending.join()

    def _restore_store(self, end_ms: float, first_revision: int) -> None:
        """Let the store come back from older copies; what they lack is written again."""
        store = self.fleet.store
        while now_ms() < end_ms:
            gevent.sleep(self.store_chance.uniform(PAUSE_S, 3 * PAUSE_S))
            self.counts["restore_store"] += 1
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
        server.limit_per_s = self.server_chance.uniform(1.0, MOST_LIMIT_PER_S)
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

    def _cut_unframed_streams(self, end_ms: float) -> None:
        """Let random engines end streams with their connections, some of them too early."""
        engines = [name for name in sorted(SERVERS) if SERVERS[name][1] == "engines"]
        while now_ms() < end_ms:
            gevent.sleep(self.stream_chance.uniform(PAUSE_S, 2 * PAUSE_S))
            self.counts["cut_unframed_streams"] += 1
            server = self.fleet.servers[self.stream_chance.choice(engines)]
            server.ends_cleanly = True
            server.faults = SealedFaults(
                unframed=True,
                breaks_cleanly=True,
                break_within_event=self.stream_chance.choice((0, 2, 4)),
                exit_after_event=self.stream_chance.choice((0, 0, 3)),
                remaining=self.stream_chance.randint(1, MOST_CUT_STREAMS),
            )
            gevent.sleep(self.stream_chance.uniform(0.3, HOLD_S))
            server.faults = SealedFaults()
            server.ends_cleanly = False

    def _break_long_answers(self, end_ms: float) -> None:
        """Let random plain servers give long answers and break some off in their middle."""
        plain = [name for name in sorted(SERVERS) if SERVERS[name][1] == "plain"]
        while now_ms() < end_ms:
            gevent.sleep(self.long_chance.uniform(0.2, PAUSE_S))
            self.counts["break_long_answers"] += 1
            server = self.fleet.servers[self.long_chance.choice(plain)]
            cut_at = round(self.long_chance.uniform(0.3, 0.95) * LONG_BYTES)
            server.faults = SealedFaults(
                body_bytes=LONG_BYTES,
                chunked=self.long_chance.random() < 0.5,
                break_after_bytes=self.long_chance.choice((0, cut_at, cut_at)),
                # A reset would take most of the answer back on its way.
                breaks_cleanly=True,
                remaining=self.long_chance.randint(1, MOST_LONG_ANSWERS),
            )
            gevent.sleep(self.long_chance.uniform(0.3, HOLD_S))
            server.faults = SealedFaults()

    def _copy_refusals(self, end_ms: float) -> None:
        """Let random servers refuse some requests, and send each of their refusals twice."""
        while now_ms() < end_ms:
            gevent.sleep(self.copy_chance.uniform(0.1, PAUSE_S))
            self.counts["copy_refusals"] += 1
            names = sorted(SERVERS)
            chosen = self.copy_chance.sample(names, self.copy_chance.randint(1, len(names)))
            servers = [self.fleet.servers[one] for one in chosen]
            for server in servers:
                copy_time = self.copy_chance.choice(list(CopyTime))
                server.copies = RefusalCopies(copy_time, self.copy_chance.random() < 0.5)
                remaining = self.copy_chance.randint(1, MOST_COPIED_REFUSALS)
                server.faults = SealedFaults(refuse=True, remaining=remaining)
            gevent.sleep(self.copy_chance.uniform(0.3, HOLD_S))
            for server in servers:
                server.faults, server.copies = SealedFaults(), None

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
            self.ask(
                Record(f"crash{self.chance.random()}", "/stream/x", body=CRASHING),
                self._gateway().name,
            )
            gevent.sleep(self.chance.uniform(0.1, 1.0))
