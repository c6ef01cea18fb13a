"""Requests that this instance is forwarding."""

from collections.abc import Iterator
from contextlib import contextmanager

from sparline.requests import RoutedRequest


class InFlightRequests:
    """Hold the requests in flight."""

    def __init__(self) -> None:
        """Start with none."""
        self._requests: dict[int, RoutedRequest] = {}
        self._begun: set[int] = set()  # keys of those whose answer has begun

    def __len__(self) -> int:
        """Return how many there are."""
        return len(self._requests)

    def __iter__(self) -> Iterator[RoutedRequest]:
        """Iterate over those in flight now."""
        return iter(list(self._requests.values()))

    def oldest_arrived_at_ms(self) -> float | None:
        """Return when the oldest of them arrived, None if there is none."""
        return min((one.arrived_at_ms for one in self._requests.values()), default=None)

    def note_first(self, request: RoutedRequest) -> None:
        """Record that the first event or answer of a request in flight has come."""
        if id(request) in self._requests:
            self._begun.add(id(request))

    def has_begun(self, request: RoutedRequest) -> bool:
        """Tell whether the first event or answer of a request has come."""
        return id(request) in self._begun

    @contextmanager
    def holding(self, request: RoutedRequest) -> Iterator[None]:
        """Hold a request while it is forwarded."""
        # Request ids come from callers and may be used twice at the same time.
        key = id(request)
        self._requests[key] = request
        try:
            yield
        finally:
            del self._requests[key]
            self._begun.discard(key)
