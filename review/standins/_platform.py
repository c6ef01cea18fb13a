"""Stand-in of the platform: it starts the processes by the command of the deploy file, with settings."""

import json
import os
import signal
import socket
import subprocess
import tempfile
import tomllib
from dataclasses import dataclass
from pathlib import Path
from time import monotonic

import gevent

from review.standins._client import Client
from review.standins._store import Store

ROOT = Path(__file__).resolve().parents[2]
LISTENERS = ("callers", "readiness", "directory", "gossip", "relay", "metrics")
PASSED_VARIABLES = ("PATH", "HOME", "LANG")
BOUNDS = {"retry_slack": 58, "retry_ratio": 0.2, "drain_ms": 3_000, "grace_s": 8.0}


@dataclass(frozen=True)
class Place:
    """Name where a gateway stands."""

    name: str
    ip: str
    zone: str
    region: str


class Gateway:
    """One process of the gateway."""

    def __init__(self, place: Place, ports: dict[str, int], settings: dict, folder: Path) -> None:
        """Set what it is started with."""
        self.place = place
        self.ports = ports
        self.settings = settings
        self.path = folder / f"{place.name}.json"
        self.log = folder / f"{place.name}.log"
        self.process: subprocess.Popen | None = None
        self.starts = 0

    def start(self) -> None:
        """Start the process by the command of the deploy file."""
        self.settings["first_start"] = not self.starts
        self.starts += 1
        self.path.write_text(json.dumps(self.settings))
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {one: os.environ[one] for one in PASSED_VARIABLES if one in os.environ}
        environment["SPARLINE_NODE_FILE"] = str(self.path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                deploy["roles"]["gateway"]["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def is_running(self) -> bool:
        """Tell whether the process lives."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send the process a signal if it lives."""
        if self.is_running() and self.process is not None:
            self.process.send_signal(number)

    def memory_mb(self) -> float:
        """Return the resident memory, 0 if the process has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()  # type: ignore[union-attr]
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1e6

    def client(self) -> Client:
        """Return a client of its own."""
        return Client((self.place.ip, self.ports["callers"]))

    def is_ready(self) -> bool:
        """Ask whether it takes requests."""
        client = Client((self.place.ip, self.ports["readiness"]))
        answer = client.send("x", "/v1/readiness", 1_000, method="GET")
        client.close()
        return answer.status == 200


class Deployment:
    """Start and end the store and the gateways; replicas are the script's."""

    def __init__(self, places: list[Place], memory_mb: int = 300) -> None:
        """Take free ports, alike on all gateways."""
        self.folder = Path(tempfile.mkdtemp(prefix="sparline-review-"))
        self._taken: set[int] = set()
        self.ports = {one: self.free_port() for one in LISTENERS}
        self.store = Store("127.0.0.1", self.free_port())
        zones = {one.zone: one.region for one in places}
        seeds = [f"{one.ip}:{self.ports['gossip']}" for one in places[:3]]
        self.gateways = [
            Gateway(one, self.ports, self._settings(one, zones, seeds, memory_mb), self.folder)
            for one in places
        ]

    def free_port(self) -> int:
        """Return a port that is free, another one each time."""
        while True:
            with socket.socket() as one:
                one.bind(("127.0.0.1", 0))
                port = one.getsockname()[1]
            if port not in self._taken:
                self._taken.add(port)
                return port

    def _settings(
        self, place: Place, zones: dict[str, str], seeds: list[str], memory_mb: int
    ) -> dict:
        return {
            "name": place.name,
            "ip": place.ip,
            "region": place.region,
            "availability_zone": place.zone,
            "zone_regions": zones,
            "listen": {one: f"{place.ip}:{port}" for one, port in self.ports.items()},
            "seeds": seeds,
            "store": f"{self.store.address[0]}:{self.store.address[1]}",
            "retries": {
                "ratio": BOUNDS["retry_ratio"],
                "slack": BOUNDS["retry_slack"],
                "window_s": 10,
            },
            "server_drain_ms": BOUNDS["drain_ms"],
            "memory_mb": memory_mb,
            "file_descriptors": 4_100,
            "grace_s": BOUNDS["grace_s"],
            "first_start": True,
            "log_level": "INFO",
        }

    def start(self, timeout_s: float = 20.0) -> None:
        """Start all gateways and wait until they are ready; `TimeoutError` if they aren't."""
        for one in self.gateways:
            one.start()
        until_s = monotonic() + timeout_s
        while not all(one.is_ready() for one in self.gateways):
            if monotonic() > until_s:
                raise TimeoutError(f"not all gateways were ready after {timeout_s} s")
            gevent.sleep(0.1)

    def stop(self) -> None:
        """End all processes and close the store."""
        for one in self.gateways:
            one.signal(signal.SIGCONT)
            one.signal(signal.SIGKILL)
            if one.process is not None:
                one.process.wait()
        self.store.stop()
