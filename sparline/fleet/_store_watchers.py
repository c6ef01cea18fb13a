"""Which instances watch the store; the others take copies from them."""

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline.fleet._members import STORE_WORD_MS, Member, Members
from sparline.schema._gossip import MemberPhase

# Instances of each availability zone that watch the store (count). Each watch that ends is a call, and
# each change ends all of them: 195 watches made 2,462 calls on a calm day. Three, so that the others
# learn of a change while one ends and another is turned away.
WATCHERS_A_ZONE = 3
# One that was not heard of for this long stands no longer for its zone (ms): a new configuration has
# to be in force everywhere within 5 s, also where those that watch are lost when it comes.
WATCHER_SILENT_MS = 1_500.0


def watches_store(members: Members) -> bool:
    """Tell whether this instance is one that watches the store for its availability zone."""
    own = members.own
    zone = [one.note.ip for one in members.others() if _may_watch(one, own.availability_zone)]
    order = sorted([*zone, own.ip], key=lambda ip: hash64(f"store/{ip}"), reverse=True)
    return own.ip in order[:WATCHERS_A_ZONE]


def _may_watch(member: Member, zone: str) -> bool:
    now = now_ms()
    if member.note.availability_zone != zone or member.note.phase is not MemberPhase.live:
        return False
    if now - member.heard_at_ms > WATCHER_SILENT_MS:
        return False
    # One that the store turns away, or that does not watch it, says so; all others then take its
    # place until they hear of each other.
    return member.store_reached or now - member.told_at_ms > STORE_WORD_MS
