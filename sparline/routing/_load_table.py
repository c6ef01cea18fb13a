"""Load of the backend servers of this zone, as seen first-hand and told by siblings."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sparline._backoff import doubled_ms
from sparline._clock import now_ms
from sparline._ids import BackendServerId, InstanceId, TargetName
from sparline.declarations import Catalog
from sparline.requests import Length, Request, TargetKind
from sparline.schema._fleet import FleetMember, FleetRole, FleetState
from sparline.schema._messages import BackendLoad, EngineReport, WaitingCount, ZoneLoad

# A backend server that failed is left alone for so long, doubled at each failure.
EJECT_FIRST_MS = 500.0
EJECT_LONGEST_MS = 8_000.0
# What a sibling told is forgotten after so long.
SIBLING_LOAD_TTL_MS = 3_000.0
# A report older than this is no proof that an engine still holds a model.
REPORT_TTL_MS = 10_000.0
HOLD_TIME_WEIGHT = 0.2
# Until requests have shown it.
DEFAULT_SHORT_HOLD_MS = 200.0
DEFAULT_LONG_HOLD_MS = 1000.0


@dataclass(frozen=True, slots=True)
class Queue:
    """Count the requests for one target that wait in the zone."""

    short: int  # short ones, which go first
    long: int  # long ones


@dataclass(slots=True)
class BackendState:
    """Hold what is known of one backend server."""

    member: FleetMember  # entry of the platform's list
    report: EngineReport | None = None  # newest load report, None until one was read
    report_at_ms: float = 0.0  # when that report was made, by this process's clock
    told_at_ms: float = -1.0  # when the report that siblings were last told was made
    own_in_flight: int = 0  # requests from this instance
    own_tokens: int = 0  # their prompt tokens that wait for a first token
    own_long: int = 0  # how many of them are long
    failures: int = 0  # failures in a row
    ejected_until_ms: float = 0.0  # no new work before then
    unreachable_at_ms: float = 0.0  # when it could not be reached, 0 once a report came after
    short_hold_ms: float = DEFAULT_SHORT_HOLD_MS  # typical time that a short request holds a slot
    long_hold_ms: float = DEFAULT_LONG_HOLD_MS  # typical time that a long request holds a slot
    siblings: dict[InstanceId, tuple[float, BackendLoad]] = field(default_factory=dict)

    def fresh_siblings(self) -> Iterable[BackendLoad]:
        """Yield what siblings told lately."""
        horizon_ms = now_ms() - SIBLING_LOAD_TTL_MS
        return (load for at_ms, load in self.siblings.values() if at_ms > horizon_ms)

    @property
    def incarnation(self) -> str:
        """Return the newest incarnation that is known."""
        return self.report.incarnation if self.report else self.member.incarnation

    @property
    def in_flight(self) -> int:
        """Return the requests from all instances of the zone."""
        return self.own_in_flight + sum(load.in_flight for load in self.fresh_siblings())

    @property
    def waiting_tokens(self) -> int:
        """Return the prompt tokens that wait for a first token."""
        return self.own_tokens + sum(load.in_flight_tokens for load in self.fresh_siblings())

    @property
    def long_in_flight(self) -> int:
        """Return the long requests from all instances of the zone."""
        return self.own_long + sum(load.long_in_flight for load in self.fresh_siblings())

    @property
    def hold_ms(self) -> float:
        """Return the typical time that the requests there hold their slots."""
        total = self.in_flight
        if not total:
            return self.short_hold_ms
        long = min(self.long_in_flight, total)
        return (long * self.long_hold_ms + (total - long) * self.short_hold_ms) / total

    @property
    def takes_work(self) -> bool:
        """Tell whether new work may be sent."""
        draining = self.report is not None and self.report.draining
        leaving = self.member.state is FleetState.leaving
        if draining or leaving or self.unreachable_at_ms:
            return False
        return now_ms() >= self.ejected_until_ms

    def holds(self, target: TargetName, adapter: str) -> bool:
        """Tell whether the engine holds a model, in any version, and the adapter."""
        if self.report is None or now_ms() - self.report_at_ms > REPORT_TTL_MS:
            return False
        model = any(one.startswith(f"{target}@") for one in self.report.loaded)
        return model and (not adapter or f"{target}+{adapter}" in self.report.loaded)

    def versions(self, target: TargetName) -> list[str]:
        """Return the versions of a model that the engine holds."""
        loaded = self.report.loaded if self.report else []
        return [one.partition("@")[2] for one in loaded if one.startswith(f"{target}@")]


class Reservation:
    """Hold one request's place at one backend server."""

    __slots__ = ("_began_ms", "_request", "_waits", "backend")

    def __init__(self, backend: BackendState, request: Request) -> None:
        """Take the place."""
        self.backend = backend
        self._request = request
        self._began_ms = now_ms()
        self._waits = True
        backend.own_in_flight += 1
        backend.own_tokens += request.prompt_tokens
        backend.own_long += request.length is Length.LONG

    def first_token(self) -> None:
        """Note that the prompt was read."""
        if self._waits:
            self._waits = False
            self.backend.own_tokens -= self._request.prompt_tokens

    def release(self) -> None:
        """Give the place back and learn from the time it was held."""
        self.first_token()
        backend = self.backend
        backend.own_in_flight -= 1
        backend.own_long -= self._request.length is Length.LONG
        assert backend.own_in_flight >= 0, "a place was given back twice"
        held_ms = now_ms() - self._began_ms
        if self._request.length is Length.LONG:
            backend.long_hold_ms += HOLD_TIME_WEIGHT * (held_ms - backend.long_hold_ms)
        else:
            backend.short_hold_ms += HOLD_TIME_WEIGHT * (held_ms - backend.short_hold_ms)


class LoadTable:
    """Keep the state of every backend server of this zone."""

    def __init__(self, zone: str) -> None:
        """Start with no backend server."""
        self.sharers = 1  # live instances of the zone
        self.own_waiting: Callable[[], list[WaitingCount]] = list  # requests that wait here
        self._waiting: dict[InstanceId, tuple[float, list[WaitingCount]]] = {}
        self._zone = zone
        self._backends: dict[BackendServerId, BackendState] = {}
        self._sequences: dict[InstanceId, int] = {}

    def refresh(self, catalog: Catalog) -> None:
        """Follow the platform's list; the state of a known backend server stays."""
        for server_id, member in catalog.backend_servers.items():
            if member.availability_zone != self._zone:
                self._backends.pop(server_id, None)
                continue
            known = self._backends.get(server_id)
            if known is None or known.member.incarnation != member.incarnation:
                self._backends[server_id] = BackendState(member)
            else:
                known.member = member
        for server_id in [one for one in self._backends if one not in catalog.backend_servers]:
            del self._backends[server_id]

    def all(self) -> list[BackendState]:
        """Return every backend server of the zone."""
        return list(self._backends.values())

    def get(self, server_id: BackendServerId) -> BackendState | None:
        """Return one backend server."""
        return self._backends.get(server_id)

    def serving(self, request: Request) -> list[BackendState]:
        """Return the backend servers that could run a request now."""
        return [
            backend
            for backend in self._backends.values()
            if backend.takes_work
            and _serves(backend, request.kind, request.target, request.adapter)
        ]

    def holders(
        self, kind: TargetKind, target: TargetName, adapter: str = ""
    ) -> list[BackendState]:
        """Return the backend servers for a target, whether they take work or not."""
        return [one for one in self._backends.values() if _serves(one, kind, target, adapter)]

    def note_report(self, server_id: BackendServerId, report: EngineReport) -> None:
        """Take a load report if it is newer than the one held."""
        backend = self._backends.get(server_id)
        made_at_ms = now_ms() - report.age_ms
        if backend is None or made_at_ms < backend.report_at_ms:
            return
        restarted = backend.report is not None and backend.report.incarnation != report.incarnation
        if restarted:
            backend.failures = 0
            backend.ejected_until_ms = 0.0
        backend.report = report
        backend.report_at_ms = made_at_ms
        if made_at_ms > backend.unreachable_at_ms:
            backend.unreachable_at_ms = 0.0

    def note_sibling(self, instance_id: InstanceId, load: ZoneLoad) -> None:
        """Take what a sibling tells of its own load; an older message is left out."""
        if load.sequence <= self._sequences.get(instance_id, -1):
            return
        self._sequences[instance_id] = load.sequence
        heard_at_ms = now_ms()
        self._waiting[instance_id] = (heard_at_ms, load.waiting)
        for one in load.backend_servers:
            backend = self._backends.get(BackendServerId(one.backend_server))
            if backend is None:
                continue
            backend.siblings[instance_id] = (heard_at_ms, one)
            if one.report is not None:
                self.note_report(BackendServerId(one.backend_server), one.report)

    def forget_sibling(self, instance_id: InstanceId) -> None:
        """Drop what a lost or restarted sibling told."""
        self._sequences.pop(instance_id, None)
        self._waiting.pop(instance_id, None)
        for backend in self._backends.values():
            backend.siblings.pop(instance_id, None)

    def queue(self, target: str) -> Queue:
        """Return the requests for a target that wait at this instance and its siblings."""
        horizon_ms = now_ms() - SIBLING_LOAD_TTL_MS
        told = [counts for at_ms, counts in self._waiting.values() if at_ms > horizon_ms]
        counts = [one for each in (self.own_waiting(), *told) for one in each]
        mine = [one for one in counts if one.target == target]
        return Queue(sum(one.short for one in mine), sum(one.long for one in mine))

    def note_failure(self, backend: BackendState) -> None:
        """Leave a failing backend server alone for a while, longer each time."""
        backend.failures += 1
        pause_ms = doubled_ms(EJECT_FIRST_MS, EJECT_LONGEST_MS, backend.failures)
        backend.ejected_until_ms = now_ms() + pause_ms

    def note_unreachable(self, backend: BackendState) -> None:
        """Leave an engine alone until it tells its load again, a plain service for a while."""
        if backend.member.role is FleetRole.engine:
            backend.unreachable_at_ms = now_ms()
        else:
            self.note_failure(backend)

    def note_success(self, backend: BackendState) -> None:
        """End the count of failures."""
        backend.failures = 0
        backend.ejected_until_ms = 0.0

    def own_load(self, sequence: int, read_here: Iterable[BackendServerId]) -> ZoneLoad:
        """Return what siblings must know; reports go with the reader's own message."""
        reading = set(read_here)
        loads = [
            BackendLoad(
                backend_server=backend.member.id,
                in_flight=backend.own_in_flight,
                in_flight_tokens=backend.own_tokens,
                long_in_flight=backend.own_long,
                report=_news(backend) if backend.member.id in reading else None,
            )
            for backend in self._backends.values()
            if backend.own_in_flight or (backend.member.id in reading and _has_news(backend))
        ]
        for backend in self._backends.values():
            backend.told_at_ms = backend.report_at_ms
        return ZoneLoad(sequence, self.own_waiting(), loads)


def _serves(backend: BackendState, kind: TargetKind, target: TargetName, adapter: str) -> bool:
    if kind is TargetKind.SERVICE:
        return backend.member.role is FleetRole.service and backend.member.serves == target
    return backend.member.role is FleetRole.engine and backend.holds(target, adapter)


def _has_news(backend: BackendState) -> bool:
    return backend.report is not None and backend.report_at_ms > backend.told_at_ms


def _news(backend: BackendState) -> EngineReport | None:
    """Return the report if siblings were not told it, with its age."""
    if backend.report is None or not _has_news(backend):
        return None
    report = backend.report
    return EngineReport(
        incarnation=report.incarnation,
        age_ms=int(now_ms() - backend.report_at_ms),
        slots=report.slots,
        running=report.running,
        waiting=report.waiting,
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        token_interval_ms=report.token_interval_ms,
        loaded=report.loaded,
        draining=report.draining,
    )
