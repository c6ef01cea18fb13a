"""A token bucket whose rate may change at any time."""

from sparline._clock import now_ms


class Bucket:
    """Let requests through at a rate, with a burst."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Start with the whole burst."""
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self._level = self.burst
        self._filled_at_ms = now_ms()

    def change(self, rate_per_s: float, burst: float) -> None:
        """Go on with another rate; what is over the new burst is lost."""
        self._fill()
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self._level = min(self._level, self.burst)

    def take(self) -> bool:
        """Let one request through, or not."""
        self._fill()
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def wait_ms(self) -> float:
        """Return how long until the next request may come."""
        self._fill()
        missing = max(1 - self._level, 0)
        return missing / max(self.rate_per_s, 1e-6) * 1000

    def _fill(self) -> None:
        now = now_ms()
        self._level = min(
            self.burst, self._level + self.rate_per_s * (now - self._filled_at_ms) / 1000
        )
        self._filled_at_ms = now
