"""When other instances first showed the states of the store."""

from collections import deque
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.fleet._store_copy import NO_POSITION, StorePosition

# Maximum number of positions kept; the oldest is evicted first, and the age of what it showed is then
# underestimated.
MAX_POSITIONS = 256


@dataclass(frozen=True, slots=True)
class _ShownPosition:
    """Hold a state of the store and when another instance first showed it."""

    position: StorePosition
    at_ms: float  # process clock


class PeerPositions:
    """Record when the newest position that other instances show rose."""

    def __init__(self) -> None:
        """Start without any position."""
        self._rises: deque[_ShownPosition] = deque(maxlen=MAX_POSITIONS)

    def note(self, position: StorePosition) -> None:
        """Record the position of another instance, as its datagram tells it."""
        newest = self._rises[-1].position if self._rises else NO_POSITION
        if position > newest:
            self._rises.append(_ShownPosition(position, now_ms()))

    def shown_ago_ms(self, position: StorePosition) -> float:
        """Return the time since another instance first showed a position or a newer one (ms).

        It is 0 if none has shown one.
        """
        for rise in self._rises:
            if rise.position >= position:
                return now_ms() - rise.at_ms
        return 0.0
