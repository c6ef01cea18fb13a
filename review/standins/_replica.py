"""Stand-in of a replica: it lists itself in the store, runs requests and answers them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from time import monotonic

import gevent
from gevent.server import StreamServer
from gevent.socket import socket as GeventSocket

from review.standins._store import Store
from review.standins._wire import Ended, Message, Stream

HEARTBEAT_S = 1.2


@dataclass
class Arrival:
    """Hold one request that reached the replica."""

    request_id: str
    at_s: float
    outcome: str = "running"  # "running", "ran", "dropped", "refused" or "misdirected"
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass
class Replica:
    """Run requests one after the other on each connection."""

    server_id: str
    service: str
    zone: str
    address: tuple[str, int]
    store: Store
    slots: int = 64
    events: int = 0  # events of a stream, 0 for plain answers
    work_s: float = 0.02  # time to a plain answer, or between two events
    work_s_by_body: dict[bytes, float] = field(default_factory=dict)  # where it differs
    state: str = "ready"
    version: str = "1"
    cold_s: float = 0.0
    arrivals: list[Arrival] = field(default_factory=list)
    on_request: Callable[["Replica", Arrival], None] = lambda _replica, _arrival: None
    sequence: int = 0
    is_listed: bool = True
    health_calls: int = 0
    _server: StreamServer | None = None
    _beat: gevent.Greenlet | None = None
    _open: set[GeventSocket] = field(default_factory=set)
    _cold_until_s: float = 0.0

    def start(self) -> None:
        """Open the port and list the replica."""
        self._cold_until_s = monotonic() + self.cold_s
        self._server = StreamServer(self.address, self._serve)
        self._server.start()
        self._beat = gevent.spawn(self._run_beats)

    def stop(self) -> None:
        """End the process: close the port and every connection."""
        if self._beat is not None:
            self._beat.kill()
        if self._server is not None:
            self._server.stop(timeout=0)
        for one in list(self._open):
            one.close()

    def entry(self) -> dict:
        """Return the entry as it is written next."""
        self.sequence += 1
        return {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": self.cold_left_ms(),
            "sequence": self.sequence,
        }

    def cold_left_ms(self) -> int:
        """Return how much longer it is cold."""
        return max(round((self._cold_until_s - monotonic()) * 1000), 0)

    def turn_cold(self, for_s: float) -> None:
        """Become cold again; health answers tell it at once, and the store if it takes the entry."""
        self._cold_until_s = monotonic() + for_s
        if not self.store.is_down:
            self.write()

    @property
    def key(self) -> str:
        """Return the key of its entry."""
        return f"servers/{self.server_id}"

    def write(self) -> None:
        """Write the entry; the store changes it when more than `sequence` does."""
        entry = self.entry()
        held = self.store.value(self.key)
        if held is None or held | {"sequence": 0} != entry | {"sequence": 0}:
            self.store.put(self.key, entry)

    def _run_beats(self) -> None:
        while True:
            if self.is_listed and not self.store.is_down:
                self.write()
            gevent.sleep(HEARTBEAT_S)

    def drain(self) -> None:
        """Say that it leaves."""
        self.state = "draining"
        self.write()

    def _serve(self, connection: GeventSocket, _address: object) -> None:
        self._open.add(connection)
        stream = Stream(connection)
        try:
            while True:
                request = stream.head()
                request.body = stream.body(request, ends_with_connection=False)
                self._answer(connection, request)
        except (Ended, OSError):
            return
        finally:
            self._open.discard(connection)
            connection.close()

    def _answer(self, connection: GeventSocket, request: Message) -> None:
        path = request.first.split(" ")[1]
        if path == "/health":
            self.health_calls += 1
            cold = f"Cold-Milliseconds: {self.cold_left_ms()}\r\n"
            head = f"HTTP/1.1 200 OK\r\nInstance-Id: {self.server_id}\r\n{cold}"
            connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
            return
        request_id = request.header("attempt-id")
        if request_id is None:
            connection.sendall(_refusal(400, None))
            return
        arrival = Arrival(request_id, monotonic(), headers=dict(request.headers))
        arrival.body = request.body
        self.arrivals.append(arrival)
        if request.header("expected-instance") not in (None, self.server_id):
            arrival.outcome = "misdirected"
            connection.sendall(_refusal(421, request_id))
            return
        running = sum(one.outcome == "running" for one in self.arrivals[-2_000:])
        if running > self.slots * 3:
            arrival.outcome = "refused"
            connection.sendall(_refusal(503, request_id))
            return
        self.on_request(self, arrival)
        try:
            self._run(connection, request_id, request)
        except OSError:
            arrival.outcome = "dropped"
            raise
        arrival.outcome = "ran"

    def _run(self, connection: GeventSocket, request_id: str, request: Message) -> None:
        head = f"HTTP/1.1 200 OK\r\nAttempt-Id: {request_id}\r\nResponse-Seal: {self.server_id}\r\n"
        if not self.events:
            gevent.sleep(self.work_s_by_body.get(request.body, self.work_s))
            body = f"{request_id} {len(request.body)}".encode()
            connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
            return
        first = int(request.header("last-event-id") or "0") + 1
        kind = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        connection.sendall((head + kind).encode())
        for number in range(first, self.events + 1):
            gevent.sleep(self.work_s)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            connection.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")


def _refusal(status: int, request_id: str | None) -> bytes:
    own = f"Attempt-Id: {request_id}\r\n" if request_id else ""
    reason = "Not-Executed: 1\r\n" if status != 421 else ""
    return f"HTTP/1.1 {status} Status\r\n{own}{reason}Content-Length: 0\r\n\r\n".encode()
