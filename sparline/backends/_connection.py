"""One HTTP exchange on one fresh connection; nothing is ever sent twice.

The client of geventhttpclient sends idempotent requests again by itself when a
connection breaks, so the connection is opened here and read by the parser of `sparline.http`.
"""

import socket
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._read_turn import ReadTurn
from sparline.http import MIN_FINAL_STATUS, AnswerParser, HttpAnswer, MalformedMessage
from sparline.quarantine import ProbeResult

READ_BYTES = 65_536
READ_SLICE_S = 0.1
# Longest answer to a small call (bytes).
MAX_CALL_ANSWER_BYTES = 33_554_432


class ExchangeFault(Enum):
    """Name how an exchange ended before its answer was whole."""

    NOT_CONNECTED = "not_connected"
    BROKEN = "broken"
    TIMED_OUT = "timed_out"
    ABANDONED = "abandoned"


@dataclass(frozen=True, slots=True)
class BackendAddress:
    """Name where a backend server listens."""

    ip: str  # IPv4 number
    port: int  # TCP port


class Exchange:
    """Send one request and read its answer; the first fault ends it."""

    def __init__(self, deadline_at_ms: float, still_wanted: Callable[[], bool]) -> None:
        """Bound the exchange by a deadline and by whoever waits for it."""
        self.sent = False  # whether a byte may have left
        self._deadline_at_ms = deadline_at_ms
        self._still_wanted = still_wanted
        self._socket: socket.socket | None = None
        self._parser = AnswerParser()
        self._has_body = True  # whether an answer to the request may have one
        self._turn = ReadTurn()

    def connect(self, address: BackendAddress, timeout_ms: float) -> Result[None, ExchangeFault]:
        """Open the connection; a fault here proves that nothing was sent."""
        left_ms = min(timeout_ms, self._deadline_at_ms - now_ms())
        if left_ms <= 0:
            return Err(ExchangeFault.TIMED_OUT)
        try:
            self._socket = socket.create_connection((address.ip, address.port), left_ms / 1000)
        except OSError:
            return Err(ExchangeFault.NOT_CONNECTED)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return Ok(None)

    def send(
        self, method: str, path: str, headers: dict[str, str], body: Iterable[bytes], length: int
    ) -> Result[None, ExchangeFault]:
        """Send the request once; a length below zero sends it in chunks."""
        assert self._socket is not None and not self.sent, "an exchange sends once"
        self._has_body = method != "HEAD"
        framing = (
            {"Content-Length": str(length)} if length >= 0 else {"Transfer-Encoding": "chunked"}
        )
        lines = [f"{method} {path} HTTP/1.1", "Host: backend-server", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in (headers | framing).items()]
        head = "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"
        self.sent = True
        try:
            self._send_parts(head, body, chunked=length < 0)
        except TimeoutError:
            return Err(ExchangeFault.TIMED_OUT)
        except OSError:
            return Err(ExchangeFault.BROKEN)
        return Ok(None)

    def _send_parts(self, head: bytes, body: Iterable[bytes], chunked: bool) -> None:
        pending = head
        for part in body:
            piece = b"%x\r\n%b\r\n" % (len(part), part) if chunked else part
            self._send_all(pending + piece)
            pending = b""
        if chunked:
            pending += b"0\r\n\r\n"
        if pending:
            self._send_all(pending)

    def _send_all(self, data: bytes) -> None:
        assert self._socket is not None
        self._socket.settimeout(max(self._deadline_at_ms - now_ms(), 1) / 1000)
        self._socket.sendall(data)

    def read_head(self) -> Result[HttpAnswer, ExchangeFault]:
        """Read up to the end of the answer's head."""
        while True:
            answer = self._final_answer()
            if answer is not None:
                return Ok(answer)
            fault = self._read_some()
            if fault:
                return Err(fault)

    def _final_answer(self) -> HttpAnswer | None:
        """Return the answer, None before the end of its head; what follows it belongs to nobody."""
        heads = (one for one in self._parser.answers if one.head_done)
        return next((one for one in heads if one.status >= MIN_FINAL_STATUS), None)

    def read_body(self) -> Iterator[Result[bytes, ExchangeFault]]:
        """Yield the parts of the body; an answer without a framed end ends in a fault."""
        answer = self._final_answer()
        assert answer is not None, "a body is read behind its head"
        while True:
            if piece := answer.take():
                yield Ok(piece)
            if answer.complete or not self._has_body:
                return
            fault = self._read_some()
            if fault:
                yield Err(fault)
                return

    def _read_some(self) -> ExchangeFault | None:
        assert self._socket is not None
        self._socket.settimeout(READ_SLICE_S)
        while True:
            if now_ms() >= self._deadline_at_ms:
                return ExchangeFault.TIMED_OUT
            if not self._still_wanted():
                return ExchangeFault.ABANDONED
            self._turn.pause_if_due()
            try:
                data = self._socket.recv(READ_BYTES)
            except TimeoutError:
                continue
            except OSError:
                return ExchangeFault.BROKEN
            if not data:
                return ExchangeFault.BROKEN
            self._turn.note_read(len(data))
            return self._parse(data)

    def _parse(self, data: bytes) -> ExchangeFault | None:
        try:
            self._parser.feed(data)
        except MalformedMessage:
            answer = self._final_answer()
            is_whole = answer is not None and answer.complete
            return None if is_whole else ExchangeFault.BROKEN
        return None

    def close(self) -> None:
        """Close the connection."""
        if self._socket is not None:
            self._socket.close()


def probe(address: tuple[str, int], timeout_s: float) -> ProbeResult:
    """Tell whether something listens at an address."""
    try:
        socket.create_connection(address, timeout_s).close()
    except ConnectionRefusedError:
        return ProbeResult.REFUSED
    except ConnectionResetError:
        return ProbeResult.RESET
    except OSError:
        # No word in time, or no way there: that says nothing of whoever listens.
        return ProbeResult.UNKNOWN
    return ProbeResult.OPEN


def call_json(
    address: BackendAddress,
    method: str,
    path: str,
    body: bytes,
    timeout_ms: float,
    headers: dict[str, str] | None = None,
) -> Result[tuple[int, bytes], ExchangeFault]:
    """Make one small call and return its status and whole body."""
    exchange = Exchange(now_ms() + timeout_ms, lambda: True)
    try:
        connected = exchange.connect(address, timeout_ms)
        sent = connected.and_then(
            lambda _: exchange.send(method, path, headers or {}, [body] if body else [], len(body))
        )
        head = sent.and_then(lambda _: exchange.read_head())
        if head.is_err():
            return Err(head.unwrap_err())
        answer = bytearray()
        for part in exchange.read_body():
            if part.is_err():
                return Err(part.unwrap_err())
            answer += part.unwrap()
            if len(answer) > MAX_CALL_ANSWER_BYTES:
                return Err(ExchangeFault.BROKEN)
        return Ok((head.unwrap().status, bytes(answer)))
    finally:
        exchange.close()
