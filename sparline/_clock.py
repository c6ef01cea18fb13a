"""The clock that ages and deadlines are taken on, in milliseconds, and this process's own pauses."""

import time
from collections.abc import Callable

# A process that notes the time at least every half second, and was not heard for so long, stood
# still (ms).
PAUSE_LEAST_MS = 900.0
# A suspension is seen this long after the machine goes on, at the latest (ms). The clock that tells of
# it is not asked each time: on some machines that is a system call, which costs more than all else
# that asks for the time.
SLEEP_CHECK_MS = 50.0
# A clock that runs slightly faster than the other makes no sleep (ms).
SLEEP_LEAST_MS = 1.0


class _Sleep:
    """Know how long the machine was suspended since it started."""

    def __init__(self) -> None:
        self.ms = 0.0  # time that the monotonic clock left out
        self.checked_at_ms = float("-inf")  # when that was last looked at, on the monotonic clock

    def check(self, awake_ms: float) -> None:
        self.checked_at_ms = awake_ms
        whole_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
        # A process that has to wait for a processor between the two clocks has not slept: what it slept
        # lies between the differences to a reading before and one after.
        most_ms = whole_ms - awake_ms
        least_ms = whole_ms - time.monotonic() * 1000.0
        if not least_ms - SLEEP_LEAST_MS < self.ms < most_ms + SLEEP_LEAST_MS:
            self.ms = least_ms


_sleep = _Sleep()


def now_ms() -> float:
    """Return the time since the machine started; only differences mean anything.

    It goes on while the machine is suspended, which the monotonic clock does not: what an instance
    holds would look fresh, and deadlines would seem to be ahead, after a sleep of any length.
    """
    awake_ms = time.monotonic() * 1000.0
    if not 0.0 <= awake_ms - _sleep.checked_at_ms <= SLEEP_CHECK_MS:
        _sleep.check(awake_ms)
    return awake_ms + _sleep.ms


class PauseWatch:
    """Know when this process last stood still: frozen, suspended, or without a processor."""

    def __init__(self, on_pause: Callable[[float], None] = lambda _pause_ms: None) -> None:
        """Start now; `on_pause` is told how long each pause was (ms)."""
        self._on_pause = on_pause
        self._ticked_at_ms = now_ms()
        self._thawed_at_ms = 0.0

    def tick(self) -> None:
        """Note that the process runs; to be called every half second."""
        now = now_ms()
        gap_ms = now - self._ticked_at_ms
        self._ticked_at_ms = now
        if gap_ms > PAUSE_LEAST_MS:
            self._thawed_at_ms = now
            self._on_pause(gap_ms)

    def process_resumed_at_ms(self) -> float:
        """Return when the last pause ended, 0 for none; also where nothing has ticked since."""
        if now_ms() - self._ticked_at_ms > PAUSE_LEAST_MS:
            self.tick()
        return self._thawed_at_ms
