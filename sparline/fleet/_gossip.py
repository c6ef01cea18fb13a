"""Datagrams between instances: heartbeats, loads and hearsay, at a rate that is bounded."""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TypeVar

import gevent
import msgspec
from gevent import socket
from result import Err, Ok

from sparline._cbor import pack, unpack
from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet._crash_exchange import CrashExchange
from sparline.fleet._load_exchange import LoadExchange, Outgoing
from sparline.fleet._members import Member, Members
from sparline.fleet._quota_exchange import QuotaExchange, QuotaOutgoing
from sparline.quarantine import CrashChange
from sparline.schema._gossip import (
    CrashNews,
    Gossip,
    LoadNews,
    LoadShares,
    LoadWord,
    MemberBeat,
    MemberNote,
    MemberPhase,
    PromptReadNote,
    QuotaReport,
    QuotaTotals,
    QuotaWord,
    ServerLimitNote,
)

# A round each so often (ms): loads of siblings are then about as old as a prompt's prefill.
ROUND_MS = 250.0
# Peers of the own region told in a round (count); more siblings than that take turns, so
# that an instance sends the same number of datagrams in a fleet of any size.
SIBLINGS_A_ROUND = 4
# Of these, those of other availability zones where the region has more (count): bytes between zones
# are priced, and one in four carries the news across.
OTHER_ZONES_A_ROUND = 1
# Instances of each region that speak to others (count): bytes between regions are priced. Two, so
# that one that ends is not missed.
TELLERS = 2
# Every so many rounds a seed or a silent member is tried, so that cuts heal (rounds).
PROBE_ROUNDS = 4
# A member that was not heard of for so long is tried only then (ms).
TRIED_SELDOM_MS = 6_000.0
# A new instance asks all seeds in each of its first rounds (count): after a loss of power the
# seeds start at the same time, and the first datagrams find nobody.
FIRST_ROUNDS = 20
# Heartbeats of others passed on in each datagram (count): in a fleet of two
# hundred all are then heard of every few seconds.
MOST_BEATS = 14
# Heartbeats of the own region passed on to another one in a datagram (count).
MOST_FAR_BEATS = 12
# Members named to one who asks for all (count): what fits into a datagram of 1,400 bytes.
MOST_MEMBERS = 16
# An unknown instance is asked for again after this long (ms): a round.
ASK_AGAIN_MS = 250.0
# Peers told of one thing at once (count): a region of more instances than any designed for.
MOST_TOLD_AT_ONCE = 64
# Largest datagram that is read (bytes).
READ_BYTES = 65_536


Note = TypeVar("Note")
# What instances send each other.
Datagram = (
    Gossip | LoadShares | LoadNews | LoadWord | CrashNews | QuotaReport | QuotaWord | QuotaTotals
)


@dataclass(frozen=True, slots=True)
class GossipSources:
    """Hold what a datagram tells beside the members."""

    recent_prefix_uses: Callable[[], list[PromptReadNote]]  # long starts that engines have read
    merge_prefix_uses: Callable[[list[PromptReadNote]], None]  # what to do with a peer's
    server_limits: Callable[[], list[ServerLimitNote]]  # some of the known limits of servers
    take_server_limits: Callable[[list[ServerLimitNote]], None]  # merges a peer's limits
    store_revision: Callable[[], int]  # revision of the store held here
    store_reached: Callable[[], bool]  # whether the store answered lately


class GossipPort:
    """Send and read datagrams."""

    def __init__(
        self,
        port: int,
        seeds: list[str],
        members: Members,
        loads: LoadExchange,
        crashes: CrashExchange,
        quotas: QuotaExchange,
        sources: GossipSources,
    ) -> None:
        """Name the port, alike on all instances, and the addresses to start from."""
        self.seeds = seeds
        self._port = port
        self._members = members
        self._loads = loads
        self._crashes = crashes
        self._quotas = quotas
        self._sources = sources
        self._round = 0
        self._chance = random.Random()
        self._greeted: dict[str, int] = {}  # starts of siblings that were spoken to, by address
        self._asked_at_ms: dict[int, float] = {}  # unknown instances that were asked for
        self._closed = False
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((members.own.ip, port))

    def read(self) -> None:
        """Read datagrams until the port is closed."""
        while not self._closed:
            try:
                data, sender = self._socket.recvfrom(READ_BYTES)
            except OSError as error:
                # An earlier datagram met a closed port; that says nothing about this socket.
                log.debug("gossip: {}", error)
                continue
            match unpack(data, Datagram):
                case Err(reason):
                    log.warning("gossip: datagram from {} refused: {}", sender[0], reason)
                case Ok(message):
                    self.take(message)

    def take(self, message: Datagram) -> None:
        """Take in a datagram."""
        match message:
            case CrashNews():
                self._take_crashes(message)
            case LoadNews():
                self._loads.take_news(message)
            case LoadShares():
                self.tell(self._loads.take_shares(message))
            case LoadWord():
                self._loads.take_readings([message.reading])
            case QuotaReport() | QuotaWord() | QuotaTotals():
                self.tell(self._quotas.take(message))
            case Gossip():
                self._take(message)

    def _take(self, gossip: Gossip) -> None:
        is_new = self._members.take(gossip)
        self._sources.merge_prefix_uses(gossip.reads)
        self._loads.take_readings(gossip.loads)
        self._sources.take_server_limits(gossip.server_limits)
        self._crashes.take(gossip.crashes)
        self._answer(gossip, is_new)

    def _take_crashes(self, told: CrashNews) -> None:
        news = self._crashes.take(told.crashes)
        if news and told.pass_on:
            self._tell_siblings(CrashNews(news, pass_on=False))

    def _answer(self, gossip: Gossip, is_new: bool) -> None:
        if is_new:
            log.bind(peer=gossip.sender.name, phase=gossip.sender.phase.value).info("member_heard")
        near = gossip.sender.region == self._members.own.region
        if gossip.wants_members:
            sample = self._sample(gossip.sender.region)
            self._send([gossip.sender.ip], self._message(near, sample, is_new=True))
        elif is_new and near:
            # One of another region hears of this instance from those that speak for this one.
            self._greet([gossip.sender.ip])
        elif gossip.wanted:
            described = self._members.described(gossip.wanted[:MOST_MEMBERS])
            self._send([gossip.sender.ip], self._message(near, described))
        if self._members.new_siblings:
            # By turns alone a new instance is unknown to some for a second or two, and they share
            # bounds without it.
            self._greet(self._members.new_siblings)
        wanted = self._not_asked_for(self._members.strangers)
        if wanted:
            # Who passed their heartbeats on knows their names and places.
            self._send([gossip.sender.ip], self._message(near, wanted=wanted))

    def _greet(self, siblings: list[str]) -> None:
        """Speak once to each start of a sibling that has not heard of this instance itself."""
        starts = {one.note.ip: one.note.incarnation for one in self._members.others()}
        new = [ip for ip in siblings if self._greeted.get(ip) != starts.get(ip)]
        self._greeted.update({ip: starts[ip] for ip in new if ip in starts})
        if new:
            self._send(new, self._message(True, is_new=True))

    def _not_asked_for(self, keys: list[int]) -> list[int]:
        """Return the unknown instances whose description is not under way already."""
        now = now_ms()
        self._asked_at_ms = {
            key: at_ms for key, at_ms in self._asked_at_ms.items() if now - at_ms < ASK_AGAIN_MS
        }
        wanted = [key for key in keys if key not in self._asked_at_ms][:MOST_MEMBERS]
        self._asked_at_ms.update(dict.fromkeys(wanted, now))
        return wanted

    def run(self) -> None:
        """Send a round after the other for as long as the process lives."""
        while True:
            self.round()
            gevent.sleep(ROUND_MS / 1000)

    def round(self) -> None:
        """Tell some peers."""
        self._round += 1
        own = self._members.own
        self._members.own = msgspec.structs.replace(own, counter=own.counter + 1)
        near, far, silent = self._peers()
        for one in (*self._loads.round(), *self._quotas.round()):
            self._send(one.peers, one.message)
        near_turn = self._near_turn(near)
        if near_turn:
            self._send(near_turn, self._message(True))
        is_teller = self._is_teller()
        if is_teller:
            self._tell_far()
        self._probe(_ips(near + far), silent, is_teller)

    def _is_teller(self) -> bool:
        """Tell whether this instance is one of those that speak for their region."""
        own = self._members.own
        siblings = [one.note.ip for one in self._members.live(RegionName(own.region))]
        order = sorted([*siblings, own.ip], key=lambda ip: hash64(f"teller/{ip}"), reverse=True)
        return own.ip in order[:TELLERS]

    def _far_by_region(self) -> list[list[str]]:
        """Return the instances of each other region, the regions in order of their names.

        Those that start are told as well: regions that start together, and speak to live instances
        alone, know nothing of each other for 6 s, until they try silent members.
        """
        by_region: dict[str, list[str]] = {}
        for one in self._members.awake():
            if one.note.region != self._members.own.region:
                by_region.setdefault(one.note.region, []).append(one.note.ip)
        return [by_region[region] for region in sorted(by_region)]

    def _tell_far(self) -> None:
        """Tell one instance of one other region, the regions by turns."""
        regions = self._far_by_region()
        if regions:
            ips = regions[self._round % len(regions)]
            self._send([self._chance.choice(ips)], self._message(False))

    def announce(self, phase: MemberPhase) -> None:
        """Change this instance's phase; tell siblings, and one instance of each other region."""
        own = self._members.own
        self._members.own = msgspec.structs.replace(own, phase=phase, counter=own.counter + 1)
        self._members.own_phase_at_ms = now_ms()
        near, _, _ = self._peers()
        self._send(self._some(_ips(near), MOST_TOLD_AT_ONCE), self._message(True))
        far = [self._chance.choice(ips) for ips in self._far_by_region()]
        self._send(far, self._message(False))

    def tell(self, outgoing: Iterable[Outgoing | QuotaOutgoing]) -> None:
        """Send what is to be told of loads or quotas at once."""
        for one in outgoing:
            self._send(self._some(one.peers, MOST_TOLD_AT_ONCE), one.message)

    def tell_crash(self, change: CrashChange) -> None:
        """Tell all siblings, and a few instances of each other region, what they must know at once."""
        sharing = len(self._members.live(RegionName(self._members.own.region))) + 1
        news = self._crashes.news_of(change, sharing)
        if news is None:
            return
        self._tell_siblings(news)
        for ips in self._far_by_region():
            self._send(self._some(ips, TELLERS), news)

    def _tell_siblings(self, news: CrashNews) -> None:
        near, _, _ = self._peers()
        told = CrashNews(news.crashes, pass_on=False)
        self._send(self._some(_ips(near), MOST_TOLD_AT_ONCE), told)

    def close(self) -> None:
        """Close the port, which ends reading."""
        self._closed = True
        self._socket.close()

    def _peers(self) -> tuple[list[Member], list[Member], list[Member]]:
        """Return the siblings, the far peers, and the silent members."""
        near: list[Member] = []
        far: list[Member] = []
        silent: list[Member] = []
        for member in self._members.others():
            if _is_silent(member):
                silent.append(member)
            elif member.note.region == self._members.own.region:
                near.append(member)
            else:
                far.append(member)
        return near, far, silent

    def _near_turn(self, near: list[Member]) -> list[str]:
        """Return the siblings to tell in this round, most of them of the own zone."""
        if len(near) <= SIBLINGS_A_ROUND:
            return _ips(near)
        zone = self._members.own.availability_zone
        here = _ips(one for one in near if one.note.availability_zone == zone)
        elsewhere = _ips(one for one in near if one.note.availability_zone != zone)
        across = max(OTHER_ZONES_A_ROUND, SIBLINGS_A_ROUND - len(here)) if elsewhere else 0
        return self._take_turns(here, SIBLINGS_A_ROUND - across) + self._take_turns(
            elsewhere, across
        )

    def _take_turns(self, peers: list[str], most: int) -> list[str]:
        if len(peers) <= most:
            return peers
        # Each instance starts elsewhere, so that a peer is not told by all at once.
        start = (self._round * most + hash(self._members.own.ip)) % len(peers)
        return [peers[(start + step) % len(peers)] for step in range(most)]

    def _probe(self, known: list[str], silent: list[Member], is_teller: bool) -> None:
        """Ask for members: all seeds at first, later now and then one that is missing."""
        own = self._members.own
        strangers = [ip for ip in self.seeds if ip != own.ip and ip not in known]
        if self._round <= FIRST_ROUNDS:
            self._send(strangers, self._message(False, wants_members=True))
        elif self._round % PROBE_ROUNDS == 1:
            missing = self._missing(silent, is_teller)
            silent_ips = {one.note.ip for one in silent}
            missing += [ip for ip in strangers if ip not in silent_ips]
            if missing:
                chosen = [self._chance.choice(missing)] if known else strangers
                self._send(chosen, self._message(False, wants_members=True))

    def _missing(self, silent: list[Member], is_teller: bool) -> list[str]:
        """Return the silent siblings and, to one that speaks for them, those of lost regions."""
        own_region = self._members.own.region
        reached = {one.note.region for one in self._members.live()}
        return [
            one.note.ip
            for one in silent
            if one.note.region == own_region or (is_teller and one.note.region not in reached)
        ]

    def _message(
        self,
        near: bool,
        members: list[MemberNote] | None = None,
        wants_members: bool = False,
        wanted: list[int] | None = None,
        is_new: bool = False,
    ) -> Gossip:
        """Return a datagram for a peer of the own region, or of another; `is_new` if it just started."""
        return Gossip(
            sender=self._members.own,
            store_revision=self._sources.store_revision(),
            store_reached=self._sources.store_reached(),
            loads=self._loads.readings_for(near),
            reads=self._sources.recent_prefix_uses(),
            beats=self._beats(near),
            members=members or [],
            wants_members=wants_members,
            wanted=wanted or [],
            crashes=self._crashes.notes_for(near, is_new),
            server_limits=self._sources.server_limits(),
        )

    def _beats(self, near: bool) -> list[MemberBeat]:
        if near:
            return self._some(self._members.heard_lately(), MOST_BEATS)
        here = self._members.heard_lately(RegionName(self._members.own.region))
        return self._some(here, MOST_FAR_BEATS)

    def _sample(self, region: str) -> list[MemberNote]:
        """Return some of the members that are not silent, those of a region first."""
        known = [one.note for one in self._members.others() if not _is_silent(one)]
        there = self._some([one for one in known if one.region == region], MOST_MEMBERS)
        elsewhere = [one for one in known if one.region != region]
        return there + self._some(elsewhere, MOST_MEMBERS - len(there))

    def _some(self, all_of_them: list[Note], most: int) -> list[Note]:
        if len(all_of_them) <= most:
            return all_of_them
        return self._chance.sample(all_of_them, most)

    def _send(self, peers: list[str], message: Datagram) -> None:
        data = pack(message)
        for ip in peers:
            try:
                self._socket.sendto(data, (ip, self._port))
            except OSError as error:
                log.debug("gossip: to {}: {}", ip, error)


def _ips(members: Iterable[Member]) -> list[str]:
    return sorted(one.note.ip for one in members)


def _is_silent(member: Member) -> bool:
    """Tell whether a member is tried only now and then."""
    return now_ms() - member.heard_at_ms > TRIED_SELDOM_MS


def make_note(ip: str, name: str, region: RegionName, zone: str, started_ms: int) -> MemberNote:
    """Return what an instance says of itself at its start."""
    return MemberNote(ip, name, started_ms, 0, MemberPhase.starting, region, zone)
