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
    target_ms: float  # wanted latency of the latest request
    arrived_value: float = 0.0  # decaying sum of the arrived value
    at_ms: float = 0.0  # when it was last updated

    def decayed(self, now: float) -> float:
        """Return the sum, decayed to the current time (ms)."""
        return self.arrived_value * 0.5 ** ((now - self.at_ms) / HALF_LIFE_MS)


@dataclass(frozen=True, slots=True)
class DemandFacts:
    """Demand of a service, relative to the value of one request."""

    # Value that arrives per ms and is at least as urgent, each part over the square of the target
    # (ms) of its requests.
    per_ms3: float = 0.0
    urgent_share: float = 1.0  # part of all that arrives that is at least as urgent
    later_value: float = 0.0  # value of a usual request that is less urgent
    later_target_ms: float = 1.0  # usual target of these


class DemandTable:
    """Learns demand from the requests of this instance's own callers."""

    def __init__(self) -> None:
        """Start without observations."""
        self._arrivals: dict[ServiceName, dict[_RequestClass, _Arrivals]] = {}

    def note(self, request: RoutedRequest, prompt: Prompt) -> None:
        """Record a request from a caller."""
        size = credit_of(prompt)
        by_class = self._arrivals.setdefault(request.service, {})
        arrivals = by_class.setdefault(_class_of(request), _Arrivals(size, 0.0))
        arrivals.target_ms = request.route.wanted_latency_ms
        arrivals.usual_size += USUAL_WEIGHT * (size - arrivals.usual_size)
        now = now_ms()
        arrivals.arrived_value = arrivals.decayed(now) + self.request_value(request, prompt)
        arrivals.at_ms = now

    def request_value(self, request: RoutedRequest, prompt: Prompt) -> float:
        """Return the estimated value of a request, from its size."""
        size = credit_of(prompt)
        arrivals = self._arrivals.get(request.service, {}).get(_class_of(request))
        usual = arrivals.usual_size if arrivals else float(size)
        return usual**SIZE_EXPONENT * (FIXED_SHARE + (1 - FIXED_SHARE) * size / usual)

    def facts(self, request: RoutedRequest, prompt: Prompt) -> DemandFacts:
        """Return the demand of a request's service, as seen by this instance."""
        by_class = self._arrivals.get(request.service, {})
        urgent = later = per_target = later_values = later_targets_ms = 0.0
        now = now_ms()
        for request_class, one in by_class.items():
            value = one.decayed(now)
            if request_class.rank <= request.priority:
                urgent += value
                per_target += value / one.target_ms**2
            else:
                later += value
                later_values += value * one.usual_size**SIZE_EXPONENT
                later_targets_ms += value * one.target_ms
        own_value = self.request_value(request, prompt)
        per_ms3 = per_target / (HALF_LIVES_PER_SUM * HALF_LIFE_MS) / own_value
        if not later:
            return DemandFacts(per_ms3)
        return DemandFacts(
            per_ms3,
            urgent / (urgent + later),
            later_values / later / own_value,
            later_targets_ms / later,
        )


def _class_of(request: RoutedRequest) -> _RequestClass:
    return _RequestClass(request.route.priority, request.priority)
