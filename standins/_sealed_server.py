"""Stand-in for the users' backend servers: engines with streams, and plain services."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.server import StreamServer
from gevent.socket import socket as GeventSocket

from sparline._clock import now_ms
from sparline.http import HttpRequest, RequestParser
from standins._endless import EndlessBytes, endless_answers, endless_streams
from standins._refusal_copies import RefusalCopies
from standins._sealed_framing import (
    LAST_CHUNK,
    as_chunk,
    cut_answer,
    framed,
    long_body,
    reset_when_closed,
)
from standins._sealed_types import SealedArrival, SealedFaults, SealedRun

READ_BYTES = 65_536
MS_PER_S = 1000.0
WORK_PREFIX = b"work-ms "


def work_body(work_ms: float) -> bytes:
    """Return a body that tells a server which reads it how long the request takes (ms)."""
    return WORK_PREFIX + str(round(work_ms)).encode()


def _set_event() -> Event:
    event = Event()
    event.set()
    return event


@dataclass(slots=True)
class SealedServer:
    """Answer requests with a signature and note each run."""

    ip: str
    port: int
    server_id: str  # this incarnation
    events: int = 0  # events of a stream, 0 for a plain service
    version: str = "v1"  # of its software
    work_ms: float = 5.0  # time to the answer, and between events
    slow_ms: float = 0.0  # time to the answer of every `slow_each`-th request
    slow_each: int = 0  # 0 for none
    reads_work: bool = (
        False  # whether a body says how long its request takes, as `work_body` writes it
    )
    long_event_ms: float = 0.0  # time between the events of every `long_each`-th stream
    long_each: int = 0  # 0 for none
    faults: SealedFaults = field(default_factory=SealedFaults)
    runs: list[SealedRun] = field(default_factory=list)
    arrivals: list[SealedArrival] = field(default_factory=list)
    refused_at_ms: list[float] = field(default_factory=list)  # times at which requests were refused
    connections: int = 0  # connections that were opened
    ends_on: bytes = b""  # the process ends as it runs a request whose body holds this
    # The process ends as it begins to answer a prompt with any of these parts, if not as its last.
    ends_on_parts: frozenset[str] = frozenset()
    reports_leaving: bool = False  # whether answers carry Server-Leaving: 1
    rest_s: float = 0.0  # Retry-After value of 503 answers in seconds, 0 to omit it
    limit_per_s: float | None = None  # limit that its answers state, None for no limit
    falls: int = 0  # times that it ended because it refused too many requests
    places: int | None = None  # requests that run at once, more are refused; None for any number
    # Refusals per second for want of places beyond which the process ends, None for any number. All
    # answers state it.
    brittle_per_s: int | None = None
    keeps_port: bool = False  # whether something else goes on listening once it has ended
    copies: RefusalCopies | None = None  # how refusals are sent twice, None for not at all
    ends_cleanly: bool = False  # whether its connections are closed instead of reset as it ends
    on_end: Callable[[], None] = lambda: None  # called once the process has ended
    # Cleared while the process lives, accepts requests and sends no byte.
    may_send: Event = field(default_factory=_set_event)
    _server: StreamServer | None = None
    _open: set[GeventSocket] = field(default_factory=set)

    def start(self) -> None:
        """Open the port."""
        self._server = StreamServer((self.ip, self.port), self._serve)
        self._server.start()

    def stop(self) -> None:
        """Close the port."""
        if self._server is not None:
            self._server.stop(timeout=0)

    def is_listening(self) -> bool:
        """Return whether the server accepts connections."""
        return self._server is not None and self._server.started

    def end(self) -> None:
        """End as a process that is lost does: the port closes and every connection ends."""
        if not self.keeps_port and not self.is_listening():
            # It has ended already, under another request.
            return
        if not self.keeps_port:
            self.stop()
        self._close_connections(resets=not self.ends_cleanly)
        self.on_end()

    def reset_connections(self) -> None:
        """Reset all connections, and so break off what runs, without an end of the process."""
        for run in self.runs:
            run.was_reset |= not run.finished and not run.abandoned
        self._close_connections(resets=True)

    def _close_connections(self, resets: bool) -> None:
        for connection in list(self._open):
            if resets:
                with contextlib.suppress(OSError):
                    reset_when_closed(connection)
            connection.close()

    def _serve(self, connection: GeventSocket, _address: object) -> None:
        self.connections += 1
        self._open.add(connection)
        parser = RequestParser()
        try:
            while True:
                while not parser.requests or not self._is_in(parser.requests[0]):
                    data = connection.recv(READ_BYTES)
                    if not data:
                        return
                    parser.feed(data)
                if not self._answer(connection, parser.requests.pop(0)):
                    return
        except OSError:
            return
        finally:
            self._open.discard(connection)
            connection.close()

    def _is_in(self, request: HttpRequest) -> bool:
        return request.complete or (self.faults.early and request.head_done)

    def _take_faults(self) -> SealedFaults:
        if self.faults.remaining == 0:
            return self.faults.later or SealedFaults()
        if self.faults.remaining > 0:
            self.faults.remaining -= 1
        return self.faults

    def _answer(self, connection: GeventSocket, request: HttpRequest) -> bool:
        """Answer one request; tell whether the connection goes on."""
        faults = self._take_faults()
        if self.copies is not None:
            self.copies.send_owed(connection)
        if request.header(b"attempt-id") is None:
            self._refuse(connection, request, 400, [("Not-Executed", "1")])
            return True
        expected = (request.header(b"expected-instance") or b"").decode()
        if expected != self.server_id:
            self._refuse(connection, request, 421, [("Instance-Id", self.server_id)])
            return True
        request_id = (request.header(b"attempt-id") or b"").decode()
        self.arrivals.append(SealedArrival(request_id, now_ms()))
        if faults.refuse or faults.early:
            self.refused_at_ms.append(now_ms())
            self._refuse(connection, request, 503, [("Not-Executed", "1")])
            return True
        running = sum(not one.finished and not one.abandoned for one in self.runs)
        if self.places is not None and running >= self.places:
            self.refused_at_ms.append(now_ms())
            self._refuse(connection, request, 503, [("Not-Executed", "1")])
            return not self._fall_if_brittle()
        run = self._start_run(request)
        gevent.sleep(self._work_ms(run) / MS_PER_S)
        self.may_send.wait()
        if self._is_ended_by(run):
            self.end()
            return False
        if faults.close_after_run:
            return False
        if faults.hang:
            run.abandoned = connection.recv(1) == b""
            return False
        if faults.endless:
            self._endless_answer(run, faults.endless).write_to(connection)
            return False
        if faults.surplus_answer:
            connection.sendall(faults.surplus_answer)
        if self.events and not faults.fail and not faults.status:
            return self._stream(connection, request, run, faults)
        return self._plain_answer(connection, request, run, faults)

    def _work_ms(self, run: SealedRun) -> float:
        """Return the time to the answer of the latest run."""
        if self.reads_work:
            return float(run.body.removeprefix(WORK_PREFIX))
        is_slow = self.slow_each and len(self.runs) % self.slow_each == 0
        return self.slow_ms if is_slow else self.work_ms

    def _refuse(
        self,
        connection: GeventSocket,
        request: HttpRequest,
        status: int,
        headers: list[tuple[str, str]],
    ) -> None:
        head = self._head(status, request, headers, 0)
        if self.copies is None:
            connection.sendall(head)
        else:
            self.copies.refuse(connection, head)

    def _endless_answer(self, run: SealedRun, place: str) -> EndlessBytes:
        seal = f"Response-Seal: seal-of-{self.server_id}\r\n"
        head, other = (
            f"HTTP/1.1 200 Status\r\nAttempt-Id: {one}\r\n{seal}".encode()
            for one in (run.request_id, "other")
        )
        return {**endless_answers(head, other), **endless_streams(head)}[place]

    def _plain_answer(
        self, connection: GeventSocket, request: HttpRequest, run: SealedRun, faults: SealedFaults
    ) -> bool:
        status = faults.status or (500 if faults.fail else 200)
        body = f"{run.request_id} {run.target} {len(run.body)}".encode()
        if status == 204:
            body = b""
        elif faults.body_bytes:
            body = long_body(self.server_id, faults.body_bytes)
        length = None if faults.unframed else -1 if faults.chunked else len(body)
        head = self._head(status, request, [], length, faults)
        cut_after = faults.break_after_bytes or faults.exit_after_bytes
        sent = body[:cut_after] if cut_after else body
        written = as_chunk(sent) if faults.chunked else sent
        if cut_after:
            connection.sendall(head + written)
            return self._cut_plain(connection, faults)
        run.finished = True
        end = LAST_CHUNK if faults.chunked else b""
        connection.sendall(head + written + end + faults.garbage)
        return not faults.unframed

    def _cut_plain(self, connection: GeventSocket, faults: SealedFaults) -> bool:
        if faults.may_cut is not None:
            faults.may_cut.wait()
        if faults.exit_after_bytes:
            self.end()
            return False
        cut_answer(connection, faults)
        return False

    def _is_ended_by(self, run: SealedRun) -> bool:
        if self.ends_on and self.ends_on in run.body:
            return True
        return not self.ends_on_parts.isdisjoint(run.shared_parts)

    def _fall_if_brittle(self) -> bool:
        """End the process if it refused too many requests within a second; tell whether it did."""
        since_ms = now_ms() - MS_PER_S
        refused = sum(at_ms > since_ms for at_ms in self.refused_at_ms)
        if self.brittle_per_s is None or refused <= self.brittle_per_s:
            return False
        self.falls += 1
        self.end()
        return True

    def _start_run(self, request: HttpRequest) -> SealedRun:
        headers = {name.decode(): value.decode() for name, value in request.headers}
        run = SealedRun(
            headers.get("attempt-id", ""),
            headers,
            bytes(request.body),
            request.target.decode(),
            self.version,
        )
        self.runs.append(run)
        return run

    def _stream(
        self, connection: GeventSocket, request: HttpRequest, run: SealedRun, faults: SealedFaults
    ) -> bool:
        length = None if faults.unframed else -1
        head = self._head(200, request, [("Content-Type", "text/event-stream")], length)
        connection.sendall(head)
        is_long = self.long_each and len(self.runs) % self.long_each == 0
        event_ms = self.long_event_ms if is_long else self.work_ms
        first_event = 1 if faults.begins_anew else run.first_event
        for number in range(first_event, self.events + 1):
            event_id = "" if faults.without_ids else f"id: {number}\n"
            event = f"{event_id}data: {run.request_id}-{number}\n\n".encode()
            self.may_send.wait()
            if number == faults.break_within_event:
                connection.sendall(framed(event[:-4], faults))
                cut_answer(connection, faults)
                return False
            try:
                connection.sendall(framed(event, faults))
            except OSError:
                run.abandoned = True
                raise
            if number == faults.stop_after_event:
                run.abandoned = connection.recv(1) == b""
                return False
            if number == faults.break_after_event:
                cut_answer(connection, faults)
                return False
            if number == faults.exit_after_event:
                self.end()
                return False
            gevent.sleep(event_ms / 1000)
        if not faults.unframed:
            connection.sendall(LAST_CHUNK)
        run.finished = True
        return not faults.unframed

    def _head(
        self,
        status: int,
        request: HttpRequest,
        headers: list[tuple[str, str]],
        length: int | None,
        faults: SealedFaults | None = None,
    ) -> bytes:
        """Return a head; a length below zero means chunks, None the end of the connection."""
        lines = [f"HTTP/1.1 {status} Status"]
        request_id = request.header(b"attempt-id")
        if request_id is not None:
            lines.append(f"Attempt-Id: {request_id.decode()}")
        is_own = status in (200, 500) or (faults is not None and status == faults.status)
        if is_own and not (faults and faults.without_seal):
            lines.append(f"Response-Seal: seal-of-{self.server_id}")
        if self.reports_leaving and status != 421:
            lines.append("Server-Leaving: 1")
        if self.rest_s and status == 503:
            lines.append(f"Retry-After: {self.rest_s}")
        if self.brittle_per_s is not None and status != 421:
            lines.append(f"Server-Brittle: {self.brittle_per_s}")
        if self.limit_per_s is not None and status != 421:
            lines.append(f"Server-Limit: {self.limit_per_s}")
        lines += [f"{name}: {value}" for name, value in headers]
        if length is not None:
            lines.append(
                f"Content-Length: {length}" if length >= 0 else "Transfer-Encoding: chunked"
            )
        return "\r\n".join(lines).encode() + b"\r\n\r\n"
