"""What one caller of a simulated deployment sees of its request."""

from dataclasses import dataclass

import sparline._clock
from benchmarks.choice_simulation._draws import Arrival


@dataclass(slots=True)
class CallerView:
    """Hold what one caller saw of its request."""

    arrival: Arrival  # what it asked
    came_at_ms: float  # when it first asked
    tries: int = 0  # how often it came back
    first_ms: float | None = None  # time to the first event
    event_at_ms: float = 0.0  # newest event
    longest_pause_ms: float = 0.0  # between two events
    whole: bool = False  # whether the answer ended in time
    refused: bool = False  # whether it was last refused

    def credit(self) -> float:
        """Return what the answer earns."""
        kind = self.arrival.kind
        if not self.whole or self.first_ms is None:
            return 0.0
        if self.first_ms <= kind.wanted_ms and self.longest_pause_ms <= kind.pause_ms:
            return self.arrival.credit
        return self.arrival.credit * kind.late_worth / kind.worth

    def note_event(self) -> None:
        """Note an event that arrives now."""
        now = sparline._clock.now_ms()
        if self.first_ms is None:
            self.first_ms = now - self.came_at_ms
        else:
            self.longest_pause_ms = max(self.longest_pause_ms, now - self.event_at_ms)
        self.event_at_ms = now

    def note_end(self) -> None:
        """Note that the answer is whole now."""
        took_ms = sparline._clock.now_ms() - self.came_at_ms
        self.whole = took_ms <= self.arrival.kind.deadline_ms
