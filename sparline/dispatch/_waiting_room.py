"""Requests that wait here for room; what waits here has provably not run."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent.event import Event

from sparline._clock import now_ms
from sparline.requests import Length, Request
from sparline.routing import Reservation
from sparline.schema._messages import WaitingCount

PRIORITY_HEAD_START_MS = 500.0

Placer = Callable[[Request, frozenset[str]], Reservation | None]


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold one waiting request."""

    request: Request  # what waits
    excluded: frozenset[str]  # backend servers tried already
    arrived_ms: float = field(default_factory=now_ms)  # when it began to wait
    placed: Event = field(default_factory=Event)  # set once it has a place
    reservation: Reservation | None = None  # its place

    def urgency(self) -> tuple[bool, float]:
        """Return what goes first: short questions, then time waited and priority.

        Long work does not starve: a part of every engine's slots is kept for it.
        """
        waited_ms = now_ms() - self.arrived_ms
        head_start_ms = self.request.priority * PRIORITY_HEAD_START_MS
        return self.request.length is Length.SHORT, waited_ms + head_start_ms


class WaitingRoom:
    """Give room that appears to the most urgent request that fits it."""

    def __init__(self, place: Placer) -> None:
        """Ask `place` for a place; it returns None where there is no room."""
        self._place = place
        self._waiters: list[Waiter] = []

    def enter(self, request: Request, excluded: frozenset[str]) -> Waiter:
        """Begin to wait."""
        waiter = Waiter(request, excluded)
        self._waiters.append(waiter)
        return waiter

    def wait(self, waiter: Waiter, slice_ms: float) -> Reservation | None:
        """Wait for a place for a short while."""
        waiter.placed.wait(slice_ms / 1000)
        if waiter.reservation is None:
            self.pump()
        return waiter.reservation

    def leave(self, waiter: Waiter) -> None:
        """Stop waiting, with or without a place."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def pump(self) -> None:
        """Place whoever can be placed, the most urgent first."""
        full: set[tuple[str, Length]] = set()
        for waiter in sorted(self._waiters, key=Waiter.urgency, reverse=True):
            key = waiter.request.routing_key, waiter.request.length
            if key in full:
                continue
            reservation = self._place(waiter.request, waiter.excluded)
            if reservation is None:
                full.add(key)
                continue
            waiter.reservation = reservation
            self._waiters.remove(waiter)
            waiter.placed.set()

    def counts(self) -> list[WaitingCount]:
        """Return how many requests wait, by target and length."""
        lengths = Counter((one.request.routing_key, one.request.length) for one in self._waiters)
        targets = sorted({target for target, _ in lengths})
        return [
            WaitingCount(one, lengths[one, Length.SHORT], lengths[one, Length.LONG])
            for one in targets
        ]

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._waiters)
