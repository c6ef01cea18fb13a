"""HTTP client of the users' store: its two read calls, on one persistent connection."""

import base64
from dataclasses import dataclass
from urllib.parse import urlencode

import gevent
import msgspec
from result import Err, Ok, Result

from sparline._logging import log
from sparline.fleet import StoreAnswer, StoreChange, StoreFault, StoreFaultKind, StorePosition
from sparline.http import (
    Address,
    BackendConnection,
    BodyTooLong,
    ConnectionBroken,
    HttpAnswer,
)
from sparline.platform import _names as names
from sparline.platform._values import parse_integer

CONNECT_TIMEOUT_S = 1.0
# Prefix of all keys in the store.
ALL_KEYS = ""


# Era of a store whose responses name none.
FIRST_ERA = 0
# Maximum length of an invalid value quoted in an error message.
MAX_QUOTED_CHARS = 80
# Longest response: the store's own pages end at about 1 MB, and a watch may hold more.
MAX_RESPONSE_BYTES = 8_388_608
# Longest value of an item other than the configuration: an entry has some hundred bytes, and
# instances pass all values on to each other.
MAX_VALUE_BYTES = 16_384
# Longest list of all items, over all of its pages.
MAX_LIST_BYTES = 16_777_216


class _ItemNode(msgspec.Struct):
    private_key: str  # name of the item; it is not secret
    revision: int  # store revision of the last change
    value: str | None = None  # content, base64-encoded
    deleted: bool = False


class _RangeNode(msgspec.Struct):
    items: list[_ItemNode]
    timestamp: int  # the store's revision, not a time
    has_more: bool = False


class _WatchNode(msgspec.Struct):
    events: list[_ItemNode]
    timestamp: int  # the store's revision, not a time


@dataclass(frozen=True, slots=True)
class _StoreContent:
    """Hold the body of a successful response."""

    era: int  # number of times that the store has come back from an older copy
    body: bytes  # JSON document


class StoreHttpClient:
    """Call the store; a connection is not reused after a failure."""

    def __init__(self, address: Address) -> None:
        """Set the address of the store, without connecting."""
        self._address = address
        self._connection: BackendConnection | None = None

    def read_all(self, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Return the newest version of every item."""
        changes: list[StoreChange] = []
        first_page: StorePosition | None = None
        after = ""
        read_bytes = 0
        page_ends: set[str] = set()
        while True:
            query = {"path_prefix": ALL_KEYS} | ({"after": after} if after else {})
            content = self._call(names.READ_KEY_RANGE, query, timeout_ms)
            page = content.and_then(lambda found: _decode(found.body, _RangeNode))
            if page.is_err():
                return Err(page.unwrap_err())
            node = page.unwrap()
            read_bytes += len(content.unwrap().body)
            if read_bytes > MAX_LIST_BYTES:
                text = f"expected a list of at most {MAX_LIST_BYTES} bytes, found {read_bytes}"
                return Err(StoreFault(StoreFaultKind.TOO_LONG, text))
            position = StorePosition(content.unwrap().era, node.timestamp)
            changes += [_decode_change(item) for item in node.items]
            # Pages are not a snapshot, so the watch starts at the revision of the first page.
            first_page = position if first_page is None else first_page
            if position.era != first_page.era:
                text = f"expected pages of era {first_page.era}, found era {position.era}"
                return Err(StoreFault(StoreFaultKind.ERA_CHANGED, text))
            if not node.has_more or not node.items:
                return Ok(StoreAnswer(changes, first_page))
            after = node.items[-1].private_key
            if after in page_ends:
                text = (
                    f"expected pages that go on, found two that end at {after[:MAX_QUOTED_CHARS]!r}"
                )
                return Err(StoreFault(StoreFaultKind.BAD_ANSWER, text))
            page_ends.add(after)

    def watch(self, after: int, wait_ms: int, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Wait for changes after a revision and return them."""
        return self._watch(ALL_KEYS, after, wait_ms, timeout_ms)

    def evacuation_changes(self, after: int, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Return the changes of evacuations after a revision, without waiting for any."""
        return self._watch(names.EVACUATION_PREFIX, after, 0, timeout_ms)

    def _watch(
        self, prefix: str, after: int, wait_ms: int, timeout_ms: float
    ) -> Result[StoreAnswer, StoreFault]:
        query = {"path_prefix": prefix, "after": after, "wait_ms": wait_ms}
        content = self._call(names.WATCH_KEYS, query, timeout_ms)
        page = content.and_then(lambda found: _decode(found.body, _WatchNode))
        if page.is_err():
            return Err(page.unwrap_err())
        node = page.unwrap()
        position = StorePosition(content.unwrap().era, node.timestamp)
        return Ok(StoreAnswer([_decode_change(item) for item in node.events], position))

    def interrupt(self) -> None:
        """Abort the pending call, if any."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.close()

    def _call(
        self, path: str, query: dict[str, str | int], timeout_ms: float
    ) -> Result[_StoreContent, StoreFault]:
        timer = gevent.Timeout(timeout_ms / 1000)
        try:
            with timer:
                return self._exchange(f"{path}?{urlencode(query)}")
        except gevent.Timeout as timeout:
            if timeout is not timer:
                raise
            self._close_connection()
            return Err(
                StoreFault(StoreFaultKind.SILENT, f"expected an answer in {timeout_ms:.0f} ms")
            )
        except BodyTooLong as error:
            self._close_connection()
            return Err(StoreFault(StoreFaultKind.TOO_LONG, str(error)))
        except (OSError, ConnectionBroken) as error:
            self._close_connection()
            return Err(StoreFault(StoreFaultKind.UNREACHABLE, str(error)))

    def _exchange(self, target: str) -> Result[_StoreContent, StoreFault]:
        connection = self._connection
        if connection is None or not connection.reusable or not connection.is_quiet():
            # Bytes that nobody asked for would be read as the answer to this call.
            self._close_connection()
            connection = self._connection = BackendConnection(self._address, CONNECT_TIMEOUT_S)
        host = f"{self._address[0]}:{self._address[1]}"
        connection.send(f"GET {target} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode(), b"")
        answer = connection.read_head(lambda _answer: True)
        return _check_status(answer, connection.read_body(answer, MAX_RESPONSE_BYTES))

    def _close_connection(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


def _check_status(answer: HttpAnswer, body: bytes) -> Result[_StoreContent, StoreFault]:
    if answer.status == 200:
        return _decode_era(answer).map(lambda era: _StoreContent(era, body))
    history_gone = answer.status == 410
    kind = StoreFaultKind.HISTORY_GONE if history_gone else StoreFaultKind.REFUSED
    return Err(StoreFault(kind, f"expected status 200, found {answer.status}"))


def _decode_era(answer: HttpAnswer) -> Result[int, StoreFault]:
    value = answer.header(names.STORE_ERA)
    if value is None:
        return Ok(FIRST_ERA)
    era = parse_integer(value)
    if era is None:
        text = f"{names.STORE_ERA.decode()}: expected a number, found {value[:MAX_QUOTED_CHARS]!r}"
        return Err(StoreFault(StoreFaultKind.BAD_ANSWER, text))
    return Ok(era)


def _decode(content: bytes, kind: type) -> Result:
    try:
        return Ok(msgspec.json.decode(content, type=kind))
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(StoreFault(StoreFaultKind.BAD_ANSWER, str(error)))


def _decode_change(item: _ItemNode) -> StoreChange:
    value = None if item.deleted else _decode_value(item)
    return StoreChange(item.private_key, item.revision, value)


def _decode_value(item: _ItemNode) -> bytes:
    """Return the content of an item, empty and thus invalid if it is not base64 or too long."""
    try:
        value = base64.b64decode(item.value or "")
    except ValueError as error:
        _log_invalid(item, str(error))
        return b""
    if len(value) > MAX_VALUE_BYTES and item.private_key != names.CONFIGURATION_KEY:
        _log_invalid(item, f"expected at most {MAX_VALUE_BYTES} bytes, found {len(value)}")
        return b""
    return value


def _log_invalid(item: _ItemNode, text: str) -> None:
    log.bind(key=item.private_key, revision=item.revision, text=text).warning("store_value_invalid")
