"""What this instance knows of the others: who lives, where, and with which load."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline.schema._gossip import (
    BackendLoadNote,
    Gossip,
    LoadNews,
    MemberBeat,
    MemberNote,
    MemberPhase,
)

# A member whose heartbeat stood still this long gets no work and is not named to callers;
# a dozen gossip intervals, so that a lost datagram or two change nothing.
SILENT_MS = 3_000.0
# A member of another region may be silent for longer where the fleet is large (ms for each
# instance known): each datagram passes on some heartbeats, whatever the number of instances.
FAR_SILENT_MS = 20.0
# A heartbeat is passed on while it is this fresh (ms): several rounds.
PASS_ON_MS = 1_500.0
# A member that was silent this long still counts where a bound is shared out: it may be
# alive behind a cut and use its part.
SHARES_FOR_MS = 20_000.0
# Those that share a bound have to be the same for this long before it is used (ms): the second in
# which the bound holds, and room for the time until all siblings know of a change (measured with 26
# in a region: 50 ms, 1.8 s if a fifth of the datagrams is lost), so that the old and the new holders
# of a share don't use it in the same second.
SETTLED_MS = 1_500.0
# After this long in silence a member is forgotten.
FORGET_MS = 600_000.0
# Loads older than this say nothing any more.
LOAD_MS = 4_000.0


@dataclass(frozen=True, slots=True)
class LoadOf:
    """Hold the load on one backend server."""

    running: int = 0  # requests there that have not ended
    held_tokens: int = 0  # memory that they take
    unread_tokens: int = 0  # prompt tokens of requests without a first event


@dataclass(slots=True)
class Member:
    """Hold what is known of one other instance."""

    note: MemberNote  # what it says of itself
    heard_at_ms: float  # when its heartbeat last moved
    phase_at_ms: float  # when it was first heard in its phase
    since_ms: float = 0.0  # since when it counts where a bound is shared out
    met: bool = False  # whether it has spoken to this instance itself
    store_revision: int = 0  # revision of the store that it holds
    store_reached: bool = False  # whether the store answered it lately
    loads: dict[str, LoadOf] = field(default_factory=dict)  # by backend server
    loads_at_ms: float = 0.0  # when they arrived

    @property
    def region(self) -> RegionName:
        """Return its region."""
        return RegionName(self.note.region)


class Members:
    """Keep the other instances; what a member says itself goes before hearsay."""

    def __init__(self, own: MemberNote) -> None:
        """Start alone."""
        self.own = own
        self.own_phase_at_ms = now_ms()  # when this instance came into its phase
        self.strangers: list[str] = []  # addresses in the last datagram that nothing is known of
        self.new_siblings: list[str] = []  # addresses that the last datagram named first
        self._alone_until_ms = now_ms()  # when another was first heard, its own start before that
        self._others: dict[str, Member] = {}
        self._doubts: dict[str, dict[str, float]] = {}  # by server: who doubts it, told when

    def take(self, gossip: Gossip) -> bool:
        """Take in a datagram; tell whether its sender was unknown."""
        note = gossip.sender
        if note.ip == self.own.ip:
            return False
        known = self._others.get(note.ip)
        if known is not None and _is_older(note, known.note):
            return False
        is_new = known is None or known.note.incarnation != note.incarnation or not known.met
        member = self._update(note)
        member.met = True
        member.store_revision = gossip.store_revision
        member.store_reached = gossip.store_reached
        member.loads = {one.backend_server: _load_of(one) for one in gossip.loads}
        member.loads_at_ms = now_ms()
        self._take_doubts(note.ip, gossip.doubted)
        self.new_siblings = [one.ip for one in gossip.members if self._take_hearsay(one)]
        self.strangers = [beat.ip for beat in gossip.beats if not self._take_beat(beat)]
        return is_new

    def take_news(self, news: LoadNews) -> None:
        """Take in what a sibling has just put on a backend server."""
        known = self._others.get(news.ip)
        if known is None or known.note.incarnation != news.incarnation:
            return
        known.loads[news.load.backend_server] = _load_of(news.load)

    def _take_beat(self, beat: MemberBeat) -> bool:
        """Take in a heartbeat that was passed on; tell whether its instance is known."""
        if beat.ip == self.own.ip:
            return True
        known = self._others.get(beat.ip)
        if known is None or beat.incarnation > known.note.incarnation:
            return False
        if beat.incarnation == known.note.incarnation and beat.counter > known.note.counter:
            self._update(
                msgspec.structs.replace(known.note, counter=beat.counter, phase=beat.phase)
            )
        return True

    def heard_lately(self) -> list[MemberBeat]:
        """Return the heartbeats that are fresh enough to be passed on."""
        since = now_ms() - PASS_ON_MS
        return [
            MemberBeat(one.note.ip, one.note.incarnation, one.note.counter, one.note.phase)
            for one in self._others.values()
            if one.heard_at_ms >= since
        ]

    def _take_hearsay(self, note: MemberNote) -> bool:
        """Take in what was passed on; tell whether it names an unknown instance of this region."""
        if note.ip == self.own.ip:
            return False
        known = self._others.get(note.ip)
        newer = known is None or (note.incarnation, note.counter) > (
            known.note.incarnation,
            known.note.counter,
        )
        if newer:
            self._update(note)
        return known is None and note.region == self.own.region

    def _update(self, note: MemberNote) -> Member:
        now = now_ms()
        if not self._others:
            self._alone_until_ms = now
        known = self._others.get(note.ip)
        # A restart changes nothing for those who share with it: its address counted all along.
        counted = known is not None and known.heard_at_ms >= now - SHARES_FOR_MS
        since_ms = known.since_ms if known is not None and counted else now
        if known is None or known.note.incarnation != note.incarnation:
            known = self._others[note.ip] = Member(note, now, now)
        if known.note.phase is not note.phase:
            known.phase_at_ms = now
        known.note = note
        known.heard_at_ms = now
        known.since_ms = since_ms
        return known

    def others(self) -> Iterator[Member]:
        """Yield every other instance that is known, silent ones too."""
        return iter(self._others.values())

    def live(self, region: RegionName | None = None) -> list[Member]:
        """Return the others that take work, of one region or of all."""
        now = now_ms()
        far_ms = max(SILENT_MS, FAR_SILENT_MS * len(self._others))
        return [
            one
            for one in self._others.values()
            if now - one.heard_at_ms
            <= (SILENT_MS if one.note.region == self.own.region else far_ms)
            and one.note.phase is MemberPhase.live
            and (region is None or one.note.region == region)
        ]

    def leaving(self, region: RegionName, for_less_than_ms: float) -> list[Member]:
        """Return the others of a region that have only just begun to leave."""
        now = now_ms()
        return [
            one
            for one in self._others.values()
            if one.heard_at_ms >= now - SILENT_MS
            and one.note.phase is MemberPhase.leaving
            and one.phase_at_ms >= now - for_less_than_ms
            and one.note.region == region
        ]

    def sharers(self, region: RegionName | None = None) -> list[str]:
        """Return the addresses of all instances, this one too, that a bound is shared among."""
        since = now_ms() - SHARES_FOR_MS
        found = [
            one.note.ip
            for one in self._others.values()
            if one.heard_at_ms >= since and (region is None or one.note.region == region)
        ]
        if region is None or region == self.own.region:
            found.append(self.own.ip)
        return found

    def are_sharers_settled(self, region: RegionName | None = None) -> bool:
        """Tell whether those that share a bound have been the same for so long that all agree.

        What nobody has told yet is not known to be absent: an instance that has heard of no other
        waits until one that was there before it would no longer count.
        """
        now = now_ms()
        if not self._others:
            return now - self._alone_until_ms >= SHARES_FOR_MS
        changed_at_ms = self._alone_until_ms
        for one in self._others.values():
            if region is None or one.note.region == region:
                silent_at_ms = one.heard_at_ms + SHARES_FOR_MS
                changed_at_ms = max(
                    changed_at_ms, one.since_ms if now < silent_at_ms else silent_at_ms
                )
        return now - changed_at_ms >= SETTLED_MS

    def load_of(self, backend_server: str, region: RegionName) -> LoadOf:
        """Return what the other instances put on a backend server, as far as they told."""
        since = now_ms() - LOAD_MS
        heard = [
            one
            for one in self._others.values()
            if one.note.region == region and one.loads_at_ms >= since
        ]
        if region != self.own.region:
            # Each tells the sum of its region: the newest counts, not the total of all.
            heard = [max(heard, key=lambda one: one.loads_at_ms)] if heard else []
        loads = [one.loads[backend_server] for one in heard if backend_server in one.loads]
        return sum_loads(loads)

    def loads_of_siblings(self) -> dict[str, LoadOf]:
        """Return what the other instances of this region put on each backend server."""
        since = now_ms() - LOAD_MS
        found: dict[str, list[LoadOf]] = {}
        for one in self._others.values():
            if one.note.region == self.own.region and one.loads_at_ms >= since:
                for backend_server, load in one.loads.items():
                    found.setdefault(backend_server, []).append(load)
        return {backend_server: sum_loads(loads) for backend_server, loads in found.items()}

    def _take_doubts(self, ip: str, doubted: list[str]) -> None:
        """Replace what an instance told of servers of its region that failed it lately."""
        for backend_server, doubters in list(self._doubts.items()):
            if doubters.pop(ip, None) is not None and not doubters:
                del self._doubts[backend_server]
        for backend_server in doubted:
            self._doubts.setdefault(backend_server, {})[ip] = now_ms()

    def is_doubted(self, backend_server: str) -> bool:
        """Tell whether an instance of a server's region told that it failed lately."""
        doubters = self._doubts.get(backend_server)
        if doubters is None:
            return False
        return max(doubters.values()) >= now_ms() - LOAD_MS

    def load_age_ms(self, region: RegionName) -> float | None:
        """Return how old the newest told load of a region is, None where nothing is known."""
        heard = [one.loads_at_ms for one in self._others.values() if one.note.region == region]
        return now_ms() - max(heard) if heard else None

    def forget_old(self) -> None:
        """Forget members that have been silent for very long."""
        since = now_ms() - FORGET_MS
        self._others = {ip: one for ip, one in self._others.items() if one.heard_at_ms >= since}


def sum_loads(loads: Iterable[LoadOf]) -> LoadOf:
    """Add loads up."""
    running = held = unread = 0
    for one in loads:
        running += one.running
        held += one.held_tokens
        unread += one.unread_tokens
    return LoadOf(running, held, unread)


def _is_older(note: MemberNote, known: MemberNote) -> bool:
    """Tell whether a datagram of the same incarnation was overtaken on the way."""
    return note.incarnation == known.incarnation and note.counter < known.counter


def _load_of(note: BackendLoadNote) -> LoadOf:
    return LoadOf(note.running, note.held_tokens, note.unread_tokens)
