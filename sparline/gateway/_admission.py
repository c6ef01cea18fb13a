"""Admits requests by the admission level, and counts how admitted requests end."""

import time
from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._hashing import hash_parts
from sparline._ids import RegionName
from sparline._logging import log
from sparline.decisions import (
    KEYS_PER_RANK,
    LONG_PREFILL_RATIO,
    POSITIONS,
    admission_key,
    is_admitted,
    is_telling,
    level_retry_after_ms,
)
from sparline.fleet import (
    AdmissionExchange,
    FleetState,
    LevelInForce,
    ServiceRanks,
)
from sparline.forwarding import Progress, RequestEnd
from sparline.gateway._log_output import LineBudget
from sparline.gateway._metrics import GatewayMetrics
from sparline.gateway._rank_table import RankTable
from sparline.http import HttpRequest
from sparline.placement import Placement, credit_of
from sparline.platform import RequestHead
from sparline.quotas import quota_key
from sparline.requests import KnownCaller, Origin, Prompt, Reason, RoutedRequest
from sparline.routes import Route, ServiceName

# Period after which the same content gets another position (s), so that it is not refused forever.
POSITION_PERIOD_S = 10.0
# Log lines per second and instance about refusals.
REFUSAL_LINES_PER_S = 20.0
# How long the regions with servers of a service are cached (ms).
REGIONS_TTL_MS = 250.0
# Reasons of unanswered requests that show a lack of capacity.
MISSED_REASONS = frozenset(
    (
        Reason.DEADLINE_UNREACHABLE,
        Reason.PEER_NO_ROOM,
        Reason.BACKEND_REFUSED,
        Reason.PEER_NOT_RUN,
    )
)
# Timeouts, which show a lack of capacity only if no server failed the request before.
TIMEOUT_REASONS = frozenset((Reason.DEADLINE_PASSED, Reason.ROUTE_TIMEOUT))


@dataclass(frozen=True, slots=True)
class Arrival:
    """Describe a request before admission."""

    http: HttpRequest  # request as received
    marks: RequestHead  # fields parsed from its head
    route: Route  # route that matches it
    service: ServiceName  # service of the route that handles it
    caller: KnownCaller | None  # authenticated caller, if any
    left_ms: float  # time until the deadline


@dataclass(frozen=True, slots=True)
class Admitted:
    """Describe the conditions under which a request is admitted."""

    key: int | None = None  # admission key, None if no level applies
    level: int | None = None  # level of the own region, None if only other regions admit it
    closed_regions: frozenset[RegionName] = frozenset()  # regions whose level refuses it


NO_LEVEL_APPLIES = Admitted()


@dataclass(frozen=True, slots=True)
class NotAdmitted:
    """Describe a request that all allowed regions refuse."""

    retry_after_ms: float


class AdmissionGate:
    """Compares requests with levels; counts those asked, admitted, missed and answered."""

    def __init__(
        self,
        region: RegionName,
        fleet: FleetState,
        ranks: RankTable,
        exchange: AdmissionExchange,
        metrics: GatewayMetrics,
        time_s: Callable[[], float] = time.time,
    ) -> None:
        """Create a gate; `time_s` returns the wall-clock time, on which instances agree."""
        self._region = region
        self._fleet = fleet
        self._ranks = ranks
        self._exchange = exchange
        self._metrics = metrics
        self._time_s = time_s
        self._lines = LineBudget(REFUSAL_LINES_PER_S)
        self._regions: dict[ServiceName, tuple[float, frozenset[RegionName]]] = {}

    def admit(self, arrival: Arrival, origin: Origin) -> Admitted | NotAdmitted:
        """Decide whether a request is admitted, and by which regions."""
        ranks = self._ranks.ranks_of(arrival.service)
        relayed_key = arrival.marks.admission_key if origin is Origin.RELAY else None
        # A peer without levels relays requests without a key.
        if ranks is None or (origin is Origin.RELAY and relayed_key is None):
            return NO_LEVEL_APPLIES
        level = self._exchange.level(arrival.service, self._region)
        key = self._key(arrival, level) if relayed_key is None else relayed_key
        is_own_open = is_admitted(key, level.level, level.floor)
        if not is_own_open:
            # An admitted request is counted in `note_start`, after its quota is charged.
            self._note_asked(arrival.service, key, arrival.caller, arrival.marks.prompt)
        if origin is Origin.RELAY:
            if is_own_open:
                return Admitted(key, level.level)
            return self._refuse(arrival, key, level, ranks)
        closed = self._closed_regions(arrival, key, is_own_open)
        if is_own_open:
            return Admitted(key, level.level, closed)
        if self._is_admitted_elsewhere(arrival, closed):
            return Admitted(key, None, closed)
        return self._refuse(arrival, key, level, ranks)

    def _note_asked(
        self, service: ServiceName, key: int, caller: KnownCaller | None, prompt: Prompt | None
    ) -> None:
        organisation = quota_key(caller.organisation.id) if caller else 0
        self._exchange.note_asked(service, key, _cost(prompt), organisation)

    def note_start(self, request: RoutedRequest) -> None:
        """Count a request that the own region has admitted and that is within its quota."""
        if request.admission_level is None or request.admission_key is None:
            return
        self._note_asked(request.service, request.admission_key, request.caller, request.prompt)
        self._exchange.note_admitted(request.service, _cost(request.prompt))

    def _key(self, arrival: Arrival, level: LevelInForce) -> int:
        caller = arrival.caller
        content = hash_parts((arrival.marks.key.digest or b"", *_content(arrival.http)))
        # Periods start at a different time for each content.
        period = int(self._time_s() / POSITION_PERIOD_S + (content >> 32) / 2**32)
        position = hash_parts((content.to_bytes(8, "big"), period.to_bytes(8, "big"))) % POSITIONS
        step = 0
        if caller is not None and level.shares:
            share = level.shares.get(quota_key(caller.organisation.id), POSITIONS)
            step = int(position >= share)
        rank = self._ranks.rank_of(arrival.route, caller.organisation if caller else None)
        return admission_key(rank, step, position)

    def _closed_regions(
        self, arrival: Arrival, key: int, is_own_open: bool
    ) -> frozenset[RegionName]:
        closed = [] if is_own_open else [self._region]
        for region in self._exchange.regions_with_levels(arrival.service):
            if region != self._region:
                level = self._exchange.level(arrival.service, region)
                if not is_admitted(key, level.level, level.floor):
                    closed.append(region)
        return frozenset(closed)

    def _is_admitted_elsewhere(self, arrival: Arrival, closed: frozenset[RegionName]) -> bool:
        now = now_ms()
        at_ms, regions = self._regions.get(arrival.service, (0.0, frozenset()))
        if now - at_ms > REGIONS_TTL_MS or not at_ms:
            servers = self._fleet.by_service.get(arrival.service, [])
            regions = frozenset(one.region for one in servers if not one.leaving)
            self._regions[arrival.service] = (now, regions)
        caller = arrival.caller
        return any(
            region not in closed
            and arrival.route.allows(region)
            and (caller is None or caller.organisation.allows(region))
            for region in regions
        )

    def _refuse(
        self, arrival: Arrival, key: int, level: LevelInForce, ranks: ServiceRanks
    ) -> NotAdmitted:
        rank = key // KEYS_PER_RANK
        self._metrics.admission_refusals.labels(arrival.service, rank).inc()
        wait_ms = level_retry_after_ms(
            key, level.level, ranks.count, arrival.left_ms, level.is_rising
        )
        if self._lines.take():
            log.bind(
                request_id=arrival.marks.request_id,
                status=503,
                reason=Reason.ADMISSION_LEVEL.value,
                service=arrival.service,
                rank=rank,
                key=key,
                level=level.level,
                region=self._region,
                level_age_ms=round(level.age_ms),
                retry_after_ms=round(wait_ms),
            ).info("request_rejected")
        return NotAdmitted(wait_ms)

    def note_first(self, request: RoutedRequest, placement: Placement, progress: Progress) -> None:
        """Count the first event or answer of a request, as missed too if it is late."""
        if request.admission_level is None or progress.first_at_ms is None:
            return
        self._exchange.note_answered(request.service, _cost(request.prompt))
        target_ms = request.route.wanted_latency_ms
        first_ms = progress.first_at_ms - request.arrived_at_ms
        if progress.may_have_run or target_ms <= 0:
            # The delay was caused by a failed server, not by a lack of capacity.
            return
        if placement.prefill_ms > LONG_PREFILL_RATIO * target_ms:
            # As in admission by estimate, a long prompt is judged by its wait before prefill.
            first_ms -= placement.prefill_ms
        if first_ms > target_ms:
            self._note_missed(request)

    def note_end(self, request: RoutedRequest, end: RequestEnd) -> None:
        """Count a request that ended without an event, as missed if capacity was lacking.

        Others count as answered, because they no longer wait: a request that a server failed does
        not indicate a queue.
        """
        if request.admission_level is None or end.progress.first_at_ms is not None:
            return
        reason = end.reason
        if reason is Reason.RETRY_BUDGET and not end.progress.runs():
            # Servers refused it, and the retry budget was used up.
            reason = Reason.BACKEND_REFUSED
        if reason in MISSED_REASONS or (
            reason in TIMEOUT_REASONS and not end.progress.may_have_run
        ):
            self._note_missed(request, by_server=reason is Reason.BACKEND_REFUSED)
        else:
            self._exchange.note_answered(request.service, _cost(request.prompt))

    def _note_missed(self, request: RoutedRequest, by_server: bool = False) -> None:
        assert request.admission_level is not None and request.admission_key is not None
        rank = request.admission_key // KEYS_PER_RANK
        self._metrics.admission_missed.labels(request.service, rank).inc()
        level = self._exchange.level(request.service, self._region)
        if is_telling(request.admission_level, level.level):
            self._exchange.note_missed(request.service, _cost(request.prompt), by_server)

    def update_metrics(self) -> None:
        """Update the gauges of the levels in force."""
        for service in self._ranks.services():
            level = self._exchange.level(service, self._region).level
            self._metrics.admission_level.labels(service).set(level)


def _content(http: HttpRequest) -> tuple[bytes, bytes, bytes | bytearray]:
    return (http.method, http.target, http.body)


def _cost(prompt: Prompt | None) -> int:
    return credit_of(prompt) if prompt else 1
