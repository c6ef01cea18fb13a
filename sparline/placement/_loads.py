"""Load of backend servers: own requests as counted here, those of others as reported."""

from collections.abc import Callable
from dataclasses import dataclass
from itertools import zip_longest

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName
from sparline.fleet import BackendServer, ServerLoad, add_pending, pending_of

ReportedLoad = Callable[[BackendServerId], ServerLoad | None]
NoteChange = Callable[[BackendServer, ServerLoad, float | None], None]

# A server's load entry is kept this long after its last request (ms), so that its pace is too.
IDLE_TTL_MS = 120_000.0


@dataclass(slots=True)
class OwnLoad:
    """Load of this instance on one backend server."""

    running: int = 0  # requests that have not ended
    held_tokens: int = 0  # cache memory that they take
    unread_tokens: int = 0  # prefill of requests without a first event, in effort tokens
    pending: tuple[int, ...] = ()  # requests without a first event by rank, as in `ServerLoad`
    region: RegionName = RegionName("")  # region of the server
    used_at_ms: float = 0.0  # when a request was last placed


@dataclass(frozen=True, slots=True)
class Prefill:
    """Prefill work of a backend server when this instance last sent it a prompt."""

    at_ms: float  # when it was sent
    tokens: int  # prefill of the prompt, in effort tokens
    queued_tokens: int  # tokens that were queued before it


class Reservation:
    """Counts one request on its backend server until it ends."""

    def __init__(
        self,
        load: OwnLoad,
        held_tokens: int,
        unread_tokens: int,
        rank: int | None,
        on_change: Callable[[ServerLoad, float | None], None],
    ) -> None:
        """Count it; `on_change` gets each load change, with the log factor of a measured prefill."""
        self._rank = rank
        self._load = load
        self._on_change = on_change
        self._held_tokens = held_tokens
        self._unread_tokens = unread_tokens
        self._released = False
        load.running += 1
        load.held_tokens += held_tokens
        load.unread_tokens += unread_tokens
        load.used_at_ms = now_ms()
        on_change(ServerLoad(1, held_tokens, unread_tokens, self._pend(1, unread_tokens)), None)

    def _pend(self, count: int, unread_tokens: int) -> tuple[int, ...]:
        """Add to the pending requests; return the change."""
        if self._rank is None:
            return ()
        change = pending_of(self._rank, count, unread_tokens)
        self._load.pending = add_pending(self._load.pending, change)
        return change

    def _end_pending(self, prefilled: int) -> tuple[int, ...]:
        """Remove this request from the pending ones, the first time; return the change."""
        change = self._pend(-1, -prefilled)
        self._rank = None
        return change

    def note_first_event(self, log_factor: float | None = None) -> None:
        """Count the prompt as prefilled.

        `log_factor` is the result of `PaceTable.note_first_event`.
        """
        prefilled, self._unread_tokens = self._unread_tokens, 0
        pending = self._end_pending(prefilled)
        if prefilled or pending:
            self._load.unread_tokens -= prefilled
            self._on_change(ServerLoad(0, 0, -prefilled, pending), log_factor)

    def release(self) -> None:
        """Count the request as ended; further calls have no effect."""
        if self._released:
            return
        self._released = True
        unread, self._unread_tokens = self._unread_tokens, 0
        self._load.running -= 1
        self._load.held_tokens -= self._held_tokens
        self._load.unread_tokens -= unread
        pending = self._end_pending(unread)
        self._on_change(ServerLoad(-1, -self._held_tokens, -unread, pending), None)
        assert self._load.running >= 0, "a request was released twice"


class LoadTable:
    """Holds the load of every backend server that this instance knows of."""

    def __init__(self, region: RegionName, reported: ReportedLoad, note_change: NoteChange) -> None:
        """Start without load.

        `reported` returns the reported load of all instances on a server, including this one;
        `note_change` gets each change of this instance's part, with the log factor of a measured
        prefill.
        """
        self._note_change = note_change
        self._own: dict[BackendServerId, OwnLoad] = {}
        self._region = region
        self._reported = reported
        self._prefills: dict[BackendServerId, Prefill] = {}

    def reserve(
        self,
        server: BackendServer,
        held_tokens: int,
        unread_tokens: int,
        rank: int | None = None,
        is_relayed: bool = False,
    ) -> Reservation:
        """Count a request on a backend server.

        One that is relayed to a sibling (`is_relayed`) is counted and reported by that one alone.

        `held_tokens` is the cache memory that it takes, `unread_tokens` its prefill in effort
        tokens. `rank` is its urgency, 0 for the most urgent, None where the server does not admit
        requests by rank.
        """
        if is_relayed and server.region == self._region:
            return Reservation(OwnLoad(), held_tokens, unread_tokens, rank, lambda *_change: None)
        load = self._own.get(server.id)
        if load is None:
            load = self._own[server.id] = OwnLoad(region=server.region)
        reservation = Reservation(
            load,
            held_tokens,
            unread_tokens,
            rank,
            lambda change, log_factor: self._note_change(server, change, log_factor),
        )
        if unread_tokens:
            queued_tokens = self.of(server).unread_tokens - unread_tokens
            self._prefills[server.id] = Prefill(now_ms(), unread_tokens, queued_tokens)
        return reservation

    def last_prefill(self, server_id: BackendServerId) -> Prefill | None:
        """Return the latest prefill that this instance sent to a backend server."""
        return self._prefills.get(server_id)

    def of(self, server: BackendServer) -> ServerLoad:
        """Return the load of a backend server."""
        reported = self._reported(server.id)
        own = self._own.get(server.id)
        if reported is None or own is None:
            return reported or self.own(server.id)
        return ServerLoad(
            max(own.running, reported.running),
            max(own.held_tokens, reported.held_tokens),
            max(own.unread_tokens, reported.unread_tokens),
            _larger(own.pending, reported.pending),
        )

    def own(self, server_id: BackendServerId) -> ServerLoad:
        """Return this instance's part of the load of a backend server."""
        load = self._own.get(server_id)
        return (
            ServerLoad(load.running, load.held_tokens, load.unread_tokens, load.pending)
            if load
            else ServerLoad()
        )

    def own_in_region(self) -> dict[str, ServerLoad]:
        """Return this instance's part of the load of each backend server of its region."""
        return {
            server_id: self.own(server_id)
            for server_id, load in self._own.items()
            if load.region == self._region
        }

    def forget_old(self) -> None:
        """Forget servers that have had no request for `IDLE_TTL_MS`."""
        since = now_ms() - IDLE_TTL_MS
        self._own = {
            one: load for one, load in self._own.items() if load.running or load.used_at_ms >= since
        }
        self._prefills = {
            one: prefill for one, prefill in self._prefills.items() if one in self._own
        }


def _larger(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    """Return the larger numbers of two counts of pending requests by rank."""
    if not one or one == other:
        return other
    return tuple(map(max, zip_longest(one, other, fillvalue=0)))
