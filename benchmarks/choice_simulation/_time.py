"""A clock on which what is due runs in order."""

import heapq
from collections.abc import Callable


class SimulatedTime:
    """Run what is due, in order; stands in for the clock of the choice."""

    def __init__(self) -> None:
        """Start at a time that is not zero, like any clock."""
        self.now_ms = 1_000_000.0
        self._due: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0

    CLOCK_BOOTTIME = 7

    def monotonic(self) -> float:
        """Return the time as `time.monotonic` does, in seconds."""
        return self.now_ms / 1000

    def clock_gettime(self, _clock: int) -> float:
        """Return the time as `time.clock_gettime` does, in seconds."""
        return self.now_ms / 1000

    def after(self, delay_ms: float, run: Callable[[], None]) -> None:
        """Run something later."""
        self._count += 1
        heapq.heappush(self._due, (self.now_ms + delay_ms, self._count, run))

    def run(self, until_ms: float) -> None:
        """Run all that is due before a time."""
        while self._due and self._due[0][0] <= until_ms:
            self.now_ms, _, run = heapq.heappop(self._due)
            run()
