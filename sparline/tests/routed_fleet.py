"""Gateways, a store and backend servers inside the test process, on addresses of loopback."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
import msgspec

from benchmarks._gateway_settings import gateway_settings
from benchmarks._port_pool import PortPool
from sparline._clock import now_ms
from sparline.gateway._gateway import Gateway
from standins import Caller, Got, KeyStore, SealedServer, list_server, publish

# A test that waits longer than this has failed, on the slowest machine (ms).
PATIENCE_MS = 20_000.0


@dataclass(slots=True)
class RoutedFleet:
    """Run some gateways in two regions before backend servers."""

    places: tuple[str, ...] = ("north-1",)  # availability zone of each gateway
    # So long that a slow machine changes nothing.
    grace_s: float = 120.0  # time that gateways have for a planned stop
    buffered_answer_bytes: int = 1_048_576  # setting of the gateways
    store: KeyStore = field(init=False)
    servers: dict[str, SealedServer] = field(default_factory=dict)
    gateways: dict[str, Gateway] = field(default_factory=dict)
    _ports: PortPool = field(default_factory=PortPool)
    _listen: list[int] = field(default_factory=list)

    def __enter__(self) -> "RoutedFleet":
        self.store = KeyStore("127.0.0.1", self._ports.take())
        self.store.start()
        # Ports are alike on all instances; each has a loopback address of its own.
        self._listen = [self._ports.take() for _ in range(6)]
        for number, zone in enumerate(self.places):
            self.add_gateway(f"g{number}", f"127.0.1.{number + 1}", zone)
        return self

    def add_gateway(self, name: str, ip: str, zone: str) -> Gateway:
        """Start a gateway that does not know the others."""
        settings = gateway_settings(
            name, ip, zone, self._listen, ["127.0.1.1"], self.store.address, grace_s=self.grace_s
        )
        settings = msgspec.structs.replace(
            settings, buffered_answer_bytes=self.buffered_answer_bytes
        )
        gateway = Gateway(settings)
        gateway.start()
        self.gateways[name] = gateway
        return gateway

    def add_server(
        self,
        name: str,
        service: str = "plain",
        zone: str = "north-1",
        events: int = 0,
        **entry: Any,
    ) -> SealedServer:
        """Start a backend server and list it; `entry` holds fields of its entry."""
        server = SealedServer("127.0.0.1", self._ports.take(), name, events=events)
        server.start()
        self.servers[name] = server
        self.list_server(name, service, zone, **entry)
        return server

    def list_server(self, name: str, service: str, zone: str = "north-1", **changes: Any) -> int:
        """Write the entry of a backend server."""
        server = self.servers[name]
        address = (server.ip, server.port)
        return list_server(self.store, name, address, service, zone, **changes)

    def ready(self, version: int = 1) -> "RoutedFleet":
        """Publish a configuration and wait until all hold everything."""
        publish(self.store, version)
        self.until(self.is_ready, "all gateways are live and hold the store's state")
        return self

    def is_ready(self) -> bool:
        """Tell whether all gateways are live, know each other and hold the store's state."""
        others = len(self.gateways) - 1
        return all(
            one.is_ready()
            and one.copy.revision == self.store.revision
            and len(one.members.live()) == others
            for one in self.gateways.values()
        )

    def until(self, condition: Callable[[], bool], what: str) -> None:
        """Wait for something to be so."""
        began_ms = now_ms()
        while not condition():
            assert now_ms() - began_ms < PATIENCE_MS, f"expected: {what}"
            gevent.sleep(0.02)

    def caller(self, name: str = "g0") -> Caller:
        """Connect to a gateway as a caller."""
        ip, port = self.gateways[name].settings.listen.callers.split(":")
        return Caller((ip, int(port)))

    def ask(self, target: str, request_id: str = "r1", at: str = "g0", **more: Any) -> Got:
        """Send one request on a new connection and read its answer."""
        caller = self.caller(at)
        try:
            caller.send(target, request_id, **more)
            return caller.read()
        finally:
            caller.close()

    def runs(self) -> list[str]:
        """Return the ids of all runs, of all servers."""
        return [run.request_id for server in self.servers.values() for run in server.runs]

    def __exit__(self, *_exc: object) -> None:
        for gateway in self.gateways.values():
            gateway.stop()
        for server in self.servers.values():
            server.stop()
        self.store.stop()
