"""The connections of callers: so many that descriptors are left for servers, peers and files."""

from collections.abc import Callable, Iterator
from enum import Enum

from sparline.http import CallerConnection

# Part of the descriptors that callers' connections may take: each request under way needs one more.
CALLER_DESCRIPTORS_FRACTION = 1 / 2
# Part of these connections that are closed at once when there is no room, so that the search for those
# without progress is rare.
CLOSED_FRACTION = 1 / 64


class ConnectionEnd(Enum):
    """Enumerate why a connection is closed for want of descriptors."""

    PUSHED_OUT = "pushed_out"  # it has been without progress for longest
    REFUSED = "refused"  # it is new, and all others have requests under way


class ConnectionTable:
    """Hold the open connections, and close those longest without progress to let new ones in."""

    def __init__(
        self, max_connections: float, note_closed: Callable[[ConnectionEnd, int], None]
    ) -> None:
        """Start empty; `note_closed` is told why how many are closed."""
        assert max_connections > 0, f"expected room for connections, found {max_connections}"
        self._max_connections = max_connections
        self._note_closed = note_closed
        self._open: set[CallerConnection] = set()

    def __len__(self) -> int:
        """Return how many are open."""
        return len(self._open)

    def __iter__(self) -> Iterator[CallerConnection]:
        """Iterate over those open now."""
        return iter(list(self._open))

    def add(self, connection: CallerConnection) -> bool:
        """Add a new connection; False if there is no room, and it is to be closed."""
        if len(self._open) >= self._max_connections and not self._push_out():
            self._note_closed(ConnectionEnd.REFUSED, 1)
            return False
        self._open.add(connection)
        return True

    def discard(self, connection: CallerConnection) -> None:
        """Forget a connection that is closed."""
        self._open.discard(connection)

    def _push_out(self) -> bool:
        """Close those that have been without progress for longest; return whether there were any."""
        most = max(int(self._max_connections * CLOSED_FRACTION), 1)
        candidates = (one for one in self._open if one.may_be_pushed_out())
        oldest = sorted(candidates, key=lambda one: one.progress_at_ms)[:most]
        for one in oldest:
            self._open.discard(one)
            one.close()
        if oldest:
            self._note_closed(ConnectionEnd.PUSHED_OUT, len(oldest))
        return bool(oldest)


def max_caller_connections(file_descriptors: int) -> int:
    """Return how many connections of callers a process may have open."""
    return max(int(file_descriptors * CALLER_DESCRIPTORS_FRACTION), 1)
