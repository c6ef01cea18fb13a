"""Advice to callers: which instances to use, best first; no payload is sent for it."""

from dataclasses import dataclass

from sparline._ids import InstanceId, RegionName, TargetName, ZoneName
from sparline.declarations import Catalog
from sparline.peers import Membership, ranked
from sparline.requests import Length, TargetKind, make_ticket
from sparline.routing import NO_BACKEND_WAIT_MS, LoadTable, SummaryTable, wait_for_target
from sparline.schema._declarations import Organisation
from sparline.schema._fleet import FleetMember

ZONE_DELAY_MS = 1.0
# Estimates that differ by less are equal.
EQUAL_MS = 5.0


@dataclass(frozen=True, slots=True)
class Advice:
    """Hold one instance that a caller may use."""

    instance_id: str  # name of the instance
    ip: str  # where it listens for callers
    port: int  # and its port
    region: str  # region that it is in
    availability_zone: str  # zone that it is in
    estimate_ms: float  # way there and wait there


class Locator:
    """Rank the instances that an organisation's callers may use."""

    def __init__(self, membership: Membership, loads: LoadTable, summaries: SummaryTable) -> None:
        """Read from the tables of one instance."""
        self.catalog = Catalog()  # replaced when the files change
        self._membership = membership
        self._loads = loads
        self._summaries = summaries

    def advise(
        self, organisation: Organisation, target: TargetName | None, caller: str
    ) -> list[Advice]:
        """Return live instances inside the residency rule, best first."""
        allowed = self.catalog.allowed_regions(organisation.residency_rule)
        live = [
            member
            for member in self.catalog.instances.values()
            if RegionName(member.region) in allowed and self._membership.is_live(member)
        ]
        spread = {one: place for place, one in enumerate(ranked(caller, [one.id for one in live]))}
        advice = [self._advice(member, target) for member in live]
        # Callers stay in their region while anything there could serve them: sending away is
        # routing's choice. They spread over instances that are equally good.
        return sorted(
            advice,
            key=lambda one: (
                self._leaves_region(one),
                round(one.estimate_ms / EQUAL_MS),
                spread[one.instance_id],
            ),
        )

    def _leaves_region(self, advice: Advice) -> bool:
        served = advice.estimate_ms < NO_BACKEND_WAIT_MS
        return not (served and advice.region == self._membership.self_hello.region)

    def _advice(self, member: FleetMember, target: TargetName | None) -> Advice:
        return Advice(
            instance_id=member.id,
            ip=member.ip,
            port=member.callers_port,
            region=member.region,
            availability_zone=member.availability_zone,
            estimate_ms=round(self._way_ms(member) + self._wait_ms(member, target), 1),
        )

    def _way_ms(self, member: FleetMember) -> float:
        own = self._membership.self_hello
        if member.availability_zone == own.availability_zone:
            return 0.0
        return ZONE_DELAY_MS + 2 * self.catalog.link_delay_ms(own.region, member.region)

    def _wait_ms(self, member: FleetMember, target: TargetName | None) -> float:
        if target is None:
            return 0.0
        if member.availability_zone == self._membership.self_hello.availability_zone:
            kind = TargetKind.SERVICE if target in self.catalog.services else TargetKind.ENGINE
            working = [
                one for one in self._loads.servers_for_target(kind, target) if one.takes_work
            ]
            queue = self._loads.queue(target)
            service = self.catalog.services.get(target)
            return wait_for_target(working, service, queue, Length.SHORT)
        held = self._summaries.get(ZoneName(member.availability_zone))
        targets = held.summary.targets if held else []
        return next(
            (float(one.short.wait_ms) for one in targets if one.target == target),
            NO_BACKEND_WAIT_MS,
        )

    def ticket_for(self, advice: Advice) -> str | None:
        """Return a ticket that binds a new request id to an instance, None where its start is unknown."""
        known = self._membership.incarnation_and_uptime(InstanceId(advice.instance_id))
        if known is None:
            return None
        incarnation, uptime_ms = known
        return str(make_ticket(InstanceId(advice.instance_id), incarnation, uptime_ms))
