"""Room for the body of one request: waits for bytes that fit into the account of held bytes."""

from dataclasses import dataclass
from enum import Enum

import gevent
from gevent.event import Event

from sparline._clock import now_ms
from sparline.http._held_bytes import SMALL_BYTES, STALL_MS, HeldBytes

# How long a body waits for room in all (ms), before newer ones are given up for it, or it for others.
ROOM_WAIT_MS = 1_000.0
# How long a body waits for room in all (ms), before it is given up although room was promised.
MAX_ROOM_WAIT_MS = 3_000.0
# Interval at which a body that waits looks for others that have stalled meanwhile (ms).
STALL_POLL_INTERVAL_MS = STALL_MS / 2


class ShortageReason(Enum):
    """Enumerate why a body is not read on."""

    NO_ROOM = "no_room"  # it found no room in time
    STALLED = "stalled"  # others needed its room, and it had not progressed


@dataclass(frozen=True, slots=True)
class RoomShortage:
    """Describe the account as a body was given up."""

    reason: ShortageReason
    body_bytes: int  # bytes of the body that were held
    held_bytes: int  # bytes held in all
    limit_bytes: float  # bytes that may be held
    unfinished_count: int  # unfinished bodies, this one included
    waited_ms: float  # how long it waited for room


class BodyRoom:
    """Hold the body of one request in the account, and wait for room."""

    def __init__(self, held: HeldBytes) -> None:
        """Open an unfinished body."""
        self._held = held
        self._wake = Event()
        self._holding = held.open(now_ms(), self._wake.set)
        self._waited_ms = 0.0
        self._reason = ShortageReason.NO_ROOM
        self._watcher: object | None = None

    def note_growth(self, more_bytes: int) -> bool:
        """Record bytes of the body that have come; return whether they count as progress."""
        return self._held.grow(self._holding, more_bytes, now_ms())

    def settle(self) -> bool:
        """Make room for what has come; return False if the body is given up."""
        self._held.settle(self._holding, now_ms())
        return self._holding.is_unfinished

    def next_read_bytes(self, max_bytes: int) -> int:
        """Return how many bytes to read next; a small body does not become large by asking."""
        left_bytes = SMALL_BYTES - self._holding.held_bytes
        return min(left_bytes, max_bytes) if left_bytes > 0 else max_bytes

    def has_room(self, more_bytes: int) -> bool:
        """Tell whether the body may grow now."""
        return self._holding.is_unfinished and self._held.has_room(self._holding, more_bytes)

    def wait_for_bytes(self, fileno: int, timeout_ms: float) -> bool | None:
        """Wait until bytes can be read; False after the timeout, None if the body is given up."""
        watcher = gevent.get_hub().loop.io(fileno, 1)
        self._watcher = watcher
        self._wake.clear()
        watcher.start(self._wake.set)
        try:
            is_woken = self._wake.wait(max(timeout_ms, 0.0) / 1000)
        finally:
            self._unwatch()
        if self._holding.is_given_up:
            self._reason = ShortageReason.STALLED
            return None
        return is_woken

    def wait_for_room(self, more_bytes: int) -> bool:
        """Wait until the body may grow; False if it is given up."""
        while self._holding.is_unfinished:
            began_at_ms = now_ms()
            if self._held.ask(self._holding, more_bytes, began_at_ms):
                return True
            if self._waited_ms >= MAX_ROOM_WAIT_MS:
                self._held.give_up(self._holding)
            elif self._waited_ms >= ROOM_WAIT_MS:
                self._held.press(self._holding, more_bytes)
            if self._holding.is_given_up:
                return False
            self._wake.clear()
            self._wake.wait(STALL_POLL_INTERVAL_MS / 1000)
            self._waited_ms += now_ms() - began_at_ms
        return False

    def shortage(self) -> RoomShortage:
        """Describe why the body was given up."""
        return RoomShortage(
            self._reason,
            self._holding.held_bytes,
            self._held.total_bytes,
            self._held.limit_bytes,
            self._held.unfinished_count,
            self._waited_ms,
        )

    def keep(self) -> None:
        """Record that the body is whole."""
        self._held.keep(self._holding)

    def release(self) -> None:
        """Release what is held, and end any wait."""
        self._unwatch()
        self._held.release(self._holding)
        self._wake.set()

    def _unwatch(self) -> None:
        watcher, self._watcher = self._watcher, None
        if watcher is not None:
            watcher.stop()  # type: ignore[attr-defined]
            watcher.close()  # type: ignore[attr-defined]
