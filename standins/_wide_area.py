"""Stand-in for the wide-area network: TCP forwarded late, or not at all."""

import socket
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
from gevent.event import Event
from gevent.server import StreamServer

from sparline._clock import now_ms
from sparline._wsgi import Environ, StartResponse, answer_json, make_server
from standins._routes import Routes, read_json

READ_BYTES = 65_536
CUT_STEP_S = 0.02


@dataclass(frozen=True, slots=True)
class Forward:
    """Describe one address that is reached over the network."""

    ip: str  # address that others dial
    port: int  # and its port
    target_ip: str  # address of the real listener
    target_port: int  # and its port


@dataclass(frozen=True, slots=True)
class Place:
    """Name where an address lies."""

    region: str  # region
    zone: str  # availability zone


class WideArea:
    """Forward connections with the delay between two places, and cut places off."""

    def __init__(
        self, ip: str, port: int, forwards: Iterable[Forward], places: dict[str, Place]
    ) -> None:
        """Set up forwards; places are keyed by the first three parts of an IP number."""
        self._places = places
        self._delays_ms: dict[frozenset[str], float] = {}
        self._cuts: set[frozenset[str]] = set()
        routes = Routes()
        routes.add("POST", "/control/links", self._control_links)
        routes.add("POST", "/control/cuts", self._control_cuts)
        self._server = make_server(ip, port, routes)
        self._forwarders = [
            StreamServer((one.ip, one.port), self._handler(one), backlog=256) for one in forwards
        ]

    def start(self) -> None:
        """Open every port."""
        self._server.start()
        for forwarder in self._forwarders:
            forwarder.start()

    def stop(self) -> None:
        """Close every port."""
        self._server.stop(timeout=0)
        for forwarder in self._forwarders:
            forwarder.stop(timeout=0)

    def set_delay(self, one: str, other: str, delay_ms: float) -> None:
        """Set the one-way delay between two regions."""
        self._delays_ms[frozenset((one, other))] = delay_ms

    def set_cuts(self, cuts: Iterable[Iterable[str]]) -> None:
        """Cut pairs of zones or regions off from each other; all others are whole."""
        self._cuts = {frozenset(pair) for pair in cuts}

    def _handler(self, forward: Forward) -> Callable[[socket.socket, tuple[str, int]], None]:
        def handle(connection: socket.socket, source: tuple[str, int]) -> None:
            here = self._place(source[0])
            there = self._place(forward.target_ip)
            self._forward(connection, forward, here, there)

        return handle

    def _place(self, ip: str) -> Place:
        return self._places.get(ip.rpartition(".")[0], Place("", ""))

    def _forward(
        self, connection: socket.socket, forward: Forward, here: Place, there: Place
    ) -> None:
        # A cut swallows packets: nobody hears of it but by silence.
        while self._is_cut(here, there):
            gevent.sleep(CUT_STEP_S)
        try:
            target = socket.create_connection((forward.target_ip, forward.target_port), 2)
        except OSError:
            connection.close()
            return
        target.settimeout(None)
        for one in (connection, target):
            one.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pumps = [
            gevent.spawn(self._pump, connection, target, here, there),
            gevent.spawn(self._pump, target, connection, here, there),
        ]
        gevent.joinall(pumps)
        connection.close()
        target.close()

    def _is_cut(self, here: Place, there: Place) -> bool:
        pairs = ((here.region, there.region), (here.zone, there.zone))
        return any(frozenset(pair) in self._cuts for pair in pairs)

    def _delay_ms(self, here: Place, there: Place) -> float:
        return self._delays_ms.get(frozenset((here.region, there.region)), 0.0)

    def _pump(self, source: socket.socket, sink: socket.socket, here: Place, there: Place) -> None:
        """Read at once and write later, so that delay does not slow the rate."""
        pending: deque[tuple[float, bytes]] = deque()
        arrived = Event()
        writer = gevent.spawn(self._write, sink, pending, arrived, here, there)
        while True:
            try:
                data = source.recv(READ_BYTES)
            except OSError:
                data = b""
            pending.append((now_ms() + self._delay_ms(here, there), data))
            arrived.set()
            if not data:
                break
        writer.join()

    def _write(
        self,
        sink: socket.socket,
        pending: deque[tuple[float, bytes]],
        arrived: Event,
        here: Place,
        there: Place,
    ) -> None:
        while True:
            arrived.wait()
            if not pending:
                arrived.clear()
                continue
            due_ms, data = pending.popleft()
            gevent.sleep(max(due_ms - now_ms(), 0) / 1000)
            while self._is_cut(here, there):
                gevent.sleep(CUT_STEP_S)
            try:
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
            except OSError:
                return

    def _control_links(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        for link in read_json(environ)["links"]:
            self.set_delay(*link["between"], link["delay_ms"])
        return answer_json(start_response, {})

    def _control_cuts(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.set_cuts(read_json(environ)["cuts"])
        return answer_json(start_response, {})
