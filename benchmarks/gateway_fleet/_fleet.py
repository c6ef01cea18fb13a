"""Gateways as processes on loopback, before stand-ins of the users' store and servers."""

import json
import os
import signal
import subprocess
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

import gevent
import msgspec

from benchmarks.cuttable_gateway import CUTS_FILE
from benchmarks.gateway_fleet._settings import PORTS, REGIONS, gateway_settings
from benchmarks.loopback import ROOT, LoopbackProxy, PortPool
from sparline._clock import now_ms
from standins import Caller, KeyStore, SealedServer, list_server, publish

START_TIMEOUT_MS = 60_000.0
GRACE_S = 8.0
# A backend server that has ended is back after this long (s).
BACK_S = 0.5
# Place of the listener for metrics among the ports of an instance.
METRICS_PORT = PORTS.index("metrics")
# The same of the listener for the directory.
DIRECTORY_PORT = PORTS.index("directory")
VERSION_METRIC = "sparline_configuration_version "
PLACES = ("north-1", "north-1", "south-1", "south-1")
# Availability zone, service and events of each backend server.
SERVERS = {
    "pn1": ("north-1", "plain", 0),
    "pn2": ("north-1", "plain", 0),
    "ps1": ("south-1", "plain", 0),
    "en1": ("north-1", "engines", 6),
    "en2": ("north-1", "engines", 6),
    "es1": ("south-1", "engines", 6),
}


# Software version of each engine.
VERSIONS = {"en1": "v1", "en2": "v2", "es1": "v1"}


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Say how many instances and backend servers there are, and where."""

    gateway_zones: tuple[str, ...] = PLACES  # availability zone of each instance
    # Availability zone, service and events of each backend server.
    servers: Mapping[str, tuple[str, str, int]] = field(default_factory=lambda: SERVERS)
    has_server_proxies: bool = True  # whether instances reach servers through a proxy
    # Software version of each backend server that has not the usual one.
    versions: Mapping[str, str] = field(default_factory=lambda: VERSIONS)
    server_back_s: float = BACK_S  # time after which a backend server that has ended is back
    later_servers: frozenset[str] = frozenset()  # backend servers that start only when told to
    can_be_cut: bool = False  # whether the ways between instances can be cut
    # Values of the settings of all instances that differ from the usual ones.
    settings: Mapping[str, object] = field(default_factory=dict)


@dataclass(slots=True)
class GatewayProcess:
    """Hold one instance and what lies before its store."""

    name: str
    zone: str
    ip: str
    settings_path: Path
    store_proxy: LoopbackProxy
    log_path: Path
    cuts_path: Path | None = None  # file of the ways that are cut, None if none can be
    process: subprocess.Popen | None = None
    _was_started: bool = False

    def start(self) -> None:
        """Start the process; its log is appended to the instance's file."""
        if self._was_started:
            self.change_settings(first_start=False)
        self._was_started = True
        # Others run while the process is made: whoever saw the earlier one end must not start a second.
        self.process = None
        environment = os.environ | {"SPARLINE_NODE_FILE": str(self.settings_path)}
        module = "sparline.gateway_process"
        if self.cuts_path is not None:
            environment[CUTS_FILE] = str(self.cuts_path)
            module = "benchmarks.cuttable_gateway"
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", module],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def change_settings(self, **changes: object) -> None:
        """Change the settings file."""
        document = json.loads(self.settings_path.read_text()) | changes
        self.settings_path.write_text(json.dumps(document))

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process lives."""
        if self.is_running():
            self.process.send_signal(number)

    def state(self) -> str:
        """Return the process's state, or the code with which it ended."""
        if not self.is_running():
            return f"ended with {self.process.returncode if self.process else None}"
        status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="utf-8")
        return next(line for line in status.splitlines() if line.startswith("State"))

    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self.process is not None and self.process.poll() is None


@dataclass(slots=True)
class GatewayFleet:
    """Start and stop everything."""

    shape: FleetShape = field(default_factory=FleetShape)
    folder: Path = field(default_factory=lambda: Path(tempfile.mkdtemp(prefix="sparline-")))
    store: KeyStore = field(init=False)
    servers: dict[str, SealedServer] = field(default_factory=dict)
    proxies: dict[str, LoopbackProxy] = field(default_factory=dict)
    gateways: dict[str, GatewayProcess] = field(default_factory=dict)
    starts: dict[str, int] = field(default_factory=dict)  # starts of each backend server
    _ports: PortPool = field(default_factory=PortPool)
    _listen: list[int] = field(default_factory=list)

    def __enter__(self) -> "GatewayFleet":
        """Start all and wait until every instance is ready."""
        self.store = KeyStore("127.0.0.1", self._ports.take())
        self.store.start()
        for name in self.shape.servers:
            if name not in self.shape.later_servers:
                self.add_server(name)
        publish(self.store, 1)
        self._listen = [self._ports.take() for _ in range(6)]
        zones = self.shape.gateway_zones
        # The first instance of the first and of the last zone.
        seeds = [_gateway_ip(0), _gateway_ip(zones.index(zones[-1]))]
        for number, zone in enumerate(zones):
            self._add_gateway(f"g{number}", _gateway_ip(number), zone, seeds)
        try:
            self.until_ready()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop all."""
        self.stop()

    def add_server(self, name: str) -> None:
        """Start a backend server of the shape and write its entry."""
        _, _, events = self.shape.servers[name]
        version = self.shape.versions.get(name, "v1")
        server = SealedServer("127.0.0.1", self._ports.take(), name, events=events, version=version)
        server.on_end = lambda: gevent.spawn_later(self.shape.server_back_s, self._come_back, name)
        server.start()
        self.servers[name] = server
        if self.shape.has_server_proxies:
            proxy = LoopbackProxy(("127.0.0.1", self._ports.take()), (server.ip, server.port))
            proxy.start()
            self.proxies[name] = proxy
        self.list_server(name)

    def list_server(self, name: str, **changes: object) -> None:
        """Write the entry of a backend server."""
        zone, service, _ = self.shape.servers[name]
        server = self.servers[name]
        address = (server.ip, server.port)
        if self.shape.has_server_proxies:
            address = self.proxies[name].address
        start = {"born": self.starts.setdefault(name, 1), "version": server.version}
        list_server(self.store, name, address, service, zone, **start, **changes)

    def remove_server(self, name: str) -> None:
        """End a backend server for good and delete its entry; what it ran stays known."""
        server = self.servers[name]
        server.on_end = lambda: None
        server.end()
        self.store.delete(f"servers/{name}")

    def _come_back(self, name: str) -> None:
        """Start a backend server again under its id; it holds nothing of before."""
        self.servers[name].start()
        self.starts[name] += 1
        self.list_server(name)

    def _add_gateway(self, name: str, ip: str, zone: str, seeds: list[str]) -> None:
        proxy = LoopbackProxy(("127.0.0.1", self._ports.take()), self.store.address)
        proxy.start()
        settings = gateway_settings(name, ip, zone, self._listen, seeds, proxy.address, GRACE_S)
        path = self.folder / f"{name}.json"
        path.write_bytes(msgspec.json.encode(settings))
        log_path = self.folder / f"{name}.log"
        cuts_path = self.folder / f"{name}.cuts" if self.shape.can_be_cut else None
        if cuts_path is not None:
            cuts_path.write_text("{}")
        gateway = GatewayProcess(name, zone, ip, path, proxy, log_path, cuts_path)
        gateway.change_settings(**self.shape.settings)
        gateway.start()
        self.gateways[name] = gateway

    @property
    def ports(self) -> dict[str, int]:
        """Return the port of each listener, alike on all instances."""
        return dict(zip(PORTS, self._listen, strict=True))

    def caller(self, name: str) -> Caller:
        """Connect to an instance as a caller; `OSError` where that fails."""
        return Caller((self.gateways[name].ip, self._listen[0]))

    def is_ready(self, name: str) -> bool:
        """Ask an instance whether it takes requests."""
        gateway = self.gateways[name]
        if not gateway.is_running():
            return False
        try:
            caller = Caller((gateway.ip, self._listen[1]))
        except OSError:
            return False
        try:
            caller.socket.settimeout(2)
            caller.send_raw("GET", "/v1/readiness", {"Host": "x"}, b"")
            return caller.read().status == 200
        except OSError:
            return False
        finally:
            caller.close()

    def directory_answer(self, name: str, host: str, zone: str) -> list[str]:
        """Ask an instance which addresses callers of a zone use; none without an answer."""
        gateway = self.gateways[name]
        if not gateway.is_running():
            return []
        try:
            caller = Caller((gateway.ip, self._listen[DIRECTORY_PORT]))
        except OSError:
            return []
        try:
            query = f"name={host}&region={REGIONS[zone]}&zone={zone}"
            caller.send_raw("GET", f"/v1/resolve?{query}", {"Host": "x"}, b"")
            got = caller.read()
            return json.loads(got.body)["addresses"] if got.status == 200 else []
        except OSError:
            return []
        finally:
            caller.close()

    def version_at(self, name: str) -> int:
        """Return the configuration version that an instance follows, 0 for none or no answer."""
        return int(self.metric_at(name, VERSION_METRIC))

    def metric_at(self, name: str, prefix: str) -> float:
        """Return the sum of the metrics of an instance that begin so, 0 for none or no answer."""
        try:
            caller = Caller((self.gateways[name].ip, self._listen[METRICS_PORT]))
        except OSError:
            return 0
        try:
            caller.send_raw("GET", "/metrics", {"Host": "x"}, b"")
            lines = caller.read().body.decode().splitlines()
        except OSError:
            return 0
        finally:
            caller.close()
        return sum(float(one.rpartition(" ")[2]) for one in lines if one.startswith(prefix))

    def until_ready(self) -> float:
        """Wait until all instances are ready; return how long it took in milliseconds."""
        began_ms = now_ms()
        while not all(self.is_ready(name) for name in self.gateways):
            assert now_ms() - began_ms < START_TIMEOUT_MS, (
                f"not ready: {self.states()}; logs in {self.folder}"
            )
            gevent.sleep(0.1)
        return now_ms() - began_ms

    def states(self) -> dict[str, str]:
        """Return what has become of each process."""
        return {name: one.state() for name, one in self.gateways.items()}

    def stop(self) -> None:
        """Kill what was started and close all ports."""
        for gateway in self.gateways.values():
            gateway.signal(signal.SIGCONT)
            gateway.signal(signal.SIGKILL)
            if gateway.process is not None:
                gateway.process.wait()
            gateway.store_proxy.stop()
        for one in (*self.proxies.values(), *self.servers.values(), self.store):
            one.stop()

    def rewrite_settings(self, name: str, log_level: str) -> None:
        """Change an instance's settings file."""
        self.gateways[name].change_settings(log_level=log_level)


def _gateway_ip(number: int) -> str:
    return f"127.0.2.{number + 1}"
