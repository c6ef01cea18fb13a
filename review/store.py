"""Stand-in for the platform's store: its reading calls, by PROTOCOL.md; tests write directly."""

import base64
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


class _Server(ThreadingHTTPServer):
    daemon_threads = True

    def handle_error(self, *_args: object) -> None:
        """Say nothing of callers that leave during an answer."""


class Store:
    """Hold items with revisions, and answer ranges and watches."""

    def __init__(self, ip: str, port: int) -> None:
        """Open the port."""
        self._changed = threading.Condition()
        self._revision = 0
        self._items: dict[str, dict[str, Any]] = {}
        self._history: list[dict[str, Any]] = []
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            disable_nagle_algorithm = True

            def do_GET(self) -> None:  # noqa: N802
                """Answer one call."""
                parts = urlsplit(self.path)
                query = {name: values[0] for name, values in parse_qs(parts.query).items()}
                status, answer = store.answer(parts.path, query)
                body = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_args: object) -> None:
                """Log nothing."""

        self._server = _Server((ip, port), Handler)
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def answer(self, path: str, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        """Return the status and the body of one call."""
        if path == "/v1/kv-key":
            with self._changed:
                item = self._items.get(query.get("private_key", ""))
                return (200, item | {"timestamp": self._revision}) if item else (404, {})
        prefix = query.get("path_prefix", "")
        if path == "/v1/kv-range":
            with self._changed:
                keys = sorted(one for one in self._items if one.startswith(prefix))
                items = [self._items[one] for one in keys if one > query.get("after", "")]
                return 200, {"items": items, "has_more": False, "timestamp": self._revision}
        if path != "/v1/kv-watch":
            return 404, {}
        after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
        with self._changed:
            while True:
                events = [
                    one
                    for one in self._history
                    if one["revision"] > after and one["private_key"].startswith(prefix)
                ]
                left_s = until - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "timestamp": self._revision}
                self._changed.wait(left_s)

    def put(self, key: str, value: Any) -> None:
        """Write an item."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._revision += 1
            created = self._items.get(key, {"created": self._revision})["created"]
            item = {"private_key": key, "value": text, "revision": self._revision}
            self._items[key] = item | {"created": created, "lease": 0}
            self._history.append(self._items[key])
            self._changed.notify_all()

    def delete(self, key: str) -> None:
        """Delete an item."""
        with self._changed:
            self._revision += 1
            self._items.pop(key, None)
            event = {"private_key": key, "revision": self._revision, "deleted": True}
            self._history.append(event)
            self._changed.notify_all()
