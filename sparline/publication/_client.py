"""Calls of the platform's read-only services."""

from dataclasses import dataclass
from urllib.parse import urlencode, urlsplit

import msgspec
from result import Err, Ok, Result

from sparline._ids import RecordName, Revision
from sparline.backends import BackendAddress, call_json
from sparline.declarations import Record

# Time that an answer may take beyond the time that a watch waits.
ANSWER_SLACK_MS = 2_000.0


class _RecordNode(msgspec.Struct, frozen=True):
    name: str
    revision: int
    body: str | None


class _RecordsNode(msgspec.Struct, frozen=True):
    revision: int
    records: list[_RecordNode]


@dataclass(frozen=True, slots=True)
class PlatformAnswer:
    """Hold what one call of the platform brought."""

    revision: Revision  # newest revision that the platform shows
    records: tuple[Record, ...]  # records newer than was asked, oldest first


class PlatformClient:
    """Read records from the platform, from one replica after the other."""

    def __init__(self, urls: list[str], reader: str, zone: str) -> None:
        """Name the replicas and the reader."""
        self._addresses = [_address(url) for url in urls]
        self._reader = reader
        self._zone = zone
        self._current = 0

    def read(self, since: Revision, wait_ms: int) -> Result[PlatformAnswer, str]:
        """Wait for records newer than a revision; after a fault the next replica is asked."""
        query = urlencode(
            {"since": since, "wait_ms": wait_ms, "reader": self._reader, "zone": self._zone}
        )
        address = self._addresses[self._current]
        answer = call_json(address, "GET", f"/records?{query}", b"", wait_ms + ANSWER_SLACK_MS)
        match answer:
            case Ok((200, content)):
                return _read_answer(content)
            case Ok((status, _)):
                self.use_next()
                return Err(f"expected status 200, found {status}")
            case Err(fault):
                self.use_next()
                return Err(f"no answer: {fault.value}")

    def use_next(self) -> None:
        """Ask another replica from now on."""
        self._current = (self._current + 1) % len(self._addresses)


def _address(url: str) -> BackendAddress:
    parts = urlsplit(url)
    return BackendAddress(str(parts.hostname), int(parts.port or 80))


def _read_answer(content: bytes) -> Result[PlatformAnswer, str]:
    try:
        node = msgspec.json.decode(content, type=_RecordsNode)
    except (msgspec.DecodeError, RecursionError) as error:
        return Err(f"expected records, found something else: {error}")
    records = [
        Record(RecordName(one.name), Revision(one.revision), one.body) for one in node.records
    ]
    records.sort(key=lambda record: record.revision)
    return Ok(PlatformAnswer(Revision(node.revision), tuple(records)))
