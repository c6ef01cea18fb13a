"""The clients of a crowd, each on a connection of its own."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import gevent
from gevent import socket
from gevent.socket import socket as GeventSocket

from benchmarks.crowds._behaviours import Behaviour
from sparline._clock import now_ms
from sparline.http import AnswerParser, MalformedMessage

READ_BYTES = 65_536
# Receive buffer of a client that reads nothing: what it doesn't take stays with the instance.
UNREAD_BUFFER_BYTES = 4_096
# A crowd is in place once nothing has moved for this long (ms); it is looked at this often (s).
QUIET_MS = 2_000.0
POLL_S = 0.05
# Far bound of each wait (ms).
MAX_WAIT_MS = 60_000.0


@dataclass(slots=True)
class CrowdClient:
    """Send one request and hold the connection open."""

    address: tuple[str, int]
    behaviour: Behaviour
    request_id: str
    sent_bytes: int = 0  # bytes of the body that the connection took
    status: int = 0  # of the answer, 0 for none so far
    has_ended: bool = False  # whether a whole answer came, or the connection ended
    _socket: GeventSocket | None = None
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def start(self) -> None:
        """Begin to send, and to read where the client reads."""
        self._tasks.append(gevent.spawn(self._run))

    def _run(self) -> None:
        try:
            self._socket = socket.socket()
            if not self.behaviour.reads:
                self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
            self._socket.connect(self.address)
            if self.behaviour.reads:
                self._tasks.append(gevent.spawn(self._read, is_head_enough=False))
            self._socket.sendall(self.behaviour.head(self.request_id))
            for piece in self.behaviour.pieces():
                self._socket.sendall(piece)
                self.sent_bytes += len(piece)
                # A connection that always takes bytes must not keep all others waiting.
                gevent.sleep(0)
        except OSError:
            # The instance has closed the connection, which it may. An answer may still be read.
            self.has_ended |= len(self._tasks) == 1

    def read_head(self) -> None:
        """Begin to read after all, up to the end of the answer's headers."""
        self._tasks.append(gevent.spawn(self._read, is_head_enough=True))

    def _read(self, is_head_enough: bool) -> None:
        parser = AnswerParser()
        try:
            while not parser.answers or not parser.answers[0].complete:
                if is_head_enough and self.status:
                    break
                data = self._socket.recv(READ_BYTES)
                if not data:
                    break
                parser.feed(data)
                if parser.answers and parser.answers[0].head_done:
                    self.status = parser.answers[0].status
        except (OSError, MalformedMessage):
            # Whatever came before counts.
            pass
        self.has_ended = True

    def close(self) -> None:
        """Leave."""
        gevent.killall(self._tasks)
        if self._socket is not None:
            self._socket.close()


class Crowd:
    """Start clients at once and hold their connections."""

    def __init__(self, address: tuple[str, int], behaviours: Sequence[Behaviour]) -> None:
        """Create a client for each behaviour, all with the same address."""
        self.clients = [
            CrowdClient(address, behaviour, f"crowd-{number}")
            for number, behaviour in enumerate(behaviours)
        ]

    def __enter__(self) -> "Crowd":
        """Start all clients."""
        for client in self.clients:
            client.start()
        return self

    def __exit__(self, *_exc: object) -> None:
        """Close all connections."""
        for client in self.clients:
            client.close()

    def until_quiet(self, others: Callable[[], object]) -> None:
        """Wait until neither what the clients sent nor the state of others has changed for a while."""
        state: object = None
        began_ms = changed_ms = now_ms()
        while now_ms() - changed_ms < QUIET_MS and now_ms() - began_ms < MAX_WAIT_MS:
            gevent.sleep(POLL_S)
            sent = [(one.sent_bytes, one.status, one.has_ended) for one in self.clients]
            seen = (sent, others())
            if seen != state:
                state, changed_ms = seen, now_ms()

    def until_whole_have_ended(self) -> None:
        """Wait until whoever sent a whole request has an answer or was closed.

        Clients that have read nothing read the headers now.
        """
        began_ms = now_ms()
        waiting = [one for one in self.clients if one.behaviour.is_whole]
        for client in waiting:
            if not client.behaviour.reads:
                client.read_head()
        while not all(one.has_ended for one in waiting) and now_ms() - began_ms < MAX_WAIT_MS:
            gevent.sleep(POLL_S)
