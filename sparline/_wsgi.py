"""The WSGI server: access to the connection, answers in JSON, lost callers noticed."""

import json
import select
import socket
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl

from gevent.pool import Pool
from gevent.pywsgi import WSGIHandler, WSGIServer

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
Application = Callable[[Environ, StartResponse], Iterable[bytes]]

# Connections that one listener serves at once; more wait to be accepted.
MAX_CONNECTIONS = 10_000

# Where the handler leaves the connection for applications that must watch it.
SOCKET_KEY = "sparline.socket"


class ConnectionHandler(WSGIHandler):
    """Hand the connection to the application and write no access log."""

    def get_environ(self) -> Environ:
        """Return the environment with the connection in it."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

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
