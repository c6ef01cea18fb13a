"""Recent demand of callers: the value of requests, and how much of it arrives per millisecond."""

from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.placement._credit import credit_of
from sparline.requests import Prompt, RoutedRequest
from sparline.routes import ServiceName

# Between classes of requests value grows with the usual size of their requests to this power:
# customers pay less than twice for what takes twice as long. No instance can observe what they pay.
SIZE_EXPONENT = 0.6
# Fraction of a request's value that does not depend on its size relative to its class.
FIXED_SHARE = 0.3
# Weight of one more request in the usual size of its class: about the last 50 count.
USUAL_WEIGHT = 0.02
# Half-life of the arrived value (ms): a burst is seen within a second.
HALF_LIFE_MS = 1_000.0
# At a constant rate, a sum that decays with a half-life equals the rate times this many half-lives
# (1 / ln 2).
HALF_LIVES_PER_SUM = 1.4427


@dataclass(frozen=True, slots=True)
class _RequestClass:
    """Class of similar requests of one service."""

    route_priority: int  # stands for size: routes of one priority get requests of similar size
    rank: int  # their urgency; the organisation's priority overrides the route's


@dataclass(slots=True)
class _Arrivals:
    """Arrivals of one class of requests."""

    usual_size: float  # size of a usual request
    arrived_value: float = 0.0  # decaying sum of the arrived value
    at_ms: float = 0.0  # when it was last updated

    def decayed(self) -> float:
        """Return the sum, decayed to the current time."""
        return self.arrived_value * 0.5 ** ((now_ms() - self.at_ms) / HALF_LIFE_MS)


class DemandTable:
    """Learns demand from the requests of this instance's own callers."""

    def __init__(self) -> None:
        """Start without observations."""
        self._arrivals: dict[ServiceName, dict[_RequestClass, _Arrivals]] = {}

    def note(self, request: RoutedRequest, prompt: Prompt) -> None:
        """Record a request from a caller."""
        size = credit_of(prompt)
        by_class = self._arrivals.setdefault(request.service, {})
        arrivals = by_class.setdefault(_class_of(request), _Arrivals(size))
        arrivals.usual_size += USUAL_WEIGHT * (size - arrivals.usual_size)
        arrivals.arrived_value = arrivals.decayed() + self.request_value(request, prompt)
        arrivals.at_ms = now_ms()

    def request_value(self, request: RoutedRequest, prompt: Prompt) -> float:
        """Return the estimated value of a request, from its size."""
        size = credit_of(prompt)
        arrivals = self._arrivals.get(request.service, {}).get(_class_of(request))
        usual = arrivals.usual_size if arrivals else float(size)
        return usual**SIZE_EXPONENT * (FIXED_SHARE + (1 - FIXED_SHARE) * size / usual)

    def rate(self, service: ServiceName, priority: int) -> float:
        """Return the value per millisecond of the arrivals that are at least as urgent."""
        by_class = self._arrivals.get(service, {})
        total = sum(
            one.decayed()
            for request_class, one in by_class.items()
            if request_class.rank <= priority
        )
        return total / (HALF_LIVES_PER_SUM * HALF_LIFE_MS)


def _class_of(request: RoutedRequest) -> _RequestClass:
    return _RequestClass(request.route.priority, request.priority)
