"""Request bodies, read as a stream and kept only while they are small."""

from collections.abc import Callable, Iterator

PART_BYTES = 32_768
KEPT_BYTES = 262_144
# No part is larger, so that each fits a frame between instances.
LARGEST_PART_BYTES = 1_000_000

# Length of a body that its sender has not told.
UNKNOWN_LENGTH = -1


class RequestBody:
    """Read a body once; give it again only while all of it is kept."""

    def __init__(self, read: Callable[[int], bytes], length: int) -> None:
        """Read from a function that returns nothing at the end."""
        self.length = length  # bytes, or UNKNOWN_LENGTH
        self._read = read
        self._kept: list[bytes] = []
        self._kept_bytes = 0
        self._forgotten = False  # whether a part was passed on and not kept
        self._ended = False

    @classmethod
    def of(cls, content: bytes) -> "RequestBody":
        """Return a body whose content is known and kept."""
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
        """Return the whole body, None where it was not read to its end or not kept."""
        return b"".join(self._kept) if self._ended and self.replayable else None

    def parts(self) -> Iterator[bytes]:
        """Yield the body from its start."""
        assert self.replayable, "a body that was passed on can't be sent again"
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
