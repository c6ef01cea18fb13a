"""Liveness of instances: the platform's list, corrected by direct observation."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._backoff import doubled_ms
from sparline._clock import now_ms
from sparline._ids import Incarnation, InstanceId, ZoneName
from sparline.declarations import Catalog
from sparline.peers._link import LinkEnd, PeerLink
from sparline.peers._rendezvous import highest_ranked
from sparline.routing import SummaryTable
from sparline.schema._fleet import FleetMember, FleetState
from sparline.schema._messages import Hello, InstanceState, MemberBrief

# How long an unreachable instance counts as down; doubled after each failure up to the maximum.
INITIAL_BACKOFF_MS = 1_000.0
MAX_BACKOFF_MS = 15_000.0


@dataclass(slots=True)
class _Backoff:
    """Failed attempts to reach one instance."""

    failures: int  # consecutive failures
    retry_at_ms: float  # time of the next attempt


class Membership:
    """Track which instances are live and which of them is assigned each duty."""

    def __init__(self, self_hello: Hello, summaries: SummaryTable) -> None:
        """Start with this instance as the only member."""
        self.catalog = Catalog()  # replaced when the platform's list changes
        self.self_hello = self_hello
        self.self_id = InstanceId(self_hello.instance_id)
        self.state = InstanceState.starting  # state of this instance
        self.uptime_ms: Callable[[], int] = lambda: 0
        self.platform_cut: Callable[[], bool] = lambda: False  # whether platform reads fail here
        self._summaries = summaries
        self.contacts: set[InstanceId] = set()  # update recipients outside the zone
        self._links: dict[InstanceId, PeerLink] = {}
        self._backoffs: dict[InstanceId, _Backoff] = {}

    def link_of(self, instance_id: InstanceId) -> PeerLink | None:
        """Return the live link to a peer."""
        link = self._links.get(instance_id)
        return link if link and not link.closed else None

    def links(self) -> list[PeerLink]:
        """Return every live link."""
        return [link for link in self._links.values() if not link.closed]

    def add_link(self, link: PeerLink) -> None:
        """Register a new link and close the one it duplicates, if any.

        If both sides dialled at once, each keeps the link dialled by the lower instance id. A
        link to another incarnation of the peer always replaces the old link.
        """
        peer_id = InstanceId(link.peer.instance_id)
        self._backoffs.pop(peer_id, None)
        old = self.link_of(peer_id)
        if old is None:
            self._links[peer_id] = link
            return
        same_incarnation = old.peer.incarnation == link.peer.incarnation
        keeps_old = same_incarnation and self._dialer_of(old) < self._dialer_of(link)
        self._links[peer_id] = old if keeps_old else link
        (link if keeps_old else old).close()

    def _dialer_of(self, link: PeerLink) -> str:
        return self.self_id if link.dialled else link.peer.instance_id

    def remove_link(self, link: PeerLink, end: LinkEnd) -> bool:
        """Remove an ended link; return whether its peer may be gone."""
        peer_id = InstanceId(link.peer.instance_id)
        if self._links.get(peer_id) is not link:
            return False
        del self._links[peer_id]
        # Siblings (other instances of this zone) close a link only on shutdown; other peers also
        # close links that they no longer need.
        if end is LinkEnd.CLOSED and not self._is_own_zone(link.peer.availability_zone):
            return False
        self.note_unreachable(peer_id)
        return True

    def note_unreachable(self, instance_id: InstanceId) -> None:
        """Record a failure to reach an instance and back off exponentially."""
        backoff = self._backoffs.get(instance_id)
        failures = backoff.failures + 1 if backoff else 1
        delay_ms = doubled_ms(INITIAL_BACKOFF_MS, MAX_BACKOFF_MS, failures)
        self._backoffs[instance_id] = _Backoff(failures, now_ms() + delay_ms)

    def may_dial(self, instance_id: InstanceId) -> bool:
        """Return whether an instance is not in its backoff period."""
        backoff = self._backoffs.get(instance_id)
        return backoff is None or now_ms() >= backoff.retry_at_ms

    def reachable(self, instance_id: InstanceId) -> bool:
        """Return whether an instance is linked and not leaving, or may be dialled now."""
        link = self.link_of(instance_id)
        if link is not None:
            return _reported_state(link) is not InstanceState.leaving
        return self.may_dial(instance_id)

    def is_live(self, member: FleetMember) -> bool:
        """Return whether an instance is live and not leaving."""
        instance_id = InstanceId(member.id)
        if instance_id == self.self_id:
            return self.state is not InstanceState.leaving
        link = self.link_of(instance_id)
        if link is not None:
            return _reported_state(link) is not InstanceState.leaving
        if self._is_down(member) or member.state is FleetState.leaving:
            return False
        stored = self._summaries.get(ZoneName(member.availability_zone))
        if stored is None:
            return True
        entries = [entry for entry in stored.summary.members if entry.instance_id == member.id]
        return any(entry.state is InstanceState.live for entry in entries)

    def _is_down(self, member: FleetMember) -> bool:
        """Return whether an instance counts as down after a lost link or a failed attempt.

        A sibling counts as down until a link to it opens, any other instance until its backoff
        period ends.
        """
        backoff = self._backoffs.get(InstanceId(member.id))
        if backoff is None:
            return False
        return self._is_own_zone(member.availability_zone) or now_ms() < backoff.retry_at_ms

    def _is_own_zone(self, zone: str) -> bool:
        return zone == self.self_hello.availability_zone

    def live_in_zone(self, zone: str) -> list[InstanceId]:
        """Return the live instances of a zone of this instance's region."""
        members = self.catalog.instances_in_region(self.self_hello.region)
        return [
            InstanceId(member.id)
            for member in members
            if member.availability_zone == zone and self.is_live(member)
        ]

    def live_in_region(self, region: str) -> list[InstanceId]:
        """Return the live instances of a region."""
        members = self.catalog.instances_in_region(region)
        return [InstanceId(member.id) for member in members if self.is_live(member)]

    def has_zone_duty(self, duty: str) -> bool:
        """Return whether this instance is assigned a duty of its zone."""
        live = self.live_in_zone(self.self_hello.availability_zone)
        return highest_ranked(duty, live or [self.self_id]) == self.self_id

    def has_platform_duty(self) -> bool:
        """Return whether this instance reads the platform for its region.

        Instances whose recent reads failed are skipped; if all failed, the highest-ranked live
        instance keeps trying.
        """
        live = self.live_in_region(self.self_hello.region) or [self.self_id]
        readers = [peer_id for peer_id in live if not self._is_platform_cut(peer_id)]
        return highest_ranked("platform", readers or live) == self.self_id

    def _is_platform_cut(self, instance_id: InstanceId) -> bool:
        if instance_id == self.self_id:
            return self.platform_cut()
        link = self.link_of(instance_id)
        if link is not None:
            return link.heartbeat is not None and link.heartbeat.platform_cut
        entry = self._summary_entry(instance_id)
        return entry is not None and entry.platform_cut

    def _summary_entry(self, instance_id: InstanceId) -> MemberBrief | None:
        """Return the entry for an instance in its zone's summary."""
        member = self.catalog.instances.get(instance_id)
        stored = self._summaries.get(ZoneName(member.availability_zone)) if member else None
        members = stored.summary.members if stored else []
        return next((entry for entry in members if entry.instance_id == instance_id), None)

    def sees_whole_region(self, region: str) -> bool:
        """Return whether every instance listed as live is seen as live or has announced leaving."""
        members = self.catalog.instances_in_region(region)
        listed = [member for member in members if member.state is FleetState.live]
        return all(self.is_live(member) or self._announced_leaving(member) for member in listed)

    def _announced_leaving(self, member: FleetMember) -> bool:
        link = self.link_of(InstanceId(member.id))
        return link is not None and _reported_state(link) is InstanceState.leaving

    def zone_members(self) -> list[MemberBrief]:
        """Return this instance and the linked instances of its zone that have sent a heartbeat."""
        own = self.self_hello
        members = [
            MemberBrief(
                own.instance_id, own.incarnation, self.state, self.uptime_ms(), self.platform_cut()
            )
        ]
        for link in self.links():
            peer, latest = link.peer, link.heartbeat
            if peer.availability_zone == own.availability_zone and latest is not None:
                members.append(
                    MemberBrief(
                        peer.instance_id,
                        peer.incarnation,
                        latest.state,
                        latest.uptime_ms,
                        latest.platform_cut,
                    )
                )
        return members

    def incarnation_and_uptime(self, instance_id: InstanceId) -> tuple[Incarnation, int] | None:
        """Return an instance's incarnation and a lower bound of its uptime, None if unknown."""
        if instance_id == self.self_id:
            return Incarnation(self.self_hello.incarnation), self.uptime_ms()
        link = self.link_of(instance_id)
        if link is not None and link.heartbeat is not None:
            return Incarnation(link.peer.incarnation), link.heartbeat.uptime_ms
        entry = self._summary_entry(instance_id)
        return (Incarnation(entry.incarnation), entry.uptime_ms) if entry else None


def _reported_state(link: PeerLink) -> InstanceState:
    return link.heartbeat.state if link.heartbeat else InstanceState.live
