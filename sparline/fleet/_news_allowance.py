"""Rate limit for broadcasts to all siblings."""

from sparline._clock import now_ms

# Maximum rate at which each instance receives broadcasts from all instances of its region together
# (datagrams/s): at 40 us of processor time each this is 0.4% of a core, whatever the number of
# instances and requests.
MAX_BROADCASTS_PER_S = 100.0
# Burst size of an instance (datagrams): a request's prefill is broadcast when it starts and when it
# ends.
BURST_SIZE = 4.0


class BroadcastAllowance:
    """Limit an instance's broadcasts to its share of the region's rate, without coordination."""

    def __init__(self) -> None:
        """Create a token bucket that is full."""
        self._tokens = BURST_SIZE
        self._at_ms = now_ms()

    def take(self, instances: int) -> bool:
        """Take a token if one is available; `instances` is how many share the rate."""
        now = now_ms()
        earned = (now - self._at_ms) / 1000 * MAX_BROADCASTS_PER_S / max(instances, 1)
        self._tokens = min(self._tokens + earned, BURST_SIZE)
        self._at_ms = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
