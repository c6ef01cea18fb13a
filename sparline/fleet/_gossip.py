"""Datagrams between instances: heartbeats, loads and hearsay, at a rate that is bounded."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import gevent
import msgspec
from gevent import socket
from result import Err, Ok

from sparline._cbor import pack, unpack
from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet._members import LoadOf, Member, Members
from sparline.schema._gossip import (
    BackendLoadNote,
    Gossip,
    LoadNews,
    MemberNote,
    MemberPhase,
    PromptReadNote,
)

# A round each so often (ms): loads of siblings are then about as old as a prompt's prefill.
ROUND_MS = 250.0
# Peers of the own region told in a round (count); more siblings than that take turns, so
# that an instance sends the same number of datagrams in a fleet of any size.
SIBLINGS_A_ROUND = 4
# Peers of other regions told in a round (count): bytes between regions are priced.
FAR_PEERS_A_ROUND = 1
# Every so many rounds a seed or a silent member is tried, so that cuts heal (rounds).
PROBE_ROUNDS = 4
# A new instance asks all seeds in each of its first rounds (count): after a loss of power the
# seeds start at the same time, and the first datagrams find nobody.
FIRST_ROUNDS = 20
# Heartbeats of others passed on in each datagram (count): at 20 datagrams a second that come
# in, each of 300 instances is heard of each 1.7 s.
MOST_BEATS = 8
# Members named to one who asks for all (count): what fits into a datagram of 1,400 bytes.
MOST_MEMBERS = 16
# Peers told of one thing at once (count): a region of more instances than any designed for.
MOST_TOLD_AT_ONCE = 64
# Largest datagram that is read (bytes).
READ_BYTES = 65_536


Note = TypeVar("Note")


@dataclass(frozen=True, slots=True)
class GossipSources:
    """Hold what a datagram tells beside the members."""

    recent_reads: Callable[[], list[PromptReadNote]]  # long starts that engines have read
    take_reads: Callable[[list[PromptReadNote]], None]  # what to do with a peer's
    own_loads: Callable[[], dict[str, LoadOf]]  # load that this instance puts on each server
    region_loads: Callable[[], dict[str, LoadOf]]  # load of this whole region
    doubted: Callable[[], list[str]]  # backend servers of this region that failed lately
    store_revision: Callable[[], int]  # revision of the store held here
    store_reached: Callable[[], bool]  # whether the store answered lately


class GossipPort:
    """Send and read datagrams."""

    def __init__(
        self, port: int, seeds: list[str], members: Members, sources: GossipSources
    ) -> None:
        """Name the port, alike on all instances, and the addresses to start from."""
        self.seeds = seeds
        self._port = port
        self._members = members
        self._sources = sources
        self._round = 0
        self._turn = 0
        self._chance = random.Random()
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
            match unpack(data, Gossip | LoadNews):
                case Err(reason):
                    log.warning("gossip: datagram from {} refused: {}", sender[0], reason)
                case Ok(LoadNews() as news):
                    self._members.take_news(news)
                case Ok(gossip):
                    self._take(gossip)

    def _take(self, gossip: Gossip) -> None:
        is_new = self._members.take(gossip)
        self._sources.take_reads(gossip.reads)
        if is_new:
            log.bind(peer=gossip.sender.name, phase=gossip.sender.phase.value).info("member_heard")
        if gossip.wants_members or is_new:
            self._send([gossip.sender.ip], self._message(gossip.sender.region, MOST_MEMBERS))
        if self._members.new_siblings:
            # By turns alone a new instance is unknown to some for a second or two, and they share
            # bounds without it.
            near = self._message(self._members.own.region, 0)
            self._send(self._members.new_siblings, near)
        if self._members.strangers:
            # Whoever is asked directly answers with its name and place.
            self._send(self._members.strangers[:1], self._message("", 0, wants_members=True))

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
        near_turn = self._take_turns(near, SIBLINGS_A_ROUND)
        if near_turn:
            self._send(near_turn, self._message(own.region, 0))
        far_turn = self._take_turns(far, FAR_PEERS_A_ROUND)
        if far_turn:
            self._send(far_turn, self._message("", 0))
        self._probe(near + far, silent)

    def announce(self, phase: MemberPhase) -> None:
        """Change this instance's phase and tell every sibling at once, the others by turns."""
        own = self._members.own
        self._members.own = msgspec.structs.replace(own, phase=phase, counter=own.counter + 1)
        self._members.own_phase_at_ms = now_ms()
        near, far, _ = self._peers()
        self._send(near[:MOST_TOLD_AT_ONCE], self._message(own.region, 0))
        self._send(far[:MOST_TOLD_AT_ONCE], self._message("", 0))

    def tell_load(self, backend_server: str, load: LoadOf) -> None:
        """Tell the siblings at once what this instance has at a backend server."""
        note = BackendLoadNote(backend_server, load.running, load.held_tokens, load.unread_tokens)
        own = self._members.own
        siblings = [one.note.ip for one in self._members.live(RegionName(own.region))]
        self._send(siblings[:MOST_TOLD_AT_ONCE], LoadNews(own.ip, own.incarnation, note))

    def close(self) -> None:
        """Close the port, which ends reading."""
        self._closed = True
        self._socket.close()

    def _peers(self) -> tuple[list[str], list[str], list[str]]:
        """Return the addresses of siblings, of far peers and of silent members."""
        near: list[str] = []
        far: list[str] = []
        silent: list[str] = []
        for member in self._members.others():
            (silent if _is_silent(member) else self._side(member, near, far)).append(member.note.ip)
        return sorted(near), sorted(far), silent

    def _side(self, member: Member, near: list[str], far: list[str]) -> list[str]:
        return near if member.note.region == self._members.own.region else far

    def _take_turns(self, peers: list[str], most: int) -> list[str]:
        if len(peers) <= most:
            return peers
        # Each instance starts elsewhere, so that a peer is not told by all at once.
        start = (self._round * most + hash(self._members.own.ip)) % len(peers)
        return [peers[(start + step) % len(peers)] for step in range(most)]

    def _probe(self, known: list[str], silent: list[str]) -> None:
        """Ask for members: all seeds at first, later now and then one that is missing."""
        own = self._members.own.ip
        strangers = [ip for ip in self.seeds if ip != own and ip not in known]
        if self._round <= FIRST_ROUNDS:
            self._send(strangers, self._message("", 0, wants_members=True))
        elif self._round % PROBE_ROUNDS == 1 and (strangers or silent):
            chosen = [self._chance.choice(strangers + silent)] if known else strangers
            self._send(chosen, self._message("", 0, wants_members=True))

    def _message(self, to_region: str, members: int, wants_members: bool = False) -> Gossip:
        near = to_region == self._members.own.region
        loads = self._sources.own_loads() if near else self._sources.region_loads()
        return Gossip(
            sender=self._members.own,
            store_revision=self._sources.store_revision(),
            store_reached=self._sources.store_reached(),
            loads=[
                BackendLoadNote(name, one.running, one.held_tokens, one.unread_tokens)
                for name, one in loads.items()
                if one.running
            ],
            reads=self._sources.recent_reads(),
            beats=self._some(self._members.heard_lately(), MOST_BEATS),
            members=self._some(self._known_notes(), members) if members else [],
            wants_members=wants_members,
            doubted=[] if near else self._sources.doubted(),
        )

    def _known_notes(self) -> list[MemberNote]:
        return [one.note for one in self._members.others() if not _is_silent(one)]

    def _some(self, all_of_them: list[Note], most: int) -> list[Note]:
        if len(all_of_them) <= most:
            return all_of_them
        return self._chance.sample(all_of_them, most)

    def _send(self, peers: list[str], message: Gossip | LoadNews) -> None:
        data = pack(message)
        for ip in peers:
            try:
                self._socket.sendto(data, (ip, self._port))
            except OSError as error:
                log.debug("gossip: to {}: {}", ip, error)


def _is_silent(member: Member) -> bool:
    """Tell whether a member is tried only now and then."""
    return now_ms() - member.heard_at_ms > 6_000.0


def make_note(ip: str, name: str, region: RegionName, zone: str, started_ms: int) -> MemberNote:
    """Return what an instance says of itself at its start."""
    return MemberNote(ip, name, started_ms, 0, MemberPhase.starting, region, zone)
