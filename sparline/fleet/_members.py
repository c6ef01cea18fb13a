"""Membership table: liveness, location and state of the other instances."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import msgspec

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet._peer_positions import PeerPositions
from sparline.fleet._store_copy import NO_POSITION, StorePosition
from sparline.schema._gossip import Gossip, MemberBeat, MemberNote, MemberPhase

# A member without a new heartbeat for this long gets no work and is not offered to callers (ms):
# twelve gossip rounds, so that the loss of one or two datagrams has no effect.
LIVENESS_TIMEOUT_MS = 3_000.0
# The timeout for members of other regions grows with the fleet (ms per known instance): a datagram
# relays a bounded number of heartbeats, whatever the number of instances.
CROSS_REGION_TIMEOUT_PER_MEMBER_MS = 25.0
# Maximum age of a heartbeat that is relayed (ms): several rounds.
RELAY_MAX_AGE_MS = 1_500.0
# How long a silent member still counts among those that divide a shared limit (ms): it may be alive
# behind a network partition and use its share.
SHARER_TIMEOUT_MS = 20_000.0
# How long the set of members that divide a limit must be unchanged before shares are used (ms): the
# second over which the limit applies, plus time for all siblings to learn of a change, so that the
# old and the new owner of a share don't use it in the same second.
SETTLED_MS = 1_500.0
# A member that is silent for this long is removed (ms).
RETENTION_MS = 600_000.0
# Maximum age of a member's report on the store that is still used (ms): in a region of 71
# instances, each sibling sends one to this instance every 4.4 s, and instances of other regions
# send to few peers.
STORE_REPORT_MAX_AGE_MS = 8_000.0
# Most instances that are known at a time (count): some ten times the largest fleet.
MAX_MEMBERS = 4_096
# Longest text of a member note (characters).
MAX_TEXT_CHARS = 255


@dataclass(slots=True)
class Member:
    """Hold the known state of one other instance."""

    note: MemberNote  # its self-description
    heard_at_ms: float  # when its last new heartbeat arrived
    phase_at_ms: float  # when its current phase was first seen
    sharer_since_ms: float = 0.0  # since when it counts among those that divide a limit
    has_contacted: bool = False  # whether it has sent a datagram to this instance
    store_position: StorePosition = NO_POSITION  # state of the store that it holds
    configuration_version: int = 0  # version that it follows, 0 for none
    store_reached: bool = False  # whether the store recently responded to it
    datagram_at_ms: float = 0.0  # when it last sent a datagram to this instance
    key: int = field(init=False)  # key of its relayed heartbeats

    def __post_init__(self) -> None:
        """Compute the key once; the address of a member never changes."""
        self.key = member_key(self.note.ip)

    @property
    def region(self) -> RegionName:
        """Return the region of the instance."""
        return RegionName(self.note.region)

    def heartbeat(self) -> MemberBeat:
        """Return its newest heartbeat as it is relayed."""
        note = self.note
        return MemberBeat(self.key, _incarnation_key(note), note.counter, note.phase)


@dataclass(frozen=True, slots=True)
class _Selection:
    """Hold the members that had not timed out, and what decides how long that stays true."""

    members: tuple[Member, ...]
    at_ms: float  # when they were selected
    # Earliest heartbeat of those of the own region and of the others; infinite for none.
    own_region_heard_at_ms: float
    cross_region_heard_at_ms: float


class Members:
    """Track the other instances; their own datagrams take precedence over relayed state."""

    def __init__(self, own: MemberNote) -> None:
        """Create a table that knows only this instance."""
        self.own = own
        self.own_phase_at_ms = now_ms()  # when this instance entered its current phase
        self.unknown_keys: list[int] = []  # keys of unknown instances in the last datagram
        self.discovered_siblings: list[str] = []  # addresses of siblings new in the last datagram
        self.peer_positions = PeerPositions()  # when others first showed states of the store
        self._alone_until_ms = now_ms()  # when the first other was heard; before that, own start
        self._others: dict[str, Member] = {}
        self._by_key: dict[int, Member] = {}  # by heartbeat key
        self._own_key = member_key(own.ip)
        self._was_full = False  # whether the table was full when that was last logged
        # By region, None for all, and whether starting members are included. Valid until a member
        # joins, restarts, changes phase, returns from silence or is removed, and until the first of
        # the selected ones times out.
        self._selections: dict[tuple[RegionName | None, bool], _Selection] = {}
        self._selected_at_ms = float("-inf")  # time of the latest of them

    def take(self, gossip: Gossip) -> bool:
        """Merge a datagram; return whether its sender was unknown or had restarted."""
        note = gossip.sender
        if note.ip == self.own.ip or not _is_proper(note):
            return False
        known = self._others.get(note.ip)
        if known is not None and _is_out_of_order(note, known.note):
            return False
        is_new = (
            known is None or known.note.incarnation != note.incarnation or not known.has_contacted
        )
        now = now_ms()
        if known is None and self._is_full():
            self._forget_one()
        member = self._update(note, now)
        member.has_contacted = True
        member.store_position = StorePosition(gossip.store_era, gossip.store_revision)
        self.peer_positions.note(member.store_position)
        member.configuration_version = gossip.configuration_version
        member.store_reached = gossip.store_reached
        member.datagram_at_ms = now
        self.discovered_siblings = [
            one.ip for one in gossip.members if self._merge_relayed_note(one, now)
        ]
        self.unknown_keys = [
            beat.key for beat in gossip.beats if not self._merge_heartbeat(beat, now)
        ]
        return is_new

    def _merge_heartbeat(self, beat: MemberBeat, now: float) -> bool:
        """Merge a relayed heartbeat; return whether its instance is known."""
        if beat.key == self._own_key:
            return True
        known = self._by_key.get(beat.key)
        if known is None or beat.start != _incarnation_key(known.note):
            return False
        if beat.counter > known.note.counter:
            note = msgspec.structs.replace(known.note, counter=beat.counter, phase=beat.phase)
            self._update(note, now)
        return True

    def recently_heard(self, region: RegionName | None = None) -> list[Member]:
        """Return the members of one region, or of all, whose heartbeat may be relayed."""
        since = now_ms() - RELAY_MAX_AGE_MS
        return [
            one
            for one in self._others.values()
            if one.heard_at_ms >= since and (region is None or one.note.region == region)
        ]

    def _merge_relayed_note(self, note: MemberNote, now: float) -> bool:
        """Merge a relayed member note; return whether it adds an instance of this region."""
        if note.ip == self.own.ip or not _is_proper(note):
            return False
        known = self._others.get(note.ip)
        if known is None and self._is_full():
            return False
        newer = known is None or (note.incarnation, note.counter) > (
            known.note.incarnation,
            known.note.counter,
        )
        if newer:
            self._update(note, now)
        return known is None and note.region == self.own.region

    def _is_full(self) -> bool:
        """Tell whether as many instances are known as are kept, and log when that changes."""
        is_full = len(self._others) >= MAX_MEMBERS
        if is_full is not self._was_full:
            self._was_full = is_full
            log.bind(members=len(self._others), is_full=is_full).warning("member_table_full")
        return is_full

    def _forget_one(self) -> None:
        """Make room for an instance that is heard itself: those only told of go first."""
        one = min(self._others.values(), key=lambda one: (one.has_contacted, one.heard_at_ms))
        self._clear_selections()
        del self._others[one.note.ip]
        self._by_key.pop(one.key, None)

    def _update(self, note: MemberNote, now: float) -> Member:
        if not self._others:
            self._alone_until_ms = now
        known = self._others.get(note.ip)
        # The set that divides limits consists of addresses, so a restart does not change it.
        counted = known is not None and known.heard_at_ms >= now - SHARER_TIMEOUT_MS
        sharer_since_ms = known.sharer_since_ms if known is not None and counted else now
        if known is None or self._changes_selections(known, note, now):
            self._clear_selections()
        if known is None or known.note.incarnation != note.incarnation:
            known = self._others[note.ip] = Member(note, now, now)
            self._by_key[known.key] = known
        if known.note.phase is not note.phase:
            known.phase_at_ms = now
        known.note = note
        known.heard_at_ms = now
        known.sharer_since_ms = sharer_since_ms
        return known

    def _changes_selections(self, known: Member, note: MemberNote, now: float) -> bool:
        """Return whether a new note of a known member changes who is selected."""
        return (
            known.note.incarnation != note.incarnation
            or known.note.phase is not note.phase
            or known.note.region != note.region
            or now - known.heard_at_ms > self._timeout_ms(note.region)
            # The clock was stepped back: the heartbeat may be older than the selections assume.
            or now < max(self._selected_at_ms, known.heard_at_ms)
        )

    def requested_notes(self, keys: Iterable[int]) -> list[MemberNote]:
        """Return the notes of the known members among the requested keys."""
        known = [self._by_key.get(key) for key in keys]
        return [one.note for one in known if one is not None]

    def others(self) -> Iterator[Member]:
        """Iterate over all other known instances, including silent ones."""
        return iter(self._others.values())

    def is_heard(self, member: Member) -> bool:
        """Tell whether a member has not timed out."""
        return now_ms() - member.heard_at_ms <= self._timeout_ms(member.note.region)

    def live(self, region: RegionName | None = None) -> tuple[Member, ...]:
        """Return the other instances that accept work, of one region or of all."""
        return self._selected(region, False)

    def starting_or_live(self) -> tuple[Member, ...]:
        """Return the other instances that accept work or are about to."""
        return self._selected(None, True)

    def _selected(self, region: RegionName | None, with_starting: bool) -> tuple[Member, ...]:
        now = now_ms()
        held = self._selections.get((region, with_starting))
        if held is None or not self._is_valid(held, now):
            held = self._select(region, with_starting, now)
            self._selections[region, with_starting] = held
            self._selected_at_ms = max(self._selected_at_ms, now)
        return held.members

    def _clear_selections(self) -> None:
        self._selections.clear()
        self._selected_at_ms = float("-inf")

    def _is_valid(self, selection: _Selection, now: float) -> bool:
        """Return whether nobody selected has timed out, nor the clock been stepped back."""
        return (
            now >= selection.at_ms
            and now - selection.own_region_heard_at_ms <= LIVENESS_TIMEOUT_MS
            and now - selection.cross_region_heard_at_ms <= self._cross_region_timeout_ms()
        )

    def _select(self, region: RegionName | None, with_starting: bool, now: float) -> _Selection:
        found: list[Member] = []
        earliest = {True: float("inf"), False: float("inf")}
        for one in self._others.values():
            note = one.note
            if region is not None and note.region != region:
                continue
            phase = note.phase
            if phase is not MemberPhase.live and (
                not with_starting or phase is MemberPhase.leaving
            ):
                continue
            if now - one.heard_at_ms > self._timeout_ms(note.region):
                continue
            found.append(one)
            is_own = note.region == self.own.region
            earliest[is_own] = min(earliest[is_own], one.heard_at_ms)
        return _Selection(tuple(found), now, earliest[True], earliest[False])

    def _timeout_ms(self, region: str) -> float:
        """Return after how long a member of a region without a new heartbeat times out."""
        is_own = region == self.own.region
        return LIVENESS_TIMEOUT_MS if is_own else self._cross_region_timeout_ms()

    def _cross_region_timeout_ms(self) -> float:
        return max(LIVENESS_TIMEOUT_MS, CROSS_REGION_TIMEOUT_PER_MEMBER_MS * len(self._others))

    def sharers(self, region: RegionName | None = None) -> list[str]:
        """Return the addresses of all instances, including this one, that divide a shared limit."""
        since = now_ms() - SHARER_TIMEOUT_MS
        found = [
            one.note.ip
            for one in self._others.values()
            if one.heard_at_ms >= since and (region is None or one.note.region == region)
        ]
        if region is None or region == self.own.region:
            found.append(self.own.ip)
        return found

    def budget_sharer_count(self) -> int:
        """Return how many instances, including this one, divide a budget of the whole fleet.

        One that is silent may be alive behind a cut, where it uses its share for as long as the cut
        lasts. It is left out once it has said that it leaves, or after the retention time.
        """
        since = now_ms() - SHARER_TIMEOUT_MS
        return 1 + sum(
            one.heard_at_ms >= since or one.note.phase is not MemberPhase.leaving
            for one in self._others.values()
        )

    def regions_sharing(self) -> list[RegionName]:
        """Return the region of each instance, including this one, that divides a shared limit."""
        since = now_ms() - SHARER_TIMEOUT_MS
        found = [one.region for one in self._others.values() if one.heard_at_ms >= since]
        return [*found, RegionName(self.own.region)]

    def are_sharers_settled(self, region: RegionName | None = None) -> bool:
        """Return whether the set that divides a limit has been stable long enough for all to agree.

        An instance that has heard of no other can't conclude that there is none: it waits until the
        silence has lasted for so long that an earlier instance would no longer count.
        """
        now = now_ms()
        if not self._others:
            return now - self._alone_until_ms >= SHARER_TIMEOUT_MS
        changed_at_ms = self._alone_until_ms
        for one in self._others.values():
            if region is None or one.note.region == region:
                silent_at_ms = one.heard_at_ms + SHARER_TIMEOUT_MS
                changed_at_ms = max(
                    changed_at_ms, one.sharer_since_ms if now < silent_at_ms else silent_at_ms
                )
        return now - changed_at_ms >= SETTLED_MS

    def is_store_reached(self) -> bool:
        """Return whether any live member recently reported that the store responds to it."""
        since = now_ms() - STORE_REPORT_MAX_AGE_MS
        return any(one.store_reached and one.datagram_at_ms >= since for one in self.live())

    def forget_old(self) -> None:
        """Remove members that have been silent for longer than the retention time."""
        since = now_ms() - RETENTION_MS
        if all(one.heard_at_ms >= since for one in self._others.values()):
            return
        self._clear_selections()
        self._others = {ip: one for ip, one in self._others.items() if one.heard_at_ms >= since}
        self._by_key = {
            key: one for key, one in self._by_key.items() if one.note.ip in self._others
        }


def member_key(ip: str) -> int:
    """Return the 32-bit key of an instance in relayed heartbeats."""
    return hash64(ip) & 0xFFFF_FFFF


def _incarnation_key(note: MemberNote) -> int:
    """Return the last 16 bits of an incarnation, as in relayed heartbeats."""
    return note.incarnation & 0xFFFF


def _is_out_of_order(note: MemberNote, known: MemberNote) -> bool:
    """Return whether a datagram of the same incarnation arrived out of order."""
    return note.incarnation == known.incarnation and note.counter < known.counter


def _is_proper(note: MemberNote) -> bool:
    """Return whether the texts of a note are as short as those of any instance."""
    texts = (note.ip, note.name, note.region, note.availability_zone)
    return max(map(len, texts)) <= MAX_TEXT_CHARS
