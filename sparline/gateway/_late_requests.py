"""How long a request to a leaving instance is expected to take, and what bounds that time."""

from dataclasses import dataclass
from enum import Enum

from sparline.requests import Prompt
from sparline.routes import RequestKind, Route

# A request is expected to take at most this many times as long as the longest recent one.
LONGEST_TIME_FACTOR = 1.25
# The same while another instance of the region is live, which can serve a refused request at once.
CAUTIOUS_TIME_FACTOR = 2.5
# A stream that can be neither repeated nor resumed is accepted only if it would complete in time
# even if it took this many times as long as expected: it may wait for a place at an engine, and its
# caller loses an interrupted answer.
RUN_ONCE_TIME_FACTOR = 1.5


@dataclass(frozen=True, slots=True)
class LateRequest:
    """Hold what is known of how long a request to a leaving instance takes."""

    route: Route  # its route
    prompt: Prompt | None  # its prompt, if it is for a model engine
    limit_ms: float  # time until the earlier of its deadline and its route's timeout
    # Longest time that such requests took recently, to the first event of a stream with a prompt
    # and to the end of any other answer; None if it is not known.
    longest_ms: float | None
    # Longest recent time of whole answers to such requests, None if it is not known.
    longest_whole_ms: float | None
    output_token_ms: float  # maximum time of an output token


class LateBound(Enum):
    """Name what bounds the time that a late request is expected to take."""

    # Its deadline and its route's timeout, which it can't exceed.
    OWN_LIMIT = "own limit"
    # These, or the time that such requests took recently, which it may exceed.
    RECENT_TIMES = "recent times"


def expected_ms(request: LateRequest, bound: LateBound, is_substituting: bool) -> float:
    """Return the longest time that a request is expected to take."""
    if bound is LateBound.OWN_LIMIT:
        return request.limit_ms
    whole_ms = _whole_ms(request, is_substituting)
    return min(max(_estimated_ms(request), whole_ms), request.limit_ms)


def _whole_ms(request: LateRequest, is_substituting: bool) -> float:
    """Return the time in which whole answers to such requests were complete recently."""
    if request.longest_whole_ms is None:
        return 0.0 if is_substituting else request.limit_ms
    factor = LONGEST_TIME_FACTOR if is_substituting else CAUTIOUS_TIME_FACTOR
    return request.longest_whole_ms * factor


def _estimated_ms(request: LateRequest) -> float:
    """Return the time estimated from the request's first event and its output."""
    if request.longest_ms is None:
        return request.limit_ms
    expected_ms = request.longest_ms * LONGEST_TIME_FACTOR
    if request.route.kind is RequestKind.STREAM and request.prompt is not None:
        expected_ms += request.prompt.max_output_tokens * request.output_token_ms
        if not request.route.repeatable:
            expected_ms *= RUN_ONCE_TIME_FACTOR
    return expected_ms
