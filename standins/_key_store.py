"""Stand-in for the users' store: items with revisions, watches, history, outages, restorations."""

import base64
import json
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import Any

import gevent
from gevent.event import Event

from sparline._wsgi import AnswerCut, Environ, StartResponse, answer_json, make_server, query_of
from standins._faults import close_now
from standins._routes import Routes, read_json

MOST_IN_A_PAGE = 50


class StoreMode(Enum):
    """Name how the store behaves."""

    OK = "ok"
    SILENT = "silent"  # takes calls and never answers them
    REFUSING = "refusing"  # answers 503
    RESET = "reset"  # closes connections


@dataclass(frozen=True, slots=True)
class _Item:
    key: str
    revision: int
    value: bytes | None  # None where it was deleted


class KeyStore:
    """Answer the store's two reading calls; tests write to it directly."""

    def __init__(self, ip: str, port: int) -> None:
        """Set up the calls; `start` opens the port."""
        self.mode = StoreMode.OK
        self.turned_away: set[str] = set()  # addresses of callers that get 503
        self.calls: list[str] = []  # paths that were called
        self.revision = 0
        self.era = 1  # rises by one at each restoration
        self._writes: list[_Item] = []  # all that lead to the current state
        self._items: dict[str, _Item] = {}
        self._history: list[_Item] = []
        self._oldest = 0  # changes up to here are forgotten
        self._changed = Event()
        self._cut_number = 0  # rises by one each time all waiting watches are cut
        routes = Routes()
        routes.add("GET", "/v1/kv-range", self._range)
        routes.add("GET", "/v1/kv-watch", self._watch)
        routes.add("POST", "/control/put", self._control_put)
        self._server = make_server(ip, port, routes)
        self.address = (ip, port)

    def start(self) -> None:
        """Open the port."""
        self._server.start()

    def stop(self) -> None:
        """Close the port and every connection."""
        self._server.stop(timeout=0)

    def put(self, key: str, value: Any) -> int:
        """Write an item as JSON; return the revision."""
        return self._write(key, json.dumps(value).encode())

    def put_bytes(self, key: str, value: bytes) -> int:
        """Write an item as it is."""
        return self._write(key, value)

    def delete(self, key: str) -> int:
        """Delete an item."""
        return self._write(key, None)

    def value(self, key: str) -> Any:
        """Return the content of an item that holds JSON, None without one."""
        item = self._items.get(key)
        return json.loads(item.value) if item and item.value is not None else None

    def _write(self, key: str, value: bytes | None) -> int:
        self.revision += 1
        item = _Item(key, self.revision, value)
        self._writes.append(item)
        self._history.append(item)
        if value is None:
            self._items.pop(key, None)
        else:
            self._items[key] = item
        self._changed.set()
        self._changed.clear()
        return self.revision

    def forget_history(self) -> None:
        """Forget all changes; watches that are behind get 410."""
        self._oldest = self.revision
        self._history.clear()
        self._changed.set()
        self._changed.clear()

    def cut_watches(self) -> None:
        """Cut all waiting watches, as the store may do at any time; further calls are answered."""
        self._cut_number += 1
        self._changed.set()
        self._changed.clear()

    def restore(self, revision: int) -> None:
        """Come back from a copy that is as old as a revision; later writes are lost."""
        self.era += 1
        self.revision = revision
        self._writes = [item for item in self._writes if item.revision <= revision]
        self._history = [item for item in self._history if item.revision <= revision]
        self._oldest = min(self._oldest, revision)
        newest = {item.key: item for item in self._writes}
        self._items = {key: item for key, item in newest.items() if item.value is not None}
        self._changed.set()
        self._changed.clear()

    def _fail(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes] | None:
        self.calls.append(environ["PATH_INFO"])
        if self.mode is StoreMode.SILENT:
            gevent.sleep(3_600)
        if self.mode is StoreMode.RESET:
            close_now(environ)
        if self.mode is StoreMode.REFUSING or environ["REMOTE_ADDR"] in self.turned_away:
            return self._answer(start_response, {}, "503 Service Unavailable")
        return None

    def _range(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        failed = self._fail(environ, start_response)
        if failed is not None:
            return failed
        query = query_of(environ)
        keys = sorted(
            key
            for key in self._items
            if key.startswith(query.get("path_prefix", "")) and key > query.get("after", "")
        )
        page = [_as_json(self._items[key]) for key in keys[:MOST_IN_A_PAGE]]
        body = {
            "items": page,
            "has_more": len(keys) > MOST_IN_A_PAGE,
            "timestamp": self.revision,
        }
        return self._answer(start_response, body)

    def _watch(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        failed = self._fail(environ, start_response)
        if failed is not None:
            return failed
        query = query_of(environ)
        after = int(query["after"])
        prefix = query.get("path_prefix", "")
        era, cut_number = self.era, self._cut_number
        with gevent.Timeout(int(query["wait_ms"]) / 1000, False):
            while self._has(after) and era == self.era and not self._since(after, prefix):
                self._changed.wait()
                if cut_number != self._cut_number:
                    break
        is_cut = cut_number != self._cut_number and not self._since(after, prefix)
        if self.mode is not StoreMode.OK or era != self.era or is_cut:
            raise AnswerCut
        if not self._has(after):
            return self._answer(start_response, {}, "410 Gone")
        events = [_as_json(item) for item in self._since(after, prefix)]
        return self._answer(start_response, {"events": events, "timestamp": self.revision})

    def _has(self, revision: int) -> bool:
        return self._oldest <= revision <= self.revision

    def _answer(
        self, start_response: StartResponse, body: Any, status: str = "200 OK"
    ) -> Iterable[bytes]:
        return answer_json(start_response, body, status, [("Store-Era", str(self.era))])

    def _since(self, revision: int, prefix: str) -> list[_Item]:
        return [
            item
            for item in self._history
            if item.revision > revision and item.key.startswith(prefix)
        ]

    def _control_put(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        for key, value in read_json(environ).items():
            self.put(key, value)
        return answer_json(start_response, {"revision": self.revision})


def _as_json(item: _Item) -> dict[str, Any]:
    if item.value is None:
        return {"private_key": item.key, "revision": item.revision, "deleted": True}
    value = base64.b64encode(item.value).decode()
    return {
        "private_key": item.key,
        "value": value,
        "revision": item.revision,
        "created": item.revision,
        "lease": 0,
    }
