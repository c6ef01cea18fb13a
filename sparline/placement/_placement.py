"""Where a request goes and why, or why it goes nowhere."""

from dataclasses import dataclass
from enum import Enum

from sparline.decisions import RefusedFor
from sparline.fleet import BackendServer, Member, ServerLoad
from sparline.requests import Reason


class Doubt(Enum):
    """Rank candidates by how far they can be trusted; lower goes first."""

    NONE = 0  # nothing speaks against it
    PASSED_OVER = 1  # failed or fell silent lately


@dataclass(frozen=True, slots=True)
class Placement:
    """Send the request to a backend server, by way of a peer where it is elsewhere."""

    server: BackendServer  # where to
    peer: Member | None  # instance in the server's region, None for this region
    expected_ms: float  # estimated time to the first event or answer
    reading_ms: float  # part of it in which its own prompt is read
    unread_tokens: int  # prompt tokens that have to be read there
    effort_tokens: int  # the reading, as tokens at a prompt's start that take as long
    source: BackendServer | None  # engine of its region that passes what it keeps on to it
    loss: float  # what decided, against the credit of the request
    load: ServerLoad  # load of the server when this was decided
    load_age_ms: float | None  # how old that was, None where nobody told
    doubt: Doubt  # how far it is trusted
    waits: bool = False  # whether it waits there for one of the slots


@dataclass(frozen=True, slots=True)
class Refusal:
    """Run the request nowhere."""

    reason: Reason  # why
    retry_after_ms: float  # when to come back
    candidates: int  # backend servers that were looked at
    best: Placement | None = None  # place that would have lost least, None without any
    why: RefusedFor | None = None  # what spoke against that place
