"""Candidates for a request: local backend servers and remote zones, each with a verdict."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from sparline._ids import InstanceId, ZoneName
from sparline.declarations import Catalog
from sparline.requests import Length, Origin, Request
from sparline.routing._estimate import (
    LocalEstimate,
    ZoneView,
    backend_speed,
    estimate_local,
    queue_wait_ms,
)
from sparline.routing._load_table import LoadTable
from sparline.routing._prefixes import PrefixMap
from sparline.routing._spare_room import SpareCapacity
from sparline.routing._summaries import US_PER_MS, StoredSummary, SummaryTable
from sparline.schema._declarations import Objective
from sparline.schema._messages import InstanceState, RoomSummary, TargetSummary

# One-way network delay between zones of one region.
ZONE_DELAY_MS = 0.5
# Typical sizes on the wire, for estimates of the transfer cost between regions.
BYTES_PER_PROMPT_TOKEN = 4
BYTES_PER_OUTPUT_TOKEN = 110
MS_PER_HOUR = 3_600_000.0
BYTES_PER_GB = 1_000_000_000.0


class CandidateVerdict(StrEnum):
    """Say whether a candidate is usable, or why it is skipped."""

    USABLE = "usable"
    NO_ROOM = "no_room"
    EXCLUDED = "tried_already"
    NOT_ALLOWED = "residency"
    NO_TARGET = "target_not_held"
    NO_SHARE = "share_of_room_used"
    NO_INSTANCE = "no_reachable_instance"
    RELAYED = "relayed_once_already"
    MISSES_DEADLINE = "misses_deadline"


@dataclass(frozen=True, slots=True)
class LocalCandidate:
    """Describe one backend server of this zone."""

    estimate: LocalEstimate  # estimated wait and latency
    cost: float  # price of the request there
    verdict: CandidateVerdict  # whether it may be used now


@dataclass(frozen=True, slots=True)
class RemoteCandidate:
    """Describe one remote zone."""

    region: str  # region of the zone
    zone: ZoneName  # its name
    instance_id: InstanceId | None  # instance to send to, None where none is reachable
    ttft_ms: float  # estimated time to first token, including network delay
    total_ms: float  # estimated time to the end
    cost: float  # price of the request there, including transfer
    verdict: CandidateVerdict  # whether it may be used now


@dataclass(frozen=True, slots=True)
class Candidates:
    """Hold all candidates for one request."""

    local: tuple[LocalCandidate, ...]  # backend servers of this zone
    remote: tuple[RemoteCandidate, ...]  # remote zones
    objective: Objective  # optimisation objective of the workload
    ttft_target_ms: float  # target time to first token


class CandidateFinder:
    """Find and evaluate the candidates for a request."""

    def __init__(
        self,
        region: str,
        zone: str,
        loads: LoadTable,
        summaries: SummaryTable,
        prefixes: PrefixMap,
        spare: SpareCapacity,
    ) -> None:
        """Use the load, summary, prefix and capacity tables of one instance."""
        self.catalog = Catalog()  # replaced when the declarations change
        self.reachable: Callable[[InstanceId], bool] = lambda _id: True  # whether a peer link is up
        self._region = region
        self._zone = zone
        self._loads = loads
        self._summaries = summaries
        self._prefixes = prefixes
        self._spare = spare

    def find(self, request: Request, excluded: frozenset[str] = frozenset()) -> Candidates:
        """Return every candidate; `excluded` lists backend servers and zones already tried."""
        model = self.catalog.models.get(request.target)
        service = self.catalog.services.get(request.target)
        declared = model or service
        return Candidates(
            local=self._local_candidates(request, excluded),
            remote=self._remote_candidates(request, excluded),
            objective=declared.objective if declared else Objective.tail_latency,
            ttft_target_ms=float(model.ttft_target_ms) if model else 1000.0,
        )

    def _local_candidates(
        self, request: Request, excluded: frozenset[str]
    ) -> tuple[LocalCandidate, ...]:
        service = self.catalog.services.get(request.target)
        backends = self._loads.serving(request)
        queue = self._loads.queue(request.routing_key)
        queue_ms = queue_wait_ms(queue, request.length, backends, service)
        zone = ZoneView(self._loads.sharers, queue, queue_ms)
        candidates = []
        for backend in backends:
            member = backend.member
            cached = self._prefixes.cached_tokens(
                request.prefix_keys, member.id, backend.incarnation
            )
            estimate = estimate_local(request, backend, service, cached, zone)
            slots = backend_speed(backend, service).slots
            verdict = CandidateVerdict.USABLE if estimate.has_room else CandidateVerdict.NO_ROOM
            if member.id in excluded:
                verdict = CandidateVerdict.EXCLUDED
            elif self._region not in self.catalog.allowed_regions(request.residency_rule):
                verdict = CandidateVerdict.NOT_ALLOWED
            cost = self._engine_cost(self._region, estimate.total_ms, slots)
            candidates.append(LocalCandidate(estimate, cost, verdict))
        return tuple(candidates)

    def _engine_cost(self, region: str, duration_ms: float, slots: int) -> float:
        return (
            self.catalog.engine_price_per_hour(region) * duration_ms / max(slots, 1) / MS_PER_HOUR
        )

    def _remote_candidates(
        self, request: Request, excluded: frozenset[str]
    ) -> tuple[RemoteCandidate, ...]:
        zones = (
            stored
            for stored in self._summaries.fresh()
            if stored.summary.availability_zone != self._zone
        )
        return tuple(self._remote_candidate(request, stored, excluded) for stored in zones)

    def _remote_candidate(
        self, request: Request, stored: StoredSummary, excluded: frozenset[str]
    ) -> RemoteCandidate:
        summary = stored.summary
        target = next((one for one in summary.targets if one.target == request.routing_key), None)
        ttft_ms, total_ms, cost = self._estimate_remote(request, summary.region, target)
        instance_id = self._choose_instance(stored)
        return RemoteCandidate(
            region=summary.region,
            zone=ZoneName(summary.availability_zone),
            instance_id=instance_id,
            ttft_ms=ttft_ms,
            total_ms=total_ms,
            cost=cost,
            verdict=self._remote_verdict(request, stored, target, instance_id, excluded),
        )

    def _estimate_remote(
        self, request: Request, region: str, target: TargetSummary | None
    ) -> tuple[float, float, float]:
        """Return the time to first token, the total time and the cost in another zone."""
        if target is None:
            return 0.0, 0.0, 0.0
        delay_ms = self.catalog.link_delay_ms(self._region, region) + ZONE_DELAY_MS
        # A non-repeatable request waits for the peer's grant before its body is sent.
        one_way_trips = 2 if request.repeatable else 4
        prefill_ms = request.prompt_tokens * target.prompt_token_us / US_PER_MS
        ttft_ms = (
            one_way_trips * delay_ms
            + room_for(request.length, target).wait_ms
            + prefill_ms
            + target.token_interval_us / US_PER_MS
        )
        total_ms = ttft_ms + request.output_tokens * target.token_interval_us / US_PER_MS
        sent_bytes = (
            request.prompt_tokens * BYTES_PER_PROMPT_TOKEN
            + request.output_tokens * BYTES_PER_OUTPUT_TOKEN
        )
        cost = self._engine_cost(region, total_ms - one_way_trips * delay_ms, target.slots)
        cost += sent_bytes / BYTES_PER_GB * self.catalog.link_price_per_gb(self._region, region)
        return ttft_ms, total_ms, cost

    def _remote_verdict(
        self,
        request: Request,
        stored: StoredSummary,
        target: TargetSummary | None,
        instance_id: InstanceId | None,
        excluded: frozenset[str],
    ) -> CandidateVerdict:
        summary = stored.summary
        if request.origin is Origin.RELAY:
            return CandidateVerdict.RELAYED
        if summary.region not in self.catalog.allowed_regions(request.residency_rule):
            return CandidateVerdict.NOT_ALLOWED
        if target is None:
            return CandidateVerdict.NO_TARGET
        if summary.availability_zone in excluded:
            return CandidateVerdict.EXCLUDED
        if instance_id is None:
            return CandidateVerdict.NO_INSTANCE
        senders = self._sender_count(summary.availability_zone)
        if not self._spare.available(
            stored, room_key(request), room_for(request.length, target).room, senders
        ):
            return CandidateVerdict.NO_SHARE
        return CandidateVerdict.USABLE

    def _sender_count(self, zone: str) -> int:
        """Return the number of instances that may send to a zone."""
        remote_instances = [
            one for one in self.catalog.instances.values() if one.availability_zone != zone
        ]
        return max(len(remote_instances), 1)

    def _choose_instance(self, stored: StoredSummary) -> InstanceId | None:
        live = [
            one.instance_id
            for one in stored.summary.members
            if one.state is InstanceState.live
            and one.instance_id in self.catalog.instances
            and self.reachable(InstanceId(one.instance_id))
        ]
        # The sequence number differs in every summary, so requests rotate through the instances.
        return InstanceId(live[stored.summary.sequence % len(live)]) if live else None


def room_for(length: Length, target: TargetSummary) -> RoomSummary:
    """Return the free capacity of a zone for requests of a length class."""
    return target.long if length is Length.LONG else target.short


def room_key(request: Request) -> str:
    """Return the key for shares of capacity: each target and length class has its own."""
    return f"{request.routing_key}/{request.length.value}"


def classify_length(prompt_tokens: int, short_prompt_tokens: int) -> Length:
    """Return the length class of a prompt."""
    return Length.SHORT if prompt_tokens <= short_prompt_tokens else Length.LONG
