"""Load of backend servers: own requests first-hand, all others' as the region tells."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName
from sparline.fleet import BackendServer, ServerLoad

ToldLoad = Callable[[BackendServerId], ServerLoad | None]
NoteChange = Callable[[BackendServer, ServerLoad, float | None], None]

# A server's place is kept this long after its last request (ms), for its learned pace.
REMEMBER_MS = 120_000.0


@dataclass(slots=True)
class OwnLoad:
    """Hold what this instance has at one backend server."""

    running: int = 0  # requests that have not ended
    held_tokens: int = 0  # memory that they take
    unread_tokens: int = 0  # prompt tokens without a first event
    region: RegionName = RegionName("")  # where the server stands
    used_at_ms: float = 0.0  # when a request was last placed


@dataclass(frozen=True, slots=True)
class Reading:
    """Describe what a backend server had to read when this instance last gave it a prompt."""

    at_ms: float  # when
    tokens: int  # the prompt
    before_tokens: int  # what it had to read before that


class Reservation:
    """Count one request at its backend server until it ends."""

    def __init__(
        self,
        load: OwnLoad,
        held_tokens: int,
        unread_tokens: int,
        on_change: Callable[[ServerLoad, float | None], None],
    ) -> None:
        """Count it; `on_change` is told what has come or, below zero, gone, and what that showed."""
        self._load = load
        self._on_change = on_change
        self._held_tokens = held_tokens
        self._unread_tokens = unread_tokens
        self._released = False
        load.running += 1
        load.held_tokens += held_tokens
        load.unread_tokens += unread_tokens
        load.used_at_ms = now_ms()
        on_change(ServerLoad(1, held_tokens, unread_tokens), None)

    def note_first_event(self, shown_log: float | None = None) -> None:
        """Count the prompt as read; `shown_log` is what `PaceTable` learned of its server by it."""
        read, self._unread_tokens = self._unread_tokens, 0
        if read:
            self._load.unread_tokens -= read
            self._on_change(ServerLoad(0, 0, -read), shown_log)

    def release(self) -> None:
        """Count the request as ended; further calls change nothing."""
        if self._released:
            return
        self._released = True
        unread, self._unread_tokens = self._unread_tokens, 0
        self._load.running -= 1
        self._load.held_tokens -= self._held_tokens
        self._load.unread_tokens -= unread
        self._on_change(ServerLoad(-1, -self._held_tokens, -unread), None)
        assert self._load.running >= 0, "a request was released twice"


class LoadTable:
    """Hold the load of every backend server that this instance knows of."""

    def __init__(self, region: RegionName, told: ToldLoad, note_change: NoteChange) -> None:
        """Start without load.

        `told` returns what all instances have at a server, this one too, as far as is known;
        `note_change` takes each change of this instance's part, and what a reading showed.
        """
        self._note_change = note_change
        self._own: dict[BackendServerId, OwnLoad] = {}
        self._region = region
        self._told = told
        self._readings: dict[BackendServerId, Reading] = {}

    def reserve(self, server: BackendServer, held_tokens: int, unread_tokens: int) -> Reservation:
        """Count a request at a backend server."""
        load = self._own.get(server.id)
        if load is None:
            load = self._own[server.id] = OwnLoad(region=server.region)
        reservation = Reservation(
            load,
            held_tokens,
            unread_tokens,
            lambda change, shown_log: self._note_change(server, change, shown_log),
        )
        if unread_tokens:
            before_tokens = self.of(server).unread_tokens - unread_tokens
            self._readings[server.id] = Reading(now_ms(), unread_tokens, before_tokens)
        return reservation

    def last_reading(self, server_id: BackendServerId) -> Reading | None:
        """Return the reading that this instance last let a backend server begin."""
        return self._readings.get(server_id)

    def of(self, server: BackendServer) -> ServerLoad:
        """Return the load of a backend server."""
        own = self.own(server.id)
        told = self._told(server.id)
        if told is None:
            return own
        return ServerLoad(
            max(own.running, told.running),
            max(own.held_tokens, told.held_tokens),
            max(own.unread_tokens, told.unread_tokens),
        )

    def own(self, server_id: BackendServerId) -> ServerLoad:
        """Return what this instance has at a backend server."""
        load = self._own.get(server_id)
        return (
            ServerLoad(load.running, load.held_tokens, load.unread_tokens) if load else ServerLoad()
        )

    def own_here(self) -> dict[str, ServerLoad]:
        """Return what this instance has at each backend server of its region."""
        return {
            server_id: self.own(server_id)
            for server_id, load in self._own.items()
            if load.region == self._region
        }

    def forget_old(self) -> None:
        """Forget servers that have long had nothing."""
        since = now_ms() - REMEMBER_MS
        self._own = {
            one: load for one, load in self._own.items() if load.running or load.used_at_ms >= since
        }
        self._readings = {
            one: reading for one, reading in self._readings.items() if one in self._own
        }
