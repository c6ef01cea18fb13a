"""A client by PROTOCOL.md: one connection, answers read byte by byte, framing checked."""

import json
import socket
import time
from collections.abc import Callable
from dataclasses import dataclass, field

HOST = "review.example"


@dataclass
class Answer:
    """Hold what a client got."""

    status: int = 0  # 0 where no head arrived
    headers: dict[str, str] = field(default_factory=dict)  # names in lower case
    body: bytes = b""
    whole: bool = False  # whether the framed end arrived, or a clean end without framing
    malformed: str = ""  # why the bytes are no HTTP/1.1 answer, empty if they are one
    sent_at: float = 0.0
    ended_at: float = 0.0


class Connection:
    """Carry one request after the other."""

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect within a second."""
        self._socket = socket.create_connection(address, 1.0)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._data = b""

    def close(self) -> None:
        """Leave."""
        self._socket.close()

    def ask(
        self,
        method: str,
        target: str,
        attempt: str,
        deadline_ms: int,
        body: bytes = b"",
        on_bytes: Callable[[int], None] = lambda _count: None,
    ) -> Answer:
        """Send a request and read its answer; `on_bytes` gets the body bytes so far."""
        lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}"]
        lines.append(f"Deadline-Milliseconds: {deadline_ms}")
        if body or method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        answer = Answer(sent_at=time.monotonic())
        until = answer.sent_at + deadline_ms / 1000 + 1.0
        try:
            self._socket.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            self._read(answer, until, on_bytes)
        except (OSError, EOFError):
            pass
        answer.ended_at = time.monotonic()
        return answer

    def _more(self, until: float) -> None:
        self._socket.settimeout(max(until - time.monotonic(), 0.001))
        data = self._socket.recv(65_536)
        if not data:
            raise EOFError
        self._data += data

    def _line(self, until: float) -> bytes:
        while b"\r\n" not in self._data:
            self._more(until)
        line, _, self._data = self._data.partition(b"\r\n")
        return line

    def _take(self, count: int, until: float) -> bytes:
        while len(self._data) < count:
            self._more(until)
        taken, self._data = self._data[:count], self._data[count:]
        return taken

    def _read(self, answer: Answer, until: float, on_bytes: Callable[[int], None]) -> None:
        first = self._line(until)
        parts = first.split(b" ", 2)
        if len(parts) < 2 or parts[0] != b"HTTP/1.1" or not parts[1].isdigit():
            answer.malformed = f"status line {first[:60]!r}"
            return
        answer.status = int(parts[1])
        while line := self._line(until):
            name, _, value = line.partition(b":")
            answer.headers[name.decode().lower()] = value.strip().decode()
        body = bytearray()
        try:
            if "chunked" in answer.headers.get("transfer-encoding", ""):
                while True:
                    size = self._line(until).partition(b";")[0]
                    try:
                        count = int(size, 16)
                    except ValueError:
                        answer.malformed = f"chunk size {size[:60]!r}"
                        return
                    if not count:
                        while self._line(until):
                            pass
                        break
                    body += self._take(count, until)
                    on_bytes(len(body))
                    if self._line(until):
                        answer.malformed = "no line end after a chunk"
                        return
            elif "content-length" in answer.headers:
                length = int(answer.headers["content-length"])
                while len(body) < length:
                    if not self._data:
                        self._more(until)
                    body += self._take(min(len(self._data), length - len(body)), until)
                    on_bytes(len(body))
            else:
                try:
                    while True:
                        if not self._data:
                            self._more(until)
                        body += self._take(len(self._data), until)
                        on_bytes(len(body))
                except EOFError:
                    pass
            answer.whole = True
        finally:
            answer.body = bytes(body)


def resolve(address: tuple[str, int], region: str, zone: str) -> tuple[list[str], float]:
    """Ask a directory; return the addresses and how long they hold (s)."""
    connection = socket.create_connection(address, 1.0)
    try:
        connection.settimeout(1.0)
        target = f"/v1/resolve?name={HOST}&region={region}&zone={zone}"
        head = f"GET {target} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        connection.sendall(head.encode())
        data = b""
        while more := connection.recv(65_536):
            data += more
    finally:
        connection.close()
    head, _, body = data.partition(b"\r\n\r\n")
    if b" 200 " not in head.split(b"\r\n")[0]:
        return [], 0.0
    found = json.loads(body)
    return found["addresses"], float(found["ttl_s"])
