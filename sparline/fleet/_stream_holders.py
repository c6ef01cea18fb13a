"""Which instances remember the software version of a stream beside the one that serves it."""

from collections.abc import Iterable, Sequence

from sparline._hashing import hash64
from sparline.fleet._members import Members
from sparline.fleet._stream_versions import StreamKey
from sparline.schema._gossip import MemberNote

# Maximum number of instances that are asked at once.
MAX_ASKED = 64


def holders_of(stream: StreamKey, members: Members) -> list[str]:
    """Return the addresses of the instances that are told of a stream of this instance.

    These are a sibling, which callers reach next, and an instance of another region, which outlives
    the loss of this one.
    """
    own_region = members.own.region
    others = [one.note for one in members.live()]
    siblings = _ranked(stream, (one for one in others if one.region == own_region))
    remote = _ranked(stream, (one for one in others if one.region != own_region))
    return [one.ip for one in (*siblings[:1], *remote[:1])]


def likely_holders(stream: StreamKey, members: Members) -> list[str]:
    """Return the addresses of the other instances that may have been told of a stream.

    Of the own region, the second is the holder if the first one served the stream. Of all regions,
    the best of another region than the first is the holder if the first one's region served it.
    """
    notes = [*(one.note for one in members.live()), members.own]
    region = _ranked(stream, (one for one in notes if one.region == members.own.region))
    fleet = _ranked(stream, notes)
    elsewhere = [one for one in fleet if one.region != fleet[0].region]
    likely = dict.fromkeys(one.ip for one in (*region[:2], fleet[0], *elsewhere[:1]))
    return [ip for ip in likely if ip != members.own.ip]


def other_instances(members: Members, asked: Iterable[str]) -> list[str]:
    """Return the addresses of the instances that were not asked yet, siblings first."""
    own_region = members.own.region
    heard = {one.note.ip: one.note for one in (*members.live(), *members.recently_heard())}
    left = [heard[ip] for ip in heard.keys() - set(asked)]
    return [one.ip for one in sorted(left, key=lambda one: (one.region != own_region, one.ip))][
        :MAX_ASKED
    ]


def instances_near_and_far(members: Members, count: int) -> list[str]:
    """Return up to `count` other instances of the own region and as many of all others.

    Those that the store has answered lately come first.
    """
    own_region = members.own.region
    others = sorted(members.live(), key=lambda one: (not one.store_reached, one.note.ip))
    near = [one.note.ip for one in others if one.note.region == own_region]
    far = [one.note.ip for one in others if one.note.region != own_region]
    return near[:count] + far[:count]


def _ranked(stream: StreamKey, notes: Iterable[MemberNote]) -> Sequence[MemberNote]:
    """Return instances in the order of rendezvous hashing."""
    return sorted(notes, key=lambda one: hash64(f"stream/{stream:x}/{one.ip}"), reverse=True)
