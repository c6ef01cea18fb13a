"""Zone summaries: building the one of this zone, and storing those of other zones."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

import msgspec

from sparline._clock import now_ms
from sparline._ids import InstanceId, TargetName, ZoneName
from sparline.declarations import Catalog
from sparline.requests import Length, TargetKind
from sparline.routing._estimate import backend_speed, backend_wait_ms, queue_wait_ms, reserved_slots
from sparline.routing._load_table import BackendState, LoadTable, QueueDepth
from sparline.schema._declarations import Service
from sparline.schema._messages import (
    InstanceState,
    MemberBrief,
    RoomSummary,
    TargetSummary,
    ZoneSummary,
)

# Older summaries have expired and are ignored.
SUMMARY_TTL_MS = 15_000.0
# Reported as the wait where no backend server takes work.
NO_BACKEND_WAIT_MS = 10_000.0
# A zone accepts relayed requests as long as their wait there does not exceed this.
MAX_RELAYED_WAIT_MS = 200.0
US_PER_MS = 1000


class SummaryVerdict(Enum):
    """Say whether a received summary was stored, or why it was dropped."""

    NEWER = "newer"
    OLD_SEQUENCE = "old_sequence"
    OLD_AGE = "old_age"
    OLD_MEMBERS = "old_members"


@dataclass(frozen=True, slots=True)
class StoredSummary:
    """Hold a received summary with the times that it was made and received."""

    summary: ZoneSummary  # the summary as received
    made_at_ms: float  # latest time at which it can have been made, by this process's clock
    received_at_ms: float  # when this instance received it
    first_seen_at_ms: float  # when the zone was first seen, or seen again after its summary expired

    def age_ms(self) -> float:
        """Return the time since the summary was made."""
        return now_ms() - self.made_at_ms


def with_added_age(summary: ZoneSummary, elapsed_ms: float) -> ZoneSummary:
    """Return a copy whose age is increased, for passing on to other instances."""
    return msgspec.structs.replace(summary, age_ms=int(summary.age_ms + elapsed_ms))


class SummaryTable:
    """Store the newest summary of each other zone."""

    def __init__(self) -> None:
        """Create an empty table."""
        self._stored: dict[ZoneName, StoredSummary] = {}

    def offer(self, summary: ZoneSummary) -> SummaryVerdict:
        """Store a summary unless the stored one is newer."""
        zone = ZoneName(summary.availability_zone)
        made_at_ms = now_ms() - summary.age_ms
        stored = self._stored.get(zone)
        if stored is not None and stored.age_ms() < SUMMARY_TTL_MS:
            verdict = _compare(summary, stored, made_at_ms)
            if verdict is not SummaryVerdict.NEWER:
                return verdict
        elif summary.age_ms > SUMMARY_TTL_MS:
            return SummaryVerdict.OLD_AGE
        first_seen_at_ms = (
            now_ms()
            if stored is None or stored.age_ms() > SUMMARY_TTL_MS
            else stored.first_seen_at_ms
        )
        self._stored[zone] = StoredSummary(summary, made_at_ms, now_ms(), first_seen_at_ms)
        return SummaryVerdict.NEWER

    def fresh(self) -> list[StoredSummary]:
        """Return the summaries that have not expired."""
        return [stored for stored in self._stored.values() if stored.age_ms() < SUMMARY_TTL_MS]

    def get(self, zone: ZoneName) -> StoredSummary | None:
        """Return the summary of one zone, or None if there is none or it has expired."""
        stored = self._stored.get(zone)
        return stored if stored and stored.age_ms() < SUMMARY_TTL_MS else None


def _compare(summary: ZoneSummary, stored: StoredSummary, made_at_ms: float) -> SummaryVerdict:
    previous = stored.summary
    same_reporter = (summary.reporter, summary.reporter_incarnation) == (
        previous.reporter,
        previous.reporter_incarnation,
    )
    if same_reporter:
        return (
            SummaryVerdict.NEWER
            if summary.sequence > previous.sequence
            else SummaryVerdict.OLD_SEQUENCE
        )
    # A different reporter must have seen the previous reporter's latest uptime, or have dropped
    # that instance from its members; otherwise its view of the zone is out of date.
    previous_uptimes_ms = {
        (one.instance_id, one.incarnation): one.uptime_ms for one in previous.members
    }
    for member in summary.members:
        if member.instance_id == previous.reporter and member.uptime_ms < previous_uptimes_ms.get(
            (member.instance_id, member.incarnation), 0
        ):
            return SummaryVerdict.OLD_MEMBERS
    return SummaryVerdict.NEWER if made_at_ms > stored.made_at_ms else SummaryVerdict.OLD_AGE


@dataclass(frozen=True, slots=True)
class Reporter:
    """Identify the instance that builds the summary of its zone."""

    instance_id: InstanceId  # the reporting instance
    incarnation: str  # incarnation of that instance
    region: str  # region of the zone
    zone: ZoneName  # the summarised zone


def build_zone_summary(
    reporter: Reporter,
    sequence: int,
    members: list[MemberBrief],
    table: LoadTable,
    catalog: Catalog,
) -> ZoneSummary:
    """Build the summary of this zone that is sent to other zones."""
    targets = [one for name in catalog.models for one in _model_targets(name, table, catalog)]
    targets += [one for name in catalog.services for one in _service_targets(name, table, catalog)]
    started = [one for one in members if one.state is not InstanceState.starting]
    return ZoneSummary(
        region=reporter.region,
        availability_zone=reporter.zone,
        reporter=reporter.instance_id,
        reporter_incarnation=reporter.incarnation,
        sequence=sequence,
        age_ms=0,
        members=started,
        targets=targets,
    )


def _model_targets(name: TargetName, table: LoadTable, catalog: Catalog) -> list[TargetSummary]:
    adapters = ["", *(adapter.name for adapter in catalog.models[name].adapters)]
    summaries = []
    for adapter in adapters:
        backends = table.servers_for_target(TargetKind.ENGINE, name, adapter)
        key = f"{name}+{adapter}" if adapter else name
        if backends:
            summaries.append(_summarise_target(key, name, backends, table, catalog))
    return summaries


def _service_targets(name: TargetName, table: LoadTable, catalog: Catalog) -> list[TargetSummary]:
    backends = table.servers_for_target(TargetKind.SERVICE, name)
    return [_summarise_target(name, name, backends, table, catalog)] if backends else []


def wait_for_target(
    backends: list[BackendState], service: Service | None, queue: QueueDepth, length: Length
) -> float:
    """Return the shortest wait before prefill, or `NO_BACKEND_WAIT_MS` without backend servers."""
    queue_ms = queue_wait_ms(queue, length, backends, service)
    waits = [backend_wait_ms(one, backend_speed(one, service)) + queue_ms for one in backends]
    return min(waits, default=NO_BACKEND_WAIT_MS)


def _summarise_target(
    key: str, name: TargetName, backends: list[BackendState], table: LoadTable, catalog: Catalog
) -> TargetSummary:
    service = catalog.services.get(name)
    available = [backend for backend in backends if backend.takes_work]
    speeds = [backend_speed(backend, service) for backend in available]
    queue = table.queue(key)
    return TargetSummary(
        target=key,
        versions=sorted({version for backend in available for version in backend.versions(name)}),
        slots=sum(speed.slots for speed in speeds),
        short=_room_summary(available, service, queue, Length.SHORT),
        long=_room_summary(available, service, queue, Length.LONG),
        prompt_token_us=_min_us(speed.ms_per_prompt_token for speed in speeds),
        token_interval_us=_min_us(speed.token_interval_ms for speed in speeds),
    )


def _min_us(values_ms: Iterable[float]) -> int:
    return round(min(values_ms, default=0.0) * US_PER_MS)


def _room_summary(
    backends: list[BackendState], service: Service | None, queue: QueueDepth, length: Length
) -> RoomSummary:
    """Return how many relayed requests fit before their wait exceeds `MAX_RELAYED_WAIT_MS`."""
    queue_ms = queue_wait_ms(queue, length, backends, service)
    rooms = [_backend_room(backend, service, queue_ms, length) for backend in backends]
    wait_ms = wait_for_target(backends, service, queue, length)
    return RoomSummary(room=int(sum(rooms)), wait_ms=int(wait_ms))


def _backend_room(
    backend: BackendState, service: Service | None, queue_ms: float, length: Length
) -> float:
    speed = backend_speed(backend, service)
    free = max(speed.slots - reserved_slots(speed.slots) - backend.in_flight, 0)
    remaining_wait_ms = max(MAX_RELAYED_WAIT_MS - backend_wait_ms(backend, speed) - queue_ms, 0)
    hold_ms = backend.long_hold_ms if length is Length.LONG else backend.short_hold_ms
    return (0 if queue_ms else free) + speed.slots * remaining_wait_ms / max(hold_ms, 1.0)
