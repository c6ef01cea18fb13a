"""Token bucket with an adjustable rate."""

from sparline._clock import now_ms


class TokenBucket:
    """Admit requests at a rate, with bursts."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        """Start with a full bucket."""
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self._tokens = self.burst
        self._refilled_at_ms = now_ms()

    def change(self, rate_per_s: float, burst: float) -> None:
        """Change the rate and burst, discarding tokens above the new burst."""
        self._refill()
        self.rate_per_s = rate_per_s
        self.burst = max(burst, 1.0)
        self._tokens = min(self._tokens, self.burst)

    def take(self) -> bool:
        """Take one token; return False if none is available."""
        self._refill()
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def wait_ms(self) -> float:
        """Return the time until the next token is available."""
        self._refill()
        missing = max(1 - self._tokens, 0)
        return missing / max(self.rate_per_s, 1e-6) * 1000

    def _refill(self) -> None:
        now = now_ms()
        self._tokens = min(
            self.burst, self._tokens + self.rate_per_s * (now - self._refilled_at_ms) / 1000
        )
        self._refilled_at_ms = now
