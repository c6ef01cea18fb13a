"""The clock that ages and deadlines are taken on, in milliseconds, and this process's own pauses."""

import time
from collections.abc import Callable

# A process that notes the time at least every half second, and was not heard for so long, stood
# still (ms).
PAUSE_LEAST_MS = 900.0


def now_ms() -> float:
    """Return the time since the machine started; only differences mean anything.

    It goes on while the machine is suspended, which the monotonic clock does not: what an instance
    holds would look fresh, and deadlines would seem to be ahead, after a sleep of any length.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class PauseWatch:
    """Know when this process last stood still: frozen, suspended, or without a processor."""

    def __init__(self, on_pause: Callable[[float], None] = lambda _pause_ms: None) -> None:
        """Start now; `on_pause` is told how long each pause was (ms)."""
        self._on_pause = on_pause
        self._ticked_at_ms = now_ms()
        self._thawed_at_ms = 0.0

    def tick(self) -> None:
        """Note that the process runs; to be called every half second."""
        now = now_ms()
        gap_ms = now - self._ticked_at_ms
        self._ticked_at_ms = now
        if gap_ms > PAUSE_LEAST_MS:
            self._thawed_at_ms = now
            self._on_pause(gap_ms)

    def thawed_at_ms(self) -> float:
        """Return when the last pause ended, 0 for none; also where nothing has ticked since."""
        if now_ms() - self._ticked_at_ms > PAUSE_LEAST_MS:
            self.tick()
        return self._thawed_at_ms
