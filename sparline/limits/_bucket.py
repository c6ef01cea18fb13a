"""Token bucket with an adjustable rate."""

from sparline._clock import now_ms


class Bucket:
    """Admit requests at a rate, with bursts."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Start with a full bucket."""
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self._level = self.burst
        self._filled_at_ms = now_ms()

    def change(self, rate_per_s: float, burst: float) -> None:
        """Change the rate and burst, discarding tokens above the new burst."""
        self._fill()
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self._level = min(self._level, self.burst)

    def take(self) -> bool:
        """Take one token; return False if none is available."""
        self._fill()
        if self._level < 1:
            return False
        self._level -= 1
        return True

    def wait_ms(self) -> float:
        """Return the time until the next token is available."""
        self._fill()
        missing = max(1 - self._level, 0)
        return missing / max(self.rate_per_s, 1e-6) * 1000

    def _fill(self) -> None:
        now = now_ms()
        self._level = min(
            self.burst, self._level + self.rate_per_s * (now - self._filled_at_ms) / 1000
        )
        self._filled_at_ms = now
