"""The operators' bounds on repeats, cold and leaving servers, judged by what reached the servers."""

from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

SECOND_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class Finding:
    """Hold a bounded figure."""

    what: str
    seen: float
    allowed: float

    @property
    def is_broken(self) -> bool:
        """Tell whether the bound is exceeded."""
        return self.seen > self.allowed


@dataclass(frozen=True, slots=True)
class SeenArrival:
    """Hold one request that reached a backend server."""

    request_id: str
    server: str  # name of the server
    at_ms: float  # when it arrived


@dataclass(frozen=True, slots=True)
class SentRequest:
    """Hold one request that a caller sent."""

    request_id: str
    at_ms: float  # when it was sent


@dataclass(frozen=True, slots=True)
class RepeatRule:
    """Bound the arrivals at a service beyond the first of each request."""

    ratio: float  # allowed per request in the window
    slack: float  # allowed besides, for all instances together
    window_ms: float  # length of the sliding window


@dataclass(frozen=True, slots=True)
class ColdRule:
    """Bound the arrivals at a cold server in any second."""

    per_s: float  # rate that a cold server handles
    excess: float  # factor on that rate
    slack: float  # arrivals allowed besides

    @property
    def most_in_a_second(self) -> float:
        """Return the largest number allowed in any second."""
        return self.per_s * self.excess + self.slack


@dataclass(frozen=True, slots=True)
class RepeatWindow:
    """Describe the window in which repeats come closest to their bound, or exceed it most."""

    until_ms: float  # its end
    repeats: int  # arrivals beyond the first of each request
    allowed: float  # bound in this window

    @property
    def used(self) -> float:
        """Return the repeats relative to the bound."""
        return self.repeats / self.allowed


def worst_repeat_window(
    requests: Iterable[SentRequest], arrivals: Iterable[SeenArrival], rule: RepeatRule
) -> RepeatWindow:
    """Return the worst window.

    The requests are those of that window, of the one before it or of the one half a window before
    it, whichever holds most.
    """
    sent = sorted(one.at_ms for one in requests)
    repeats = _repeat_times(arrivals)
    worst = RepeatWindow(0.0, 0, rule.slack)
    for place, until_ms in enumerate(repeats):
        count = place + 1 - bisect_left(repeats, until_ms - rule.window_ms)
        most_requests = max(
            _count_between(
                sent, until_ms - (back + 1) * rule.window_ms, until_ms - back * rule.window_ms
            )
            for back in (0.0, 0.5, 1.0)
        )
        window = RepeatWindow(until_ms, count, rule.ratio * most_requests + rule.slack)
        worst = max(worst, window, key=lambda one: one.used)
    return worst


def _repeat_times(arrivals: Iterable[SeenArrival]) -> list[float]:
    seen: set[str] = set()
    times = []
    for one in sorted(arrivals, key=lambda one: one.at_ms):
        if one.request_id in seen:
            times.append(one.at_ms)
        seen.add(one.request_id)
    return times


def _count_between(times: Sequence[float], since_ms: float, until_ms: float) -> int:
    return bisect_right(times, until_ms) - bisect_left(times, since_ms)


def most_in_a_second(times: Iterable[float], since_ms: float, until_ms: float) -> int:
    """Return the largest number of times within one second of an interval."""
    inside = sorted(one for one in times if since_ms <= one <= until_ms)
    return max(
        (_count_between(inside, one, one + SECOND_MS) for one in inside),
        default=0,
    )


def latest_after_ms(times: Iterable[float], since_ms: float) -> float:
    """Return how long after a moment the last of the times lies, 0 if none does."""
    return max((one - since_ms for one in times if one > since_ms), default=0.0)
