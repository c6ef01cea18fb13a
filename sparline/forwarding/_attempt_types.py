"""Dependencies, shared progress and results of attempts."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from sparline._ids import BackendServerId, RegionName, SoftwareVersion
from sparline.decisions import Liveness
from sparline.forwarding._answer_origin import AnswerOrigin
from sparline.forwarding._caller_answer import CallerAnswer, SentContent, ServerAnswerHead
from sparline.forwarding._events import EventSplitter
from sparline.forwarding._wire import BackendWire, Wire
from sparline.http import ConnectionPool, Headers, HeldBytes, HttpAnswer
from sparline.placement import (
    HealthTable,
    PaceTable,
    Placement,
    RefusalLimitTable,
    ServerLimitTable,
    WatchTables,
)
from sparline.quarantine import ServerEndDetector
from sparline.requests import Reason, RoutedRequest


class AttemptResult(Enum):
    """Enumerate the results of an attempt."""

    DELIVERED = "delivered"  # the caller received the complete response
    NOT_RUN = "not_run"  # the request is proven not to have run
    MAY_HAVE_RUN = "may_have_run"  # whether the request ran is unknown
    FAILED_ANSWER = "failed_answer"  # server error response, not yet forwarded


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Describe how an attempt ended."""

    result: AttemptResult
    reason: Reason
    retry_after_ms: float = 0.0  # retry delay requested by the server, 0 if none
    ended_server: BackendServerId | None = None  # server that exited while running it, if any
    is_region_full: bool = False  # no server in the peer's region has capacity
    may_have_ended: bool = False  # the server may have exited, without evidence so far
    liveness: Liveness = Liveness.PROVEN  # whether the server was known to run at the start
    # Whether a server has certainly completed a successful response.
    proves_sound: bool = False
    broken_by: str = (
        ""  # what was found in place of the rest of a response, "" if that is not known
    )


class UnframedEnd(Enum):
    """Classify how a response that only the end of its connection ends has ended."""

    UNREFUTED = "unrefuted"  # nothing shows that it was cut short
    WITHIN_EVENT = "within_event"  # cut short within a server-sent event
    SERVER_EXITED = "server_exited"  # the server process exited with it
    RESET = "reset"  # the connection was reset behind its clean end


@dataclass(frozen=True, slots=True)
class InterruptedAttempt:
    """Describe the end of an attempt whose request may have run."""

    end: AttemptEnd
    sent_ago_ms: float  # time since the request left this instance
    begun_by: BackendServerId | None  # server that began the caller's answer, None if none did
    sent_bytes: int  # bytes of that answer's body that the caller was sent


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """Hold the complete error response of a backend server."""

    head: ServerAnswerHead  # its head
    body: bytes  # its body


@dataclass(slots=True)
class Progress:
    """Track state shared by the attempts at one request."""

    splitter: EventSplitter  # event parser that tracks what the caller received
    caller_answer: CallerAnswer  # answer that the caller is sent
    sends: int = 0  # attempts sent by this instance
    sends_not_run: int = 0  # sent attempts proven not to have run
    sent_at_ms: float = 0.0  # when the last attempt was sent
    may_have_run: bool = False  # whether any attempt may have run
    # Version that the first event came from, at which alone the stream can go on; None before.
    software_version: SoftwareVersion | None = None
    first_at_ms: float | None = None  # when the first event or response arrived
    last_event_at_ms: float | None = None  # when the latest event arrived
    longest_pause_ms: float = 0.0  # longest interval between two events
    answer_origin: AnswerOrigin | None = None  # of the last attempt's response, None without one
    failed_answer: FailedAnswer | None = None  # server error response to forward
    excluded: set[str] = field(default_factory=set)  # backend servers that must not be tried again

    def may_go_on_elsewhere(self) -> bool:
        """Tell whether another server can send what the caller still lacks."""
        match self.caller_answer.content:
            case SentContent.NOTHING:
                return True
            case SentContent.EVENTS:
                return self.software_version is not None and self.splitter.knows_last_event
            case SentContent.BODY:
                return False

    def runs(self) -> int:
        """Return the maximum number of times the request may have run."""
        return self.sends - self.sends_not_run


@dataclass(frozen=True, slots=True)
class AttemptDependencies:
    """Bundle the dependencies of attempts."""

    pool: ConnectionPool  # persistent connections
    backend_wire: BackendWire  # protocol used with backend servers
    peer_wire: Wire  # protocol used between instances
    peer_port: int  # port on which instances accept relayed requests
    # Longest body of a response that is no stream which is buffered until it is complete (bytes).
    buffered_answer_bytes: int
    held: HeldBytes  # account of the bytes held for callers and peers
    health: HealthTable  # server health observed by this instance
    server_limits: ServerLimitTable  # request rate limits set by servers
    refusal_limits: RefusalLimitTable  # limits on refusals set by servers
    note_leaving: Callable[[BackendServerId], None]  # marks a server as leaving
    pace: PaceTable  # typical response times
    watch: WatchTables  # timing statistics learned from streams
    note_peer: Callable[[str, bool], None]  # records whether a peer was reachable
    note_way_failure: Callable[[], None]  # records that a server could not be reached directly
    note_round_trip: Callable[[RegionName, float], None]  # records a connection's opening time
    ends: ServerEndDetector  # detects whether servers have exited
    note_dropped_answers: Callable[[int], None]  # counts responses to other requests
    has_ended: Callable[[BackendServerId], bool]  # whether that incarnation has exited
    note_first: Callable[
        [RoutedRequest, Placement, Progress], None
    ]  # records the first event or response
    # Records the software version that the first event of a stream comes from.
    note_stream_version: Callable[[RoutedRequest, SoftwareVersion], None]
    # Headers of a stream by those of its answer and its software version, None if that is unknown.
    answer_headers: Callable[[HttpAnswer, SoftwareVersion | None], Headers]
    note_unframed_end: Callable[
        [RoutedRequest, Placement, UnframedEnd, int], None
    ]  # logs and counts the end of an unframed response, with its number of complete events
