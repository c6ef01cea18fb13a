"""Gateways and replicas as processes on loopback, and the store that they read."""

import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import Any

from review.client import HOST
from review.store import Store

ROOT = Path(__file__).resolve().parents[1]
PORTS = ("callers", "readiness", "directory", "gossip", "relay", "metrics")
GRACE_S = 8.0
START_TIMEOUT_S = 30.0
# The bounds of the pages' small sites.
RETRIES = {"ratio": 0.2, "slack": 58, "window_s": 10}
DRAIN_MS = 3000


class CaseFailed(Exception):
    """Say that a case couldn't run."""


def _free_ports(ips: list[str], count: int) -> list[int]:
    """Return ports that are free on all addresses, for TCP and for datagrams."""
    found: list[int] = []
    for port in random.sample(range(20_000, 32_000), 4_000):
        held = []
        try:
            for ip in ips:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    one = socket.socket(socket.AF_INET, kind)
                    held.append(one)
                    one.bind((ip, port))
        except OSError:
            continue
        finally:
            for one in held:
                one.close()
        found.append(port)
        if len(found) == count:
            return found
    raise CaseFailed("no free ports")


class Fleet:
    """Start, signal and end all processes of a case."""

    def __init__(self, regions: dict[str, str], record: Path) -> None:
        """Set the region of each availability zone; `record` gets what happens."""
        self._regions = regions
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.runs_path = self.folder / "runs.jsonl"
        self.runs_path.touch()
        self._record = record.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began = time.monotonic()
        self.gateways: dict[str, dict[str, Any]] = {}
        self.replicas: dict[str, dict[str, Any]] = {}
        ips = ["127.0.0.1", *(f"127.0.3.{number}" for number in range(1, 9))]
        free = _free_ports(ips, len(PORTS) + 24)
        self.ports = dict(zip(PORTS, free, strict=False))
        self._free = free[len(PORTS) :]
        self._store_address = ("127.0.0.1", self._free.pop())
        self.store = Store(*self._store_address)

    def note(self, text: str) -> None:
        """Write a line to the record."""
        with self._lock:
            self._record.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
            self._record.flush()

    def publish(
        self, version: int, routes: list[dict[str, Any]], services: list[dict[str, Any]]
    ) -> None:
        """Put a configuration into force."""
        limits = {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        }
        document = {
            "version": version,
            "routes": [{"host": HOST, "priority": 1, **one} for one in routes],
            "services": services,
            "limits": limits,
        }
        self.store.put("op/config", document)
        self.note(f"operator: version {version}: {json.dumps(document)}")

    def add_replica(
        self, name: str, service: str, zone: str, arguments: tuple[str, ...] = ()
    ) -> None:
        """Start a replica and write its entry."""
        address = ("127.0.0.1", self._free.pop())
        command = [sys.executable, "-S", "-m", "review.replica", "--ip", address[0]]
        command += ["--port", str(address[1]), "--name", name, "--runs", str(self.runs_path)]
        process = subprocess.Popen([*command, *arguments], cwd=ROOT)
        self.replicas[name] = {"process": process, "address": address}
        until = time.monotonic() + START_TIMEOUT_S
        while not _accepts(address):
            if time.monotonic() > until:
                raise CaseFailed(f"replica {name} doesn't start")
            time.sleep(0.02)
        entry = {
            "service": service,
            "address": f"{address[0]}:{address[1]}",
            "zone": zone,
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
        }
        self.store.put(f"servers/{name}", entry)
        self.note(f"replica {name}: starts in {zone}")

    def add_gateway(self, name: str, zone: str) -> None:
        """Start a gateway with the command of the deploy file."""
        ip = f"127.0.3.{len(self.gateways) + 1}"
        settings = {
            "name": name,
            "ip": ip,
            "region": self._regions[zone],
            "availability_zone": zone,
            "zone_regions": self._regions,
            "listen": {one: f"{ip}:{port}" for one, port in self.ports.items()},
            "seeds": [f"127.0.3.{number}:{self.ports['gossip']}" for number in (1, 2)],
            "store": f"{self._store_address[0]}:{self._store_address[1]}",
            "retries": RETRIES,
            "server_drain_ms": DRAIN_MS,
            "grace_s": GRACE_S,
            "first_start": True,
            "log_level": "INFO",
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.gateways[name] = {"ip": ip, "zone": zone, "path": path}
        self.start_gateway(name)

    def start_gateway(self, name: str) -> None:
        """Start the process of a gateway, anew if it has run before."""
        gateway = self.gateways[name]
        if "process" in gateway:
            settings = json.loads(gateway["path"].read_text())
            gateway["path"].write_text(json.dumps(settings | {"first_start": False}))
        environment = {
            one: os.environ[one] for one in ("PATH", "HOME", "LANG") if one in os.environ
        }
        environment |= {
            "SPARLINE_NODE_FILE": str(gateway["path"]),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (self.folder / f"{name}.log").open("ab") as log:
            gateway["process"] = subprocess.Popen(
                ["python3", "-S", "-m", "sparline.gateway_process"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.note(f"gateway {name}: starts in {gateway['zone']}")

    def until_ready(self) -> None:
        """Wait until all gateways are ready."""
        until = time.monotonic() + START_TIMEOUT_S
        for name in self.gateways:
            while not self.is_ready(name):
                if time.monotonic() > until:
                    raise CaseFailed(f"gateway {name} isn't ready")
                time.sleep(0.05)
        self.note("all gateways are ready")

    def is_ready(self, name: str) -> bool:
        """Ask a gateway whether it is ready."""
        try:
            with socket.create_connection(self.address(name, "readiness"), 1.0) as one:
                one.settimeout(1.0)
                head = "GET /v1/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                one.sendall(head.encode())
                return one.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def address(self, name: str, port: str = "callers") -> tuple[str, int]:
        """Return where a gateway listens."""
        return self.gateways[name]["ip"], self.ports[port]

    def signal(self, kind: str, name: str, number: signal.Signals) -> None:
        """Send a signal to a process that this case started."""
        one = (self.gateways if kind == "gateway" else self.replicas)[name]
        one["process"].send_signal(number)
        self.note(f"{kind} {name}: {number.name}")

    def runs(self) -> list[dict[str, Any]]:
        """Return what the replicas have noted."""
        text = self.runs_path.read_text(encoding="utf-8")
        return [json.loads(line) for line in text.splitlines() if line.endswith("}")]

    def log_lines(self, name: str) -> list[str]:
        """Return the log of a gateway."""
        return (self.folder / f"{name}.log").read_text(errors="replace").splitlines()

    def stop(self) -> None:
        """End all processes and keep what the replicas ran in the record."""
        for one in (*self.gateways.values(), *self.replicas.values()):
            process = one.get("process")
            if process is not None and process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            if process is not None:
                process.wait()
        for run in self.runs():
            at = run.pop("at") - self._began
            self.note(f"[at {at:.3f}] replica: {json.dumps(run)}")
        self._record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def _accepts(address: tuple[str, int]) -> bool:
    try:
        socket.create_connection(address, 0.5).close()
    except OSError:
        return False
    return True
