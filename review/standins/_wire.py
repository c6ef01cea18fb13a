"""HTTP/1.1 messages over gevent sockets, as far as the stand-ins need them."""

from dataclasses import dataclass, field

from gevent.socket import socket as GeventSocket

READ_BYTES = 65_536


class Ended(Exception):
    """Say that a connection ended before a message was whole."""


@dataclass
class Message:
    """Hold one request or answer."""

    first: str  # request line or status line
    headers: list[tuple[str, str]] = field(default_factory=list)  # names in lower case
    body: bytes = b""

    def header(self, name: str) -> str | None:
        """Return the first value of a header, None without one."""
        return next((value for key, value in self.headers if key == name), None)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first.split(" ")[1])


class Stream:
    """Read messages from a connection."""

    def __init__(self, connection: GeventSocket) -> None:
        """Start with nothing read."""
        self.connection = connection
        self._held = b""

    def _more(self) -> None:
        data = self.connection.recv(READ_BYTES)
        if not data:
            raise Ended("the connection ended")
        self._held += data

    def line(self) -> str:
        """Read one line."""
        while b"\r\n" not in self._held:
            self._more()
        line, self._held = self._held.split(b"\r\n", 1)
        return line.decode("latin-1")

    def take(self, count: int) -> bytes:
        """Read so many bytes."""
        while len(self._held) < count:
            self._more()
        data, self._held = self._held[:count], self._held[count:]
        return data

    def head(self) -> Message:
        """Read a head."""
        message = Message(self.line())
        while line := self.line():
            name, _, value = line.partition(":")
            message.headers.append((name.strip().lower(), value.strip()))
        return message

    def chunk(self) -> bytes:
        """Read one chunk, empty for the last."""
        size = int(self.line().split(";")[0], 16)
        data = self.take(size)
        self.line()
        return data

    def body(self, message: Message, ends_with_connection: bool) -> bytes:
        """Read the body of a message."""
        if "chunked" in (message.header("transfer-encoding") or "").lower():
            parts = []
            while part := self.chunk():
                parts.append(part)
            return b"".join(parts)
        length = message.header("content-length")
        if length is not None:
            return self.take(int(length))
        if not ends_with_connection:
            return b""
        try:
            while True:
                self._more()
        except Ended:
            data, self._held = self._held, b""
            return data
