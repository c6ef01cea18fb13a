"""Stand-in for a plain service, some of whose calls may not be repeated."""

import hashlib
from collections.abc import Iterable, Iterator

import gevent

from sparline._wsgi import Environ, StartResponse, answer_json, make_server
from standins._faults import FaultAction, Faults, close_now
from standins._ledger import Ledger, Run
from standins._routes import Routes, read_json

PART_BYTES = 4096


class PlainService:
    """Answer every path with a body that names the request; note each run."""

    def __init__(self, ip: str, port: int, call_ms: float = 5.0) -> None:
        """Set up the paths; `start` opens the port."""
        self.call_ms = call_ms  # time that one call takes
        self.faults = Faults()
        self.ledger = Ledger()
        self.draining = False  # whether new work is refused
        routes = Routes()
        routes.add("POST", "/control/faults", self._control_faults)
        routes.add("POST", "/control/drain", self._control_drain)
        routes.add("GET", "/control/ledger", self._control_ledger)
        routes.otherwise(self._call)
        self._server = make_server(ip, port, routes)

    def start(self) -> None:
        """Open the port."""
        self._server.start()

    def stop(self) -> None:
        """Close the port and every connection."""
        self._server.stop(timeout=0)

    def _call(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        digest = hashlib.sha256()
        size = 0
        while part := environ["wsgi.input"].read(PART_BYTES):
            digest.update(part)
            size += len(part)
        faults = self.faults.take()
        action = faults.before_run(environ)
        if action is FaultAction.REFUSE or self.draining:
            return answer_json(
                start_response,
                {"error": "refused"},
                "503 Service Unavailable",
                [("X-Not-Run", "1")],
            )
        run = self._start_run(environ)
        gevent.sleep(self.call_ms / 1000)
        run.finished = True
        faults.after_run(environ)
        text = f"{environ['REQUEST_METHOD']} {environ['PATH_INFO']} id={run.request_id} bytes={size} sha256={digest.hexdigest()}\n"
        body = text.encode() * (int(environ.get("HTTP_X_ANSWER_LINES", "1")))
        start_response(
            "200 OK", [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        )
        return self._parts(body, faults, environ)

    def _parts(self, body: bytes, faults: Faults, environ: Environ) -> Iterator[bytes]:
        for number, start in enumerate(range(0, len(body), PART_BYTES)):
            if faults.cut_after_tokens and number >= faults.cut_after_tokens:
                close_now(environ)
            yield body[start : start + PART_BYTES]

    def _start_run(self, environ: Environ) -> Run:
        return self.ledger.start(
            Run(
                request_id=environ.get("HTTP_X_REQUEST_ID", ""),
                attempt=environ.get("HTTP_X_ATTEMPT", ""),
                organisation=environ.get("HTTP_X_ORGANISATION", ""),
                repeatable=environ.get("HTTP_X_REPEATABLE", "1") == "1",
                resume_from=0,
            )
        )

    def _control_faults(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.faults.update(read_json(environ))
        return answer_json(start_response, {})

    def _control_drain(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.draining = bool(read_json(environ).get("draining", True))
        return answer_json(start_response, {})

    def _control_ledger(self, _environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        return answer_json(start_response, {"runs": self.ledger.as_json()})
