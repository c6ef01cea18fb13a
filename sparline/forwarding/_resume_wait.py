"""Time limits for resuming interrupted streams."""

from sparline._clock import now_ms
from sparline.forwarding._attempt_types import Progress
from sparline.placement import Placement
from sparline.requests import RoutedRequest
from sparline.routes import RequestKind, Route

# An interrupted stream resumes at once on an engine whose queue is shorter than this fraction of
# the target latency. An interrupted stream is already late. Without the limit, all streams of an
# exited engine would be processed ahead of requests that can still meet their target.
MAX_RESUME_QUEUE_FRACTION = 0.25
# It waits for such an engine for this fraction of the pause after which its caller gives up.
MAX_RESUME_WAIT_FRACTION = 0.5
# Callers are expected to give up on a stream after the longest of: this pause (ms), this multiple
# of the target latency, and this multiple of the target pause between events.
MIN_CALLER_PATIENCE_MS = 2_000.0
PATIENCE_LATENCY_FACTOR = 4.0
PATIENCE_PAUSE_FACTOR = 8.0


def should_delay_resume(request: RoutedRequest, progress: Progress, placement: Placement) -> bool:
    """Tell whether an interrupted stream should wait instead of resuming on the selected server."""
    if not progress.caller_answer.has_begun and request.resume_after is None:
        return False
    queue_ms = placement.expected_ms - placement.prefill_ms
    if queue_ms <= MAX_RESUME_QUEUE_FRACTION * request.route.wanted_latency_ms:
        return False
    return _pause_ms(request, progress) < MAX_RESUME_WAIT_FRACTION * caller_patience_ms(
        request.route
    )


def is_caller_waiting(request: RoutedRequest, progress: Progress) -> bool:
    """Tell whether the caller of an interrupted stream is still expected to be waiting."""
    return progress.caller_answer.has_begun and is_caller_patient(request, progress)


def is_caller_patient(request: RoutedRequest, progress: Progress) -> bool:
    """Tell whether a caller has not waited for so long that it is expected to have given up."""
    if request.route.kind is not RequestKind.STREAM:
        return request.left_ms() > 0
    return _pause_ms(request, progress) < caller_patience_ms(request.route)


def _pause_ms(request: RoutedRequest, progress: Progress) -> float:
    pause_start_ms = (
        request.arrived_at_ms if progress.last_event_at_ms is None else progress.last_event_at_ms
    )
    return now_ms() - pause_start_ms


def caller_patience_ms(route: Route) -> float:
    """Return the pause after which callers give up on a stream (ms)."""
    return max(
        MIN_CALLER_PATIENCE_MS,
        PATIENCE_LATENCY_FACTOR * route.wanted_latency_ms,
        PATIENCE_PAUSE_FACTOR * route.pause_target_ms,
    )
