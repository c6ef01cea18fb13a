"""UDP gossip between instances: heartbeats, loads and relayed member state, at a bounded rate."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent
import msgspec
from gevent import socket
from result import Err, Ok

from sparline._cbor import TaggedReader, pack
from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet._gossip_peers import (
    MAX_DESCRIBED_MEMBERS,
    REPRESENTATIVES_PER_REGION,
    classify_peers,
    find_missing_peers,
    ips_by_other_region,
    ips_of,
    is_region_representative,
    limit_randomly,
    sample_members,
    siblings_for_round,
)
from sparline.fleet._members import Member, Members
from sparline.fleet._store_copy import StorePosition
from sparline.fleet.exchanges import (
    AdmissionDatagram,
    AdmissionExchange,
    CrashExchange,
    LoadDatagram,
    LoadExchange,
    PartDatagram,
    PartExchange,
    QuotaDatagram,
    QuotaExchange,
    StreamVersionDatagram,
    StreamVersionExchange,
)
from sparline.quarantine import CrashChange
from sparline.schema._gossip import (
    AdmissionLevels,
    AdmissionReport,
    CrashNews,
    Gossip,
    LoadNews,
    LoadShares,
    LoadWord,
    MemberBeat,
    MemberNote,
    MemberPhase,
    PartNews,
    PromptReadNote,
    QuotaReport,
    QuotaTotals,
    QuotaWord,
    ServerLimitNote,
    StreamVersionNews,
    StreamVersionQuery,
    StreamVersionReply,
)

# Interval between gossip rounds (ms). It makes load data about as old as a prompt's prefill takes.
ROUND_MS = 250.0
# Number of rounds between probes. A probe queries a seed or a silent member, which reconnects the
# fleet after a network partition.
PROBE_INTERVAL_ROUNDS = 4
# Number of initial rounds in which an instance queries all seeds: after a power failure the seeds
# start at the same time, and the first datagrams arrive before they listen.
SEED_QUERY_ROUNDS = 20
# Maximum number of other instances' heartbeats relayed in a datagram: in a fleet of two hundred,
# each heartbeat is then received every few seconds.
MAX_RELAYED_HEARTBEATS = 14
# Maximum number of heartbeats of the own region relayed in a datagram to another region.
MAX_CROSS_REGION_HEARTBEATS = 12
# Delay before the description of an unknown instance is requested again (ms): one round.
DESCRIPTION_RETRY_MS = 250.0
# Maximum number of peers in an immediate broadcast: larger than any supported region.
MAX_BROADCAST_PEERS = 64
# Receive buffer size: the largest datagram that can be read (bytes).
RECEIVE_BUFFER_BYTES = 65_536


# Messages that instances send each other in datagrams.
Datagram = (
    Gossip
    | LoadShares
    | LoadNews
    | LoadWord
    | CrashNews
    | PartNews
    | QuotaReport
    | QuotaWord
    | QuotaTotals
    | AdmissionReport
    | AdmissionLevels
    | StreamVersionNews
    | StreamVersionQuery
    | StreamVersionReply
)
DATAGRAM_READER = TaggedReader(Datagram)


@dataclass(frozen=True, slots=True)
class GossipSources:
    """Hold the callbacks that supply and consume gossip data other than member state."""

    recent_prefix_uses: Callable[
        [], list[PromptReadNote]
    ]  # long prompt prefixes prefilled by engines
    merge_prefix_uses: Callable[[list[PromptReadNote]], None]  # merges a peer's prefixes
    server_limits: Callable[[], list[ServerLimitNote]]  # sample of the known server rate limits
    take_server_limits: Callable[[list[ServerLimitNote]], None]  # merges a peer's limits
    store_position: Callable[[], StorePosition]  # state of the store that this instance holds
    store_reached: Callable[[], bool]  # whether the store responded recently
    configuration_version: Callable[[], int]  # version that this instance follows, 0 for none


class GossipPort:
    """Send and receive gossip datagrams."""

    def __init__(
        self,
        port: int,
        seeds: list[str],
        members: Members,
        loads: LoadExchange,
        crashes: CrashExchange,
        parts: PartExchange,
        quotas: QuotaExchange,
        admission: AdmissionExchange,
        streams: StreamVersionExchange,
        sources: GossipSources,
    ) -> None:
        """Bind the port, the same on all instances; `seeds` are the initial peer addresses."""
        self.seeds = seeds
        self._port = port
        self._members = members
        self._loads = loads
        self._crashes = crashes
        self._parts = parts
        self._quotas = quotas
        self._admission = admission
        self._streams = streams
        self._sources = sources
        self._round = 0
        self._rng = random.Random()
        self._greeted: dict[str, int] = {}  # incarnations of siblings already greeted, by address
        self._requested_at_ms: dict[int, float] = {}  # time of the last request for a note, by key
        self._closed = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((members.own.ip, port))

    def read(self) -> None:
        """Receive and handle datagrams until the port is closed."""
        while not self._closed:
            try:
                data, sender = self._socket.recvfrom(RECEIVE_BUFFER_BYTES)
            except OSError as error:
                # An earlier datagram went to a closed port (ICMP error); this socket still works.
                log.debug("gossip: receive failed: {}", error)
                continue
            match DATAGRAM_READER.read(data):
                case Err(reason):
                    log.warning("gossip: datagram from {} refused: {}", sender[0], reason)
                case Ok(message):
                    self.take(message)

    def take(self, message: Datagram) -> None:
        """Handle a received datagram."""
        match message:
            case CrashNews():
                self._handle_crash_news(message)
            case PartNews():
                self.send_immediately(self._parts.take(message))
            case LoadNews():
                self._loads.take_news(message)
            case LoadShares():
                self.send_immediately(self._loads.take_shares(message))
            case LoadWord():
                self._loads.take_readings([message.reading])
            case QuotaReport() | QuotaWord() | QuotaTotals():
                self.send_immediately(self._quotas.take(message))
            case AdmissionReport() | AdmissionLevels():
                self.send_immediately(self._admission.take(message))
            case StreamVersionNews() | StreamVersionQuery() | StreamVersionReply():
                self.send_immediately(self._streams.take(message))
            case Gossip():
                self._handle_gossip(message)

    def _handle_gossip(self, gossip: Gossip) -> None:
        is_new = self._members.take(gossip)
        self._sources.merge_prefix_uses(gossip.reads)
        self._loads.take_readings(gossip.loads)
        self._sources.take_server_limits(gossip.server_limits)
        self._crashes.take(gossip.crashes)
        self._admission.take_notes(gossip.levels)
        self._reply(gossip, is_new)

    def _handle_crash_news(self, message: CrashNews) -> None:
        news = self._crashes.take(message.crashes)
        if news and message.pass_on:
            self._broadcast_to_siblings(CrashNews(news, pass_on=False))

    def _reply(self, gossip: Gossip, is_new: bool) -> None:
        if is_new:
            log.bind(peer=gossip.sender.name, phase=gossip.sender.phase.value).info("member_heard")
        same_region = gossip.sender.region == self._members.own.region
        if gossip.wants_members:
            sample = sample_members(self._members, gossip.sender.region, self._rng)
            self._send([gossip.sender.ip], self._gossip_message(same_region, sample, is_new=True))
            self.send_immediately(self._parts.greeting([gossip.sender.ip]))
        elif is_new and same_region:
            # Instances of other regions learn of this one from the region's representatives.
            self._greet([gossip.sender.ip])
        elif gossip.wanted:
            requested_notes = self._members.requested_notes(gossip.wanted[:MAX_DESCRIBED_MEMBERS])
            self._send([gossip.sender.ip], self._gossip_message(same_region, requested_notes))
        if self._members.discovered_siblings:
            # With the round-robin rounds alone, some siblings would not know a new instance for a
            # second or two, and would divide shared limits without it.
            self._greet(self._members.discovered_siblings)
        wanted = self._not_yet_requested(self._members.unknown_keys)
        if wanted:
            # The sender relayed their heartbeats, so it can describe them.
            self._send([gossip.sender.ip], self._gossip_message(same_region, wanted=wanted))

    def _greet(self, siblings: list[str]) -> None:
        """Send this instance's state to new siblings, once per incarnation."""
        incarnations = {one.note.ip: one.note.incarnation for one in self._members.others()}
        new = [ip for ip in siblings if self._greeted.get(ip) != incarnations.get(ip)]
        self._greeted.update({ip: incarnations[ip] for ip in new if ip in incarnations})
        self._greeted = {ip: one for ip, one in self._greeted.items() if ip in incarnations}
        if new:
            self._send(new, self._gossip_message(True, is_new=True))
            self.send_immediately(self._parts.greeting(new))

    def _not_yet_requested(self, keys: list[int]) -> list[int]:
        """Return the unknown instances whose description has not been requested recently."""
        if not keys:
            return []
        now = now_ms()
        self._requested_at_ms = {
            key: at_ms
            for key, at_ms in self._requested_at_ms.items()
            if now - at_ms < DESCRIPTION_RETRY_MS
        }
        wanted = [key for key in keys if key not in self._requested_at_ms][:MAX_DESCRIBED_MEMBERS]
        self._requested_at_ms.update(dict.fromkeys(wanted, now))
        return wanted

    def run(self) -> None:
        """Run gossip rounds for the lifetime of the process."""
        while True:
            self.round()
            gevent.sleep(ROUND_MS / 1000)

    def round(self) -> None:
        """Run one gossip round."""
        self._round += 1
        own = self._members.own
        self._members.own = msgspec.structs.replace(own, counter=own.counter + 1)
        siblings, remote, silent = classify_peers(self._members)
        exchanges = (self._loads, self._parts, self._quotas, self._admission)
        for one in (datagram for exchange in exchanges for datagram in exchange.round()):
            self._send(one.peers, one.message)
        round_siblings = siblings_for_round(self._members, siblings, self._round)
        if round_siblings:
            self._send(round_siblings, self._gossip_message(True))
        is_representative = is_region_representative(self._members)
        if is_representative:
            self._send_to_other_region()
        self._probe(ips_of(siblings + remote), silent, is_representative)

    def _send_to_other_region(self) -> None:
        """Send gossip to a random instance of one other region, with the regions in rotation."""
        regions = ips_by_other_region(self._members)
        if regions:
            ips = regions[self._round % len(regions)]
            self._send([self._rng.choice(ips)], self._gossip_message(False))

    def announce(self, phase: MemberPhase) -> None:
        """Set this instance's phase; notify all siblings and one instance of each other region."""
        self._members.own = msgspec.structs.replace(self._members.own, phase=phase)
        self._members.own_phase_at_ms = now_ms()
        self._announce_own_note()

    def announce_servers_reached(self, are_reached: bool) -> None:
        """Tell the same peers whether this instance reaches the backend servers of its region."""
        own = self._members.own
        self._members.own = msgspec.structs.replace(own, servers_reached=are_reached)
        self._announce_own_note()

    def _announce_own_note(self) -> None:
        own = self._members.own
        self._members.own = msgspec.structs.replace(own, counter=own.counter + 1)
        siblings, _, _ = classify_peers(self._members)
        self._send(
            limit_randomly(ips_of(siblings), MAX_BROADCAST_PEERS, self._rng),
            self._gossip_message(True),
        )
        remote = [self._rng.choice(ips) for ips in ips_by_other_region(self._members)]
        self._send(remote, self._gossip_message(False))

    def send_immediately(
        self,
        outgoing: Iterable[
            LoadDatagram | PartDatagram | QuotaDatagram | AdmissionDatagram | StreamVersionDatagram
        ],
    ) -> None:
        """Send datagrams of an exchange immediately."""
        for one in outgoing:
            self._send(limit_randomly(one.peers, MAX_BROADCAST_PEERS, self._rng), one.message)

    def broadcast_crash(self, change: CrashChange) -> None:
        """Broadcast an urgent crash report to siblings and some instances of each other region."""
        sharing = len(self._members.live(RegionName(self._members.own.region))) + 1
        news = self._crashes.urgent_news(change, sharing)
        if news is None:
            return
        self._broadcast_to_siblings(news)
        for ips in ips_by_other_region(self._members):
            self._send(limit_randomly(ips, REPRESENTATIVES_PER_REGION, self._rng), news)

    def _broadcast_to_siblings(self, news: CrashNews) -> None:
        siblings, _, _ = classify_peers(self._members)
        message = CrashNews(news.crashes, pass_on=False)
        self._send(limit_randomly(ips_of(siblings), MAX_BROADCAST_PEERS, self._rng), message)

    def close(self) -> None:
        """Close the port, which ends `read`."""
        self._closed = True
        self._socket.close()

    def _probe(self, known: list[str], silent: list[Member], is_representative: bool) -> None:
        """Query all seeds in the first rounds, later one missing peer, or all seeds if alone."""
        own = self._members.own
        unknown_seeds = [ip for ip in self.seeds if ip != own.ip and ip not in known]
        if self._round <= SEED_QUERY_ROUNDS:
            self._send(unknown_seeds, self._gossip_message(False, wants_members=True))
        elif self._round % PROBE_INTERVAL_ROUNDS == 1:
            missing_peers = find_missing_peers(self._members, silent, is_representative)
            silent_ips = {one.note.ip for one in silent}
            missing_peers += [ip for ip in unknown_seeds if ip not in silent_ips]
            if missing_peers:
                chosen = [self._rng.choice(missing_peers)] if known else unknown_seeds
                self._send(chosen, self._gossip_message(False, wants_members=True))

    def _gossip_message(
        self,
        same_region: bool,
        members: list[MemberNote] | None = None,
        wants_members: bool = False,
        wanted: list[int] | None = None,
        is_new: bool = False,
    ) -> Gossip:
        """Return a message for a peer of the own region or another; `is_new` if it just started."""
        position = self._sources.store_position()
        return Gossip(
            sender=self._members.own,
            store_revision=position.revision,
            store_reached=self._sources.store_reached(),
            loads=self._loads.readings_for(same_region),
            reads=self._sources.recent_prefix_uses(),
            beats=self._heartbeats(same_region),
            members=members or [],
            wants_members=wants_members,
            wanted=wanted or [],
            crashes=self._crashes.notes_for(same_region, is_new),
            server_limits=self._sources.server_limits(),
            levels=self._admission.notes(),
            store_era=position.era,
            configuration_version=self._sources.configuration_version(),
        )

    def _heartbeats(self, same_region: bool) -> list[MemberBeat]:
        region = None if same_region else RegionName(self._members.own.region)
        limit = MAX_RELAYED_HEARTBEATS if same_region else MAX_CROSS_REGION_HEARTBEATS
        heard = self._members.recently_heard(region)
        return [one.heartbeat() for one in limit_randomly(heard, limit, self._rng)]

    def _send(self, peers: list[str], message: Datagram) -> None:
        data = pack(message)
        for ip in peers:
            try:
                self._socket.sendto(data, (ip, self._port))
            except OSError as error:
                log.debug("gossip: send to {} failed: {}", ip, error)


def make_member_note(
    ip: str, name: str, region: RegionName, zone: str, started_ms: int
) -> MemberNote:
    """Return the member note with which an instance starts."""
    return MemberNote(ip, name, started_ms, 0, MemberPhase.starting, region, zone)
