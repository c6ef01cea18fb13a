"""Whether a request is let in.

Load pattern: a region whose callers come two to three times as often as its engines can serve, for
seconds. Whatever is let in then makes all behind it later; turning away what would be late anyway
keeps the rest in time.
"""

from dataclasses import dataclass
from enum import Enum

# A request whose estimated time is above this many times the wanted one is refused: it would earn
# next to nothing and delay all behind it. Above one, because estimates are rough, and a late
# answer is still worth something.
REFUSE_ABOVE = 1.25
# A relayed request is refused above this many times the wanted time: the way takes the rest, and
# its first instance may know a better place.
REFUSE_RELAYED_ABOVE = 1.0
# A request that would cost more than this many times its own credit is refused: it is late
# itself, or makes others late.
REFUSE_LOSS = 1.5
# A prompt whose own reading takes more than this part of the wanted time is long: no place could
# answer it as quickly as a usual one, and the longest tenth is to be served like the others.
LONG_READING = 0.55


class RefusedFor(Enum):
    """Name why a request is turned away."""

    LATE = "late"  # it would come too late
    COSTLY = "costly"  # it would cost others more than it earns
    OVER_DEADLINE = "over_deadline"  # its caller would be gone before the answer


@dataclass(frozen=True, slots=True)
class AdmissionFacts:
    """Hold what is known of a request at the place that would lose least by it."""

    wanted_ms: float  # wanted time to the first event or answer
    left_ms: float  # time until its caller gives up
    expected_ms: float  # estimated time to the first event or answer
    reading_ms: float  # part of it in which its own prompt is read
    loss: float  # what is lost there, against the credit of the request
    is_idle: bool  # whether nothing runs there
    is_relayed: bool  # whether another instance sent it here


def why_refused(facts: AdmissionFacts) -> RefusedFor | None:
    """Return why a request is turned away, None where it is let in.

    A place with nothing to do takes anything: nobody else is delayed.
    """
    if facts.is_idle:
        return None
    expected_ms = facts.expected_ms
    loss = facts.loss
    if facts.reading_ms > LONG_READING * facts.wanted_ms:
        # Its length is no reason to turn it away, only the wait before it is.
        expected_ms -= facts.reading_ms
        loss -= (facts.reading_ms / facts.wanted_ms) ** 2
    targets = REFUSE_RELAYED_ABOVE if facts.is_relayed else REFUSE_ABOVE
    if expected_ms > targets * facts.wanted_ms:
        return RefusedFor.LATE
    if loss > REFUSE_LOSS:
        return RefusedFor.COSTLY
    if facts.expected_ms > facts.left_ms:
        return RefusedFor.OVER_DEADLINE
    return None
