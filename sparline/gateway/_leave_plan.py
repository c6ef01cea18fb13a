"""What an instance that leaves still takes, by the time that is left to it."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.requests import Prompt
from sparline.routes import RequestKind, Route

# A planned stop, in parts of the grace period: until then new requests are still taken,
# because callers hold on to an older answer of the directory for up to three times its
# time; then what is under way goes on until just before the end.
TAKES_NEW_UNTIL = 0.5
ENDS_AT = 0.95
# An instance takes new requests until this part of it where no other of its region does: three
# planned stops that overlap leave a region without a live instance for up to 5 s (seen in plays),
# and whoever is sent to another region may not run what is bound to its home.
NEEDED_UNTIL = 0.85
# What can't be run again or picked up is taken only if it would end in time even if it took so much longer
# than expected (factor): cut off, it is lost to its caller (seen in plays: answers expected to take at most
# 3.1 and 3.7 s were cut after 3.2 and 3.8 s).
ONCE_MARGIN = 1.5
# The wait for the first event is taken for this many wanted times.
FIRST_TARGETS = 1.0


@dataclass(frozen=True, slots=True)
class LeavePlan:
    """Hold when a planned stop began and how long it may take."""

    began_ms: float  # start of the stop, on this process's clock
    grace_ms: float  # time until the process is killed
    # Whether no other instance of the region takes requests.
    is_needed: Callable[[], bool] = lambda: False

    def takes_until_ms(self) -> float:
        """Return when nothing new is begun any more, as far as is known now."""
        part = NEEDED_UNTIL if self.is_needed() else TAKES_NEW_UNTIL
        return self.began_ms + self.grace_ms * part

    def ends_at_ms(self) -> float:
        """Return when the process ends, whatever is under way."""
        return self.began_ms + self.grace_ms * ENDS_AT

    def takes(self, route: Route, prompt: Prompt | None, output_token_ms: float) -> bool:
        """Tell whether a request that comes now can be ended in time.

        `output_token_ms` is the time that a token of an answer takes at most.
        """
        now = now_ms()
        if now >= self.takes_until_ms():
            return False
        expected_ms = _expected_ms(route, prompt, output_token_ms)
        if not route.repeatable:
            expected_ms *= ONCE_MARGIN
        return now + expected_ms < self.ends_at_ms()


def _expected_ms(route: Route, prompt: Prompt | None, output_token_ms: float) -> float:
    """Return how long a request may take, at the most that is usual."""
    if route.kind is not RequestKind.STREAM or prompt is None:
        return route.target_latency_ms
    output_ms = prompt.max_output_tokens * output_token_ms
    return min(FIRST_TARGETS * route.target_latency_ms + output_ms, route.timeout_ms)
