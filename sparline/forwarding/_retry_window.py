"""Retry budget that is divided between instances without communication."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from sparline._clock import now_ms
from sparline.routes import ServiceName

# Fraction of the budget that is used; the rest absorbs instances that join late.
BUDGET_FRACTION = 0.7
# Maximum share of the slack that an instance uses while it may not know all other instances, or
# what its process before it has used (count). Multiplied by BUDGET_FRACTION it allows one retry.
# Without this limit, instances that start together would each use the whole slack, and each time
# they start again.
MAX_UNSETTLED_SLACK = 1.5


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Limit the retries of requests to a service over all instances."""

    ratio: float  # retries per request in the window
    slack: float  # additional retries for the whole fleet
    window_ms: float  # length of the sliding window


@dataclass(frozen=True, slots=True)
class RetryUsage:
    """Describe the use of one service's retry budget by this instance in the current window."""

    service: ServiceName
    requests: int  # requests that allow retries
    retries: int  # retries used
    allowed: float  # retries allowed to this instance
    instances: int  # instances that share the slack
    is_settled: bool  # whether all instances are likely to be among them


class RetryWindow:
    """Enforce the retry budget per service over a sliding window."""

    def __init__(
        self,
        rule: RetryRule,
        instance_count: Callable[[], int],
        is_settled: Callable[[], bool] = lambda: True,
        is_first_start: bool = True,
    ) -> None:
        """Limit retries by a rule.

        `instance_count` returns how many instances share the slack, and `is_settled` whether all
        instances are likely to be among them. `is_first_start` says that no process of this
        instance has run before.
        """
        self._rule = rule
        self._instance_count = instance_count
        self._is_settled = is_settled
        # Until then, retries of the process before this one may still count.
        self._predecessor_until_ms = -inf if is_first_start else now_ms() + rule.window_ms
        self._request_times: dict[ServiceName, deque[float]] = {}
        self._retry_times: dict[ServiceName, deque[float]] = {}

    def note_request(self, service: ServiceName) -> None:
        """Count a request from a caller."""
        self._times_in_window(self._request_times, service).append(now_ms())

    def spend(self, service: ServiceName) -> bool:
        """Use up one retry; return False if the budget is exhausted."""
        retry_times = self._times_in_window(self._retry_times, service)
        if len(retry_times) + 1 > self._allowed(service):
            return False
        retry_times.append(now_ms())
        return True

    def give_back(self, service: ServiceName) -> None:
        """Return one retry that was taken and not used."""
        retry_times = self._times_in_window(self._retry_times, service)
        if retry_times:
            retry_times.pop()

    def usage(self) -> list[RetryUsage]:
        """Return the use of the budget of each service with retries in the window."""
        return [
            self.usage_of(service)
            for service in sorted(self._retry_times)
            if self._times_in_window(self._retry_times, service)
        ]

    def usage_of(self, service: ServiceName) -> RetryUsage:
        """Return the use of one service's budget."""
        return RetryUsage(
            service,
            len(self._times_in_window(self._request_times, service)),
            len(self._times_in_window(self._retry_times, service)),
            self._allowed(service),
            self._instance_count(),
            self._is_settled(),
        )

    def _allowed(self, service: ServiceName) -> float:
        requests = len(self._times_in_window(self._request_times, service))
        return BUDGET_FRACTION * (self._rule.ratio * requests + self._slack())

    def _slack(self) -> float:
        """Return this instance's share of the slack."""
        share = self._rule.slack / max(self._instance_count(), 1)
        may_use_all = self._is_settled() and now_ms() >= self._predecessor_until_ms
        return share if may_use_all else min(share, MAX_UNSETTLED_SLACK)

    def _times_in_window(
        self, table: dict[ServiceName, deque[float]], service: ServiceName
    ) -> deque[float]:
        recent_times = table.setdefault(service, deque())
        since = now_ms() - self._rule.window_ms
        while recent_times and recent_times[0] < since:
            recent_times.popleft()
        return recent_times
