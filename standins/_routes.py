"""A table of paths for the stand-ins' HTTP servers."""

import json
from collections.abc import Callable, Iterable
from typing import Any

from sparline._wsgi import AnswerCut, Environ, StartResponse, answer_json

Handler = Callable[[Environ, StartResponse], Iterable[bytes]]


class Routes:
    """Dispatch requests by method and path."""

    def __init__(self) -> None:
        """Start with no path."""
        self._handlers: dict[tuple[str, str], Handler] = {}
        self._fallback: Handler = _not_found

    def add(self, method: str, path: str, handler: Handler) -> None:
        """Answer one path."""
        self._handlers[method, path] = handler

    def otherwise(self, handler: Handler) -> None:
        """Answer all paths that are not in the table."""
        self._fallback = handler

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request."""
        key = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        handler = self._handlers.get(key, self._fallback)
        try:
            return handler(environ, start_response)
        except AnswerCut:
            raise
        except (ValueError, KeyError) as error:
            return answer_json(start_response, {"error": str(error)}, "400 Bad Request")


def read_json(environ: Environ) -> Any:
    """Return the request's JSON body, an empty object where there is none."""
    body = environ["wsgi.input"].read()
    return json.loads(body) if body else {}


def _not_found(_environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
    return answer_json(start_response, {"error": "no such path"}, "404 Not Found")
