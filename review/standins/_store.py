"""Stand-in of the platform's store: the two reading calls of PROTOCOL.md, and writes by the platform."""

import base64
import json
from dataclasses import dataclass
from urllib.parse import parse_qsl, urlsplit

import gevent
from gevent.event import Event
from gevent.server import StreamServer
from gevent.socket import socket as GeventSocket

from review.standins._wire import Ended, Stream

PAGE_ITEMS = 50
PATHS = ("/v1/kv-range", "/v1/kv-watch")


@dataclass
class _Item:
    key: str
    value: bytes | None
    revision: int
    created: int

    def node(self) -> dict:
        if self.value is None:
            return {"private_key": self.key, "revision": self.revision, "deleted": True}
        return {
            "private_key": self.key,
            "value": base64.b64encode(self.value).decode(),
            "revision": self.revision,
            "created": self.created,
            "lease": 0,
        }


class Store:
    """Keep items by key; each change raises the revision."""

    def __init__(self, ip: str, port: int) -> None:
        """Set the address; `start` opens it."""
        self.address = (ip, port)
        self.revision = 0
        self.is_down = False  # whether calls get 503 and watches are cut
        self.is_silent = False  # whether calls get no answer
        self.forgotten = 0  # history up to here is gone
        self._items: dict[str, _Item] = {}
        self._history: list[_Item] = []
        self._changed = Event()
        self._open: set[GeventSocket] = set()
        self._server = StreamServer(self.address, self._serve)

    def start(self) -> None:
        """Open the port."""
        self._server.start()

    def stop(self) -> None:
        """Close the port."""
        self._server.stop(timeout=0)

    def put(self, key: str, value: dict) -> int:
        """Write an item; return its revision, from which its bounds run."""
        return self._write(key, json.dumps(value).encode())

    def delete(self, key: str) -> int:
        """Delete an item if it exists."""
        return self._write(key, None) if key in self._items else self.revision

    def value(self, key: str) -> dict | None:
        """Return an item's value, None without one."""
        item = self._items.get(key)
        return json.loads(item.value) if item is not None and item.value is not None else None

    def cut(self) -> None:
        """Close all connections, as the store may do with watches at any time."""
        for one in list(self._open):
            one.close()

    def go_down(self) -> None:
        """Answer 503 from now on, and cut the watches."""
        self.is_down = True
        self.cut()

    def _write(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        held = self._items.get(key)
        created = held.created if held is not None else self.revision
        item = _Item(key, value, self.revision, created)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._history.append(item)
        self._changed.set()
        self._changed.clear()
        return self.revision

    def _serve(self, connection: GeventSocket, _address: object) -> None:
        self._open.add(connection)
        stream = Stream(connection)
        try:
            while True:
                target = stream.head().first.split(" ")[1]
                if self.is_silent:
                    gevent.sleep(3_600)
                self._answer(connection, *self._call(target))
        except (Ended, OSError):
            return
        finally:
            self._open.discard(connection)
            connection.close()

    def _answer(self, connection: GeventSocket, status: int, content: dict) -> None:
        body = json.dumps(content).encode()
        head = f"HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\n"
        connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def _call(self, target: str) -> tuple[int, dict]:
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        if self.is_down:
            return 503, {}
        if parts.path not in PATHS:
            return 404, {}
        prefix = query.get("path_prefix", "")
        if parts.path == "/v1/kv-range":
            return 200, self._range(prefix, query.get("after", ""))
        return self._watch(prefix, int(query["after"]), int(query.get("wait_ms", "0")))

    def _range(self, prefix: str, after: str) -> dict:
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        return {
            "items": [self._items[key].node() for key in keys[:PAGE_ITEMS]],
            "has_more": len(keys) > PAGE_ITEMS,
            "timestamp": self.revision,
        }

    def _watch(self, prefix: str, after: int, wait_ms: int) -> tuple[int, dict]:
        with gevent.Timeout(wait_ms / 1000, False):
            while after >= self.forgotten and not self._since(after, prefix):
                self._changed.wait()
        if self.is_down:
            return 503, {}
        if after < self.forgotten:
            return 410, {}
        events = [item.node() for item in self._since(after, prefix)]
        return 200, {"events": events, "timestamp": self.revision}

    def _since(self, after: int, prefix: str) -> list[_Item]:
        return [
            item for item in self._history if item.revision > after and item.key.startswith(prefix)
        ]

    def forget_history(self) -> None:
        """Forget all changes so far; watches that are behind get 410."""
        self.forgotten = self.revision
        self._history.clear()
        self._changed.set()
        self._changed.clear()
