"""The WSGI server: access to the connection, answers in JSON, lost callers noticed."""

import json
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any, BinaryIO, NoReturn
from urllib.parse import parse_qsl

import gevent
from gevent.pool import Pool
from gevent.pywsgi import Input, WSGIHandler, WSGIServer

from sparline._logging import log
from sparline._read_turn import ReadTurn

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

# Connections that one listener serves at once; more wait to be accepted.
MAX_CONNECTIONS = 10_000

# Bytes of the request line and headers.
MAX_HEAD_BYTES = 65_536
HEAD_TOO_LONG_ANSWER = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)
# Bytes of a body that are read and dropped after its answer, so that another request may follow.
MAX_DROPPED_BYTES = 33_554_432
# Bytes of a chunked body that may follow each other without a part of it: trailers above all.
MAX_OVERHEAD_BYTES = 65_536

# Where the handler leaves the connection for applications that must watch it.
SOCKET_KEY = "sparline.socket"


class HeadTooLong(Exception):
    """Say that a request line and headers are longer than what is kept."""


class EndlessRequest(OSError):
    """Say that the bytes of a request go on without adding anything to it."""


class RequestReader:
    """Read a connection in turns with others, and give up requests that never end."""

    def __init__(self, file: BinaryIO) -> None:
        """Read from the file of a connection."""
        self._file = file
        self._turn = ReadTurn()
        self._head_bytes = 0
        self._body: Input | None = None  # None while a head is read
        self._read_of_body = (0, 0)  # length of the newest chunk, and what was read of it
        self._overhead_bytes = 0  # since the body last grew
        self._is_dropping = False
        self._dropped_bytes = 0
        self.has_given_up = False  # whether what follows on the connection is no request

    @property
    def closed(self) -> bool:
        """Tell whether the file is closed."""
        return self._file.closed

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def begin(self) -> None:
        """Begin with the head of a request."""
        self._head_bytes = 0
        self._body = None
        self._is_dropping = False

    def begin_body(self, body: Input) -> None:
        """Go on with the body of the request."""
        self._body = body
        self._overhead_bytes = self._dropped_bytes = 0

    def begin_dropping(self) -> None:
        """Go on with what is left of the body, which nobody wants."""
        self._is_dropping = True

    def read(self, size: int = -1) -> bytes:
        """Read as the file does; `EndlessRequest` where the body doesn't end."""
        return self._note(self._file.read(size))

    def readline(self, size: int = -1) -> bytes:
        """Read a line as the file does; `EndlessRequest` where the body doesn't end."""
        return self._note(self._file.readline(size))

    def _note(self, data: bytes) -> bytes:
        self._turn.note_read(len(data))
        self._turn.pause_if_due()
        if self._body is None:
            self._head_bytes += len(data)
            if self._head_bytes > MAX_HEAD_BYTES:
                raise HeadTooLong(f"expected at most {MAX_HEAD_BYTES} bytes of a head, found more")
        elif self._body.chunked_input:
            self._note_overhead(self._body, len(data))
        if self._is_dropping:
            self._dropped_bytes += len(data)
            if self._dropped_bytes > MAX_DROPPED_BYTES:
                self._give_up(f"at most {MAX_DROPPED_BYTES} bytes after the answer, found more")
        return data

    def _note_overhead(self, body: Input, read_bytes: int) -> None:
        read_of_body = (body.chunk_length, body.position)
        has_grown = read_of_body != self._read_of_body
        self._read_of_body = read_of_body
        self._overhead_bytes = 0 if has_grown else self._overhead_bytes + read_bytes
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._give_up(f"a part of a body after at most {MAX_OVERHEAD_BYTES} bytes, found none")

    def _give_up(self, expected: str) -> NoReturn:
        self.has_given_up = True
        log.bind(text=f"expected {expected}").info("endless_request")
        raise EndlessRequest(f"expected {expected}")


class ConnectionHandler(WSGIHandler):
    """Hand the connection to the application and write no access log."""

    def __init__(self, *arguments: Any) -> None:
        """Read the connection in turns with others."""
        super().__init__(*arguments)
        self.rfile = RequestReader(self.rfile)

    def handle_one_request(self) -> Any:
        """Serve one request, after all other connections that have one."""
        # Requests that are in the buffer already would be served without letting anybody else run.
        gevent.sleep(0)
        self.rfile.begin()
        return super().handle_one_request()

    def _handle_client_error(self, error: Exception) -> tuple[str, bytes]:
        if isinstance(error, HeadTooLong):
            log.bind(text=str(error)).info("head_too_long")
            return ("431", HEAD_TOO_LONG_ANSWER)
        return super()._handle_client_error(error)

    def get_environ(self) -> Environ:
        """Return the environment with the connection in it."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        self.rfile.begin_body(self.wsgi_input)
        return environ

    def run_application(self) -> None:
        """Answer; what is left of the body is dropped after it, up to a bound."""
        try:
            super().run_application()
        finally:
            self.rfile.begin_dropping()

    def handle_one_response(self) -> None:
        """Answer a request; one that never ends is the last of its connection."""
        super().handle_one_response()
        if self.rfile.has_given_up:
            self.close_connection = True

    def log_request(self) -> None:
        """Write nothing: prompts and keys stay out of every log."""

    def handle_error(self, *exc_info: Any) -> None:
        """End the connection without a closing chunk, so that a cut answer shows as cut."""
        if issubclass(exc_info[0], AnswerCut):
            self.close_connection = True
            return
        super().handle_error(*exc_info)


class AnswerCut(Exception):
    """End an answer that can't be finished."""


def make_server(ip: str, port: int, application: Application) -> WSGIServer:
    """Return a server that is not started yet."""
    return WSGIServer(
        (ip, port),
        application,
        log=None,
        # Without a name, the server asks the resolver for the name of its address as it starts.
        environ={"SERVER_NAME": ip},
        handler_class=ConnectionHandler,
        # A pool, so that a stop ends what is still served.
        spawn=Pool(MAX_CONNECTIONS),
    )


def connection_lost(connection: socket.socket) -> bool:
    """Tell whether the other side closed the connection; nothing is read from it."""
    try:
        readable, _, _ = select.select([connection], [], [], 0)
        if not readable:
            return False
        return connection.recv(1, socket.MSG_PEEK) == b""
    except (OSError, ValueError):
        return True


def answer_json(
    start_response: StartResponse,
    body: Any,
    status: str = "200 OK",
    headers: Iterable[tuple[str, str]] = (),
) -> list[bytes]:
    """Answer with one JSON document."""
    content = json.dumps(body).encode()
    fixed = [("Content-Type", "application/json"), ("Content-Length", str(len(content)))]
    start_response(status, [*fixed, *headers])
    return [content]


def query_of(environ: Environ) -> dict[str, str]:
    """Return the query's parameters; the last one wins."""
    return dict(parse_qsl(environ.get("QUERY_STRING", "")))
