"""A process that stands still: what it then takes for old, and for its own doing."""

import pytest

from sparline import _clock
from sparline._clock import PauseWatch
from sparline._ids import BackendServerId
from sparline.placement import HealthTable, _health

SERVER = BackendServerId("e1")
# How long a machine is suspended, or a process frozen (ms).
SLEEPS_MS = (1_000.0, 5_000.0, 30_000.0)
# A machine that goes on has worked for so long when a process knows that it slept (ms).
MOMENT_MS = _clock.SLEEP_CHECK_MS + 1


class SuspendedTime:
    """Stand for a machine's clocks: the monotonic one stands still while it is suspended."""

    CLOCK_BOOTTIME = 7

    def __init__(self) -> None:
        self.awake_s = 100.0
        self.suspended_s = 0.0

    def monotonic(self) -> float:
        return self.awake_s

    def clock_gettime(self, clock: int) -> float:
        assert clock == self.CLOCK_BOOTTIME
        return self.awake_s + self.suspended_s


@pytest.fixture
def machine(monkeypatch):
    time = SuspendedTime()
    monkeypatch.setattr(_clock, "time", time)
    # What this machine's own clocks differ by is not the stand-in's.
    monkeypatch.setattr(_clock, "_sleep", _clock._Sleep())
    return time


@pytest.mark.parametrize("sleep_ms", SLEEPS_MS)
def test_what_was_known_before_a_suspension_is_old_after_it(machine, sleep_ms):
    heard_at_ms = _clock.now_ms()
    machine.suspended_s += sleep_ms / 1000
    # A moment of work later: it is not asked for at each call.
    machine.awake_s += MOMENT_MS / 1000
    assert _clock.now_ms() - heard_at_ms == pytest.approx(sleep_ms + MOMENT_MS)


@pytest.mark.parametrize("wait_ms", (1.5, 20.0, 5_000.0))
def test_waiting_for_a_processor_between_the_two_clocks_is_no_sleep(machine, wait_ms):
    def read_late(_clock_id):
        machine.awake_s += wait_ms / 1000
        return machine.awake_s + machine.suspended_s

    before_ms = _clock.now_ms()
    machine.clock_gettime = read_late
    machine.awake_s += MOMENT_MS / 1000
    assert _clock.now_ms() - before_ms == pytest.approx(MOMENT_MS)
    del machine.clock_gettime
    machine.awake_s += MOMENT_MS / 1000
    assert _clock.now_ms() - before_ms == pytest.approx(2 * MOMENT_MS + wait_ms)


PAUSES = [
    ("none", 0.0, 500.0, False),
    ("a suspension of a second", 1_000.0, 0.0, True),
    ("a suspension of half a minute", 30_000.0, 0.0, True),
    ("a freeze, in which the monotonic clock goes on", 0.0, 5_000.0, True),
    ("a slow turn", 0.0, 800.0, False),
]


@pytest.mark.parametrize(
    ("suspended_ms", "awake_ms", "noted"),
    [row[1:] for row in PAUSES],
    ids=[row[0] for row in PAUSES],
)
def test_a_pause_is_noted_once(machine, suspended_ms, awake_ms, noted):
    pauses: list[float] = []
    watch = PauseWatch(pauses.append)
    machine.suspended_s += suspended_ms / 1000
    machine.awake_s += (awake_ms + MOMENT_MS) / 1000
    # Whoever asks first hears of it, before the next tick.
    assert (watch.process_resumed_at_ms() > 0) is noted
    watch.tick()
    assert pauses == ([pytest.approx(suspended_ms + awake_ms + MOMENT_MS)] if noted else [])


@pytest.mark.parametrize("sleep_ms", SLEEPS_MS)
def test_a_server_is_not_dark_for_what_this_process_slept_through(machine, sleep_ms):
    watch = PauseWatch()
    health = HealthTable(watch.process_resumed_at_ms)
    health.note_sent(SERVER)
    machine.awake_s += 0.5
    watch.tick()
    machine.suspended_s += sleep_ms / 1000
    machine.awake_s += MOMENT_MS / 1000
    assert not health.is_unresponsive(SERVER)
    assert health.usable(SERVER)
    # What stays silent after that is dark.
    for _ in range(4):
        machine.awake_s += 0.4
        watch.tick()
    assert machine.awake_s * 1000 > _health.UNRESPONSIVE_MS
    assert health.is_unresponsive(SERVER)
