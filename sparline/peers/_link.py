"""One control link to one peer: a task reads, a task writes."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import gevent
from gevent.queue import Full, Queue
from websockets.exceptions import ConnectionClosed, ConnectionClosedOK
from websockets.sync.connection import Connection

from sparline._clock import now_ms
from sparline._metrics import Metrics
from sparline.peers._codec import Message, decode, decode_frame, encode, encode_frame
from sparline.schema._messages import Heartbeat, Hello

# Messages that may wait for a slow peer before its link is dropped.
MAX_QUEUED = 500


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """Hold a message that is encoded once and sent to many peers."""

    channel: str  # name of the message's type
    data: bytes  # as sent

    @classmethod
    def of(cls, message: Message) -> "EncodedMessage":
        """Encode a message."""
        return cls(type(message).__name__, encode(message))


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
        self._queue: Queue[EncodedMessage] = Queue(MAX_QUEUED)

    def send(self, message: Message | EncodedMessage) -> None:
        """Queue a message; a peer that takes nothing loses its link."""
        known = message if isinstance(message, EncodedMessage) else EncodedMessage.of(message)
        try:
            self._queue.put_nowait(known)
        except Full:
            self._metrics.peer_events.labels("queue_full").inc()
            self._lose()

    def run(self, receive: Callable[["PeerLink", Message], None]) -> LinkEnd:
        """Read until the link ends."""
        writer = gevent.spawn(self._write)
        try:
            while not self.closed:
                self._read_frame(receive)
            return self._end
        except ConnectionClosedOK:
            return self._end if self.closed else LinkEnd.CLOSED
        except (ConnectionClosed, OSError):
            return self._end if self.closed else LinkEnd.LOST
        finally:
            self.close()
            writer.kill()

    def drop_if_silent(self, timeout_ms: float) -> None:
        """Give up a peer that has said nothing for too long."""
        if now_ms() - self.heard_at_ms > timeout_ms:
            self._metrics.peer_events.labels("silent").inc()
            self._lose()

    def _read_frame(self, receive: Callable[["PeerLink", Message], None]) -> None:
        frame = decode_frame(self._connection.recv())
        if frame.is_err():
            self._refuse_frame()
            return
        self.heard_at_ms = now_ms()
        for data in frame.unwrap():
            message = decode(data)
            if message.is_err():
                self._refuse_frame()
                return
            self._count(type(message.unwrap()).__name__, "in", len(data))
            if isinstance(message.unwrap(), Heartbeat):
                self.heartbeat = message.unwrap()
            receive(self, message.unwrap())

    def _refuse_frame(self) -> None:
        self._metrics.peer_events.labels("bad_message").inc()
        self._lose()

    def _lose(self) -> None:
        self._end = LinkEnd.LOST
        self.close()

    def _write(self) -> None:
        while not self.closed:
            messages = [self._queue.get()]
            while not self._queue.empty():
                messages.append(self._queue.get())
            try:
                self._connection.send(encode_frame([message.data for message in messages]))
            except (ConnectionClosed, OSError):
                self._lose()
                return
            for message in messages:
                self._count(message.channel, "out", len(message.data))

    def _count(self, channel: str, direction: str, size: int) -> None:
        self._metrics.control_messages.labels(channel, direction).inc()
        self._metrics.control_bytes.labels(channel, direction).inc(size)

    def close(self) -> None:
        """Close the link."""
        if not self.closed:
            self.closed = True
            gevent.spawn(self._connection.close)
