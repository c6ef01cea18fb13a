"""Queue of requests that wait for a slot.

A request whose attempt ends in the queue was not sent to a backend server in that attempt.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from gevent.event import Event

from sparline._clock import now_ms
from sparline.requests import Length, Request
from sparline.routing import Reservation
from sparline.schema._messages import WaitingCount

# One level of priority counts as much as this waiting time.
MS_PER_PRIORITY = 500.0

ReserveSlot = Callable[[Request, frozenset[str]], Reservation | None]


@dataclass(slots=True, eq=False)
class Waiter:
    """Hold one waiting request."""

    request: Request  # the waiting request
    excluded: frozenset[str]  # backend servers and zones that were already tried
    arrived_at_ms: float = field(default_factory=now_ms)  # when it was queued
    placed: Event = field(default_factory=Event)  # set once it has a reservation
    reservation: Reservation | None = None  # the reserved slot

    def urgency(self) -> tuple[bool, float]:
        """Return a sort key, greater for short requests, then for longer waits and higher priority.

        Long requests do not starve, because some slots of each engine are reserved for them.
        """
        waited_ms = now_ms() - self.arrived_at_ms
        priority_ms = self.request.priority * MS_PER_PRIORITY
        return self.request.length is Length.SHORT, waited_ms + priority_ms


class WaitQueue:
    """Queue requests, and give free slots to the most urgent request that fits."""

    def __init__(self, reserve_slot: ReserveSlot) -> None:
        """Reserve slots with `reserve_slot`, which returns None if no slot is free."""
        self._reserve_slot = reserve_slot
        self._waiters: list[Waiter] = []

    def enter(self, request: Request, excluded: frozenset[str]) -> Waiter:
        """Queue a request."""
        waiter = Waiter(request, excluded)
        self._waiters.append(waiter)
        return waiter

    def wait(self, waiter: Waiter, timeout_ms: float) -> Reservation | None:
        """Wait up to `timeout_ms` for a reservation; return None if there is none yet."""
        waiter.placed.wait(timeout_ms / 1000)
        if waiter.reservation is None:
            self.place_waiting()
        return waiter.reservation

    def leave(self, waiter: Waiter) -> None:
        """Remove a waiter, whether or not it has a reservation."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def place_waiting(self) -> None:
        """Reserve free slots for waiting requests, most urgent first."""
        full: set[tuple[str, Length]] = set()
        for waiter in sorted(self._waiters, key=Waiter.urgency, reverse=True):
            key = waiter.request.routing_key, waiter.request.length
            if key in full:
                continue
            reservation = self._reserve_slot(waiter.request, waiter.excluded)
            if reservation is None:
                full.add(key)
                continue
            waiter.reservation = reservation
            self._waiters.remove(waiter)
            waiter.placed.set()

    def counts(self) -> list[WaitingCount]:
        """Return the number of waiting requests by target and length."""
        lengths = Counter((one.request.routing_key, one.request.length) for one in self._waiters)
        targets = sorted({target for target, _ in lengths})
        return [
            WaitingCount(one, lengths[one, Length.SHORT], lengths[one, Length.LONG])
            for one in targets
        ]

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self._waiters)
