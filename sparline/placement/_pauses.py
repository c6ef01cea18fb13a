"""Prediction of how long gaps between stream events become while the engine prefills a prompt."""

import math
from dataclasses import dataclass, field

from sparline.routes import ServiceName

# Before any gap has been observed, a gap without prefill is taken to last this fraction of the
# target, and a prefill to add all of its time: requests have to be placed before any can be
# observed.
FIRST_QUIET = 0.15
# Initial and minimum deviation of gaps from their expected length, as a fraction of the target.
FIRST_DEVIATION = 0.15
LEAST_DEVIATION = 0.05
# Weight of one more gap: about the last 20 count.
WEIGHT = 0.05
# A gap during which the prefill was shorter than this fraction of the target shows how long gaps
# without prefill are.
NO_READING = 0.1
# Of the gaps during which an engine prefilled all the time, this share is at most as long as the
# estimated maximum: the last event of an answer holds few tokens and comes early.
COVERED_SHARE = 0.9
# One such gap moves the estimated maximum by at most this fraction of the target, however long a
# fault made it.
COVERED_STEP = 0.1
# Outcomes are counted in bins by prefill time as a fraction of the target: the bin width, and the
# number of bins, of which the last one has no upper end.
STEP = 0.25
STEPS = 13
# Weight of the prediction from gap lengths in each bin, in outcomes.
EXPECTED_WEIGHT = 2.0
# Maximum count of one bin; older outcomes fade.
MOST_COUNTED = 300.0


@dataclass(slots=True)
class _Pause:
    """Statistics of the stream gaps with one target (ms)."""

    quiet_ms: float  # mean gap without prefill
    deviation_ms: float  # mean distance from that
    most_ms: float | None = None  # estimated maximum during prefill, None if unknown
    seen: list[float] = field(default_factory=lambda: [0.0] * STEPS)  # outcomes by bin
    late: list[float] = field(default_factory=lambda: [0.0] * STEPS)  # late outcomes by bin
    shares: list[float] | None = None  # cached share of late gaps by bin, None after a change


class PauseTable:
    """Learns which prefills make the gaps between the events of running streams too long."""

    def __init__(self) -> None:
        """Start without observations."""
        self._pauses: dict[tuple[ServiceName, float], _Pause] = {}

    def note_quiet(
        self, service: ServiceName, wanted_ms: float, reading_ms: float, pause_ms: float
    ) -> None:
        """Record a gap in which a prefill began; one with a short prefill counts as without."""
        if reading_ms >= NO_READING * wanted_ms:
            return
        pause = self._of(service, wanted_ms)
        # A fault that blocks one stream for seconds is no evidence about the others.
        pause_ms = min(pause_ms, wanted_ms)
        pause.deviation_ms += WEIGHT * (abs(pause_ms - pause.quiet_ms) - pause.deviation_ms)
        pause.quiet_ms += WEIGHT * (pause_ms - pause.quiet_ms)
        pause.shares = None

    def note_covered(self, service: ServiceName, wanted_ms: float, pause_ms: float) -> None:
        """Record a gap during which an engine prefilled all the time.

        It shows how much prefill a gap can hold at most, because an event takes a fixed number of
        steps and each step prefills a bounded chunk.
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
        """Record whether a stream's gap became too long after a prefill began.

        Prefills that other instances have not reported yet lengthen it too; only outcomes show how
        often.
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
        """Return the share of running streams that a prefill makes late, 0 to 1."""
        if reading_ms <= STEP / 2 * wanted_ms:
            # Shares are relative to that of the shortest prefills.
            return 0.0
        pause = self._of(service, wanted_ms)
        if pause.shares is None:
            pause.shares = _shares(pause, wanted_ms)
        place = min(max(reading_ms / wanted_ms / STEP - 0.5, 0.0), STEPS - 1.0)
        step = min(int(place), STEPS - 2)
        return pause.shares[step] + (place - step) * (pause.shares[step + 1] - pause.shares[step])

    def learned(self) -> dict[str, list[float | None]]:
        """Return the learned values for the log.

        These are, for each service and target: the mean gap without prefill, its deviation, the
        maximum gap during prefill (ms), and the share of late streams by bin.
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
    """Adjacent bins that are pooled into one."""

    share: float  # share of late outcomes
    seen: float  # number of outcomes
    steps: int  # number of bins


def _shares(pause: _Pause, wanted_ms: float) -> list[float]:
    """Return the share of late streams by bin, non-decreasing and relative to the first bin.

    This is an isotonic regression by pooling adjacent violators.
    """
    blocks: list[_Block] = []
    for step in range(STEPS):
        expected = EXPECTED_WEIGHT * _expected(pause, wanted_ms, (step + 0.5) * STEP * wanted_ms)
        seen = pause.seen[step] + EXPECTED_WEIGHT
        block = _Block((pause.late[step] + expected) / seen, seen, 1)
        # A longer prefill cannot do less harm: bins that violate this are pooled.
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
    """Return the share of late streams predicted from gap lengths."""
    most_ms = math.inf if pause.most_ms is None else max(pause.most_ms, pause.quiet_ms)
    # A prefill may be split over two gaps; that other instances start more at the same time is as
    # likely.
    likely_ms = min(pause.quiet_ms + reading_ms, most_ms)
    deviation_ms = max(pause.deviation_ms, LEAST_DEVIATION * wanted_ms)
    return _above((likely_ms - wanted_ms) / deviation_ms)


def _above(deviations: float) -> float:
    """Return the probability that a normal value exceeds a bound `deviations` below its mean."""
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
