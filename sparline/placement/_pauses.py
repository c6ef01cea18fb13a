"""How long the pauses of running streams become while their engine reads a prompt."""

import math
from dataclasses import dataclass, field

from sparline.routes import ServiceName

# Before pauses have been seen, one without any reading takes this part of the wanted longest
# one, and readings add all of their time: requests have to be placed before any can be seen.
FIRST_QUIET = 0.15
# Pauses differ from what is likely by this part of the wanted longest one, at the start and at
# the least.
FIRST_DEVIATION = 0.15
LEAST_DEVIATION = 0.05
# Weight of one more pause: about the last 20 count.
WEIGHT = 0.05
# A reading shorter than this part of the wanted longest pause tells of pauses without any.
NO_READING = 0.1
# Of the pauses during which an engine read all along, this share is at most as long as what is
# taken for the longest: the last event of an answer holds few tokens and comes early.
COVERED_SHARE = 0.9
# Each of them moves what is taken for the longest by up to this part of the wanted longest pause,
# however long a fault made it.
COVERED_STEP = 0.1
# Outcomes are told apart by the length of the reading against the wanted longest pause, in steps
# of this many pauses, up to the last step and all beyond it.
STEP = 0.25
STEPS = 13
# What the lengths of pauses let expect counts like so many outcomes at each step.
EXPECTED_WEIGHT = 2.0
# So many outcomes at one step count at the most (count); older ones fade.
MOST_COUNTED = 300.0


@dataclass(slots=True)
class _Pause:
    """Hold what was seen of the pauses of one wanted length (ms)."""

    quiet_ms: float  # without any reading
    deviation_ms: float  # mean distance from that
    most_ms: float | None = None  # with readings all along, None while none went on for so long
    seen: list[float] = field(default_factory=lambda: [0.0] * STEPS)  # outcomes, by step
    late: list[float] = field(default_factory=lambda: [0.0] * STEPS)  # those that were late
    shares: list[float] | None = None  # late ones as expected by step, None after a change


class PauseTable:
    """Learn which readings make the pauses of running streams too long."""

    def __init__(self) -> None:
        """Start with the guess."""
        self._pauses: dict[tuple[ServiceName, float], _Pause] = {}

    def note_quiet(
        self, service: ServiceName, wanted_ms: float, reading_ms: float, pause_ms: float
    ) -> None:
        """Note a pause in which a reading began, which tells of all pauses if it was short."""
        if reading_ms >= NO_READING * wanted_ms:
            return
        pause = self._of(service, wanted_ms)
        # A fault that holds a stream up for seconds says nothing of the others.
        pause_ms = min(pause_ms, wanted_ms)
        pause.deviation_ms += WEIGHT * (abs(pause_ms - pause.quiet_ms) - pause.deviation_ms)
        pause.quiet_ms += WEIGHT * (pause_ms - pause.quiet_ms)
        pause.shares = None

    def note_covered(self, service: ServiceName, wanted_ms: float, pause_ms: float) -> None:
        """Note a pause during which an engine read all along.

        It shows how much reading a pause takes in at most: an event has so many steps, and each
        of them reads a bounded piece.
        """
        pause = self._of(service, wanted_ms)
        if pause.most_ms is None:
            pause.most_ms = pause_ms
        part = COVERED_SHARE if pause_ms > pause.most_ms else COVERED_SHARE - 1
        pause.most_ms += part * COVERED_STEP * wanted_ms
        pause.shares = None

    def note_outcome(
        self, service: ServiceName, wanted_ms: float, reading_ms: float, is_late: bool
    ) -> None:
        """Note whether a stream's pause became too long after a reading began.

        Readings that no sibling had told yet make it longer too; only outcomes show how often.
        """
        pause = self._of(service, wanted_ms)
        step = min(int(reading_ms / wanted_ms / STEP), STEPS - 1)
        if pause.seen[step] >= MOST_COUNTED:
            pause.seen[step] /= 2
            pause.late[step] /= 2
        pause.seen[step] += 1
        pause.late[step] += is_late
        pause.shares = None

    def late_share(self, service: ServiceName, wanted_ms: float, reading_ms: float) -> float:
        """Return the share of running streams that a reading makes late, 0 to 1."""
        if reading_ms <= STEP / 2 * wanted_ms:
            # Shares count from those of the shortest readings.
            return 0.0
        pause = self._of(service, wanted_ms)
        if pause.shares is None:
            pause.shares = _shares(pause, wanted_ms)
        place = min(max(reading_ms / wanted_ms / STEP - 0.5, 0.0), STEPS - 1.0)
        step = min(int(place), STEPS - 2)
        return pause.shares[step] + (place - step) * (pause.shares[step + 1] - pause.shares[step])

    def learned(self) -> dict[str, list[float | None]]:
        """Return for the log: a quiet pause, its deviation, the longest one beside readings
        (ms), and the share of late streams by the length of the reading.
        """
        return {
            f"{service}/{wanted_ms:.0f}": [
                round(pause.quiet_ms),
                round(pause.deviation_ms),
                None if pause.most_ms is None else round(pause.most_ms),
                *(round(share, 2) for share in _shares(pause, wanted_ms)),
            ]
            for (service, wanted_ms), pause in self._pauses.items()
        }

    def _of(self, service: ServiceName, wanted_ms: float) -> _Pause:
        key = (service, wanted_ms)
        pause = self._pauses.get(key)
        if pause is None:
            pause = _Pause(FIRST_QUIET * wanted_ms, FIRST_DEVIATION * wanted_ms)
            self._pauses[key] = pause
        return pause


@dataclass(frozen=True, slots=True)
class _Block:
    """Hold neighbouring steps that count as one."""

    share: float  # of late outcomes
    seen: float  # outcomes that it is of
    steps: int  # how many


def _shares(pause: _Pause, wanted_ms: float) -> list[float]:
    """Return the share by step, never falling, above what is late without any reading."""
    blocks: list[_Block] = []
    for step in range(STEPS):
        expected = EXPECTED_WEIGHT * _expected(pause, wanted_ms, (step + 0.5) * STEP * wanted_ms)
        seen = pause.seen[step] + EXPECTED_WEIGHT
        block = _Block((pause.late[step] + expected) / seen, seen, 1)
        # A longer reading can't hurt less: steps that say so count as one.
        while blocks and blocks[-1].share > block.share:
            block = _joined(blocks.pop(), block)
        blocks.append(block)
    shares = [block.share for block in blocks for _ in range(block.steps)]
    return [share - shares[0] for share in shares]


def _joined(one: _Block, other: _Block) -> _Block:
    seen = one.seen + other.seen
    share = (one.share * one.seen + other.share * other.seen) / seen
    return _Block(share, seen, one.steps + other.steps)


def _expected(pause: _Pause, wanted_ms: float, reading_ms: float) -> float:
    """Return the share of late streams that the lengths of pauses let expect."""
    most_ms = math.inf if pause.most_ms is None else max(pause.most_ms, pause.quiet_ms)
    # A reading may fall into two pauses; that siblings begin others beside it is as likely.
    likely_ms = min(pause.quiet_ms + reading_ms, most_ms)
    deviation_ms = max(pause.deviation_ms, LEAST_DEVIATION * wanted_ms)
    return _above((likely_ms - wanted_ms) / deviation_ms)


def _above(deviations: float) -> float:
    """Return how often a value spread by one deviation is above a bound so far below it."""
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
