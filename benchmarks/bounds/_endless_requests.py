"""Connections to one instance, on all of its ports, whose requests never come to an end."""

from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.socket import socket as GeventSocket

from benchmarks.bounds._endless_answers import MAX_PROCESS_BYTES, OK_STATUS, peak_bytes
from benchmarks.bounds._rules import Finding
from benchmarks.bounds._run import BoundsRun
from benchmarks.gateway_fleet import PORTS
from standins import EndlessBytes, endless_requests

# Connections to each port of the instance (count): a hundred in all.
CONNECTIONS = {"callers": 50, "relay": 20, "readiness": 10, "directory": 10, "metrics": 10}
# Time for which requests go on at one place (s).
PLACE_S = 1.5
# A connection that the instance has closed is opened again after this long (s).
REOPEN_S = 0.05
# Questions to the metrics port for each place (count), and how long an answer may take (s).
QUESTIONS = 3
QUESTION_TIMEOUT_S = 8.0
READ_BYTES = 65_536
QUESTION = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


@dataclass(slots=True)
class EndlessCallers:
    """Keep a number of connections to each port of an instance, and send on all of them."""

    addresses: dict[str, tuple[str, int]]  # by port
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def start(self, message: EndlessBytes) -> None:
        """Begin to send."""
        self._tasks = [
            gevent.spawn(self._send_on, self.addresses[port], message)
            for port, count in CONNECTIONS.items()
            for _ in range(count)
        ]

    def _send_on(self, address: tuple[str, int], message: EndlessBytes) -> None:
        while True:
            try:
                with socket.create_connection(address) as connection:
                    dropping = gevent.spawn(_drop_answers, connection)
                    try:
                        message.write_to(connection)
                    finally:
                        dropping.kill()
            except OSError:
                # The instance has closed the connection, as it should.
                pass
            gevent.sleep(REOPEN_S)

    def stop(self) -> None:
        """Close all connections."""
        gevent.killall(self._tasks)


def _drop_answers(connection: GeventSocket) -> None:
    try:
        while connection.recv(READ_BYTES):
            pass
    except OSError:
        return


def _is_answered(address: tuple[str, int]) -> bool:
    try:
        with (
            gevent.Timeout(QUESTION_TIMEOUT_S),
            socket.create_connection(address) as connection,
        ):
            connection.sendall(QUESTION)
            return connection.recv(READ_BYTES).startswith(b"HTTP/1.1 200 ")
    except (OSError, gevent.Timeout):
        return False


def endless_requests_come(run: BoundsRun) -> list[Finding]:
    """Send usual requests beside a hundred connections to one instance that never end."""
    instance = next(iter(run.fleet.gateways.values()))
    ports = run.fleet.ports
    addresses = {one: (instance.ip, ports[one]) for one in PORTS}
    callers = EndlessCallers(addresses)
    unanswered = 0
    run.start()
    for message in endless_requests().values():
        callers.start(message)
        for _ in range(QUESTIONS):
            unanswered += not _is_answered(addresses["metrics"])
            gevent.sleep(PLACE_S / QUESTIONS)
        callers.stop()
    run.stop()
    unserved = [one for one, status in run.status_of.items() if status != OK_STATUS]
    most_bytes = max(peak_bytes(one.process.pid) for one in run.fleet.gateways.values())
    return [
        Finding("sound requests that were not served", len(unserved), 0),
        Finding("questions to the metrics port without an answer", unanswered, 0),
        Finding("bytes of memory of an instance at its peak", most_bytes, MAX_PROCESS_BYTES),
    ]
