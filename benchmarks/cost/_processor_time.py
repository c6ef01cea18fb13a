"""Measure the processor time of one gateway process, for one or several source trees side by side.

Each tree's gateway runs before the same stand-ins, in a fleet of instances that this process plays.
All figures are the least of several runs, without what the process spends while no request comes.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import msgspec
from gevent import socket

from benchmarks.gateway_fleet import gateway_settings
from benchmarks.loopback import ROOT, PortPool
from sparline._cbor import pack
from sparline._clock import now_ms
from sparline.fleet._members import member_key
from sparline.schema._gossip import (
    BackendLoadNote,
    CrashNews,
    CrashNote,
    Gossip,
    LoadNews,
    LoadReadingNote,
    LoadShareNote,
    LoadShares,
    LoadWord,
    MemberBeat,
    MemberNote,
    MemberPhase,
    QuotaReport,
    QuotaTotals,
    QuotaUseNote,
    QuotaWord,
)
from standins import Caller, KeyStore, SealedServer, list_server, publish

CHILD = Path(__file__).with_name("_processor_time_child.py")
GATEWAY_NETWORK = "127.0.4"
# Instances of the own and the other region that send gossip to the gateway.
PEERS = {"north": 12, "south": 12}
PEER_INTERVAL_S = 1.0
IDLE_S = 0.5
CALLERS = 4
REQUESTS = 40
DATAGRAMS = 100
# Datagrams sent without a pause; they fit into the receive buffer of a socket.
BURST = 20
BURST_PAUSE_S = 0.01
START_TIMEOUT_S = 20.0
RUNS, QUICK_RUNS = 10, 4
# Small batches, many times: the least is then one that nothing else on the machine disturbed.
BATCHES, QUICK_BATCHES = 40, 12
US = 1e6


def cpu(options: argparse.Namespace) -> int:
    """Print the processor time of each activity for each tree; the last line is JSON."""
    trees = [ROOT, *(Path(one).resolve() for one in options.trees)]
    least = _Least(len(trees))
    runs = QUICK_RUNS if options.quick else RUNS
    for _ in range(runs):
        for place, tree in enumerate(trees):
            least.take(place, _in_process(tree))
            with _started(tree, place) as run:
                least.take(place, {"start until ports are open": run.start_us})
    with ExitStack() as stack:
        started = [stack.enter_context(_started(*pair[::-1])) for pair in enumerate(trees)]
        for run in started:
            run.warm_up()
        for _ in range(QUICK_BATCHES if options.quick else BATCHES):
            # All at once: the pause between two activities is the same for each.
            idle = [gevent.spawn(run.measure_idle) for run in started]
            for place, one in enumerate(idle):
                least.take(place, {"idle, per second": one.get()})
            for name, measure in ACTIVITIES.items():
                for place, run in enumerate(started):
                    least.take(place, {name: measure(run)})
    print(f"{'microseconds of processor time':34}" + "".join(f"{one.name:>16}" for one in trees))
    for name, row in least.rows.items():
        print(f"{name:34}" + "".join(f"{value:16.1f}" for value in row))
    print(json.dumps({"experiment": "cpu", "trees": [str(one) for one in trees], "us": least.rows}))
    return 0


class _Least:
    """Keep the least figure of each activity and tree."""

    def __init__(self, trees: int) -> None:
        self.rows: dict[str, list[float]] = {}
        self._trees = trees

    def take(self, place: int, found: dict[str, float]) -> None:
        """Merge the figures of one run of one tree."""
        for name, value in found.items():
            row = self.rows.setdefault(name, [float("inf")] * self._trees)
            row[place] = min(row[place], value)


def _environment(tree: Path) -> dict[str, str]:
    return os.environ | {"PYTHONPATH": str(tree), "PYTHONDONTWRITEBYTECODE": ""}


def _in_process(tree: Path) -> dict[str, float]:
    """Return the costs that a process measures on itself: imports and log lines."""
    done = subprocess.run(
        [sys.executable, str(CHILD)],
        cwd=tree,
        env=_environment(tree),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        check=True,
    )
    return json.loads(done.stderr)


@dataclass(slots=True)
class _Run:
    """Hold one started gateway and what stands around it."""

    process: subprocess.Popen
    ip: str
    ports: list[int]
    start_us: float = 0.0
    idle_us_per_s: float = float("inf")
    _sent: int = 0
    _socket: socket.socket = field(
        default_factory=lambda: socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    )

    def cpu_us(self) -> float:
        """Return the processor time of the process so far, ended threads included."""
        # The clock of another process, as clock_getcpuclockid(3) returns it.
        return time.clock_gettime((~self.process.pid << 3) | 2) * US

    def send(self, message: msgspec.Struct) -> None:
        """Send one datagram to the gateway."""
        self._socket.sendto(pack(message), (self.ip, self.ports[3]))

    def play_peers(self) -> None:
        """Send the gossip of the fleet for as long as the greenlet lives."""
        while True:
            for number in range(sum(PEERS.values())):
                self._sent += 1
                self.send(_gossip(number, self._sent))
                gevent.sleep(PEER_INTERVAL_S / sum(PEERS.values()))

    def warm_up(self) -> None:
        """Run each path once, and wait until the loads are known."""
        gevent.sleep(1.5)
        for target in ("/safe/x", "/stream/x", "/fresh/x"):
            self._requests(target, 200, 20, {})

    def measure_idle(self) -> float:
        """Return what the process spends in a second without requests."""
        before_us, began_ms = self.cpu_us(), now_ms()
        gevent.sleep(IDLE_S)
        found = (self.cpu_us() - before_us) / (now_ms() - began_ms) * 1000
        self.idle_us_per_s = min(self.idle_us_per_s, found)
        return found

    def per_request(self, target: str, status: int, **headers: str) -> float:
        """Return what a request costs."""
        return self._cost(lambda: self._requests(target, status, REQUESTS, headers)) / REQUESTS

    def _requests(self, target: str, status: int, count: int, headers: dict[str, str]) -> None:
        def call(number: int) -> None:
            caller = Caller((self.ip, self.ports[0]))
            for turn in range(count // CALLERS):
                caller.send(target, f"{target}-{number}-{turn}-{now_ms()}", **headers)
                found = caller.read()
                assert found.status == status, f"{target}: expected {status}, found {found.status}"
                if not found.framed:
                    # The answer has ended the connection.
                    caller.close()
                    caller = Caller((self.ip, self.ports[0]))
            caller.close()

        gevent.joinall([gevent.spawn(call, one) for one in range(CALLERS)], raise_error=True)

    def per_datagram(self, make: Callable[[int], msgspec.Struct]) -> float:
        """Return what the process spends to receive, decode and merge a datagram."""

        def send_all() -> None:
            for number in range(DATAGRAMS):
                self._sent += 1
                self.send(make(self._sent))
                if number % BURST == BURST - 1:
                    gevent.sleep(BURST_PAUSE_S)
            gevent.sleep(BURST_PAUSE_S)

        return self._cost(send_all) / DATAGRAMS

    def _cost(self, work: Callable[[], None]) -> float:
        before_us, began_ms = self.cpu_us(), now_ms()
        work()
        return self.cpu_us() - before_us - self.idle_us_per_s * (now_ms() - began_ms) / 1000


@contextmanager
def _started(tree: Path, place: int) -> Iterator[_Run]:
    pool = PortPool()
    store = KeyStore("127.0.0.1", pool.take())
    store.start()
    servers = []
    for name, service, events in (("p", "plain", 0), ("e", "engines", 6), ("f", "fresh", 0)):
        server = SealedServer("127.0.0.1", pool.take(), name, events=events, work_ms=1.0)
        server.faults.unframed = service == "fresh"
        server.start()
        list_server(store, name, (server.ip, server.port), service, "north-1", born=1)
        servers.append(server)
    _publish_routes(store)
    ports = [pool.take() for _ in range(6)]
    ip = f"{GATEWAY_NETWORK}.{place + 1}"
    settings = gateway_settings("g", ip, "north-1", ports, [], store.address, 1.0)
    path = Path(tempfile.mkdtemp(prefix="sparline-cpu-")) / "settings.json"
    path.write_bytes(msgspec.json.encode(settings))
    process = subprocess.Popen(
        [sys.executable, "-m", "sparline.gateway_process"],
        cwd=tree,
        env=_environment(tree) | {"SPARLINE_NODE_FILE": str(path)},
        stdout=subprocess.DEVNULL,
    )
    peers = None
    try:
        run = _Run(process, ip, ports)
        run.start_us = _until_open(run)
        peers = gevent.spawn(run.play_peers)
        yield run
    finally:
        if peers is not None:
            peers.kill()
        process.send_signal(signal.SIGKILL)
        process.wait()
        for one in (*servers, store):
            one.stop()


def _publish_routes(store: KeyStore) -> None:
    """Publish a route for each activity."""
    plain = {"kind": "safe", "max_attempts": 1, "service": "plain"}
    publish(
        store,
        1,
        {
            "/safe/": plain,
            "/fresh/": plain | {"service": "fresh"},
            "/stream/": {"kind": "streaming", "allow_resume": True, "max_attempts": 2},
            "/empty/": plain | {"service": "empty"},
        },
        ("fresh", "empty"),
    )


def _until_open(run: _Run) -> float:
    """Return the processor time that the process has used once its last port is open."""
    began_ms = now_ms()
    while now_ms() - began_ms < START_TIMEOUT_S * 1000:
        assert run.process.poll() is None, "the gateway has ended during its start"
        try:
            socket.create_connection((run.ip, run.ports[5]), 1).close()
        except OSError:
            gevent.sleep(0.002)
            continue
        return run.cpu_us()
    raise AssertionError(f"expected open ports within {START_TIMEOUT_S} s")


def _peer_ip(number: int) -> str:
    return f"127.0.5.{number + 1}"


def _note(number: int, counter: int) -> MemberNote:
    region = "north" if number < PEERS["north"] else "south"
    return MemberNote(
        _peer_ip(number), f"p{number}", 1_000, counter, MemberPhase.live, region, f"{region}-1"
    )


def _reading(server: str, age_ms: int = 200) -> LoadReadingNote:
    return LoadReadingNote(age_ms, BackendLoadNote(server, 0, 0, 0), False)


def _gossip(number: int, counter: int) -> Gossip:
    beats = [
        MemberBeat(member_key(_peer_ip(one)), 1_000, counter - 1, MemberPhase.live)
        for one in range(14)
    ]
    near = number < PEERS["north"]
    loads = [_reading(name) for name in ("p", "e", "f")] if near else []
    loads += [_reading(f"far{one}") for one in range(5 if near else 15)]
    return Gossip(_note(number, counter), 1, True, loads, [], beats, [], False)


DATAGRAM_KINDS: dict[str, Callable[[int], msgspec.Struct]] = {
    "gossip, own region": lambda count: _gossip(count % PEERS["north"], count),
    "gossip, other region": lambda count: _gossip(PEERS["north"] + count % PEERS["south"], count),
    "load shares": lambda count: LoadShares(
        _peer_ip(0), 1_000, count, [LoadShareNote(BackendLoadNote("p", 0, 0, 0), False)], 0
    ),
    "load news": lambda count: LoadNews(
        BackendLoadNote("e", 1 if count % 2 else -1, 0, 500 if count % 2 else -500), 3
    ),
    "load word": lambda _count: LoadWord(_reading("p", 0)),
    "crash news": lambda _count: CrashNews([CrashNote(bytes(16), [1], [1], 10)], False),
    "quota report": lambda count: QuotaReport(
        _peer_ip(0), 1_000, count, [QuotaUseNote(7, count, 1)]
    ),
    "quota word": lambda count: QuotaWord(count, []),
    "quota totals": lambda _count: QuotaTotals(_peer_ip(12), 1_000, "south", []),
}

PROMPT = {"Token_Counts": "400,50", "Prompt_Prefix": "aa:100,bb:50,cc:250"}
ACTIVITIES: dict[str, Callable[[_Run], float]] = {
    "served, plain": lambda run: run.per_request("/safe/x", 200),
    "served, plain, new connection": lambda run: run.per_request("/fresh/x", 200),
    "served, stream of 6 events": lambda run: run.per_request("/stream/x", 200, **PROMPT),
    "refused, no route (404)": lambda run: run.per_request("/none/x", 404),
    "refused, no server (503)": lambda run: run.per_request("/empty/x", 503),
    **{
        f"datagram {kind}": lambda run, make=make: run.per_datagram(make)
        for kind, make in DATAGRAM_KINDS.items()
    },
}
