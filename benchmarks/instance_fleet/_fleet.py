"""A fleet of processes on loopback: stand-ins and instances, started, killed, replaced."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import tempfile
import uuid
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import gevent
from result import Ok

from benchmarks.instance_fleet._shapes import (
    OrganisationShape,
    Shape,
    ZoneShape,
    as_body,
    files_of,
    organisations_of,
)
from benchmarks.loopback import HOST, ROOT, PortPool
from sparline._clock import now_ms
from sparline.backends import BackendAddress, call_json

START_TIMEOUT_MS = 30_000.0


@dataclass(frozen=True, slots=True)
class InstancePlace:
    """Hold the addresses of one instance."""

    name: str  # id of the instance
    zone: ZoneShape  # where it runs
    ip: str  # address of all its listeners
    callers_port: int  # for callers
    peers_port: int  # for peers, behind the wide-area stand-in
    operators_port: int  # for operators
    listed_port: int  # where peers reach it, through the wide-area stand-in


@dataclass(frozen=True, slots=True)
class BackendPlace:
    """Hold the address of one backend server."""

    name: str  # id of the backend server
    zone: ZoneShape  # where it runs
    role: str  # engine or service
    address: BackendAddress  # where it listens
    model: str  # model that an engine holds, empty for a service


class Fleet:
    """Start, break and stop everything that one run needs."""

    def __init__(
        self,
        shape: Shape,
        runner: tuple[str, ...] = ("-m", "sparline", "serve"),
        organisations: list[OrganisationShape] | None = None,
        packed: bool = False,
    ) -> None:
        """Plan the addresses; `start` starts the processes."""
        self.shape = shape
        self.organisations = organisations_of(shape) if organisations is None else organisations
        self._runner = runner
        self._packed = packed  # whether a zone's backend servers share a process
        self._folder = tempfile.TemporaryDirectory(prefix="sparline-run-")
        self._ports = PortPool()
        self._processes: dict[str, subprocess.Popen] = {}
        self.platform = BackendAddress(HOST, self._ports.take())
        self.network = BackendAddress(HOST, self._ports.take())
        self.instances = [
            self._plan_instance(index, zone, number)
            for index, zone in enumerate(shape.zones)
            for number in range(zone.instances)
        ]
        self.backends = [one for zone in shape.zones for one in self._plan_backends(zone)]

    def _plan_instance(self, zone_index: int, zone: ZoneShape, number: int) -> InstancePlace:
        ip = f"127.{1 + zone_index // 250}.{1 + zone_index % 250}.{number + 1}"
        ports = [self._ports.take() for _ in range(4)]
        return InstancePlace(f"{zone.name}-{number}", zone, ip, *ports)

    def _plan_backends(self, zone: ZoneShape) -> list[BackendPlace]:
        engines = [("engine", self.shape.model_of(number)) for number in range(zone.engines)]
        roles = engines + [("service", "")] * zone.services
        return [
            BackendPlace(
                f"{zone.name}-{role}-{number}",
                zone,
                role,
                BackendAddress(HOST, self._ports.take()),
                model,
            )
            for number, (role, model) in enumerate(roles)
        ]

    def start(self) -> None:
        """Start the stand-ins, publish the files and the list, start the instances."""
        self._start_platform()
        self._start_backends()
        self.publish_all()
        for place in self.instances:
            self.start_instance(place)
        self._await(
            lambda: all(self.is_live(place) for place in self.instances), "instances to go live"
        )

    def _start_backends(self) -> None:
        """Start each backend server as a process, or all of a zone as one."""
        if not self._packed:
            for backend in self.backends:
                self._start_standins(backend.name, [self._backend_config(backend)])
            return
        for zone in self.shape.zones:
            mine = [self._backend_config(one) for one in self.backends if one.zone is zone]
            self._start_standins(f"{zone.name}-backends", mine)

    def _start_platform(self) -> None:
        self._start_standins(
            "platform", [{"role": "platform", "ip": self.platform.ip, "port": self.platform.port}]
        )
        self._start_standins("network", [self._network_config()])
        self._await(lambda: self._answers(self.platform, "/control/calls"), "the platform")

    def _network_config(self) -> dict[str, Any]:
        forwards = [
            {
                "ip": one.ip,
                "port": one.listed_port,
                "target_ip": one.ip,
                "target_port": one.peers_port,
            }
            for one in self.instances
        ]
        places = {
            one.ip.rpartition(".")[0]: {"region": one.zone.region, "zone": one.zone.name}
            for one in self.instances
        }
        regions = self.shape.regions
        links = [
            {"between": [one, other], "delay_ms": self.shape.link_delay_ms}
            for one in regions
            for other in regions
            if one < other
        ]
        place = {"ip": self.network.ip, "port": self.network.port}
        return {
            "role": "wide_area",
            "forwards": forwards,
            "places": places,
            "links": links,
            **place,
        }

    def _backend_config(self, backend: BackendPlace) -> dict[str, Any]:
        address = {"ip": backend.address.ip, "port": backend.address.port}
        if backend.role == "service":
            return {"role": "service", **address}
        shape = {
            "slots": self.shape.slots,
            "prefill_tokens_per_s": self.shape.prefill_tokens_per_s,
            "token_interval_ms": self.shape.token_interval_ms,
            "cache_tokens": self.shape.cache_tokens,
        }
        loaded = [
            f"{backend.model}@v1",
            *(f"{backend.model}+{one}" for one in self.shape.adapters),
        ]
        platform = [self.platform.ip, self.platform.port]
        return {"role": "engine", **address, "shape": shape, "loaded": loaded, "platform": platform}

    def _start_standins(self, name: str, configs: list[dict[str, Any]]) -> None:
        path = Path(self._folder.name) / f"{name}.json"
        path.write_text(json.dumps(configs), encoding="utf-8")
        self._spawn(name, ["-m", "standins", "--config", str(path)])

    def _spawn(self, name: str, arguments: list[str]) -> None:
        log = (Path(self._folder.name) / f"{name}.log").open("ab")
        self._processes[name] = subprocess.Popen(
            [sys.executable, *arguments],
            cwd=ROOT,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
            start_new_session=True,
        )
        log.close()

    def publish_all(self) -> None:
        """Publish the files and the fleet list."""
        engines = {one.name: one.model for one in self.backends if one.role == "engine"}
        for name, document in files_of(self.shape, self.organisations, engines).items():
            self.publish(name, as_body(document))
        for place in self.instances:
            self.list_instance(place, "live")
        for backend in self.backends:
            self.list_backend(backend, "live")

    def publish(self, name: str, body: str | None) -> int:
        """Publish one record; return its revision."""
        return self.control(self.platform, "/control/publish", {"name": name, "body": body})[
            "revision"
        ]

    def list_instance(self, place: InstancePlace, state: str) -> None:
        """Put an instance into the platform's list."""
        member = {"id": place.name, "role": "instance", "ip": place.ip, "port": place.listed_port}
        self._list(member | {"callers_port": place.callers_port}, place.zone, state)

    def list_backend(self, backend: BackendPlace, state: str) -> None:
        """Put a backend server into the platform's list."""
        serves = self.shape.service if backend.role == "service" else ""
        address = {"ip": backend.address.ip, "port": backend.address.port}
        self._list(
            {"id": backend.name, "role": backend.role, "serves": serves, **address},
            backend.zone,
            state,
        )

    def _list(self, member: dict[str, Any], zone: ZoneShape, state: str) -> None:
        place = {"region": zone.region, "availability_zone": zone.name}
        self.control(
            self.platform,
            "/control/member",
            {**member, **place, "incarnation": uuid.uuid4().hex, "state": state},
        )

    def settings_of(self, place: InstancePlace) -> dict[str, Any]:
        """Return the settings of one instance."""
        ports = {
            "callers": place.callers_port,
            "peers": place.peers_port,
            "operators": place.operators_port,
        }
        seeds = [
            {"ip": one.ip, "port": one.listed_port} for one in self.instances if one is not place
        ]
        near = sorted(
            seeds, key=lambda seed: seed["ip"].rpartition(".")[0] != place.ip.rpartition(".")[0]
        )
        return {
            "instance_id": place.name,
            "region": place.zone.region,
            "availability_zone": place.zone.name,
            "listen": {name: {"ip": place.ip, "port": port} for name, port in ports.items()},
            "platform_urls": [f"http://{self.platform.ip}:{self.platform.port}"],
            "seed_peers": near[:3],
            "timing": self.shape.timing,
        }

    def start_instance(self, place: InstancePlace) -> None:
        """Start an instance, or its replacement."""
        path = Path(self._folder.name) / f"{place.name}.json"
        path.write_text(json.dumps(self.settings_of(place)), encoding="utf-8")
        self._spawn(place.name, [*self._runner, "--settings", str(path)])

    def process(self, name: str) -> subprocess.Popen:
        """Return a process by the name of what it runs."""
        return self._processes[name]

    def kill(self, name: str) -> None:
        """Kill a process at once."""
        self._processes[name].kill()
        self._processes[name].wait()

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process."""
        self._processes[name].send_signal(number)

    def is_live(self, place: InstancePlace) -> bool:
        """Tell whether an instance says that it is live."""
        return self._answers(BackendAddress(place.ip, place.operators_port), "/health")

    def _answers(self, address: BackendAddress, path: str) -> bool:
        return (
            isinstance(answer := call_json(address, "GET", path, b"", 1000), Ok)
            and answer.ok_value[0] == 200
        )

    def status(self, place: InstancePlace) -> dict[str, Any] | None:
        """Return an instance's status, None while it does not answer."""
        return self._get(BackendAddress(place.ip, place.operators_port), "/status")

    def metrics(self, place: InstancePlace) -> str:
        """Return an instance's metrics, empty while it does not answer."""
        answer = call_json(
            BackendAddress(place.ip, place.operators_port), "GET", "/metrics", b"", 2000
        )
        return answer.unwrap()[1].decode() if answer.is_ok() else ""

    def ledger(self, backend: BackendPlace) -> dict[str, Any] | None:
        """Return what a backend server ran, None if it does not answer."""
        return self._get(backend.address, "/control/ledger")

    def platform_calls(self) -> dict[str, Any]:
        """Return how often the platform was called."""
        return self._get(self.platform, "/control/calls") or {}

    def _get(self, address: BackendAddress, path: str) -> dict[str, Any] | None:
        answer = call_json(address, "GET", path, b"", 5000)
        return json.loads(answer.unwrap()[1]) if answer.is_ok() else None

    def control(self, address: BackendAddress, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Make a control call of a stand-in."""
        answer = call_json(address, "POST", path, json.dumps(body).encode(), 5000)
        return json.loads(answer.unwrap()[1])

    def cut(self, pairs: list[tuple[str, str]]) -> None:
        """Cut pairs of zones or regions off from each other; all others are whole."""
        self.control(self.network, "/control/cuts", {"cuts": [list(pair) for pair in pairs]})

    def _await(
        self, done: Callable[[], bool], what: str, timeout_ms: float = START_TIMEOUT_MS
    ) -> None:
        give_up_ms = now_ms() + timeout_ms
        while not done():
            if now_ms() > give_up_ms:
                raise TimeoutError(f"waited {timeout_ms:.0f} ms for {what}; logs:\n{self.logs()}")
            gevent.sleep(0.05)

    def await_true(
        self, done: Callable[[], bool], what: str, timeout_ms: float = START_TIMEOUT_MS
    ) -> float:
        """Wait until something holds; return how long it took, in milliseconds."""
        began_ms = now_ms()
        self._await(done, what, timeout_ms)
        return now_ms() - began_ms

    def logs(self) -> str:
        """Return the last lines of every log."""
        tails = []
        for path in sorted(Path(self._folder.name).glob("*.log")):
            text = path.read_text(encoding="utf-8", errors="replace")[-1500:]
            if text:
                tails.append(f"== {path.stem}\n{text}")
        return "\n".join(tails)

    def all_logs(self) -> str:
        """Return every log of an instance, whole."""
        paths = [Path(self._folder.name) / f"{place.name}.log" for place in self.instances]
        return "\n".join(path.read_text(encoding="utf-8", errors="replace") for path in paths)

    def stop(self) -> None:
        """End every process and leave nothing behind."""
        for process in self._processes.values():
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
        for process in self._processes.values():
            process.wait()
        self._folder.cleanup()

    def __enter__(self) -> "Fleet":
        """Start the fleet."""
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_exc: object) -> None:
        """Stop the fleet."""
        self.stop()
