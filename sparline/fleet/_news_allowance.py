"""How often an instance may tell all siblings at once of readings that are not long."""

from sparline._clock import now_ms

# All instances of a region together tell each of them so much a second (datagrams/s): 40 us of
# processor time each, 0.4% of a core, however many instances and requests there are.
MOST_TOLD_PER_S = 100.0
# An instance may save up so many (datagrams): a request's reading is told when it begins and ends.
MOST_SAVED = 4.0


class NewsAllowance:
    """Share out what a region's instances may tell at once, without a word between them."""

    def __init__(self) -> None:
        """Start with a full allowance."""
        self._left = MOST_SAVED
        self._at_ms = now_ms()

    def take(self, instances: int) -> bool:
        """Take one where it is left; `instances` share what may be told."""
        now = now_ms()
        earned = (now - self._at_ms) / 1000 * MOST_TOLD_PER_S / max(instances, 1)
        self._left = min(self._left + earned, MOST_SAVED)
        self._at_ms = now
        if self._left < 1:
            return False
        self._left -= 1
        return True
