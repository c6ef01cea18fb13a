"""Decides which requests a leaving instance still accepts, by the time until it exits."""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sparline._clock import now_ms
from sparline.gateway._late_requests import (
    LONGEST_TIME_FACTOR,
    LateBound,
    LateRequest,
    expected_ms,
)
from sparline.routes import Route

# Fraction of the grace period in which new requests are accepted. Callers may use a directory
# answer for up to three times its lifetime.
ACCEPT_FRACTION = 0.5
# Fraction of the grace period after which the process exits. Requests in flight continue until
# then.
EXIT_FRACTION = 0.95
# Fraction of the grace period in which new requests are accepted at most if no other instance of the
# region is live: instances of other regions may not run requests bound to their home regions.
LAST_INSTANCE_ACCEPT_FRACTION = 0.85
# How long it usually takes from a process's exit until the next one accepts requests (ms).
RESTART_MS = 2_000.0
# How long callers are at least told when to come back before the process exits and nobody answers
# them (ms): those who send several requests a second learn it.
NOTICE_MS = 500.0
# How long callers may use a directory answer that names a leaving instance (ms).
ANSWER_HELD_MS = 3_000.0


class StopPhase(Enum):
    """Name what a leaving instance is there for."""

    # Other instances of the region are live: it serves callers whose directory answer names it.
    REPLACED = "replaced"
    # None is live, but one is about to be back: it serves all callers of the region until then.
    SUBSTITUTING = "substituting"
    # None is live, and another leaving one serves the callers: the sooner it exits, the sooner it
    # restarts and replaces that one.
    RELIEVED = "relieved"
    # None is live, and this one will be the first to be back: it completes what it has accepted.
    FINISHING = "finishing"


@dataclass(frozen=True, slots=True)
class LateDecision:
    """Hold whether a leaving instance accepts a request, and why."""

    is_accepted: bool
    expected_ms: float  # longest time that the request is expected to take
    left_ms: float  # time until the process exits
    phase: StopPhase  # what this instance is there for
    bound: LateBound  # what bounds the expected time


@dataclass(frozen=True, slots=True)
class StopSources:
    """Provide what a planned stop depends on besides its own times."""

    is_last_in_region: Callable[[], bool]  # whether no other instance of the region is live
    # Whether another instance of the region, which is away, is likely to be back soon.
    is_return_expected: Callable[[], bool]
    # Whether another leaving instance of the region accepts requests in its place.
    is_relieved: Callable[[], bool]
    are_others_leaving: Callable[[], bool]  # whether other instances of the region are leaving
    # Longest recent time of the fastest kind of request, None if it is not known.
    shortest_ms: Callable[[], float | None]
    # How long the requests in flight are expected to take from now on.
    remaining_ms: Callable[[], float]


@dataclass(slots=True)
class LeavePlan:
    """Hold the times of a planned stop."""

    began_at_ms: float  # start of the stop, by this process's clock
    grace_ms: float  # time until the process is killed
    sources: StopSources
    _named_alone_at_ms: float = -math.inf  # when directory answers last named no other instance
    _finishing_at_ms: float = math.inf  # since when it finishes, infinite if it does not
    _held_at_ms: float = -math.inf  # when a request from before that was last in flight

    def phase(self) -> StopPhase:
        """Return what this instance is there for; it changes as others start or leave."""
        phase = self._current_phase()
        if phase is not StopPhase.FINISHING:
            self._finishing_at_ms = math.inf
        elif math.isinf(self._finishing_at_ms):
            self._finishing_at_ms = now_ms()
        if phase in (StopPhase.SUBSTITUTING, StopPhase.FINISHING):
            self._named_alone_at_ms = now_ms()
        return phase

    def _current_phase(self) -> StopPhase:
        if not self.sources.is_last_in_region():
            return StopPhase.REPLACED
        if self.sources.is_relieved():
            return StopPhase.RELIEVED
        if self.sources.is_return_expected() and now_ms() < self.substitutes_until_ms():
            return StopPhase.SUBSTITUTING
        return StopPhase.FINISHING

    def accepts_until_ms(self) -> float:
        """Return when new requests are no longer accepted.

        The time moves if other instances of the region start or leave.
        """
        match self.phase():
            case StopPhase.REPLACED:
                return min(self._replaced_end_ms(), self.last_fit_ms())
            case StopPhase.RELIEVED:
                return self.began_at_ms
        return self._last_instance_end_ms()

    def substitutes_until_ms(self) -> float:
        """Return until when this instance waits for another one that is about to be back.

        Callers whose directory answer was given before the stop have come by then, and less and less
        time is left for requests that take longer than any recent one.
        """
        return self.began_at_ms + min(ANSWER_HELD_MS, self.grace_ms * ACCEPT_FRACTION)

    def served_again_in_ms(self) -> float:
        """Return how long it is likely to take until a refused request may be accepted."""
        match self.phase():
            case StopPhase.SUBSTITUTING:
                return self.substitutes_until_ms() - now_ms()
            case StopPhase.FINISHING:
                remaining_ms = self.sources.remaining_ms()
                notice_ms = NOTICE_MS if remaining_ms else self._notice_end_ms() - now_ms()
                return remaining_ms + max(notice_ms, 0.0) + RESTART_MS
        return 0.0

    def may_close_early(self, oldest_arrived_at_ms: float | None) -> bool:
        """Return whether nothing is gained by accepting requests for as long as the plan allows.

        `oldest_arrived_at_ms` is when the oldest request in flight arrived, None if there is none.
        """
        if self.phase() is StopPhase.FINISHING:
            # Requests that have arrived since then surely end in time: there is no need to wait for a
            # moment without any.
            if oldest_arrived_at_ms is not None and oldest_arrived_at_ms < self._finishing_at_ms:
                self._held_at_ms = now_ms()
            return now_ms() >= self._notice_end_ms()
        return oldest_arrived_at_ms is None and now_ms() >= self.last_fit_ms()

    def _notice_end_ms(self) -> float:
        """Return until when callers are told at least when to come back.

        That includes those who wait for the last answer, and then send the next request.
        """
        return max(self._finishing_at_ms, self._held_at_ms) + NOTICE_MS

    def _replaced_end_ms(self) -> float:
        """Return until when callers come whose directory answer names no other instance."""
        named_until_ms = min(self._named_alone_at_ms + ANSWER_HELD_MS, self._last_instance_end_ms())
        return max(self.began_at_ms + self.grace_ms * ACCEPT_FRACTION, named_until_ms)

    def _last_instance_end_ms(self) -> float:
        return self.began_at_ms + self.grace_ms * LAST_INSTANCE_ACCEPT_FRACTION

    def last_fit_ms(self) -> float:
        """Return the time after which no new request would be complete before the exit."""
        shortest_ms = self.sources.shortest_ms()
        if shortest_ms is None:
            return self.exits_at_ms()
        return self.exits_at_ms() - shortest_ms * LONGEST_TIME_FACTOR

    def exits_at_ms(self) -> float:
        """Return when the process exits, even with requests in flight."""
        return self.began_at_ms + self.grace_ms * EXIT_FRACTION

    def decide(self, request: LateRequest) -> LateDecision:
        """Decide whether a request that arrives now can be completed in time."""
        now = now_ms()
        phase = self.phase()
        bound = self._bound(request.route, now, phase)
        longest_ms = expected_ms(request, bound, phase is StopPhase.SUBSTITUTING)
        left_ms = self.exits_at_ms() - now
        is_accepted = now < self.accepts_until_ms() and longest_ms < left_ms
        return LateDecision(is_accepted, longest_ms, left_ms, phase, bound)

    def _bound(self, route: Route, at_ms: float, phase: StopPhase) -> LateBound:
        """Return what bounds the time of a request that arrives at a moment.

        A refusal costs callers one try where another instance is live or this one is soon back. An
        exit costs them the answer, and for good if the request runs only once.
        """
        if phase is StopPhase.SUBSTITUTING:
            return LateBound.RECENT_TIMES
        may_be_named = at_ms < self.began_at_ms + ANSWER_HELD_MS
        is_replaced = phase is StopPhase.REPLACED
        if is_replaced and route.repeatable and may_be_named and self.sources.are_others_leaving():
            return LateBound.RECENT_TIMES
        return LateBound.OWN_LIMIT
