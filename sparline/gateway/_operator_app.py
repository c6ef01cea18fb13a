"""HTTP application for operators: metrics, and the parts of prompts in quarantine."""

from collections.abc import Callable, Iterable

from sparline._ids import PartDigest
from sparline._logging import log
from sparline._wsgi import Environ, StartResponse, answer_json, query_of
from sparline.quarantine import PartTable, QuarantinedPart

QUARANTINE_PATH = "/quarantine"
RELEASE_PATH = "/quarantine/release"


def make_operator_app(
    render_metrics: Callable[[], bytes], parts: PartTable
) -> Callable[[Environ, StartResponse], Iterable[bytes]]:
    """Return the WSGI application; every path but those of the quarantine gives the metrics."""

    def app(environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path == QUARANTINE_PATH:
            document = {"parts": [_document_of(one) for one in parts.quarantined()]}
            return answer_json(start_response, document)
        if path == RELEASE_PATH:
            return _release(environ, start_response, parts)
        return _answer_metrics(start_response, render_metrics())

    return app


def _answer_metrics(start_response: StartResponse, content: bytes) -> list[bytes]:
    headers = [
        ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
        ("Content-Length", str(len(content))),
    ]
    start_response("200 OK", headers)
    return [content]


def _document_of(part: QuarantinedPart) -> dict[str, object]:
    return {
        "part": part.part.hex(),
        "exits": [f"{one:08x}" for one in sorted(part.exits)],
        "carriers": round(part.carriers),
        "bystanders": round(part.bystanders),
        "age_ms": round(part.age_ms),
    }


def _release(environ: Environ, start_response: StartResponse, parts: PartTable) -> list[bytes]:
    if environ["REQUEST_METHOD"] != "POST":
        error = {"error": f"expected POST, found {environ['REQUEST_METHOD']}"}
        return answer_json(start_response, error, "405 Method Not Allowed", [("Allow", "POST")])
    text = query_of(environ).get("part", "")
    try:
        part = PartDigest(bytes.fromhex(text))
    except ValueError:
        error = {"error": f"part: expected hexadecimal digits, found {text[:40]!r}"}
        return answer_json(start_response, error, "400 Bad Request")
    if not parts.release(part):
        error = {"error": f"part: expected one with exits, found none of {text!r}"}
        return answer_json(start_response, error, "404 Not Found")
    log.bind(part=text).warning("part_released_by_operator")
    return answer_json(start_response, {"released": text})
