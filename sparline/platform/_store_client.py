"""The one client of the users' store: its two reading calls, on one kept connection."""

import base64
from urllib.parse import urlencode

import gevent
import msgspec
from result import Err, Ok, Result

from sparline.fleet import StoreAnswer, StoreChange, StoreFault, StoreFaultKind
from sparline.http import Address, BackendConnection, ConnectionBroken, HttpAnswer
from sparline.platform import _names as names

CONNECT_S = 1.0
# Everything lies below this prefix.
ALL_KEYS = ""


class _ItemNode(msgspec.Struct):
    private_key: str  # the item's name; nothing about it is private
    revision: int  # the store's revision of the last change
    value: str | None = None  # content in base64
    deleted: bool = False


class _RangeNode(msgspec.Struct):
    items: list[_ItemNode]
    timestamp: int  # the store's revision, not a time
    has_more: bool = False


class _WatchNode(msgspec.Struct):
    events: list[_ItemNode]
    timestamp: int  # the store's revision, not a time


class StoreHttpClient:
    """Call the store; a connection that failed once is not used again."""

    def __init__(self, address: Address) -> None:
        """Name the store."""
        self._address = address
        self._connection: BackendConnection | None = None

    def read_all(self, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Return every item, as new as the store has it."""
        changes: list[StoreChange] = []
        first_revision: int | None = None
        after = ""
        while True:
            query = {"path_prefix": ALL_KEYS} | ({"after": after} if after else {})
            body = self._call(names.READ_KEY_RANGE, query, timeout_ms)
            page = body.and_then(lambda content: _decode(content, _RangeNode))
            if page.is_err():
                return Err(page.unwrap_err())
            node = page.unwrap()
            changes += [_change(item) for item in node.items]
            # Pages are no snapshot: what changed since the first one is watched for.
            first_revision = node.timestamp if first_revision is None else first_revision
            if not node.has_more or not node.items:
                return Ok(StoreAnswer(changes, first_revision))
            after = node.items[-1].private_key

    def watch(self, after: int, wait_ms: int, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Wait for changes after a revision."""
        query = {"path_prefix": ALL_KEYS, "after": after, "wait_ms": wait_ms}
        body = self._call(names.WATCH_KEYS, query, timeout_ms)
        return body.and_then(lambda content: _decode(content, _WatchNode)).map(
            lambda node: StoreAnswer([_change(item) for item in node.events], node.timestamp)
        )

    def interrupt(self) -> None:
        """End the call that is waiting, if any."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _call(
        self, path: str, query: dict[str, str | int], timeout_ms: float
    ) -> Result[bytes, StoreFault]:
        limit = gevent.Timeout(timeout_ms / 1000)
        try:
            with limit:
                return self._exchange(f"{path}?{urlencode(query)}")
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            self._drop()
            return Err(
                StoreFault(StoreFaultKind.SILENT, f"expected an answer in {timeout_ms:.0f} ms")
            )
        except (OSError, ConnectionBroken) as error:
            self._drop()
            return Err(StoreFault(StoreFaultKind.UNREACHABLE, str(error)))

    def _exchange(self, target: str) -> Result[bytes, StoreFault]:
        connection = self._connection
        if connection is None or not connection.reusable:
            self._drop()
            connection = self._connection = BackendConnection(self._address, CONNECT_S)
        host = f"{self._address[0]}:{self._address[1]}"
        connection.send(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), b"")
        answer = connection.read_head(lambda _answer: True)
        return _status(answer, connection.read_body(answer))

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _status(answer: HttpAnswer, body: bytes) -> Result[bytes, StoreFault]:
    if answer.status == 200:
        return Ok(body)
    gone = answer.status == 410
    kind = StoreFaultKind.HISTORY_GONE if gone else StoreFaultKind.REFUSED
    return Err(StoreFault(kind, f"expected status 200, found {answer.status}"))


def _decode(content: bytes, kind: type) -> Result:
    try:
        return Ok(msgspec.json.decode(content, type=kind))
    except msgspec.DecodeError as error:
        return Err(StoreFault(StoreFaultKind.BAD_ANSWER, str(error)))


def _change(item: _ItemNode) -> StoreChange:
    value = None if item.deleted else base64.b64decode(item.value or "")
    return StoreChange(item.private_key, item.revision, value)
