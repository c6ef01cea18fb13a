"""Retry-After values for rejected requests.

Guards against a load spike that lasts for seconds: if all callers rejected in one second retried in
the next, they would meet the same backlog and have used up their last attempt.
"""

from dataclasses import dataclass

# Bounds of the Retry-After of a rejected request, which is how late it would have been (ms).
MIN_RETRY_AFTER_MS = 150.0
MAX_RETRY_AFTER_MS = 1_500.0
# If no server can run a request, the Retry-After is this fraction of the time that the caller has
# left, which is the longest wait that callers respect, within these bounds (ms): such a state lasts
# for seconds, and a caller that retries during it has used up its last attempt.
UNSERVED_WAIT_SHARE = 1 / 3
MIN_UNSERVED_WAIT_MS = 500.0
MAX_UNSERVED_WAIT_MS = 5_000.0


@dataclass(frozen=True, slots=True)
class RefusalFacts:
    """Facts about a request that is rejected because of load."""

    target_ms: float  # target time to the first event or answer
    expected_ms: float  # estimated time to it if the request had been accepted
    left_ms: float  # time until the caller gives up


def refusal_retry_after_ms(facts: RefusalFacts) -> float:
    """Return the Retry-After of a request that is rejected because of load."""
    late_ms = facts.expected_ms - facts.target_ms
    return min(max(late_ms, MIN_RETRY_AFTER_MS), MAX_RETRY_AFTER_MS)


def unserved_retry_after_ms(left_ms: float, backoff_left_ms: float | None = None) -> float:
    """Return the Retry-After of a request that no server can run, by the time its caller has left.

    `backoff_left_ms` is the time until the backoff of a suitable server ends, None if none backs
    off. It shortens the wait but never below the minimum Retry-After.
    """
    wait_ms = min(max(UNSERVED_WAIT_SHARE * left_ms, MIN_UNSERVED_WAIT_MS), MAX_UNSERVED_WAIT_MS)
    if backoff_left_ms is None:
        return wait_ms
    return min(wait_ms, max(backoff_left_ms, MIN_RETRY_AFTER_MS))
