"""What attempts work with, leave behind and end in."""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from sparline._ids import BackendServerId, RegionName
from sparline.forwarding._events import EventCutter
from sparline.forwarding._wire import Wire
from sparline.http import ConnectionPool, HttpAnswer
from sparline.placement import HealthTable, PaceTable, ServerLimitTable, WatchTables
from sparline.quarantine import ServerEndDetector
from sparline.requests import Reason, RoutedRequest


class AttemptResult(Enum):
    """Name how an attempt ended."""

    DELIVERED = "delivered"  # the caller has the whole answer
    NOT_RUN = "not_run"  # it is proved that nothing ran
    MAY_HAVE_RUN = "may_have_run"  # nothing is known
    FAILED_ANSWER = "failed_answer"  # the server answered with a failure, not passed on yet


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """Hold how an attempt ended."""

    result: AttemptResult  # how
    reason: Reason  # why
    retry_after_ms: float = 0.0  # when the server asks to come back
    ended_server: BackendServerId | None = None  # server that ended with it, None for none
    is_region_full: bool = False  # whether no server of a peer's region would take it
    in_doubt: bool = False  # whether the server may have ended, which nothing has shown yet


@dataclass(frozen=True, slots=True)
class SentEnd:
    """Hold how an attempt ended that a backend server may have begun to run."""

    end: AttemptEnd  # how
    sent_ago_ms: float  # time since the request left this instance
    has_begun: bool  # whether the caller has a part of the answer


@dataclass(slots=True)
class Progress:
    """Hold what the attempts at one request have left behind."""

    cutter: EventCutter  # what the caller has of a stream
    sends: int = 0  # requests that left this instance
    refused_sends: int = 0  # those of them that are proved not to have run
    sent_at_ms: float = 0.0  # when the last of them left
    may_have_run: bool = False  # whether any of them may have run
    began: bool = False  # whether the caller has the head of an answer
    first_at_ms: float | None = None  # when the first event or answer arrived
    heard_at_ms: float | None = None  # when the newest event arrived
    longest_pause_ms: float = 0.0  # longest time between two events
    failed_answer: tuple[HttpAnswer, bytes] | None = None  # a server's failure, kept to pass on
    excluded: set[str] = field(default_factory=set)  # backend servers that were tried

    def runs(self) -> int:
        """Return how often the request may have run."""
        return self.sends - self.refused_sends


@dataclass(frozen=True, slots=True)
class AttemptTools:
    """Hold what attempts work with."""

    pool: ConnectionPool  # kept connections
    backend_wire: Wire  # protocol of backend servers
    peer_wire: Wire  # protocol between instances
    peer_port: int  # where instances take relayed requests
    health: HealthTable  # first-hand knowledge of servers
    server_limits: ServerLimitTable  # request rate limits set by servers
    note_leaving: Callable[[BackendServerId], None]  # marks a server as leaving
    pace: PaceTable  # usual times
    watch: WatchTables  # what streams teach
    may_move: Callable[[RoutedRequest, Progress], bool]  # whether another try is possible
    note_peer: Callable[[str, bool], None]  # whether a peer could be reached
    note_round_trip: Callable[[RegionName, float], None]  # time that a connection took to open
    ends: ServerEndDetector  # whether servers that broke an answer off have ended
    has_ended: Callable[[BackendServerId], bool]  # whether that start of a server is over
