"""One control link to one peer: a task reads, a task writes."""

from collections.abc import Callable
from enum import Enum

import gevent
from gevent.queue import Empty, Full, Queue
from result import Err, Ok
from websockets.exceptions import ConnectionClosed, ConnectionClosedOK
from websockets.sync.connection import Connection

from sparline._clock import now_ms
from sparline._metrics import Metrics
from sparline.peers._codec import Message, decode, encode
from sparline.schema._messages import Heartbeat, Hello

# Messages that may wait for a slow peer before its link is dropped.
MAX_QUEUED = 500
READ_SLICE_S = 0.5


class LinkEnd(Enum):
    """Say how a link ended."""

    CLOSED = "closed"  # one side closed it on purpose; the peer lives
    LOST = "lost"  # broken or silent; the peer may be gone


class PeerLink:
    """Carry control messages to and from one incarnation of one peer."""

    def __init__(
        self, connection: Connection, peer: Hello, dialled: bool, metrics: Metrics
    ) -> None:
        """Take over a connection on which both sides have said hello."""
        self.peer = peer
        self.dialled = dialled  # whether this side opened the link
        self.heard_at_ms = now_ms()  # last message from the peer
        self.heartbeat: Heartbeat | None = None  # newest heartbeat of the peer
        self.closed = False
        self._end = LinkEnd.CLOSED
        self._connection = connection
        self._metrics = metrics
        self._queue: Queue[Message] = Queue(MAX_QUEUED)

    def send(self, message: Message) -> None:
        """Queue a message; a peer that takes nothing loses its link."""
        try:
            self._queue.put_nowait(message)
        except Full:
            self._metrics.peer_events.labels("queue_full").inc()
            self._end = LinkEnd.LOST
            self.close()

    def run(self, receive: Callable[["PeerLink", Message], None], timeout_ms: float) -> LinkEnd:
        """Read until the link ends; silence longer than the timeout ends it too."""
        writer = gevent.spawn(self._write)
        try:
            while not self.closed:
                self._read_one(receive)
                if now_ms() - self.heard_at_ms > timeout_ms:
                    self._metrics.peer_events.labels("silent").inc()
                    return LinkEnd.LOST
            return self._end
        except ConnectionClosedOK:
            return LinkEnd.CLOSED
        except (ConnectionClosed, OSError):
            return LinkEnd.LOST
        finally:
            self.close()
            writer.kill()

    def _read_one(self, receive: Callable[["PeerLink", Message], None]) -> None:
        try:
            data = self._connection.recv(timeout=READ_SLICE_S)
        except TimeoutError:
            return
        match decode(data):
            case Err(_):
                self._metrics.peer_events.labels("bad_message").inc()
                self.close()
            case Ok(message):
                self._count(message, "in", len(data))
                self.heard_at_ms = now_ms()
                if isinstance(message, Heartbeat):
                    self.heartbeat = message
                receive(self, message)

    def _write(self) -> None:
        while not self.closed:
            try:
                message = self._queue.get(timeout=READ_SLICE_S)
            except Empty:
                continue
            data = encode(message)
            try:
                self._connection.send(data)
            except (ConnectionClosed, OSError):
                self._end = LinkEnd.LOST
                self.close()
                return
            self._count(message, "out", len(data))

    def _count(self, message: Message, direction: str, size: int) -> None:
        channel = type(message).__name__
        self._metrics.control_messages.labels(channel, direction).inc()
        self._metrics.control_bytes.labels(channel, direction).inc(size)

    def close(self) -> None:
        """Close the link."""
        if not self.closed:
            self.closed = True
            gevent.spawn(self._connection.close)
