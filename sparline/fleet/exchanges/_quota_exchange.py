"""Exchange of the usage that instances have admitted against organisations' quotas.

An instance reports its usage to the quota coordinator of its region, which replies with the
remaining quota. In each round, a quota coordinator sends its region's totals to one quota
coordinator of each other region. Nothing is sent for quotas without requests.
"""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import OrganisationId, RegionName
from sparline.fleet._members import Members
from sparline.quotas import (
    QuotaCoordinator,
    QuotaLimiter,
    QuotaParameters,
    QuotaUsage,
    RegionTotal,
    RemainingQuota,
    UsageReport,
)
from sparline.routes import Organisation
from sparline.schema._gossip import (
    QuotaLevelNote,
    QuotaReport,
    QuotaTotalNote,
    QuotaTotals,
    QuotaUseNote,
    QuotaWord,
)

# How long a quota coordinator that did not reply is skipped (ms).
SKIP_COORDINATOR_MS = 3_000.0
# Assumed number of instances that share a quota, for an instance that has heard of no other.
ASSUMED_INSTANCES = 24
# Number of candidate quota coordinators per region, which exchange totals: instances may
# temporarily disagree on the coordinator, so that several count as such at the same time.
COORDINATOR_CANDIDATES = 2

QuotaMessage = QuotaReport | QuotaWord | QuotaTotals


@dataclass(frozen=True, slots=True)
class QuotaDatagram:
    """Hold a datagram to send and its recipients."""

    peers: list[str]  # recipient addresses
    message: QuotaMessage  # content


class QuotaExchange:
    """Select the quota messages to send and process those received; sends nothing itself."""

    def __init__(
        self,
        members: Members,
        limiter: QuotaLimiter,
        parameters_of: Callable[[int], QuotaParameters | None],
    ) -> None:
        """Create an exchange; `parameters_of` returns the refill parameters of a quota by its key."""
        self.limiter = limiter
        self._members = members
        self._region = RegionName(members.own.region)
        self.quota_coordinator = QuotaCoordinator(self._region, parameters_of, self._region_shares)
        # End of the time for which an unresponsive quota coordinator is skipped, by address.
        self._skipped_until_ms: dict[str, float] = {}
        self._reported_to = ""
        self._region_instances = 1  # instances of the region, as of the last round
        self._fleet_instances = ASSUMED_INSTANCES  # instances sharing quotas as of the last round

    def admit(self, organisation: Organisation, cost: float) -> float | None:
        """Return None if a request is admitted, otherwise the delay before a retry (ms)."""
        return self.limiter.admit(organisation, cost, self._fleet_instances, now_ms())

    def is_estimate(self, organisation: OrganisationId) -> bool:
        """Return whether a quota may have changed since the quota coordinator's last reply."""
        return self.limiter.is_estimate(organisation, now_ms())

    def settle(self, organisation: OrganisationId, units: float) -> None:
        """Charge a quota for a repeated request, or refund (below zero) one that did not run."""
        self.limiter.settle(organisation, units)

    def left(self, organisation: OrganisationId) -> RemainingQuota | None:
        """Return the estimate of a quota's remaining units, or None if it is unused here."""
        return self.limiter.left(organisation, now_ms())

    def _region_shares(self) -> dict[RegionName, float]:
        """Return each region's fraction of a quota, by its number of instances."""
        counts: dict[RegionName, int] = {}
        for region in self._members.regions_sharing():
            counts[region] = counts.get(region, 0) + 1
        total = sum(counts.values())
        return {region: count / total for region, count in counts.items()}

    def due(self) -> list[QuotaDatagram]:
        """Return the datagrams due now: a usage report, or totals if this is the coordinator."""
        now = now_ms()
        if not self.limiter.is_report_due(self._region_instances, now):
            return []
        if self.limiter.is_unanswered(now) and self._reported_to != self._members.own.ip:
            self._skipped_until_ms[self._reported_to] = now + SKIP_COORDINATOR_MS
        coordinator = self._coordinators(self._region)[0]
        self._reported_to = coordinator
        report = self.limiter.report(now)
        own = self._members.own
        if coordinator == own.ip:
            levels = self.quota_coordinator.take_report((own.ip, own.incarnation), report, now)
            self.limiter.apply_answer(report.sequence, levels, now)
            return self._urgent_totals(now)
        uses = [_note_of(use) for use in report.uses]
        return [
            QuotaDatagram(
                [coordinator], QuotaReport(own.ip, own.incarnation, report.sequence, uses)
            )
        ]

    def _coordinators(self, region: RegionName) -> list[str]:
        """Return a region's candidate quota coordinators; the first one is the coordinator."""
        now = now_ms()
        ips = [one.note.ip for one in self._members.live(region)]
        if region == self._region:
            ips = [ip for ip in ips if self._skipped_until_ms.get(ip, 0.0) < now]
            ips.append(self._members.own.ip)
        return sorted(ips, key=lambda ip: hash64(f"quota/{ip}"), reverse=True)[
            :COORDINATOR_CANDIDATES
        ]

    def round(self) -> list[QuotaDatagram]:
        """Return the datagrams to send in a round."""
        now = now_ms()
        self._region_instances = len(self._members.live(self._region)) + 1
        sharers = len(self._members.sharers())
        self._fleet_instances = sharers if sharers > 1 else ASSUMED_INSTANCES
        self.limiter.forget_idle(now)
        self.quota_coordinator.forget_idle(now)
        return [*self.due(), *self._totals(now)]

    def _urgent_totals(self, now: float) -> list[QuotaDatagram]:
        return self._totals(now) if self.quota_coordinator.are_totals_due(now) else []

    def _totals(self, now: float) -> list[QuotaDatagram]:
        if not len(self.quota_coordinator):
            return []
        own = self._members.own
        notes = [
            QuotaTotalNote(one.key, round(one.total)) for one in self.quota_coordinator.totals(now)
        ]
        peers = [ip for ip in self._coordinators(self._region) if ip != own.ip]
        for region in dict.fromkeys(self._members.regions_sharing()):
            if region != self._region:
                peers += self._coordinators(region)[:1]
        message = QuotaTotals(own.ip, own.incarnation, self._region, notes)
        return [QuotaDatagram(peers, message)] if peers else []

    def take(self, message: QuotaMessage) -> list[QuotaDatagram]:
        """Process a quota message; return the datagrams to send in reply, if any."""
        now = now_ms()
        match message:
            case QuotaReport():
                report = UsageReport(message.sequence, [_use_of(note) for note in message.uses])
                member = (message.ip, message.incarnation)
                levels = self.quota_coordinator.take_report(member, report, now)
                notes = [QuotaLevelNote(key, round(level)) for key, level in levels.items()]
                answer = QuotaDatagram([message.ip], QuotaWord(message.sequence, notes))
                return [answer, *self._urgent_totals(now)]
            case QuotaWord():
                levels = {note.key: float(note.level) for note in message.levels}
                self.limiter.apply_answer(message.sequence, levels, now)
            case QuotaTotals():
                totals = [RegionTotal(note.key, note.total) for note in message.totals]
                coordinator = (message.ip, message.incarnation)
                self.quota_coordinator.take_totals(
                    self._sender_name(message), coordinator, totals, now
                )
        return []

    def _sender_name(self, message: QuotaTotals) -> RegionName:
        """Return the name under which the coordinator records totals.

        It is the sender's region, with the sender's address in the own region, where several
        instances may act as coordinator at the same time.
        """
        if message.region != self._region:
            return RegionName(message.region)
        return RegionName(f"{message.region}/{message.ip}")


def _note_of(use: QuotaUsage) -> QuotaUseNote:
    level = None if use.level is None else round(use.level)
    return QuotaUseNote(use.key, round(use.total), round(use.unsaid), level)


def _use_of(note: QuotaUseNote) -> QuotaUsage:
    return QuotaUsage(note.key, note.total, note.unsaid, note.level)
