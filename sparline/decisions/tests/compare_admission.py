"""Compare controllers of the admission level: python -m sparline.decisions.tests.compare_admission."""

from collections.abc import Callable
from statistics import mean

from sparline.decisions import OPEN_LEVEL, OPENING_MS, LevelController
from sparline.decisions._admission_level import MAX_BUDGET_FACTOR, MAX_FALL, TOLERATED_MISSES
from sparline.decisions.tests.admission_plant import PATIENCE_MS, Plant

CAPACITY, USUAL, SURGE = 1_000.0, 900.0, 3_000.0
SEEDS = range(1, 6)
# Decrease of the multiplicative controller in a round.
DECREASE = 0.7


class _FixedRise(LevelController):
    """Rise by a fixed part of the demand in each round without too many misses."""

    def _adjust(self, now: float, span_ms: float) -> None:
        asked, share = self.asked_per_s, self.missed_share
        if self.budget_per_s is None or (self.level == OPEN_LEVEL and share <= TOLERATED_MISSES):
            self.budget_per_s = asked * MAX_BUDGET_FACTOR
        elif share > TOLERATED_MISSES:
            self.budget_per_s = max(self._lowered(share), self.budget_per_s * MAX_FALL)
        else:
            rise = asked * span_ms / OPENING_MS
            self.budget_per_s = min(self.budget_per_s + rise, asked * MAX_BUDGET_FACTOR)

    def _lowered(self, share: float) -> float:
        raise NotImplementedError


class MultiplicativeFall(_FixedRise):
    """Fall by a fixed factor."""

    def _lowered(self, share: float) -> float:
        return (self.budget_per_s or 0.0) * DECREASE


class StepToServed(_FixedRise):
    """Fall to the rate that was served in time."""

    def _lowered(self, share: float) -> float:
        return min(self.budget_per_s or 0.0, self._admitted.per_s * (1 - share))


class NoLevel(LevelController):
    """Leave the level open."""

    def _adjust(self, now: float, span_ms: float) -> None:
        self.budget_per_s = self.asked_per_s * MAX_BUDGET_FACTOR


def compare(make: Callable[[dict[int, float]], LevelController], delay: int, by_rank: bool) -> str:
    """Return goodput, share of the most urgent rank, and goodput after the surge."""
    figures = []
    for seed in SEEDS:
        surge = Plant(
            make(PATIENCE_MS),
            lambda ms: SURGE if 4_000 <= ms < 12_000 else USUAL,
            lambda _ms: CAPACITY,
            delay,
            by_rank=by_rank,
            seed=seed,
        ).run(16_000)
        loss = Plant(
            make(PATIENCE_MS),
            lambda _ms: USUAL,
            lambda ms: CAPACITY / 2 if 4_000 <= ms < 12_000 else CAPACITY,
            delay,
            by_rank=by_rank,
            seed=seed,
        ).run(16_000)
        figures.append(
            (
                surge.goodput(5, 12) / CAPACITY,
                surge.share(0, 5, 12),
                surge.goodput(12, 14) / USUAL,
                loss.goodput(5, 12) / (CAPACITY / 2),
                loss.share(0, 5, 12),
            )
        )
    return " | ".join(f"{mean(values):.2f}" for values in zip(*figures, strict=True))


if __name__ == "__main__":
    for controller in (NoLevel, MultiplicativeFall, StepToServed, LevelController):
        for rounds in (1, 2):
            for ranked in (True, False):
                name = f"{controller.__name__} | {rounds} | {'rank' if ranked else 'arrival'}"
                print(f"| {name} | {compare(controller, rounds, ranked)} |")
