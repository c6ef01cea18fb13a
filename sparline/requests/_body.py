"""Request bodies, read as a stream and buffered only while they are small."""

from collections.abc import Callable, Iterator

READ_BYTES = 32_768  # per read of the stream
MAX_BUFFERED_BYTES = 262_144
# Largest part of a buffered body, so that each fits in one message between instances.
MAX_PART_BYTES = 1_000_000

# Stands for the length of a body whose sender did not state it.
UNKNOWN_LENGTH = -1


class RequestBody:
    """Stream a body once; it can be replayed only while all of it is buffered."""

    def __init__(self, read: Callable[[int], bytes], length: int) -> None:
        """Create a body from a function that reads up to a number of bytes, none at the end."""
        self.length = length  # bytes, or UNKNOWN_LENGTH
        self._read = read
        self._buffered: list[bytes] = []
        self._buffered_bytes = 0
        self._discarded = False  # whether a part was yielded without being buffered
        self._ended = False

    @classmethod
    def of(cls, content: bytes) -> "RequestBody":
        """Return a body with known, fully buffered content."""
        body = cls(lambda _size: b"", len(content))
        offsets = range(0, len(content), MAX_PART_BYTES)
        body._buffered = [content[offset : offset + MAX_PART_BYTES] for offset in offsets]
        body._buffered_bytes = len(content)
        body._ended = True
        return body

    @property
    def replayable(self) -> bool:
        """Tell whether the whole body can still be sent from its start."""
        return not self._discarded

    @property
    def content(self) -> bytes | None:
        """Return the whole body, or None if it was not read to its end or not buffered."""
        return b"".join(self._buffered) if self._ended and self.replayable else None

    def parts(self) -> Iterator[bytes]:
        """Yield the body from its start."""
        assert self.replayable, "a body that was not buffered can't be replayed"
        yield from list(self._buffered)
        while not self._ended:
            part = self._read(READ_BYTES)
            if not part:
                self._ended = True
                return
            self._buffer(part)
            yield part

    def _buffer(self, part: bytes) -> None:
        if self._buffered_bytes + len(part) > MAX_BUFFERED_BYTES:
            self._discarded = True
            self._buffered = []
            return
        self._buffered.append(part)
        self._buffered_bytes += len(part)
