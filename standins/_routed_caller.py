"""A caller in the users' dialect, for tests and soaks."""

import socket
from collections.abc import Sequence
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.http import AnswerParser, HttpAnswer

HOST = "host.example"
# Headers of a request to an engine.
PROMPT = {"Model": "m", "Token-Counts": "400,50", "Prompt-Prefix": "aa:100,bb:50,cc:250"}
SEAL = "response-seal"
EVENT_END = b"\n\n"


def prompt_headers(parts: Sequence[str]) -> dict[str, str]:
    """Return the headers of a request to an engine whose prompt has some parts, the last its own."""
    return PROMPT | {"Prompt-Prefix": ",".join(f"{one}:60" for one in parts)}


def resumption(began_by: str, last_event: int) -> dict[str, str]:
    """Return the headers of a request that takes up a stream, by the request that began it."""
    return {"Last-Event-Id": str(last_event), "Resumes": began_by}


def request_lines(method: str, target: str, request_id: str) -> list[str]:
    """Return the request line and the headers that every request has."""
    return [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {request_id}"]


@dataclass(frozen=True, slots=True)
class Got:
    """Hold what a caller got."""

    status: int  # 0 where the connection ended without a head
    headers: dict[str, str]  # names in lower case
    body: bytes  # as far as it arrived
    whole: bool  # whether the framed end arrived, or without framing a clean end
    framed: bool = True  # whether it has a length or chunks


class Caller:
    """Send requests on one connection."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.socket = socket.create_connection(address, 20)
        self.first_event_at_ms = 0.0  # when the first event of the last answer came, 0 if none did

    def send(self, target: str, request_id: str, body: bytes = b"", **headers: str) -> None:
        """Send one request with a length."""
        method = "POST" if body else "GET"
        fields = {"Host": HOST, "Attempt-Id": request_id, "Content-Length": str(len(body))}
        fields |= {name.replace("_", "-"): value for name, value in headers.items()}
        self.send_raw(method, target, fields, body)

    def send_raw(self, method: str, target: str, fields: dict[str, str], body: bytes) -> None:
        """Send one request as it is written."""
        lines = [f"{method} {target} HTTP/1.1", *(f"{name}: {of}" for name, of in fields.items())]
        self.socket.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    def read(self) -> Got:
        """Read one answer to its end."""
        return self.read_events(0)

    def read_events(self, count: int) -> Got:
        """Read one answer to its end, or until `count` events of it are in where that is not 0."""
        parser = AnswerParser()
        self.first_event_at_ms = 0.0
        while not _is_read(parser, count):
            was_reset = False
            try:
                data = self.socket.recv(65_536)
            except OSError:
                data = b""
                was_reset = True
            if not data:
                answer = parser.answers[0] if parser.answers else None
                is_unframed = answer is not None and answer.ends_with_connection
                return _got(answer, is_unframed and not was_reset)
            parser.feed(data)
            if not self.first_event_at_ms and EVENT_END in data and _has_events(parser, 1):
                self.first_event_at_ms = now_ms()
        return _got(parser.answers[0], parser.answers[0].complete)

    def is_open(self) -> bool:
        """Tell whether the other side has not closed the connection that rests."""
        try:
            self.socket._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    def close(self) -> None:
        """Leave."""
        self.socket.close()


def _is_read(parser: AnswerParser, events: int) -> bool:
    if not parser.answers:
        return False
    return parser.answers[0].complete or (events > 0 and _has_events(parser, events))


def _has_events(parser: AnswerParser, count: int) -> bool:
    if not parser.answers:
        return False
    return count <= b"".join(parser.answers[0].pieces).count(EVENT_END)


def _got(answer: HttpAnswer | None, whole: bool) -> Got:
    if answer is None or not answer.head_done:
        return Got(0, {}, b"", False)
    headers = {name.decode(): value.decode() for name, value in answer.headers}
    return Got(answer.status, headers, answer.take(), whole, not answer.ends_with_connection)
