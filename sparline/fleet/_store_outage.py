"""Outages of the store, as seen by this instance and by the peers that it copies from."""

from math import inf

from sparline._clock import now_ms


class StoreOutage:
    """Track whether the store is away, and when it last came back."""

    def __init__(self) -> None:
        """Start without an outage."""
        self._is_ongoing = False  # whether the last call failed, other than by an abort
        self._is_aborted = False  # whether this instance itself aborted the pending call
        self._ended_at_ms = -inf  # end of the last outage, as far as is known

    def note_abort(self) -> None:
        """Record that this instance aborts the pending call."""
        self._is_aborted = True

    def note_failed_call(self) -> None:
        """Record a failed call; an aborted one says nothing of the store, which answers peers."""
        self._is_ongoing = self._is_ongoing or not self._is_aborted
        self._is_aborted = False

    def note_answer(self) -> None:
        """Record a response, which ends an outage."""
        if self._is_ongoing:
            self._ended_at_ms = now_ms()
        self._is_ongoing = False
        self._is_aborted = False

    def note_end(self, age_ms: float = 0.0) -> None:
        """Record an outage that ended `age_ms` ago, as a restoration or a peer shows."""
        self._ended_at_ms = max(self._ended_at_ms, now_ms() - age_ms)

    def age_ms(self) -> float:
        """Return the time since the last outage ended, 0 during one, infinite for none."""
        return 0.0 if self._is_ongoing else now_ms() - self._ended_at_ms
