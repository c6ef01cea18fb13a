"""Retry budget that is divided between instances without communication."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.routes import ServiceName

# Fraction of the budget that is used; the rest absorbs instances that join late.
BUDGET_USED = 0.7
# Limit on an instance's share of the slack while it may not know all other instances (count); after
# BUDGET_USED it allows one retry. Without it, instances that start together would each take
# the whole slack.
UNSETTLED_SLACK = 1.5


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Limit the retries of requests to a service over all instances."""

    ratio: float  # retries per request in the window
    slack: float  # additional retries for the whole fleet
    window_ms: float  # length of the sliding window


class RetryWindow:
    """Enforce the retry budget per service over a sliding window."""

    def __init__(
        self,
        rule: RetryRule,
        sharing: Callable[[], int],
        is_settled: Callable[[], bool] = lambda: True,
    ) -> None:
        """Limit retries by a rule.

        `sharing` returns how many instances share the slack, `is_settled` whether these are likely
        to be all of them.
        """
        self._rule = rule
        self._sharing = sharing
        self._is_settled = is_settled
        self._requests: dict[ServiceName, deque[float]] = {}
        self._repeats: dict[ServiceName, deque[float]] = {}

    def note_request(self, service: ServiceName) -> None:
        """Count a request from a caller."""
        self._recent(self._requests, service).append(now_ms())

    def spend(self, service: ServiceName) -> bool:
        """Use up one retry; return False if the budget is exhausted."""
        repeats = self._recent(self._repeats, service)
        earned = self._rule.ratio * len(self._recent(self._requests, service))
        if len(repeats) + 1 > BUDGET_USED * (earned + self._slack()):
            return False
        repeats.append(now_ms())
        return True

    def _slack(self) -> float:
        """Return this instance's share of the slack."""
        share = self._rule.slack / max(self._sharing(), 1)
        return share if self._is_settled() else min(share, UNSETTLED_SLACK)

    def _recent(self, table: dict[ServiceName, deque[float]], service: ServiceName) -> deque[float]:
        times = table.setdefault(service, deque())
        since = now_ms() - self._rule.window_ms
        while times and times[0] < since:
            times.popleft()
        return times
