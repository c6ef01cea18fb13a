"""Prediction of how long gaps between stream events become while the engine prefills a prompt."""

import math
from dataclasses import dataclass, field

from sparline.routes import ServiceName

# Before any gap has been observed, a gap without prefill is taken to last this fraction of the
# target, and a prefill to add all of its time: requests have to be placed before any can be
# observed.
INITIAL_BASE_GAP_FRACTION = 0.15
# Initial and minimum deviation of gaps from their expected length, as a fraction of the target.
INITIAL_DEVIATION_FRACTION = 0.15
MIN_DEVIATION_FRACTION = 0.05
# Weight of one more gap: about the last 20 count.
WEIGHT = 0.05
# A gap during which the prefill was shorter than this fraction of the target shows how long gaps
# without prefill are.
MAX_IGNORED_PREFILL_FRACTION = 0.1
# Of the gaps during which an engine prefilled all the time, this share is at most as long as the
# estimated maximum: the last event of an answer holds few tokens and comes early.
MAX_GAP_QUANTILE = 0.9
# One such gap moves the estimated maximum by at most this fraction of the target, however long a
# fault made it.
MAX_GAP_STEP_FRACTION = 0.1
# Outcomes are counted in bins by prefill time as a fraction of the target: the bin width, and the
# number of bins, of which the last one has no upper end.
BIN_WIDTH_FRACTION = 0.25
BIN_COUNT = 13
# Weight of the prediction from gap lengths in each bin, in outcomes.
PREDICTION_WEIGHT = 2.0
# Maximum count of outcomes in one bin; beyond it, both of its counts are halved.
MAX_OUTCOMES_PER_BIN = 300.0


@dataclass(slots=True)
class _GapStats:
    """Statistics of the stream gaps with one target (ms)."""

    base_ms: float  # mean gap without prefill
    deviation_ms: float  # mean distance from that
    max_ms: float | None = None  # estimated maximum during prefill, None if unknown
    seen: list[float] = field(default_factory=lambda: [0.0] * BIN_COUNT)  # outcomes by bin
    late: list[float] = field(default_factory=lambda: [0.0] * BIN_COUNT)  # late outcomes by bin
    shares: list[float] | None = None  # cached share of late gaps by bin, None after a change


class GapTable:
    """Learns which prefills make the gaps between the events of running streams too long."""

    def __init__(self) -> None:
        """Start without observations."""
        self._stats: dict[tuple[ServiceName, float], _GapStats] = {}

    def note_base_gap(
        self, service: ServiceName, target_ms: float, prefill_ms: float, gap_ms: float
    ) -> None:
        """Record a gap in which a prefill began; one with a short prefill counts as without."""
        if prefill_ms >= MAX_IGNORED_PREFILL_FRACTION * target_ms:
            return
        stats = self._of(service, target_ms)
        # A fault that blocks one stream for seconds is no evidence about the others.
        gap_ms = min(gap_ms, target_ms)
        stats.deviation_ms += WEIGHT * (abs(gap_ms - stats.base_ms) - stats.deviation_ms)
        stats.base_ms += WEIGHT * (gap_ms - stats.base_ms)
        stats.shares = None

    def note_gap_during_prefill(
        self, service: ServiceName, target_ms: float, gap_ms: float
    ) -> None:
        """Record a gap during which an engine prefilled all the time.

        It shows how much prefill a gap can hold at most, because an event takes a fixed number of
        steps and each step prefills a bounded chunk.
        """
        stats = self._of(service, target_ms)
        if stats.max_ms is None:
            stats.max_ms = gap_ms
        part = MAX_GAP_QUANTILE if gap_ms > stats.max_ms else MAX_GAP_QUANTILE - 1
        stats.max_ms += part * MAX_GAP_STEP_FRACTION * target_ms
        stats.shares = None

    def note_outcome(
        self, service: ServiceName, target_ms: float, prefill_ms: float, is_late: bool
    ) -> None:
        """Record whether a stream's gap became too long after a prefill began.

        Prefills that other instances have not reported yet lengthen it too; only outcomes show how
        often.
        """
        stats = self._of(service, target_ms)
        bin_index = min(int(prefill_ms / target_ms / BIN_WIDTH_FRACTION), BIN_COUNT - 1)
        if stats.seen[bin_index] >= MAX_OUTCOMES_PER_BIN:
            stats.seen[bin_index] /= 2
            stats.late[bin_index] /= 2
        stats.seen[bin_index] += 1
        stats.late[bin_index] += is_late
        stats.shares = None

    def late_share(self, service: ServiceName, target_ms: float, prefill_ms: float) -> float:
        """Return the share of running streams that a prefill makes late, 0 to 1."""
        return self.late_shares(service, target_ms).at(prefill_ms)

    def late_shares(self, service: ServiceName, target_ms: float) -> "LateShares":
        """Return the shares of late streams by prefill time, as known now."""
        stats = self._of(service, target_ms)
        if stats.shares is None:
            stats.shares = _late_shares(stats, target_ms)
        return LateShares(stats.shares, target_ms)

    def learned(self) -> dict[str, list[float | None]]:
        """Return the learned values for the log.

        These are, for each service and target: the mean gap without prefill, its deviation, the
        maximum gap during prefill (ms), and the share of late streams by bin.
        """
        return {
            f"{service}/{target_ms:.0f}": [
                round(stats.base_ms),
                round(stats.deviation_ms),
                None if stats.max_ms is None else round(stats.max_ms),
                *(round(share, 2) for share in _late_shares(stats, target_ms)),
            ]
            for (service, target_ms), stats in self._stats.items()
        }

    def _of(self, service: ServiceName, target_ms: float) -> _GapStats:
        key = (service, target_ms)
        stats = self._stats.get(key)
        if stats is None:
            stats = _GapStats(
                INITIAL_BASE_GAP_FRACTION * target_ms, INITIAL_DEVIATION_FRACTION * target_ms
            )
            self._stats[key] = stats
        return stats


class LateShares:
    """Shares of running streams that a prefill makes late, for one service and target."""

    __slots__ = ("_bin_ms", "_shares")

    def __init__(self, shares: list[float], target_ms: float) -> None:
        """Interpolate between the shares of `BIN_COUNT` bins."""
        self._shares = shares
        self._bin_ms = BIN_WIDTH_FRACTION * target_ms

    def at(self, prefill_ms: float) -> float:
        """Return the share of running streams that a prefill (ms) makes late, 0 to 1."""
        position = prefill_ms / self._bin_ms - 0.5
        if position <= 0:
            # Shares are relative to that of the shortest prefills.
            return 0.0
        position = min(position, BIN_COUNT - 1.0)
        bin_index = min(int(position), BIN_COUNT - 2)
        share = self._shares[bin_index]
        return share + (position - bin_index) * (self._shares[bin_index + 1] - share)


@dataclass(frozen=True, slots=True)
class _Block:
    """Adjacent bins that are pooled into one."""

    share: float  # share of late outcomes
    seen: float  # number of outcomes
    bins: int  # number of bins


def _late_shares(stats: _GapStats, target_ms: float) -> list[float]:
    """Return the share of late streams by bin, non-decreasing and relative to the first bin.

    This is an isotonic regression by pooling adjacent violators.
    """
    blocks: list[_Block] = []
    for bin_index in range(BIN_COUNT):
        expected = PREDICTION_WEIGHT * _predicted_late_share(
            stats, target_ms, (bin_index + 0.5) * BIN_WIDTH_FRACTION * target_ms
        )
        seen = stats.seen[bin_index] + PREDICTION_WEIGHT
        block = _Block((stats.late[bin_index] + expected) / seen, seen, 1)
        # A longer prefill cannot do less harm: bins that violate this are pooled.
        while blocks and blocks[-1].share > block.share:
            block = _pooled(blocks.pop(), block)
        blocks.append(block)
    shares = [block.share for block in blocks for _ in range(block.bins)]
    return [share - shares[0] for share in shares]


def _pooled(one: _Block, other: _Block) -> _Block:
    seen = one.seen + other.seen
    share = (one.share * one.seen + other.share * other.seen) / seen
    return _Block(share, seen, one.bins + other.bins)


def _predicted_late_share(stats: _GapStats, target_ms: float, prefill_ms: float) -> float:
    """Return the share of late streams predicted from gap lengths."""
    max_ms = math.inf if stats.max_ms is None else max(stats.max_ms, stats.base_ms)
    # The whole prefill is taken to fall into one gap: it may be split over two, but it is as likely
    # that other instances start more prefills at the same time.
    expected_ms = min(stats.base_ms + prefill_ms, max_ms)
    deviation_ms = max(stats.deviation_ms, MIN_DEVIATION_FRACTION * target_ms)
    return _normal_probability((expected_ms - target_ms) / deviation_ms)


def _normal_probability(deviations: float) -> float:
    """Return the probability that a normal value exceeds a bound `deviations` below its mean."""
    return 0.5 * (1 + math.erf(deviations / math.sqrt(2)))
