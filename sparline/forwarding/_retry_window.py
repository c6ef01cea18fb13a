"""A budget for repeats, shared out between instances without a word between them."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.routes import ServiceName

# Part of the fleet's budget that is used, so that late arrivals stay within it.
BUDGET_USED = 0.7
# Repeats beyond the ratio that an instance allows itself while it may not know the others (count):
# the first one, after the part above. Those that start together would each take the whole slack.
UNSETTLED_SLACK = 1.5


@dataclass(frozen=True, slots=True)
class RetryRule:
    """Bound the sends to a service beyond the first of each request, over all instances."""

    ratio: float  # repeats for each request of the window
    slack: float  # repeats beyond that, for the whole fleet
    window_ms: float  # length of the window


class RetryWindow:
    """Count requests and repeats of the last window, by service."""

    def __init__(
        self,
        rule: RetryRule,
        sharing: Callable[[], int],
        is_settled: Callable[[], bool] = lambda: True,
    ) -> None:
        """Bound repeats by a rule.

        `sharing` tells how many instances share the slack, `is_settled` whether these are likely
        to be all of them.
        """
        self._rule = rule
        self._sharing = sharing
        self._is_settled = is_settled
        self._requests: dict[ServiceName, deque[float]] = {}
        self._repeats: dict[ServiceName, deque[float]] = {}

    def note_request(self, service: ServiceName) -> None:
        """Count a request of a caller."""
        self._recent(self._requests, service).append(now_ms())

    def spend(self, service: ServiceName) -> bool:
        """Take one repeat; False where the budget is used up."""
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
