"""The account of the bytes that an instance holds for others, without a clock and without sockets.

Each holder alone is bounded by the limits on a message; the account bounds all of them together. While
it is full, unfinished messages are given up until the others can be read on.
"""

import math
from collections.abc import Callable, Iterator
from enum import Enum

# Messages up to this size are small (bytes): large ones never take their share of the account.
SMALL_BYTES = 65_536
# Part of the account that large messages may take.
LARGE_FRACTION = 3 / 4
# Part of the account up to which answers are held until they are whole: the rest is for bodies, which
# cannot be passed on before that.
KEPT_FRACTION = 1 / 2
# Bytes of an unfinished message that count as progress, so that a byte now and then does not.
PROGRESS_BYTES = 16_384
# Time without progress after which an unfinished message is given up if others need its room (ms).
STALL_MS = 500.0


class HoldingState(Enum):
    """Enumerate what may become of a holding."""

    READING = "reading"  # unfinished, and there was room to read on
    WAITING = "waiting"  # unfinished, and not read on for want of room
    KEPT = "kept"  # whole: it is never given up
    GIVEN_UP = "given_up"  # its holder must release it
    RELEASED = "released"  # it holds nothing any more


class Holding:
    """Hold the bytes of one message."""

    __slots__ = ("held_bytes", "marked_at_ms", "marked_bytes", "state", "wake")

    def __init__(self, now_ms: float, wake: Callable[[], None]) -> None:
        """Start with an unfinished message; `wake` is called once it may ask again, or is given up."""
        self.held_bytes = 0
        self.state = HoldingState.READING
        self.wake = wake
        self.marked_at_ms = now_ms  # when it last progressed
        self.marked_bytes = 0  # what it held then

    @property
    def is_large(self) -> bool:
        """Tell whether it has outgrown the share of small messages."""
        return self.held_bytes > SMALL_BYTES

    @property
    def is_unfinished(self) -> bool:
        """Tell whether it may still grow by asking."""
        return self.state in (HoldingState.READING, HoldingState.WAITING)

    @property
    def is_given_up(self) -> bool:
        """Tell whether its holder must release it."""
        return self.state is HoldingState.GIVEN_UP


class HeldBytes:
    """Grant room to messages, and choose which unfinished ones are given up for others."""

    def __init__(self, limit_bytes: float = math.inf) -> None:
        """Start with nothing held."""
        self.limit_bytes = limit_bytes
        self._large_bytes = 0  # of large messages
        self._small_bytes = 0  # of the others
        self._leaving_bytes = 0  # of those that are given up and not released yet
        self._unfinished: dict[Holding, None] = {}  # in the order in which they began

    @property
    def total_bytes(self) -> int:
        """Return the bytes held for all messages."""
        return self._large_bytes + self._small_bytes

    @property
    def unfinished_count(self) -> int:
        """Return the number of unfinished messages."""
        return len(self._unfinished)

    def open(self, now_ms: float, wake: Callable[[], None]) -> Holding:
        """Open an unfinished message, which holds nothing yet."""
        holding = Holding(now_ms, wake)
        self._unfinished[holding] = None
        return holding

    def open_kept(self) -> Holding:
        """Open a message that is never given up."""
        holding = Holding(0.0, _ignore)
        holding.state = HoldingState.KEPT
        return holding

    def has_room(self, holding: Holding, more_bytes: int) -> bool:
        """Tell whether a message may grow; the only large one always may."""
        return self._lacks_bytes(holding, more_bytes) <= 0

    def may_keep(self, more_bytes: int) -> bool:
        """Tell whether a message that need not be held, as an answer, may be held on."""
        return self.total_bytes + more_bytes <= self.limit_bytes * KEPT_FRACTION

    def grow(self, holding: Holding, more_bytes: int, now_ms: float) -> bool:
        """Add bytes that have come; return whether they count as progress."""
        self._count(holding, -holding.held_bytes)
        holding.held_bytes += more_bytes
        self._count(holding, holding.held_bytes)
        if holding.held_bytes - holding.marked_bytes < PROGRESS_BYTES:
            return False
        holding.marked_bytes = holding.held_bytes
        holding.marked_at_ms = now_ms
        return True

    def ask(self, holding: Holding, more_bytes: int, now_ms: float) -> bool:
        """Tell whether an unfinished message may be read on; make room of stalled ones if not.

        Without room its holder waits until it is woken, and asks again.
        """
        assert holding.is_unfinished, f"expected an unfinished message, found {holding.state}"
        if self.has_room(holding, more_bytes):
            if holding.state is HoldingState.WAITING:
                # It could not progress while it waited.
                holding.state = HoldingState.READING
                holding.marked_at_ms = now_ms
            return True
        holding.state = HoldingState.WAITING
        stalled = [
            one
            for one in self._victims(holding, more_bytes)
            if one.state is HoldingState.READING and now_ms - one.marked_at_ms >= STALL_MS
        ]
        stalled.sort(key=lambda one: (one.marked_at_ms, -one.held_bytes))
        self._give_up_enough(holding, more_bytes, iter(stalled))
        return False

    def press(self, holding: Holding, more_bytes: int) -> None:
        """Make room for a message that has waited long enough: newer ones are given up, or else it."""
        if holding.is_given_up:
            return
        newer = []
        for one in reversed(self._unfinished):
            if one is holding:
                break
            newer.append(one)
        allowed = set(self._victims(holding, more_bytes))
        if not self._give_up_enough(
            holding, more_bytes, (one for one in newer if one in allowed and one.held_bytes)
        ):
            self.give_up(holding)

    def give_up(self, holding: Holding) -> None:
        """Let a holder release an unfinished message."""
        assert holding.is_unfinished, f"expected an unfinished message, found {holding.state}"
        holding.state = HoldingState.GIVEN_UP
        self._leaving_bytes += holding.held_bytes
        holding.wake()

    def settle(self, holding: Holding, now_ms: float) -> None:
        """Make room for what a message holds already; without any it is given up itself."""
        if self.has_room(holding, 0):
            return
        self.ask(holding, 0, now_ms)
        self.press(holding, 0)
        if holding.state is HoldingState.WAITING:
            holding.state = HoldingState.READING

    def keep(self, holding: Holding) -> None:
        """Record that a message is whole: it is never given up."""
        self._unfinished.pop(holding, None)
        holding.state = HoldingState.KEPT

    def release(self, holding: Holding) -> None:
        """Release all that a message holds, and wake those that wait for room."""
        if holding.state is HoldingState.RELEASED:
            return
        if holding.is_given_up:
            self._leaving_bytes -= holding.held_bytes
        self._unfinished.pop(holding, None)
        holding.state = HoldingState.RELEASED
        self._count(holding, -holding.held_bytes)
        has_released = holding.held_bytes > 0
        holding.held_bytes = 0
        if has_released:
            self._wake_waiting()

    def release_part(self, holding: Holding, fewer_bytes: int) -> None:
        """Release a part of what a message holds."""
        if fewer_bytes == 0:
            return
        self._count(holding, -holding.held_bytes)
        holding.held_bytes -= fewer_bytes
        self._count(holding, holding.held_bytes)
        self._wake_waiting()

    def _count(self, holding: Holding, more_bytes: int) -> None:
        if holding.is_large:
            self._large_bytes += more_bytes
        else:
            self._small_bytes += more_bytes

    def _lacks_bytes(self, holding: Holding, more_bytes: int) -> float:
        """Return the bytes that must be released before a message may grow, 0 or less for none."""
        large_limit_bytes = self.limit_bytes * LARGE_FRACTION
        if holding.held_bytes + more_bytes <= SMALL_BYTES:
            taken_bytes = min(self._large_bytes, large_limit_bytes) + self._small_bytes
            return taken_bytes + more_bytes - self.limit_bytes
        own_bytes = holding.held_bytes
        other_large_bytes = self._large_bytes - (own_bytes if holding.is_large else 0)
        if other_large_bytes == 0:
            return 0
        other_small_bytes = self._small_bytes - (0 if holding.is_large else own_bytes)
        limit_bytes = min(large_limit_bytes, self.limit_bytes - other_small_bytes)
        return other_large_bytes + own_bytes + more_bytes - limit_bytes

    def _victims(self, holding: Holding, more_bytes: int) -> Iterator[Holding]:
        """Yield unfinished messages that may be given up for another, by their age."""
        share_bytes = self.limit_bytes * (1 - LARGE_FRACTION)
        would_be_large = holding.held_bytes + more_bytes > SMALL_BYTES
        spares_small = would_be_large and self._small_bytes <= share_bytes
        for one in self._unfinished:
            if one is not holding and not one.is_given_up and (one.is_large or not spares_small):
                yield one

    def _give_up_enough(
        self, holding: Holding, more_bytes: int, victims: Iterator[Holding]
    ) -> bool:
        """Give up as many as it takes; return whether those are enough."""
        while self._lacks_bytes(holding, more_bytes) > self._leaving_bytes:
            victim = next(victims, None)
            if victim is None:
                return False
            self.give_up(victim)
        return True

    def _wake_waiting(self) -> None:
        """Wake those that wait, oldest first, as far as the room goes."""
        granted_bytes = 0
        for one in list(self._unfinished):
            if one.state is HoldingState.WAITING and self.has_room(one, granted_bytes + 1):
                granted_bytes += SMALL_BYTES
                one.wake()


def _ignore() -> None:
    """Do nothing."""
