"""Decides which requests a leaving instance still accepts, by the time it has left."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.requests import Prompt
from sparline.routes import RequestKind, Route

# Fraction of the grace period in which new requests are accepted. Callers may use a directory
# answer for up to three times its lifetime.
TAKES_NEW_UNTIL = 0.5
# Fraction of the grace period after which the process exits. Requests in flight continue until
# then.
ENDS_AT = 0.95
# Fraction of the grace period in which new requests are accepted if no other instance of the region
# is live. In test runs, three overlapping planned stops left a region without a live instance for
# up to 5 s, and instances of other regions may not run requests bound to their home regions.
NEEDED_UNTIL = 0.85
# A request that can be neither repeated nor resumed is accepted only if it would complete in time
# even if it took this many times as long as expected, because its caller loses an interrupted
# answer. In test runs, answers expected to take at most 3.1 and 3.7 s were cut after 3.2 and 3.8 s.
ONCE_MARGIN = 1.5
# Expected time to the first event, as a multiple of the target latency.
FIRST_TARGETS = 1.0


@dataclass(frozen=True, slots=True)
class LeavePlan:
    """Hold the times of a planned stop."""

    began_ms: float  # start of the stop, by this process's clock
    grace_ms: float  # time until the process is killed
    # Returns whether no other instance of the region is live.
    is_needed: Callable[[], bool] = lambda: False

    def takes_until_ms(self) -> float:
        """Return when new requests are no longer accepted.

        The time moves if other instances of the region start or leave.
        """
        part = NEEDED_UNTIL if self.is_needed() else TAKES_NEW_UNTIL
        return self.began_ms + self.grace_ms * part

    def ends_at_ms(self) -> float:
        """Return when the process exits, even with requests in flight."""
        return self.began_ms + self.grace_ms * ENDS_AT

    def takes(self, route: Route, prompt: Prompt | None, output_token_ms: float) -> bool:
        """Return whether a request that arrives now can be completed in time.

        `output_token_ms` is the maximum time of an output token.
        """
        now = now_ms()
        if now >= self.takes_until_ms():
            return False
        expected_ms = _expected_ms(route, prompt, output_token_ms)
        if not route.repeatable:
            expected_ms *= ONCE_MARGIN
        return now + expected_ms < self.ends_at_ms()


def _expected_ms(route: Route, prompt: Prompt | None, output_token_ms: float) -> float:
    """Return the longest time that a request usually takes."""
    if route.kind is not RequestKind.STREAM or prompt is None:
        return route.wanted_latency_ms
    output_ms = prompt.max_output_tokens * output_token_ms
    return min(FIRST_TARGETS * route.wanted_latency_ms + output_ms, route.timeout_ms)
