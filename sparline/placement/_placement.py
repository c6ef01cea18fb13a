"""Result of the choice of a server for a request: a placement or a refusal."""

from dataclasses import dataclass
from enum import Enum

import msgspec

from sparline.decisions import RefusalReason
from sparline.fleet import BackendServer, Member, ServerLoad
from sparline.requests import Reason


class Doubt(Enum):
    """Doubt about a candidate; lower values are preferred."""

    NONE = 0  # no sign of trouble
    PASSED_OVER = 1  # failed or became unresponsive recently


class Placement(msgspec.Struct, frozen=True):
    """Backend server that a request is sent to, through a peer if it is in another region."""

    server: BackendServer  # chosen server
    peer: Member | None  # instance in the server's region, None for this region
    expected_ms: float  # estimated time to the first event or answer
    prefill_ms: float  # part of it that the prefill of its own prompt takes
    unread_tokens: int  # prompt tokens that have to be prefilled there
    effort_tokens: int  # the same in effort tokens, which `_pace.py` defines
    source: BackendServer | None  # engine of its region that transfers its cached prefix
    loss: float  # value that the choice minimised, relative to the credit of the request
    load: ServerLoad  # load of the server at that time
    load_age_ms: float | None  # age of that load, None if unknown
    doubt: Doubt  # doubt about the server
    waits: bool = False  # whether it has to wait there for a free slot


@dataclass(frozen=True, slots=True)
class Refusal:
    """Decision to send a request to no server."""

    reason: Reason  # reason
    retry_after_ms: float  # Retry-After
    candidates: int  # number of backend servers considered
    best: Placement | None = None  # placement with the lowest loss, None without any
    why: RefusalReason | None = None  # why that placement was rejected
