"""Connection management for control links: which peers to dial and which to accept."""

import gevent
from result import Err, Ok, Result
from websockets.exceptions import ConnectionClosed, InvalidHandshake
from websockets.sync.client import connect
from websockets.sync.connection import Connection

from sparline._clock import now_ms
from sparline._ids import InstanceId
from sparline._logging import log
from sparline._metrics import Metrics
from sparline.peers._codec import Message, decode, encode
from sparline.peers._link import PeerLink
from sparline.peers._membership import Membership
from sparline.peers._rendezvous import highest_ranked, ranked
from sparline.schema._fleet import FleetMember, FleetState
from sparline.schema._messages import Hello, LinkPurpose
from sparline.schema._settings import Address

HELLO_TIMEOUT_S = 2.0
# Maximum WebSocket message size: leaves room for a 1 MB record and its framing.
MAX_MESSAGE_BYTES = 4_000_000
# How long a link requested through `request_link` is kept after the latest request.
REQUESTED_LINK_MS = 10_000.0
# Multiplier of the silence timeout for links outside the zone, which carry fewer heartbeats.
REMOTE_SILENCE_FACTOR = 2


class Receiver:
    """Callback interface for link events, implemented by the instance."""

    def on_link(self, link: PeerLink) -> None:
        """Handle a newly opened link."""

    def on_link_lost(self, link: PeerLink) -> None:
        """Handle a link whose peer may be gone."""

    def on_message(self, link: PeerLink, message: Message) -> None:
        """Handle a message received on a link."""


class Dialer:
    """Open connections to peers, bound to this instance's own source address."""

    def __init__(self, source_ip: str, timeout_ms: float) -> None:
        """Set the source address and the connection timeout."""
        self.timeout_ms = timeout_ms  # connection timeout
        self._source_ip = source_ip

    def dial(
        self, address: Address, hello: Hello, expected: InstanceId | None
    ) -> Result[tuple[Connection, Hello], str]:
        """Open a connection and exchange hellos; fail if another instance answers."""
        opened = self._connect(address)
        if opened.is_err():
            return Err(opened.unwrap_err())
        connection = opened.unwrap()
        answer = _exchange_hello(connection, hello)
        if answer.is_ok() and expected is not None and answer.unwrap().instance_id != expected:
            answer = Err(f"expected instance {expected}, found {answer.unwrap().instance_id}")
        if answer.is_err():
            gevent.spawn(connection.close)
            return Err(answer.unwrap_err())
        return Ok((connection, answer.unwrap()))

    def _connect(self, address: Address) -> Result[Connection, str]:
        try:
            return Ok(
                connect(
                    f"ws://{address.ip}:{address.port}",
                    source_address=(self._source_ip, 0),
                    open_timeout=self.timeout_ms / 1000,
                    close_timeout=0.5,
                    compression=None,
                    ping_interval=None,
                    max_size=MAX_MESSAGE_BYTES,
                    proxy=None,
                    # The connection outlives this call; its owner closes it.
                    legacy=True,
                )
            )
        except (OSError, InvalidHandshake, TimeoutError, ConnectionClosed, EOFError) as error:
            return Err(f"connection failed: {error}")


def _exchange_hello(connection: Connection, hello: Hello) -> Result[Hello, str]:
    try:
        connection.send(encode(hello))
        return read_hello(connection)
    except ConnectionClosed:
        return Err("connection closed before Hello was received")


def read_hello(connection: Connection) -> Result[Hello, str]:
    """Receive the Hello that must be the first message of a connection."""
    try:
        message = decode(connection.recv(timeout=HELLO_TIMEOUT_S))
    except TimeoutError:
        return Err("timed out waiting for Hello")
    except ConnectionClosed:
        return Err("connection closed before Hello was received")
    match message:
        case Ok(Hello() as hello):
            return Ok(hello)
        case Ok(other):
            return Err(f"expected Hello, found {type(other).__name__}")
        case Err(reason):
            return Err(reason)


class Mesh:
    """Maintain the links that this instance needs.

    Instances of a zone form a full mesh. Each instance dials one instance in every
    other zone of its region, and one instance of the region dials each other region.
    The number of links therefore scales with the size of the zone and with the number
    of regions per instance, not with the size of the fleet.
    """

    def __init__(
        self,
        membership: Membership,
        receiver: Receiver,
        metrics: Metrics,
        dialer: Dialer,
        silence_ms: float,
    ) -> None:
        """Start without links; a link silent for longer than `silence_ms` is dropped."""
        self._membership = membership
        self._receiver = receiver
        self._metrics = metrics
        self._dialer = dialer
        self._silence_ms = silence_ms
        self._dialling: set[InstanceId] = set()
        self._requested_until_ms: dict[InstanceId, float] = {}

    def request_link(self, instance_id: InstanceId) -> PeerLink | None:
        """Return the link to an instance, if any, and request that one be kept or dialled."""
        self._requested_until_ms[instance_id] = now_ms() + REQUESTED_LINK_MS
        return self._membership.link_of(instance_id)

    def maintain(self) -> None:
        """Dial missing links, drop silent ones and close those no longer needed."""
        needed = self._needed_peers()
        for instance_id in needed:
            if self._should_dial(instance_id):
                gevent.spawn(self._dial, instance_id)
        for link in self._membership.links():
            same_zone = link.peer.availability_zone == self._membership.self_hello.availability_zone
            link.drop_if_silent(self._silence_ms * (1 if same_zone else REMOTE_SILENCE_FACTOR))
            if link.dialled and InstanceId(link.peer.instance_id) not in needed:
                self._metrics.peer_events.labels("not_needed").inc()
                link.close()

    def _should_dial(self, instance_id: InstanceId) -> bool:
        linked_or_dialling = (
            instance_id in self._dialling or self._membership.link_of(instance_id) is not None
        )
        return not linked_or_dialling and self._membership.may_dial(instance_id)

    def _needed_peers(self) -> set[InstanceId]:
        own = self._membership.self_hello
        catalog = self._membership.catalog
        peers = [
            member
            for member in catalog.instances_in_region(own.region)
            if self._is_live_peer(member)
        ]
        needed = {InstanceId(member.id) for member in peers if self._should_dial_sibling(member)}
        contacts = self._zone_contacts(peers) | self._region_contacts()
        self._membership.contacts = contacts
        now = now_ms()
        self._requested_until_ms = {
            peer_id: until for peer_id, until in self._requested_until_ms.items() if until > now
        }
        return (
            needed
            | contacts
            | {peer_id for peer_id in self._requested_until_ms if peer_id in catalog.instances}
        )

    def _is_live_peer(self, member: FleetMember) -> bool:
        return member.id != self._membership.self_id and member.state is FleetState.live

    def _should_dial_sibling(self, member: FleetMember) -> bool:
        """Return whether a member is a sibling to dial; the lower id of each pair dials."""
        own = self._membership.self_hello
        return member.availability_zone == own.availability_zone and own.instance_id < member.id

    def _zone_contacts(self, members: list[FleetMember]) -> set[InstanceId]:
        own = self._membership.self_hello
        zones = {member.availability_zone for member in members} - {own.availability_zone}
        groups = (
            [member for member in members if member.availability_zone == zone] for zone in zones
        )
        return {contact for group in groups if (contact := self._select_contact(group))}

    def _region_contacts(self) -> set[InstanceId]:
        own = self._membership.self_hello
        catalog = self._membership.catalog
        live = self._membership.live_in_region(own.region) or [self._membership.self_id]
        regions = [other for other in catalog.regions() if other != own.region]
        assigned = [
            other
            for other in regions
            if highest_ranked(f"link/{other}", live) == self._membership.self_id
        ]
        groups = [
            [
                member
                for member in catalog.instances_in_region(region)
                if member.state is FleetState.live
            ]
            for region in assigned
        ]
        return {contact for group in groups if (contact := self._select_contact(group))}

    def _select_contact(self, group: list[FleetMember]) -> InstanceId | None:
        """Return the preferred contact of a group: a reachable one, else one due for a retry."""
        candidates = ranked(self._membership.self_id, [InstanceId(member.id) for member in group])
        reachable_peers = [peer_id for peer_id in candidates if self._membership.reachable(peer_id)]
        due = [peer_id for peer_id in candidates if self._membership.may_dial(peer_id)]
        return next(iter([*reachable_peers, *due]), None)

    def _dial(self, instance_id: InstanceId) -> None:
        member = self._membership.catalog.instances.get(instance_id)
        if member is None:
            return
        self._dialling.add(instance_id)
        try:
            address = Address(ip=member.ip, port=member.port)
            hello = self._membership.self_hello
            opened = self._dialer.dial(address, hello, instance_id)
        finally:
            self._dialling.discard(instance_id)
        match opened:
            case Err(reason):
                self._metrics.peer_events.labels("dial_failed").inc()
                self._membership.note_unreachable(instance_id)
                log.debug("peers: could not open a link to {}: {}", instance_id, reason)
            case Ok((connection, peer)):
                self.serve(connection, peer, dialled=True)

    def accept(self, connection: Connection, peer: Hello) -> None:
        """Serve an inbound control connection until it ends."""
        connection.send(encode(self._membership.self_hello))
        self.serve(connection, peer, dialled=False)

    def serve(self, connection: Connection, peer: Hello, dialled: bool) -> None:
        """Serve a control connection until it ends."""
        assert peer.purpose is LinkPurpose.control, "relay connections have their own handler"
        link = PeerLink(connection, peer, dialled, self._metrics)
        self._membership.add_link(link)
        self._metrics.peer_events.labels("opened").inc()
        self._receiver.on_link(link)
        end = link.run(self._receiver.on_message)
        if self._membership.remove_link(link, end):
            self._metrics.peer_events.labels("lost").inc()
            self._receiver.on_link_lost(link)

    def close(self) -> None:
        """Close every link."""
        for link in self._membership.links():
            link.close()
