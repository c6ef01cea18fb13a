"""How long a stream that broke off waits for an engine, and its caller for the stream."""

from sparline._clock import now_ms
from sparline.forwarding._attempt_types import Progress
from sparline.placement import Placement
from sparline.requests import RoutedRequest
from sparline.routes import Route

# A stream that broke off goes on where an engine's queue is below this part of the wanted time.
# It is late already; the streams of an engine that ends would else all be read before what can
# still be in time.
QUEUE_SHARE = 0.25
# It waits for such an engine for this part of the pause at which its caller gives it up.
PATIENCE_SHARE = 0.5
# Callers give a stream up after a pause of so long (ms), or of so many wanted times or wanted
# longest pauses, whichever is longest.
GIVEN_UP_LEAST_MS = 2_000.0
GIVEN_UP_TARGETS = 4.0
GIVEN_UP_PAUSES = 8.0


def resumes_later(request: RoutedRequest, progress: Progress, place: Placement) -> bool:
    """Tell whether a stream that broke off is to wait before it goes on at a place."""
    if not progress.began and request.resume_after is None:
        return False
    queue_ms = place.expected_ms - place.prefill_ms
    if queue_ms <= QUEUE_SHARE * request.route.wanted_latency_ms:
        return False
    return _silent_ms(request, progress) < PATIENCE_SHARE * given_up_ms(request.route)


def is_awaited(request: RoutedRequest, progress: Progress) -> bool:
    """Tell whether a caller that has a part of a stream still waits for its rest."""
    return progress.began and _silent_ms(request, progress) < given_up_ms(request.route)


def _silent_ms(request: RoutedRequest, progress: Progress) -> float:
    since_ms = request.arrived_at_ms if progress.heard_at_ms is None else progress.heard_at_ms
    return now_ms() - since_ms


def given_up_ms(route: Route) -> float:
    """Return the pause at which callers give a stream up."""
    return max(
        GIVEN_UP_LEAST_MS,
        GIVEN_UP_TARGETS * route.wanted_latency_ms,
        GIVEN_UP_PAUSES * route.pause_target_ms,
    )
