"""Choice of the instances that watch the store; the others copy its items from them."""

from collections.abc import Iterable

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline.fleet._members import STORE_REPORT_MAX_AGE_MS, Member, Members
from sparline.schema._gossip import MemberPhase

# Number of instances per availability zone that watch the store. Each watch that ends costs a call,
# and each change ends all watches: 195 watchers made 2,462 calls on a quiet day. With three, the
# other instances still learn of a change while one watcher stops and the store rejects another.
WATCHERS_PER_ZONE = 3
# A member silent for this long no longer counts as a watcher (ms): a new configuration has to take
# effect everywhere within 5 s, even if the watchers are lost when it is published.
WATCHER_TIMEOUT_MS = 1_500.0


def is_store_watcher(members: Members) -> bool:
    """Return whether this instance is one of its availability zone's store watchers."""
    own = members.own
    siblings = (
        one for one in members.others() if one.note.availability_zone == own.availability_zone
    )
    return own.ip in _watching_order(own.ip, siblings)[:WATCHERS_PER_ZONE]


def is_first_watcher(members: Members) -> bool:
    """Return whether this instance is the first of its region's store watchers."""
    own = members.own
    siblings = (one for one in members.others() if one.note.region == own.region)
    return own.ip == _watching_order(own.ip, siblings)[0]


def _watching_order(own_ip: str, siblings: Iterable[Member]) -> list[str]:
    """Return the addresses of those that may watch, the own one included, in a fixed order."""
    ips = [one.note.ip for one in siblings if _may_watch(one)]
    return sorted([*ips, own_ip], key=lambda ip: hash64(f"store/{ip}"), reverse=True)


def _may_watch(member: Member) -> bool:
    now = now_ms()
    if member.note.phase is not MemberPhase.live:
        return False
    if now - member.heard_at_ms > WATCHER_TIMEOUT_MS:
        return False
    # An instance that the store rejects, or that does not watch it, reports the store as unreached.
    # All other instances of the zone then watch until their own reports reach each other.
    return member.store_reached or now - member.datagram_at_ms > STORE_REPORT_MAX_AGE_MS
