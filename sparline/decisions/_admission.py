"""Admission control: whether a request is accepted.

Protects a region that receives, for seconds, two to three times the requests that its engines can
serve. Every accepted request then delays all those behind it; rejecting those that would be late
anyway keeps the rest in time.
"""

from dataclasses import dataclass
from enum import Enum

# A request whose estimated time exceeds the target by more than this factor is rejected: it would
# be worth next to nothing and delay all those behind it. The factor is above one because estimates
# are rough and a late answer is still worth something.
MAX_LATENESS_RATIO = 1.25
# The same for a relayed request: the network round trip takes the rest, and the instance that
# relayed it may know a better server.
MAX_RELAYED_LATENESS_RATIO = 1.0
# A request is rejected if its loss exceeds this multiple of its own credit: either it is late itself
# or it makes others late.
MAX_LOSS = 1.5
# A prompt is long if its own prefill takes more than this fraction of the target time: no engine
# could answer it as quickly as a usual one, and the longest tenth of the prompts is to be served
# like the others.
LONG_PREFILL_RATIO = 0.55


class RefusalReason(Enum):
    """Reason for rejecting a request at admission."""

    LATE = "late"  # it would be answered too late
    COSTLY = "costly"  # it would delay other requests by more than it is worth
    OVER_DEADLINE = "over_deadline"  # its caller would have given up before the answer


@dataclass(frozen=True, slots=True)
class AdmissionFacts:
    """Facts about a request at the candidate server with the lowest loss."""

    target_ms: float  # target time to the first event or answer
    left_ms: float  # time until the caller gives up
    expected_ms: float  # estimated time to the first event or answer
    prefill_ms: float  # part of it that the prefill of its own prompt takes
    loss: float  # loss at that server, relative to the credit of the request
    is_idle: bool  # whether no request is running there
    is_relayed: bool  # whether another instance relayed the request


def refusal_reason(facts: AdmissionFacts) -> RefusalReason | None:
    """Return why a request is rejected, None if it is accepted.

    An idle server accepts anything, because no other request is delayed.
    """
    if facts.is_idle:
        return None
    expected_ms = facts.expected_ms
    loss = facts.loss
    if facts.prefill_ms > LONG_PREFILL_RATIO * facts.target_ms:
        # A long prompt is judged by its wait before prefill only, not by its length.
        expected_ms -= facts.prefill_ms
        loss -= (facts.prefill_ms / facts.target_ms) ** 2
    max_ratio = MAX_RELAYED_LATENESS_RATIO if facts.is_relayed else MAX_LATENESS_RATIO
    if expected_ms > max_ratio * facts.target_ms:
        return RefusalReason.LATE
    if loss > MAX_LOSS:
        return RefusalReason.COSTLY
    if facts.expected_ms > facts.left_ms:
        return RefusalReason.OVER_DEADLINE
    return None
