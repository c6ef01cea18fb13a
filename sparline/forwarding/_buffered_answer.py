"""A response that is held until it is whole, as far as the account of held bytes allows."""

from collections import deque
from collections.abc import Iterator
from types import TracebackType

from sparline.http import SMALL_BYTES, HeldBytes


class BufferedAnswer:
    """Hold the parts of one response, and release each as it is written."""

    def __init__(self, held: HeldBytes, max_bytes: int) -> None:
        """Start empty; at most `max_bytes` are to be held."""
        self.size_bytes = 0  # what is held
        self._held = held
        self._max_bytes = max_bytes
        self._pieces: deque[bytes] = deque()
        self._holding = held.open_kept()

    def __enter__(self) -> "BufferedAnswer":
        """Return the response."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Hold nothing more."""
        self._pieces.clear()
        self._held.release(self._holding)

    def add(self, piece: bytes) -> bool:
        """Hold one more part; return whether the response may be held on."""
        self._pieces.append(piece)
        self.size_bytes += len(piece)
        if self.size_bytes <= SMALL_BYTES:
            return self.size_bytes <= self._max_bytes
        # What is small is not accounted, as it is gone before a usual caller could wait.
        more_bytes = self.size_bytes - self._holding.held_bytes
        may_keep = self._held.may_keep(more_bytes)
        self._held.grow(self._holding, more_bytes, 0.0)
        return may_keep and self.size_bytes <= self._max_bytes

    def whole(self) -> bytes:
        """Return all parts as one."""
        return b"".join(self._pieces)

    def drain(self) -> Iterator[bytes]:
        """Yield the parts in order, and release each once the next one is asked for."""
        while self._pieces:
            piece = self._pieces.popleft()
            yield piece
            self.size_bytes -= len(piece)
            released_bytes = max(self._holding.held_bytes - self.size_bytes, 0)
            self._held.release_part(self._holding, released_bytes)
