"""Request bodies, read as a stream and buffered only while they are small."""

from collections.abc import Callable, Iterator

PART_BYTES = 32_768
KEPT_BYTES = 262_144
# Bounds each part so that it fits in one frame between instances.
LARGEST_PART_BYTES = 1_000_000

# Length of a body whose sender did not state it.
UNKNOWN_LENGTH = -1


class RequestBody:
    """Stream a body once; it can be replayed only while all of it is buffered."""

    def __init__(self, read: Callable[[int], bytes], length: int) -> None:
        """Read from a function that returns empty bytes at the end."""
        self.length = length  # bytes, or UNKNOWN_LENGTH
        self._read = read
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._forgotten = False  # whether a part was yielded without being buffered
        self._ended = False

    @classmethod
    def of(cls, content: bytes) -> "RequestBody":
        """Return a body with known, fully buffered content."""
        body = cls(lambda _size: b"", len(content))
        begins = range(0, len(content), LARGEST_PART_BYTES)
        body._kept = [content[begin : begin + LARGEST_PART_BYTES] for begin in begins]
        body._kept_bytes = len(content)
        body._ended = True
        return body

    @property
    def replayable(self) -> bool:
        """Tell whether the whole body can still be sent from its start."""
        return not self._forgotten

    @property
    def content(self) -> bytes | None:
        """Return the whole body, or None if it was not read to its end or not buffered."""
        return b"".join(self._kept) if self._ended and self.replayable else None

    def parts(self) -> Iterator[bytes]:
        """Yield the body from its start."""
        assert self.replayable, "a body that was not buffered can't be replayed"
        yield from list(self._kept)
        while not self._ended:
            part = self._read(PART_BYTES)
            if not part:
                self._ended = True
                return
            self._keep(part)
            yield part

    def _keep(self, part: bytes) -> None:
        if self._kept_bytes + len(part) > KEPT_BYTES:
            self._forgotten = True
            self._kept = []
            return
        self._kept.append(part)
        self._kept_bytes += len(part)
