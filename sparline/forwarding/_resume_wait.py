"""Time limits for resuming interrupted streams."""

from sparline._clock import now_ms
from sparline.forwarding._attempt_types import Progress
from sparline.placement import Placement
from sparline.requests import RoutedRequest
from sparline.routes import Route

# An interrupted stream resumes at once on an engine whose queue is shorter than this fraction of
# the target latency. It is late already. Without the limit, all streams of an exited engine would
# be processed ahead of requests that can still meet their target.
QUEUE_SHARE = 0.25
# It waits for such an engine for this fraction of the pause after which its caller gives up.
PATIENCE_SHARE = 0.5
# Callers are expected to give up on a stream after the longest of: this pause (ms), this multiple
# of the target latency, and this multiple of the target pause between events.
GIVEN_UP_LEAST_MS = 2_000.0
GIVEN_UP_TARGETS = 4.0
GIVEN_UP_PAUSES = 8.0


def resumes_later(request: RoutedRequest, progress: Progress, place: Placement) -> bool:
    """Tell whether an interrupted stream should wait instead of resuming on the selected server."""
    if not progress.began and request.resume_after is None:
        return False
    queue_ms = place.expected_ms - place.reading_ms
    if queue_ms <= QUEUE_SHARE * request.route.wanted_latency_ms:
        return False
    return _silent_ms(request, progress) < PATIENCE_SHARE * given_up_ms(request.route)


def is_awaited(request: RoutedRequest, progress: Progress) -> bool:
    """Tell whether the caller of an interrupted stream is still expected to be waiting."""
    return progress.began and _silent_ms(request, progress) < given_up_ms(request.route)


def _silent_ms(request: RoutedRequest, progress: Progress) -> float:
    since_ms = request.arrived_at_ms if progress.heard_at_ms is None else progress.heard_at_ms
    return now_ms() - since_ms


def given_up_ms(route: Route) -> float:
    """Return the pause after which callers give up on a stream (ms)."""
    return max(
        GIVEN_UP_LEAST_MS,
        GIVEN_UP_TARGETS * route.wanted_latency_ms,
        GIVEN_UP_PAUSES * route.pause_target_ms,
    )
