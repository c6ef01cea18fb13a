"""A model engine in simulated time: batches, chunked reading, kept starts, bounded memory."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from benchmarks.choice_simulation._draws import EngineKind


@dataclass(slots=True)
class Job:
    """Hold one request at an engine."""

    start: tuple[str, int]  # names its shared start
    shared_tokens: int  # length of that start
    tokens: int  # whole prompt
    output_tokens: int  # answer
    priority: int  # lower ones are admitted first
    on_event: Callable[[], None]  # told of each event
    on_end: Callable[[], None]  # told when the answer is whole
    read_to: int = 0  # tokens of the prompt that are in memory
    made: int = 0  # tokens of the answer so far


class ModelEngine:
    """Run jobs step by step; each step reads some tokens and makes one token of each answer."""

    def __init__(self, kind: EngineKind, speed: float) -> None:
        """Start empty."""
        self._kind = kind
        self._speed = speed
        self._waiting: list[Job] = []
        self._running: list[Job] = []
        self._kept: OrderedDict[tuple[str, int], int] = OrderedDict()
        self.reread_tokens = 0  # tokens of shared starts that were read here

    @property
    def idle(self) -> bool:
        """Tell whether there is nothing to do."""
        return not self._waiting and not self._running

    def add(self, job: Job) -> None:
        """Let a job wait for its place, behind those that are as urgent."""
        self._waiting.append(job)
        self._waiting.sort(key=lambda one: one.priority)

    def step(self) -> tuple[float, Callable[[], None]]:
        """Return the time of the next step, and what to do at its end."""
        self._admit()
        budget = self._kind.chunk_tokens
        reading_ms = 0.0
        for job in self._running:
            unread = min(job.tokens - job.read_to, budget)
            if unread > 0:
                pairs = unread * (job.read_to + unread / 2)
                reading_ms += unread / self._kind.tokens_per_ms
                reading_ms += self._kind.pairs_ms_per_m * pairs / 1e6
                job.read_to += unread
                budget -= unread
        making = [job for job in self._running if job.read_to >= job.tokens]
        step_ms = self._kind.step_ms + self._kind.step_ms_per_slot * len(making)
        return (step_ms + reading_ms) / self._speed, lambda: self._end_step(making)

    def _end_step(self, making: list[Job]) -> None:
        for job in making:
            if job.made == 0:
                self._keep(job)
            job.made += 1
            is_last = job.made >= job.output_tokens
            if is_last or job.made % self._kind.event_tokens == 0:
                job.on_event()
            if is_last:
                self._running.remove(job)
                job.on_end()

    def _admit(self) -> None:
        while self._waiting and len(self._running) < self._kind.slots:
            job = self._waiting[0]
            used = sum(one.tokens + one.output_tokens for one in self._running)
            needed = job.tokens + job.output_tokens
            if self._running and used + needed > self._kind.memory_tokens:
                return
            self._waiting.pop(0)
            if job.start in self._kept:
                self._kept.move_to_end(job.start)
                job.read_to = job.shared_tokens
            else:
                self.reread_tokens += job.shared_tokens
            self._running.append(job)
            self._give_way(used + needed)

    def _keep(self, job: Job) -> None:
        self._kept[job.start] = job.shared_tokens
        self._kept.move_to_end(job.start)

    def _give_way(self, used: int) -> None:
        while self._kept and used + sum(self._kept.values()) > self._kind.memory_tokens:
            self._kept.popitem(last=False)
