"""Exchange of demand reports and admission levels between instances.

An instance counts what it was asked in each gossip round and reports it to the admission
coordinator of its region while a level is not open or something was missed. The coordinator sends
the levels to all live instances of its region and to one of each other region. Nothing is sent for
services whose level is open and that miss nothing.
"""

import heapq
from dataclasses import dataclass, field

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline.decisions import BUCKET_KEYS, OPEN_LEVEL
from sparline.fleet._admission_coordinator import (
    MAX_ORGANISATIONS,
    REST_KEY,
    AdmissionCoordinator,
    AdmissionSources,
)
from sparline.fleet._admission_table import AdmissionLevelTable, LevelInForce
from sparline.fleet._members import Members
from sparline.routes import ServiceName
from sparline.schema._gossip import (
    AdmissionBucketNote,
    AdmissionDemandNote,
    AdmissionLevelNote,
    AdmissionLevels,
    AdmissionReport,
    OrganisationDemandNote,
)

# How long an admission coordinator that did not reply is skipped, and after which time (ms): three
# rounds, because it replies in each.
SKIP_COORDINATOR_MS = 3_000.0
REPLY_TIMEOUT_MS = 750.0
# How long an instance reports after the last level that it was sent (ms): two rounds and some
# more, so that one lost datagram makes no difference.
REPORT_MS = 600.0

AdmissionMessage = AdmissionReport | AdmissionLevels


@dataclass(frozen=True, slots=True)
class AdmissionDatagram:
    """Hold a datagram to send and its recipients."""

    peers: list[str]  # recipient addresses
    message: AdmissionMessage  # content


@dataclass(slots=True)
class _Counted:
    """Count the cost of one service in a round."""

    demand: dict[int, int] = field(default_factory=dict)  # by bucket
    organisations: dict[int, int] = field(default_factory=dict)  # by key
    admitted: int = 0
    missed: int = 0
    refused: int = 0  # part of what was missed that servers refused as full
    answered: int = 0


class AdmissionExchange:
    """Select the admission messages to send and process those received; sends nothing itself."""

    def __init__(self, members: Members, sources: AdmissionSources) -> None:
        """Create an exchange with all levels open."""
        self._members = members
        self._sources = sources
        self._region = RegionName(members.own.region)
        self._table = AdmissionLevelTable(self._region)
        self.coordinator = AdmissionCoordinator(self._region, sources, self._table)
        self._counted: dict[ServiceName, _Counted] = {}
        self._report_until_ms: dict[ServiceName, float] = {}
        # End of the time for which an unresponsive coordinator is skipped, by address.
        self._skipped_until_ms: dict[str, float] = {}
        # When reports and levels of instances of the region last arrived, by address.
        self._report_at_ms: dict[str, float] = {}
        self._levels_at_ms: dict[str, float] = {}
        self._reported_to = ""
        self._unanswered_since_ms: float | None = None
        self._sequence = 0
        self._received: dict[str, tuple[int, int]] = {}  # last incarnation and sequence by sender
        self._round = 0
        # Difference between the time of day and the clock.
        self._time_of_day_ms = members.own.incarnation - now_ms()

    def level(self, service: ServiceName, region: RegionName) -> LevelInForce:
        """Return the level in force of a service in a region."""
        ranks = self._sources.ranks_of(service)
        return self._table.get(service, region, ranks.count if ranks else 1, now_ms())

    def regions_with_levels(self, service: ServiceName) -> list[RegionName]:
        """Return the regions of which a level of a service is held; all others are open."""
        return self._table.regions(service)

    def note_asked(self, service: ServiceName, key: int, cost: int, organisation: int) -> None:
        """Count a request before it is compared with the level; `organisation` is 0 for none."""
        counted = self._count(service)
        bucket = key // BUCKET_KEYS
        counted.demand[bucket] = counted.demand.get(bucket, 0) + cost
        if organisation:
            counted.organisations[organisation] = counted.organisations.get(organisation, 0) + cost

    def note_admitted(self, service: ServiceName, cost: int) -> None:
        """Count a request that the level admitted."""
        self._count(service).admitted += cost

    def note_missed(self, service: ServiceName, cost: int, by_server: bool = False) -> None:
        """Count an admitted request that was refused for lack of capacity or is late.

        `by_server` tells whether backend servers refused it as full.
        """
        counted = self._count(service)
        counted.missed += cost
        if by_server:
            counted.refused += cost

    def note_answered(self, service: ServiceName, cost: int) -> None:
        """Count an admitted request that got its first event or its answer."""
        self._count(service).answered += cost

    def _count(self, service: ServiceName) -> _Counted:
        counted = self._counted.get(service)
        if counted is None:
            counted = self._counted[service] = _Counted()
        return counted

    def round(self) -> list[AdmissionDatagram]:
        """Return the datagrams to send in a round."""
        now = now_ms()
        self._round += 1
        self._forget(now)
        sent = self._report(now)
        if len(self.coordinator):
            self.coordinator.step(now)
            sent += self._levels(now)
        return sent

    def _forget(self, now: float) -> None:
        services = self._sources.services()
        self._table.forget(services, now)
        self._report_until_ms = {
            service: until_ms
            for service, until_ms in self._report_until_ms.items()
            if until_ms > now and service in services
        }
        self._skipped_until_ms = {
            ip: until_ms for ip, until_ms in self._skipped_until_ms.items() if until_ms > now
        }
        self._report_at_ms = _recent(self._report_at_ms, now)
        self._levels_at_ms = _recent(self._levels_at_ms, now)
        if self._received:
            known = {one.note.ip for one in self._members.others()}
            self._received = {ip: one for ip, one in self._received.items() if ip in known}

    def _report(self, now: float) -> list[AdmissionDatagram]:
        counted, self._counted = self._counted, {}
        due = dict.fromkeys(
            [
                *(service for service, one in counted.items() if one.missed),
                *self._report_until_ms,
                *(one for one in counted if self.level(one, self._region).level < OPEN_LEVEL),
            ]
        )
        notes = [
            _demand_note(service, counted.get(service) or _Counted())
            for service in due
            if self._sources.ranks_of(service) is not None
        ]
        if not notes:
            self._unanswered_since_ms = None
            return []
        own = self._members.own
        coordinator = self._find_coordinator(now)
        # A coordinator that has dropped an open level does not reply to the last reports.
        expects_reply = coordinator != own.ip and any(
            note.missed or self.level(ServiceName(note.service), self._region).level < OPEN_LEVEL
            for note in notes
        )
        if not expects_reply:
            self._unanswered_since_ms = None
        if coordinator == own.ip:
            self.coordinator.take(notes, now)
            return []
        self._sequence += 1
        report = AdmissionReport(own.ip, own.incarnation, self._sequence, notes)
        return [AdmissionDatagram([coordinator], report)]

    def _find_coordinator(self, now: float) -> str:
        """Return the coordinator of the region, skipping one that did not reply."""
        unanswered_ms = now - (self._unanswered_since_ms or now)
        if unanswered_ms >= REPLY_TIMEOUT_MS:
            self._skipped_until_ms[self._reported_to] = now + SKIP_COORDINATOR_MS
        ips = [one.note.ip for one in self._members.live(self._region)]
        # In a large region, an instance may not hold the coordinator as live for a moment.
        ips += self._levels_at_ms
        ips = [ip for ip in ips if self._skipped_until_ms.get(ip, 0.0) <= now]
        coordinator = max(
            [*ips, self._members.own.ip], key=lambda ip: (hash64(f"admission/{ip}"), ip)
        )
        if coordinator != self._reported_to or self._unanswered_since_ms is None:
            self._reported_to, self._unanswered_since_ms = coordinator, now
        return coordinator

    def _levels(self, now: float) -> list[AdmissionDatagram]:
        """Return the levels set here for all instances of the region and one of each other."""
        notes = self.coordinator.notes(round(now + self._time_of_day_ms))
        if not notes:
            return []
        for note in notes:
            self._take_level(note, now)
            self._report_until_ms[ServiceName(note.service)] = now + REPORT_MS
        own = self._members.own
        by_region: dict[RegionName, list[str]] = {}
        for one in self._members.live():
            by_region.setdefault(one.region, []).append(one.note.ip)
        # Likewise, an instance that reports may not be held as live here.
        peers = list(dict.fromkeys([*by_region.pop(self._region, []), *self._report_at_ms]))
        peers += [sorted(ips)[self._round % len(ips)] for ips in by_region.values()]
        if not peers:
            return []
        self._sequence += 1
        message = AdmissionLevels(own.ip, own.incarnation, self._region, self._sequence, notes)
        return [AdmissionDatagram(peers, message)]

    def take(self, message: AdmissionMessage) -> list[AdmissionDatagram]:
        """Process a message; return the datagrams to send in reply, if any."""
        now = now_ms()
        last = self._received.get(message.ip)
        this = (message.incarnation, message.sequence)
        if last is not None and this <= last:
            return []
        self._received[message.ip] = this
        if isinstance(message, AdmissionReport):
            self._report_at_ms[message.ip] = now
            has_started = self.coordinator.take(message.services, now)
            return self._levels(now) if has_started else []
        if message.ip == self._reported_to:
            self._unanswered_since_ms = None
        if message.region == self._region:
            self._levels_at_ms[message.ip] = now
        for note in message.levels:
            if note.region == message.region:
                self._take_level(note, now)
                if message.region == self._region:
                    self._report_until_ms[ServiceName(note.service)] = now + REPORT_MS
        return []

    def _take_level(self, note: AdmissionLevelNote, now: float) -> None:
        is_known = self._sources.ranks_of(ServiceName(note.service)) is not None
        if is_known and RegionName(note.region) in self._sources.regions():
            self._table.take(note, now)

    def notes(self) -> list[AdmissionLevelNote]:
        """Return the levels that gossip carries to new and far instances."""
        return self._table.notes(now_ms())

    def take_notes(self, notes: list[AdmissionLevelNote]) -> None:
        """Take the levels that an instance's gossip carries."""
        now = now_ms()
        for note in notes:
            self._take_level(note, now)


def _recent(at_ms: dict[str, float], now: float) -> dict[str, float]:
    return {ip: at for ip, at in at_ms.items() if now - at < REPLY_TIMEOUT_MS}


def _demand_note(service: ServiceName, counted: _Counted) -> AdmissionDemandNote:
    largest = heapq.nlargest(
        MAX_ORGANISATIONS, counted.organisations.items(), key=lambda one: one[1]
    )
    organisations = [OrganisationDemandNote(key, cost) for key, cost in largest]
    rest = sum(counted.demand.values()) - sum(cost for _, cost in largest)
    if organisations and rest:
        organisations.append(OrganisationDemandNote(REST_KEY, rest))
    return AdmissionDemandNote(
        service,
        counted.admitted,
        counted.missed,
        [AdmissionBucketNote(bucket, cost) for bucket, cost in counted.demand.items()],
        organisations,
        counted.answered,
        counted.refused,
    )
