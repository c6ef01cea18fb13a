"""Load of this zone's backend servers, from local observation and from sibling instances."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from sparline._backoff import doubled_ms
from sparline._clock import now_ms
from sparline._ids import BackendServerId, InstanceId, TargetName
from sparline.declarations import Catalog
from sparline.requests import Length, Request, TargetKind
from sparline.schema._fleet import FleetMember, FleetRole, FleetState
from sparline.schema._messages import BackendLoad, EngineReport, WaitingCount, ZoneLoad

# Ejection time of a backend server after a failure, doubled at each further failure in a row.
MIN_EJECTION_MS = 500.0
MAX_EJECTION_MS = 8_000.0
# Load reported by a sibling instance expires after this time.
SIBLING_LOAD_TTL_MS = 3_000.0
# An older report no longer proves that the engine still has a model loaded.
REPORT_TTL_MS = 10_000.0
HOLD_TIME_EWMA_WEIGHT = 0.2  # of the newest sample in the moving average of slot hold times
# Initial slot hold times, before the first requests have ended.
DEFAULT_SHORT_HOLD_MS = 200.0
DEFAULT_LONG_HOLD_MS = 1000.0


@dataclass(frozen=True, slots=True)
class QueueDepth:
    """Count the requests that wait for one target in the zone."""

    short: int  # short requests, which are placed first
    long: int  # long requests


@dataclass(slots=True)
class BackendState:
    """Hold the load and health of one backend server."""

    member: FleetMember  # entry in the platform's list
    report: EngineReport | None = None  # newest load report, None before the first
    report_at_ms: float = 0.0  # when it was made, by this process's clock
    shared_report_at_ms: float = -1.0  # when the report last sent to siblings was made
    own_in_flight: int = 0  # requests sent by this instance
    own_waiting_tokens: int = 0  # prompt tokens of own requests without a first token yet
    own_long: int = 0  # long requests among those in flight
    failures: int = 0  # consecutive failures
    ejected_until_ms: float = 0.0  # no new requests before this time
    unreachable_at_ms: float = 0.0  # when a connection last failed, 0 after a later report
    short_hold_ms: float = DEFAULT_SHORT_HOLD_MS  # mean time a short request holds a slot
    long_hold_ms: float = DEFAULT_LONG_HOLD_MS  # mean time a long request holds a slot
    # Load from each sibling instance, with the time (ms) at which it was received.
    siblings: dict[InstanceId, tuple[float, BackendLoad]] = field(default_factory=dict)

    def fresh_siblings(self) -> Iterable[BackendLoad]:
        """Return the unexpired load reports of sibling instances."""
        expired_before_ms = now_ms() - SIBLING_LOAD_TTL_MS
        return (load for at_ms, load in self.siblings.values() if at_ms > expired_before_ms)

    @property
    def incarnation(self) -> str:
        """Return the newest known incarnation."""
        return self.report.incarnation if self.report else self.member.incarnation

    @property
    def in_flight(self) -> int:
        """Return the number of requests from all instances of the zone."""
        return self.own_in_flight + sum(load.in_flight for load in self.fresh_siblings())

    @property
    def waiting_tokens(self) -> int:
        """Return the prompt tokens of requests without a first token yet."""
        return self.own_waiting_tokens + sum(
            load.in_flight_tokens for load in self.fresh_siblings()
        )

    @property
    def long_in_flight(self) -> int:
        """Return the number of long requests from all instances of the zone."""
        return self.own_long + sum(load.long_in_flight for load in self.fresh_siblings())

    @property
    def hold_ms(self) -> float:
        """Return the mean time that the current requests hold their slots."""
        total = self.in_flight
        if not total:
            return self.short_hold_ms
        long = min(self.long_in_flight, total)
        return (long * self.long_hold_ms + (total - long) * self.short_hold_ms) / total

    @property
    def takes_work(self) -> bool:
        """Return whether new requests may be sent."""
        draining = self.report is not None and self.report.draining
        leaving = self.member.state is FleetState.leaving
        if draining or leaving or self.unreachable_at_ms:
            return False
        return now_ms() >= self.ejected_until_ms

    def has_loaded(self, target: TargetName, adapter: str) -> bool:
        """Return whether the engine has a model, in any version, and the adapter loaded."""
        if self.report is None or now_ms() - self.report_at_ms > REPORT_TTL_MS:
            return False
        model = any(one.startswith(f"{target}@") for one in self.report.loaded)
        return model and (not adapter or f"{target}+{adapter}" in self.report.loaded)

    def versions(self, target: TargetName) -> list[str]:
        """Return the versions of a model that the engine has loaded."""
        loaded = self.report.loaded if self.report else []
        return [one.partition("@")[2] for one in loaded if one.startswith(f"{target}@")]


class Reservation:
    """Reserve a slot for one request at one backend server."""

    __slots__ = ("_started_at_ms", "_request", "_awaits_first_token", "backend")

    def __init__(self, backend: BackendState, request: Request) -> None:
        """Count the request in the load of the backend server."""
        self.backend = backend
        self._request = request
        self._started_at_ms = now_ms()
        self._awaits_first_token = True
        backend.own_in_flight += 1
        backend.own_waiting_tokens += request.prompt_tokens
        backend.own_long += request.length is Length.LONG

    def note_first_token(self) -> None:
        """Record that prefill has ended; later calls do nothing."""
        if self._awaits_first_token:
            self._awaits_first_token = False
            self.backend.own_waiting_tokens -= self._request.prompt_tokens

    def release(self) -> None:
        """Release the slot and update the mean hold time."""
        self.note_first_token()
        backend = self.backend
        backend.own_in_flight -= 1
        backend.own_long -= self._request.length is Length.LONG
        assert backend.own_in_flight >= 0, "a reservation was released twice"
        held_ms = now_ms() - self._started_at_ms
        if self._request.length is Length.LONG:
            backend.long_hold_ms += HOLD_TIME_EWMA_WEIGHT * (held_ms - backend.long_hold_ms)
        else:
            backend.short_hold_ms += HOLD_TIME_EWMA_WEIGHT * (held_ms - backend.short_hold_ms)


class LoadTable:
    """Hold the state of every backend server of this zone."""

    def __init__(self, zone: str) -> None:
        """Create an empty table."""
        self.sharers = 1  # number of live instances in the zone
        self.own_waiting_counts: Callable[[], list[WaitingCount]] = list  # requests queued here
        # Requests queued at each sibling instance, with the time (ms) of its message.
        self._waiting: dict[InstanceId, tuple[float, list[WaitingCount]]] = {}
        self._zone = zone
        self._backends: dict[BackendServerId, BackendState] = {}
        self._sequences: dict[InstanceId, int] = {}  # of the newest message from each sibling

    def refresh(self, catalog: Catalog) -> None:
        """Apply the platform's list; a backend server of unchanged incarnation keeps its state."""
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
        """Return the state of one backend server, or None if it is not in this zone."""
        return self._backends.get(server_id)

    def serving(self, request: Request) -> list[BackendState]:
        """Return the backend servers that serve the target of a request and take new work."""
        return [
            backend
            for backend in self._backends.values()
            if backend.takes_work
            and _serves(backend, request.kind, request.target, request.adapter)
        ]

    def servers_for_target(
        self, kind: TargetKind, target: TargetName, adapter: str = ""
    ) -> list[BackendState]:
        """Return the backend servers that serve a target, including those that take no new work."""
        return [one for one in self._backends.values() if _serves(one, kind, target, adapter)]

    def note_report(self, server_id: BackendServerId, report: EngineReport) -> None:
        """Store a load report unless the stored one is newer."""
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
        """Store the load message of a sibling; messages out of sequence are ignored."""
        if load.sequence <= self._sequences.get(instance_id, -1):
            return
        self._sequences[instance_id] = load.sequence
        received_at_ms = now_ms()
        self._waiting[instance_id] = (received_at_ms, load.waiting)
        for one in load.backend_servers:
            backend = self._backends.get(BackendServerId(one.backend_server))
            if backend is None:
                continue
            backend.siblings[instance_id] = (received_at_ms, one)
            if one.report is not None:
                self.note_report(BackendServerId(one.backend_server), one.report)

    def forget_sibling(self, instance_id: InstanceId) -> None:
        """Drop the load received from a lost or restarted sibling."""
        self._sequences.pop(instance_id, None)
        self._waiting.pop(instance_id, None)
        for backend in self._backends.values():
            backend.siblings.pop(instance_id, None)

    def queue(self, target: str) -> QueueDepth:
        """Count the requests for a target that wait at this instance and its siblings."""
        expired_before_ms = now_ms() - SIBLING_LOAD_TTL_MS
        reported = [counts for at_ms, counts in self._waiting.values() if at_ms > expired_before_ms]
        counts = [one for each in (self.own_waiting_counts(), *reported) for one in each]
        matching = [one for one in counts if one.target == target]
        return QueueDepth(sum(one.short for one in matching), sum(one.long for one in matching))

    def note_failure(self, backend: BackendState) -> None:
        """Eject a failing backend server with exponential backoff."""
        backend.failures += 1
        ejection_ms = doubled_ms(MIN_EJECTION_MS, MAX_EJECTION_MS, backend.failures)
        backend.ejected_until_ms = now_ms() + ejection_ms

    def note_unreachable(self, backend: BackendState) -> None:
        """Eject an engine until its next load report, and a service, which has none, by backoff."""
        if backend.member.role is FleetRole.engine:
            backend.unreachable_at_ms = now_ms()
        else:
            self.note_failure(backend)

    def note_success(self, backend: BackendState) -> None:
        """Reset the failure count and the ejection."""
        backend.failures = 0
        backend.ejected_until_ms = 0.0

    def own_load(self, sequence: int, polled: Iterable[BackendServerId]) -> ZoneLoad:
        """Build the load message for siblings, with new reports of the servers polled here."""
        polled_ids = set(polled)
        loads = [
            BackendLoad(
                backend_server=backend.member.id,
                in_flight=backend.own_in_flight,
                in_flight_tokens=backend.own_waiting_tokens,
                long_in_flight=backend.own_long,
                report=_unsent_report(backend) if backend.member.id in polled_ids else None,
            )
            for backend in self._backends.values()
            if backend.own_in_flight
            or (backend.member.id in polled_ids and _has_unsent_report(backend))
        ]
        for backend in self._backends.values():
            backend.shared_report_at_ms = backend.report_at_ms
        return ZoneLoad(sequence, self.own_waiting_counts(), loads)


def _serves(backend: BackendState, kind: TargetKind, target: TargetName, adapter: str) -> bool:
    if kind is TargetKind.SERVICE:
        return backend.member.role is FleetRole.service and backend.member.serves == target
    return backend.member.role is FleetRole.engine and backend.has_loaded(target, adapter)


def _has_unsent_report(backend: BackendState) -> bool:
    return backend.report is not None and backend.report_at_ms > backend.shared_report_at_ms


def _unsent_report(backend: BackendState) -> EngineReport | None:
    """Return the report with its current age, or None if siblings already have it."""
    if backend.report is None or not _has_unsent_report(backend):
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
