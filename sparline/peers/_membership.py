"""Which instances live: the platform's list, corrected by what is seen first-hand."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import Incarnation, InstanceId, ZoneName
from sparline.declarations import Catalog
from sparline.peers._link import PeerLink
from sparline.peers._rendezvous import first
from sparline.routing import SummaryTable
from sparline.schema._fleet import FleetMember, FleetState
from sparline.schema._messages import Hello, InstanceState, MemberBrief

# An instance that could not be reached counts as down for so long, doubled each time.
DOWN_FIRST_MS = 1_000.0
DOWN_LONGEST_MS = 15_000.0


@dataclass(slots=True)
class _Down:
    """Hold the failures to reach one instance."""

    failures: int  # in a row
    until_ms: float  # when it is tried again


class Membership:
    """Answer which instances live and which of them has a duty."""

    def __init__(self, self_hello: Hello, summaries: SummaryTable) -> None:
        """Start with the instance itself alone."""
        self.catalog = Catalog()  # replaced when the list changes
        self.self_hello = self_hello
        self.self_id = InstanceId(self_hello.instance_id)
        self.state = InstanceState.starting  # state of this instance
        self.uptime_ms: Callable[[], int] = lambda: 0
        self._summaries = summaries
        self._links: dict[InstanceId, PeerLink] = {}
        self._down: dict[InstanceId, _Down] = {}

    def link_of(self, instance_id: InstanceId) -> PeerLink | None:
        """Return the live link to a peer."""
        link = self._links.get(instance_id)
        return link if link and not link.closed else None

    def links(self) -> list[PeerLink]:
        """Return every live link."""
        return [link for link in self._links.values() if not link.closed]

    def note_link(self, link: PeerLink) -> None:
        """Take a new link; an older one to the same peer is closed."""
        peer_id = InstanceId(link.peer.instance_id)
        old = self._links.get(peer_id)
        self._links[peer_id] = link
        self._down.pop(peer_id, None)
        if old is not None and old is not link:
            old.close()

    def note_lost(self, link: PeerLink) -> bool:
        """Drop a link that ended; tell whether it was the current one."""
        peer_id = InstanceId(link.peer.instance_id)
        if self._links.get(peer_id) is not link:
            return False
        del self._links[peer_id]
        self.note_unreachable(peer_id)
        return True

    def note_unreachable(self, instance_id: InstanceId) -> None:
        """Leave an instance alone for a while, longer each time."""
        down = self._down.get(instance_id)
        failures = down.failures + 1 if down else 1
        pause_ms = min(DOWN_FIRST_MS * 2 ** (failures - 1), DOWN_LONGEST_MS)
        self._down[instance_id] = _Down(failures, now_ms() + pause_ms)

    def may_dial(self, instance_id: InstanceId) -> bool:
        """Tell whether it is time to try an instance."""
        down = self._down.get(instance_id)
        return down is None or now_ms() >= down.until_ms

    def reachable(self, instance_id: InstanceId) -> bool:
        """Tell whether nothing first-hand speaks against an instance."""
        link = self.link_of(instance_id)
        if link is not None:
            return _state_of(link) is not InstanceState.leaving
        return instance_id not in self._down

    def is_live(self, member: FleetMember) -> bool:
        """Tell whether an instance lives and is not leaving."""
        instance_id = InstanceId(member.id)
        if instance_id == self.self_id:
            return self.state is not InstanceState.leaving
        link = self.link_of(instance_id)
        if link is not None:
            return _state_of(link) is not InstanceState.leaving
        if instance_id in self._down or member.state is FleetState.leaving:
            return False
        held = self._summaries.get(ZoneName(member.availability_zone))
        if held is None:
            return True
        told = [one for one in held.summary.members if one.instance_id == member.id]
        return any(one.state is InstanceState.live for one in told)

    def live_in_zone(self, zone: str) -> list[InstanceId]:
        """Return the live instances of a zone."""
        return self._live(lambda member: member.availability_zone == zone)

    def live_in_region(self, region: str) -> list[InstanceId]:
        """Return the live instances of a region."""
        return self._live(lambda member: member.region == region)

    def _live(self, wanted: Callable[[FleetMember], bool]) -> list[InstanceId]:
        members = (one for one in self.catalog.instances.values() if wanted(one))
        return [InstanceId(one.id) for one in members if self.is_live(one)]

    def has_zone_duty(self, duty: str) -> bool:
        """Tell whether this instance has a duty of its zone."""
        live = self.live_in_zone(self.self_hello.availability_zone)
        return first(duty, live or [self.self_id]) == self.self_id

    def has_region_duty(self, duty: str) -> bool:
        """Tell whether this instance has a duty of its region."""
        live = self.live_in_region(self.self_hello.region)
        return first(duty, live or [self.self_id]) == self.self_id

    def sees_whole_region(self, region: str) -> bool:
        """Tell whether every instance that the list calls live can be seen."""
        listed = [
            one
            for one in self.catalog.instances.values()
            if one.region == region and one.state is FleetState.live
        ]
        return all(self.is_live(one) or self._told_leaving(one) for one in listed)

    def _told_leaving(self, member: FleetMember) -> bool:
        link = self.link_of(InstanceId(member.id))
        return link is not None and _state_of(link) is InstanceState.leaving

    def zone_members(self) -> list[MemberBrief]:
        """Return the instances of this zone with which a link stands, and this one."""
        own = self.self_hello
        members = [MemberBrief(own.instance_id, own.incarnation, self.state, self.uptime_ms())]
        for link in self.links():
            if link.peer.availability_zone == own.availability_zone and link.heartbeat:
                beat = link.heartbeat
                members.append(
                    MemberBrief(
                        link.peer.instance_id, link.peer.incarnation, beat.state, beat.uptime_ms
                    )
                )
        return members

    def known_start(self, instance_id: InstanceId) -> tuple[Incarnation, int] | None:
        """Return an instance's incarnation and its age at the least, None where unknown."""
        if instance_id == self.self_id:
            return Incarnation(self.self_hello.incarnation), self.uptime_ms()
        link = self.link_of(instance_id)
        if link is not None and link.heartbeat is not None:
            return Incarnation(link.peer.incarnation), link.heartbeat.uptime_ms
        for held in self._summaries.fresh():
            for one in held.summary.members:
                if one.instance_id == instance_id:
                    return Incarnation(one.incarnation), one.uptime_ms
        return None


def _state_of(link: PeerLink) -> InstanceState:
    return link.heartbeat.state if link.heartbeat else InstanceState.live
