"""The longest recent times of requests, by route and service, here and at other instances."""

from collections import deque
from dataclasses import dataclass
from typing import NamedTuple

from sparline._clock import now_ms
from sparline.gateway._in_flight import InFlightRequests
from sparline.requests import RoutedRequest
from sparline.routes import RequestKind, Route, RouteName, ServiceName

# A time counts for at least this long, and at most one interval longer (ms).
WINDOW_MS = 60_000.0
INTERVAL_MS = 10_000.0
# With fewer times than this in the window, the longest one is not known (count).
MIN_TIMES = 30


class RunKey(NamedTuple):
    """Identify requests that take similar times."""

    route: RouteName  # their route
    service: ServiceName  # service of the route that handles them
    # Whether the time is that to the first event of a stream, not that to the end of the answer.
    is_first_event: bool


def whole_key(route: Route, service: ServiceName) -> RunKey:
    """Return the key of the times of whole answers."""
    return RunKey(route.name, service, is_first_event=False)


def estimate_key(route: Route, service: ServiceName, has_prompt: bool) -> RunKey:
    """Return the key of the times by which a request is estimated.

    That is the first event of a stream whose output can be estimated from its prompt.
    """
    is_first_event = route.kind is RequestKind.STREAM and has_prompt
    return RunKey(route.name, service, is_first_event)


@dataclass(frozen=True, slots=True)
class RunTimes:
    """Sum up the times of one key in the window."""

    times: int  # how many there are
    longest_ms: float  # longest of them
    # Age of the oldest request in flight whose time is not known yet, 0 if there is none.
    oldest_ms: float


@dataclass(slots=True)
class _Interval:
    """Sum up the times of one interval."""

    began_at_ms: float  # when the first of them was recorded
    times: int = 0  # how many there are
    longest_ms: float = 0.0  # longest of them


class RunTimeTable:
    """Keep the longest times of the last minute."""

    def __init__(self, in_flight: InFlightRequests) -> None:
        """Create an empty table beside the requests that are being forwarded."""
        self._in_flight = in_flight
        self._intervals: dict[RunKey, deque[_Interval]] = {}
        self._peer_times: dict[RunKey, list[RunTimes]] = {}  # as other instances reported them

    def note(self, request: RoutedRequest, first_at_ms: float | None) -> None:
        """Record a request whose answer is complete, with the time of its first event."""
        for key in _keys_of(request):
            until_ms = first_at_ms if key.is_first_event else now_ms()
            if until_ms is not None:
                self._note_time(key, until_ms - request.arrived_at_ms)

    def _note_time(self, key: RunKey, took_ms: float) -> None:
        interval = self._current(key)
        interval.times += 1
        interval.longest_ms = max(interval.longest_ms, took_ms)

    def longest_ms(self, key: RunKey) -> float | None:
        """Return the longest time in the window, None if it is not known.

        It is not known if there are too few times, or if a request in flight is older than the
        longest one: it will take longer than its age.
        """
        return self._longest_ms(key, self._ages_ms())

    def _longest_ms(self, key: RunKey, ages_ms: dict[RunKey, float]) -> float | None:
        known = [self._own_times(key, ages_ms), *self._peer_times.get(key, ())]
        if sum(one.times for one in known) < MIN_TIMES:
            return None
        longest_ms = max(one.longest_ms for one in known)
        if max(one.oldest_ms for one in known) > longest_ms:
            return None
        return longest_ms

    def shortest_ms(self) -> float | None:
        """Return the longest time of the fastest kind of request, None if it is not known."""
        ages_ms = self._ages_ms()
        known = (
            self._longest_ms(one, ages_ms)
            for one in {*self._intervals, *self._peer_times}
            if not one.is_first_event
        )
        return min((one for one in known if one is not None), default=None)

    def remaining_ms(self) -> float:
        """Return how long the requests in flight take if none takes longer than others recently."""
        now = now_ms()
        ends_ms = (
            one.arrived_at_ms + self._longest_own_ms(whole_key(one.route, one.service))
            for one in self._in_flight
        )
        return max(max(ends_ms, default=now) - now, 0.0)

    def own_times(self) -> dict[RunKey, RunTimes]:
        """Return the times of this instance in the window."""
        ages_ms = self._ages_ms()
        found = {key: self._own_times(key, ages_ms) for key in {*self._intervals, *ages_ms}}
        return {key: one for key, one in found.items() if one.times or one.oldest_ms}

    def note_peer_times(self, key: RunKey, times: RunTimes) -> None:
        """Add the times of another instance; they count until this process exits."""
        self._peer_times.setdefault(key, []).append(times)

    def _own_times(self, key: RunKey, ages_ms: dict[RunKey, float]) -> RunTimes:
        longest_ms = self._longest_own_ms(key)
        times = sum(one.times for one in self._intervals.get(key, ()))
        return RunTimes(times, longest_ms, ages_ms.get(key, 0.0))

    def _longest_own_ms(self, key: RunKey) -> float:
        self._drop_old(key)
        return max((one.longest_ms for one in self._intervals.get(key, ())), default=0.0)

    def _ages_ms(self) -> dict[RunKey, float]:
        """Return the age of the oldest request in flight whose time is not known yet, by key."""
        now = now_ms()
        ages_ms: dict[RunKey, float] = {}
        for request in self._in_flight:
            for key in _keys_of(request):
                if key.is_first_event and self._in_flight.has_begun(request):
                    continue
                ages_ms[key] = max(ages_ms.get(key, 0.0), now - request.arrived_at_ms)
        return ages_ms

    def forget_unused(self) -> None:
        """Forget keys without a time in the window."""
        for key in list(self._intervals):
            self._drop_old(key)

    def _current(self, key: RunKey) -> _Interval:
        intervals = self._intervals.setdefault(key, deque())
        now = now_ms()
        if not intervals or now - intervals[-1].began_at_ms >= INTERVAL_MS:
            intervals.append(_Interval(now))
        return intervals[-1]

    def _drop_old(self, key: RunKey) -> None:
        intervals = self._intervals.get(key)
        if intervals is None:
            return
        since_ms = now_ms() - WINDOW_MS - INTERVAL_MS
        while intervals and intervals[0].began_at_ms < since_ms:
            intervals.popleft()
        if not intervals:
            del self._intervals[key]


def _keys_of(request: RoutedRequest) -> set[RunKey]:
    """Return the keys under which the times of a request count."""
    route, service = request.route, request.service
    return {whole_key(route, service), estimate_key(route, service, request.prompt is not None)}
