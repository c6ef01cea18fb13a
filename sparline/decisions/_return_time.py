"""When a caller that is turned away is to come back.

Load pattern: a jump of the load for seconds. All that are turned away in one second and come back in
the next meet the same backlog, and have then used their last try up.
"""

from dataclasses import dataclass

# When a refused caller is told to come back, by how late it would have been (ms).
RETRY_AFTER_LEAST_MS = 150.0
RETRY_AFTER_MOST_MS = 1_500.0
# Where nothing can run a request, callers are told to come back after this part of the time that
# they have left, the longest that they heed, but within these bounds (ms): such a state lasts for
# seconds, and a caller that comes back into it has used its last try up.
WAIT_SHARE = 1 / 3
WAIT_LEAST_MS = 500.0
WAIT_MOST_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class ReturnFacts:
    """Hold what is known of a request that is turned away for load."""

    wanted_ms: float  # wanted time to the first event or answer
    expected_ms: float  # estimated time to it, had it been let in
    left_ms: float  # time until its caller gives up


def return_after_ms(facts: ReturnFacts) -> float:
    """Return when a caller that was turned away for load is to come back."""
    late_ms = facts.expected_ms - facts.wanted_ms
    return min(max(late_ms, RETRY_AFTER_LEAST_MS), RETRY_AFTER_MOST_MS)


def unserved_wait_ms(left_ms: float, backoff_left_ms: float | None = None) -> float:
    """Return when a caller with so much time left is to come back where nothing can serve it.

    `backoff_left_ms` is the time until the backoff of a suitable server ends, None if none backs off.
    It shortens the wait but never below the minimum Retry-After.
    """
    wait_ms = min(max(WAIT_SHARE * left_ms, WAIT_LEAST_MS), WAIT_MOST_MS)
    if backoff_left_ms is None:
        return wait_ms
    return min(wait_ms, max(backoff_left_ms, RETRY_AFTER_LEAST_MS))
