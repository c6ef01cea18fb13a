"""Known load of each backend server: the newest reading plus the changes since."""

from collections import deque
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.fleet._loads import NO_LOAD, ServerLoad, add_pending, sum_loads, trim_pending

# Maximum age of a reading or change that is still used (ms).
LOAD_MAX_AGE_MS = 4_000.0


@dataclass(frozen=True, slots=True)
class LoadReading:
    """Hold the total load that all instances of a region put on one backend server."""

    at_ms: float  # when the sum was computed (process clock)
    covers_until_ms: float  # local changes up to this time are included in the sum
    load: ServerLoad  # total load
    is_doubted: bool  # whether the server recently failed any instance


@dataclass(frozen=True, slots=True)
class _Change:
    """Hold one change of a server's load, local or broadcast by a sibling."""

    at_ms: float  # when it was recorded
    load: ServerLoad  # added load, negative for removed load


class _Changes:
    """Hold a server's changes, oldest first, and their sum, which every placement reads."""

    def __init__(self) -> None:
        self._entries: deque[_Change] = deque()
        self.sum = ServerLoad()

    def __bool__(self) -> bool:
        return bool(self._entries)

    def add(self, change: _Change) -> None:
        self._entries.append(change)
        self.sum = sum_loads((self.sum, change.load))

    def drop_until(self, at_ms: float) -> None:
        """Drop the changes up to and including a time."""
        dropped = []
        while self._entries and self._entries[0].at_ms <= at_ms:
            dropped.append(self._entries.popleft().load)
        if dropped:
            removed = sum_loads(dropped)
            self.sum = ServerLoad(
                self.sum.running - removed.running,
                self.sum.held_tokens - removed.held_tokens,
                self.sum.unread_tokens - removed.unread_tokens,
                add_pending(self.sum.pending, tuple(-one for one in removed.pending)),
            )


class ServerLoadTable:
    """Keep the newest reading of each backend server, from any source, and the changes since."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._readings: dict[BackendServerId, LoadReading] = {}
        self._changes: dict[BackendServerId, _Changes] = {}

    def note_change(self, server_id: BackendServerId, change: ServerLoad) -> None:
        """Record a change of a server's load by this instance, or one broadcast by a sibling."""
        now = now_ms()
        changes = self._changes.setdefault(server_id, _Changes())
        changes.add(_Change(now, change))
        self._trim(server_id, now)

    def take(self, server_id: BackendServerId, reading: LoadReading) -> bool:
        """Store a reading if it is newer than the current one; return whether it was stored."""
        if not self.is_newer(server_id, reading.at_ms):
            return False
        self.replace(server_id, reading)
        return True

    def replace(self, server_id: BackendServerId, reading: LoadReading) -> None:
        """Store a reading that is newer than the current one."""
        self._readings[server_id] = reading
        if server_id in self._changes:
            self._trim(server_id, now_ms())

    def is_newer(self, server_id: BackendServerId, at_ms: float) -> bool:
        """Return whether a reading of a time (process clock, ms) is newer than the current one."""
        held = self._readings.get(server_id)
        return held is None or held.at_ms < at_ms

    def _trim(self, server_id: BackendServerId, now: float) -> None:
        changes = self._changes.get(server_id)
        if changes is None:
            return
        held = self._readings.get(server_id)
        since = max(now - LOAD_MAX_AGE_MS, held.covers_until_ms if held is not None else 0.0)
        changes.drop_until(since)
        if not changes:
            del self._changes[server_id]

    def reading(self, server_id: BackendServerId) -> LoadReading | None:
        """Return the newest reading of a server, or None if there is none or it has expired."""
        held = self._readings.get(server_id)
        return held if held is not None and held.at_ms >= now_ms() - LOAD_MAX_AGE_MS else None

    def load(self, server_id: BackendServerId) -> ServerLoad | None:
        """Return the estimated load of a server, or None if nothing is known."""
        reading = self.reading(server_id)
        changes = self._changes.get(server_id)
        if changes is None:
            return None if reading is None else reading.load
        # Before the first reading, only the recorded changes are known.
        base = NO_LOAD if reading is None else reading.load
        change = changes.sum
        return ServerLoad(
            max(base.running + change.running, 0),
            max(base.held_tokens + change.held_tokens, 0),
            max(base.unread_tokens + change.unread_tokens, 0),
            _at_least_zero(add_pending(base.pending, change.pending)),
        )

    def age_ms(self, server_id: BackendServerId) -> float | None:
        """Return the age of a server's newest reading, or None if there is none."""
        reading = self.reading(server_id)
        return None if reading is None else now_ms() - reading.at_ms

    def is_doubted(self, server_id: BackendServerId) -> bool:
        """Return whether the newest reading says that the server recently failed an instance."""
        reading = self.reading(server_id)
        return reading is not None and reading.is_doubted

    def newer_than(self, age_ms: float) -> list[tuple[BackendServerId, LoadReading]]:
        """Return the readings of at most this age, newest first."""
        since = now_ms() - age_ms
        found = [(one, held) for one, held in self._readings.items() if held.at_ms >= since]
        found.sort(key=lambda pair: pair[1].at_ms, reverse=True)
        return found

    def forget_old(self) -> None:
        """Drop expired readings and changes."""
        since = now_ms() - LOAD_MAX_AGE_MS
        self._readings = {one: held for one, held in self._readings.items() if held.at_ms >= since}
        for server_id in list(self._changes):
            self._trim(server_id, now_ms())


def _at_least_zero(pending: tuple[int, ...]) -> tuple[int, ...]:
    """Return pending requests without those that were removed before they were added."""
    if not pending or min(pending) >= 0:
        return pending
    return trim_pending(max(one, 0) for one in pending)
