"""Simulated region: backend servers with a queue, callers by rank, and delayed reports."""

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from sparline.decisions import (
    ADJUSTMENT_MS,
    BUCKET_KEYS,
    LevelController,
    RoundReport,
    admission_key,
    is_admitted,
    is_telling,
)

TICK_MS = 10.0
TARGET_MS = 500.0
# Callers give up after this time (ms).
WAIT_MS = 2_000.0
# Servers refuse requests whose expected wait exceeds the target by this factor.
MAX_LATENESS = 1.25
PATIENCE_MS = {rank: 4_000.0 for rank in range(3)}


@dataclass(slots=True)
class PlantResult:
    """Hold the cost asked and served in time by (second, rank), and the level by round."""

    asked: dict[tuple[int, int], float] = field(default_factory=dict)
    in_time: dict[tuple[int, int], float] = field(default_factory=dict)
    levels: list[tuple[float, int, int]] = field(default_factory=list)

    def share(self, rank: int, since_s: int, until_s: int) -> float:
        """Return the part of a rank's requests that was served in time."""
        asked = sum(self.asked.get((second, rank), 0.0) for second in range(since_s, until_s))
        served = sum(self.in_time.get((second, rank), 0.0) for second in range(since_s, until_s))
        return served / asked if asked else 1.0

    def goodput(self, since_s: int, until_s: int) -> float:
        """Return the cost served in time per second."""
        served = sum(
            cost for (second, _), cost in self.in_time.items() if since_s <= second < until_s
        )
        return served / (until_s - since_s)


@dataclass(slots=True)
class Plant:
    """Run callers against servers and a controller."""

    controller: LevelController
    demand: Callable[[float], float]  # cost per second, by time (ms)
    capacity: Callable[[float], float]  # cost per second, by time (ms)
    delay_rounds: int = 1  # rounds until a report has an effect
    weights: tuple[float, ...] = (0.25, 0.35, 0.4)  # demand by rank
    by_rank: bool = True  # whether servers take the more urgent requests first
    unrelated: float = 0.0  # part of the requests that is late whatever the load
    seed: int = 1

    def run(self, length_ms: float) -> PlantResult:
        """Return what was served over a time."""
        chance = random.Random(self.seed)
        result = PlantResult()
        queues: list[deque[tuple[float, int, int]]] = [deque() for _ in self.weights]
        due = work = 0.0
        reports: deque[RoundReport] = deque()
        levels: deque[tuple[int, int]] = deque([(self.controller.level, self.controller.floor)])
        report: dict[int, float] = {}
        admitted = missed = answered = 0.0
        now = 0.0
        level, floor = levels[0]
        while now < length_ms:
            capacity = self.capacity(now)
            due += self.demand(now) * TICK_MS / 1000
            while due >= 1:
                due -= 1
                rank = chance.choices(range(len(self.weights)), self.weights)[0]
                key = admission_key(rank, 0, chance.randrange(128))
                at = (int(now // 1000), rank)
                result.asked[at] = result.asked.get(at, 0.0) + 1
                report[key // BUCKET_KEYS] = report.get(key // BUCKET_KEYS, 0.0) + 1
                if not is_admitted(key, level, floor):
                    continue
                admitted += 1
                queue = rank if self.by_rank else 0
                ahead = sum(len(queues[one]) for one in range(queue + 1))
                if 1000 * ahead / max(capacity, 1) > MAX_LATENESS * TARGET_MS:
                    missed += 1
                else:
                    queues[queue].append((now, rank, level))
            for one in queues:
                while one and now - one[0][0] > WAIT_MS:
                    missed += is_telling(one.popleft()[2], level)
            work = min(work + capacity * TICK_MS / 1000, capacity * TICK_MS / 1000 + 1)
            while work >= 1 and (queue := next((one for one in queues if one), None)):
                work -= 1
                answered += 1
                began_ms, rank, admitted_at = queue.popleft()
                if now - began_ms > TARGET_MS or chance.random() < self.unrelated:
                    missed += is_telling(admitted_at, level)
                else:
                    at = (int(began_ms // 1000), rank)
                    result.in_time[at] = result.in_time.get(at, 0.0) + 1
            now += TICK_MS
            if now % ADJUSTMENT_MS == 0:
                reports.append(RoundReport(report, admitted, missed, answered))
                report, admitted, missed, answered = {}, 0.0, 0.0, 0.0
                if len(reports) > self.delay_rounds - 1:
                    self.controller.note(reports.popleft())
                    self.controller.step(now)
                level, floor = self.controller.level, self.controller.floor
                result.levels.append((now, level, floor))
        return result
