"""Control link to one peer, with one reader and one writer task."""

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

# Maximum number of messages queued for a slow peer before its link is dropped.
MAX_QUEUED_MESSAGES = 500


@dataclass(frozen=True, slots=True)
class EncodedMessage:
    """Message encoded once so that it can be sent to many peers."""

    channel: str  # name of the message type
    data: bytes  # encoded message

    @classmethod
    def of(cls, message: Message) -> "EncodedMessage":
        """Encode a message."""
        return cls(type(message).__name__, encode(message))


class LinkEnd(Enum):
    """Reason why a link ended."""

    CLOSED = "closed"  # closed deliberately by either side; the peer is alive
    LOST = "lost"  # broken or timed out; the peer may be gone


class PeerLink:
    """Exchange control messages with one incarnation of a peer."""

    def __init__(
        self, connection: Connection, peer: Hello, dialled: bool, metrics: Metrics
    ) -> None:
        """Take ownership of a connection on which hellos have been exchanged."""
        self.peer = peer
        self.dialled = dialled  # whether this instance opened the link
        self.received_at_ms = now_ms()  # when the last valid frame arrived
        self.heartbeat: Heartbeat | None = None  # latest heartbeat received
        self.closed = False
        self._end = LinkEnd.CLOSED
        self._connection = connection
        self._metrics = metrics
        self._queue: Queue[EncodedMessage] = Queue(MAX_QUEUED_MESSAGES)

    def send(self, message: Message | EncodedMessage) -> None:
        """Queue a message; drop the link if the queue is full."""
        encoded = message if isinstance(message, EncodedMessage) else EncodedMessage.of(message)
        try:
            self._queue.put_nowait(encoded)
        except Full:
            self._metrics.peer_events.labels("queue_full").inc()
            self._drop()

    def run(self, receive: Callable[["PeerLink", Message], None]) -> LinkEnd:
        """Pass received messages to a callback until the link ends."""
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
        """Drop the link if nothing was received within the timeout."""
        if now_ms() - self.received_at_ms > timeout_ms:
            self._metrics.peer_events.labels("silent").inc()
            self._drop()

    def _read_frame(self, receive: Callable[["PeerLink", Message], None]) -> None:
        frame = decode_frame(self._connection.recv())
        if frame.is_err():
            self._reject_frame()
            return
        self.received_at_ms = now_ms()
        for data in frame.unwrap():
            message = decode(data)
            if message.is_err():
                self._reject_frame()
                return
            self._count(type(message.unwrap()).__name__, "in", len(data))
            if isinstance(message.unwrap(), Heartbeat):
                self.heartbeat = message.unwrap()
            receive(self, message.unwrap())

    def _reject_frame(self) -> None:
        self._metrics.peer_events.labels("bad_message").inc()
        self._drop()

    def _drop(self) -> None:
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
                self._drop()
                return
            for message in messages:
                self._count(message.channel, "out", len(message.data))

    def _count(self, channel: str, direction: str, size: int) -> None:
        self._metrics.control_messages.labels(channel, direction).inc()
        self._metrics.control_bytes.labels(channel, direction).inc(size)

    def close(self) -> None:
        """Close the link; repeated calls have no effect."""
        if not self.closed:
            self.closed = True
            gevent.spawn(self._connection.close)
