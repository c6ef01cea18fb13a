"""What forwarding needs of a protocol: heads to send, and what answers mean."""

from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from sparline._ids import BackendServerId, RequestId
from sparline.http import Address, HttpAnswer
from sparline.requests import RoutedRequest


class AnswerKind(Enum):
    """Say what an answer means for the request."""

    RESULT = "result"  # the backend server's answer, to be passed on
    NOT_RUN = "not_run"  # proof that the request did not run
    NOT_SENT = "not_sent"  # a peer sent it to no backend server
    MISDIRECTED = "misdirected"  # another server has the address; did not run
    UNKNOWN = "unknown"  # it could not be finished, and may have run
    TIMED_OUT = "timed_out"  # a peer's time for it was over, and it may have run
    QUARANTINED = "quarantined"  # a peer sends it to no backend server: too many ended under it


@dataclass(frozen=True, slots=True)
class AnswerMeaning:
    """Hold what an answer's head says."""

    kind: AnswerKind  # what it means
    retry_after_ms: float = 0.0  # when to come back, 0 where nothing was said
    ended_server: BackendServerId | None = None  # server that ended while a peer ran it there
    is_region_full: bool = False  # whether no server of the peer's region would take it
    limit_per_s: float | None = None  # requests per second to the server, None if unlimited
    is_leaving: bool = False  # whether the server reports that it is leaving


@dataclass(frozen=True, slots=True)
class OwnAnswer:
    """Hold what an answer of an instance's own says."""

    ran: bool  # whether the request may have run
    retry_after_ms: float = 0.0  # when to come back, where it has not run
    sent: bool = False  # whether it was sent to any backend server
    ended_server: BackendServerId | None = None  # server that ended while it ran there
    quarantined: bool = False  # whether it is sent nowhere, for what ended under it
    is_region_full: bool = False  # whether no server of this region would take it


@dataclass(frozen=True, slots=True)
class SendTerms:
    """Hold what a send adds to the request."""

    server_id: BackendServerId  # incarnation that is to run it
    left_ms: float  # time that is left
    resume_after: int | None  # last event that the caller has
    sends_left: int  # backend servers on which a peer may run it
    source: Address | None = None  # engine that passes the prompt's start on, None for none
    is_watched: bool = False  # whether a second connection is to show if the server ends under it


class Wire(Protocol):
    """Speak to backend servers, or to other instances."""

    def send_head(self, request: RoutedRequest, terms: SendTerms) -> bytes:
        """Return the head of a request."""
        ...

    def belongs(self, request_id: RequestId, answer: HttpAnswer) -> bool:
        """Tell whether an answer is to this request, not to an earlier one."""
        ...

    def meaning(self, answer: HttpAnswer) -> AnswerMeaning:
        """Return what an answer means."""
        ...
