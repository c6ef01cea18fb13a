"""Stand-in of a client: requests on a kept connection, each with an id of its own."""

import secrets
from dataclasses import dataclass

import gevent
from gevent.socket import create_connection

from review.standins._wire import Ended, Message, Stream


class ClientError(Exception):
    """Say that a request got no whole answer."""


@dataclass
class Answer:
    """Hold what a client got."""

    request_id: str
    status: int  # 0 for no answer
    message: Message | None = None
    text: str = ""  # why there is no answer

    @property
    def is_served(self) -> bool:
        """Tell whether it is a success with the replica's signature."""
        return self.message is not None and 200 <= self.status < 300


class Client:
    """Send one request after the other."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Set the address; connections are opened as needed."""
        self.address = address
        self._stream: Stream | None = None

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream.connection.close()
            self._stream = None

    def send(
        self,
        host: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        method: str = "POST",
    ) -> Answer:
        """Send a request and wait for its answer until the deadline."""
        request_id = secrets.token_hex(8)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {host}",
            f"Attempt-Id: {request_id}",
            f"Deadline-Milliseconds: {deadline_ms}",
            f"Content-Length: {len(body)}",
            *(f"{name}: {value}" for name, value in (headers or {}).items()),
        ]
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        try:
            with gevent.Timeout(deadline_ms / 1000):
                return self._exchange(request_id, data)
        except gevent.Timeout:
            self.close()
            return Answer(request_id, 0, text="no answer by the deadline")
        except (Ended, OSError) as error:
            self.close()
            return Answer(request_id, 0, text=f"connection ended: {error}")

    def _exchange(self, request_id: str, data: bytes) -> Answer:
        if self._stream is None:
            self._stream = Stream(create_connection(self.address, timeout=1.0))
            self._stream.connection.settimeout(None)
        self._stream.connection.sendall(data)
        message = self._stream.head()
        has_end = message.header("content-length") or message.header("transfer-encoding")
        message.body = self._stream.body(message, ends_with_connection=True)
        if not has_end or (message.header("connection") or "").lower() == "close":
            self.close()
        return Answer(request_id, message.status, message)
