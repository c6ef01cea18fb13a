"""Choice of the peers that get a gossip datagram, and of random samples to put into it."""

import random
from collections.abc import Iterable
from typing import TypeVar

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline.fleet._members import Member, Members
from sparline.schema._gossip import MemberNote

# Number of siblings (other instances of this region) that get a datagram in each round; if there
# are more, they take turns, so that an instance sends the same number of datagrams in a fleet of
# any size.
SIBLINGS_PER_ROUND = 4
# Number of those siblings that are in other availability zones: traffic between zones is billed,
# and one datagram in four is enough to spread news to the other zones.
OTHER_ZONE_SIBLINGS_PER_ROUND = 1
# Number of instances per region that gossip with other regions: traffic between regions is billed.
# Two, so that the exchange continues when one of them stops.
REPRESENTATIVES_PER_REGION = 2
# A member without a heartbeat for this long is contacted only by probes (ms).
PROBE_ONLY_AFTER_MS = 6_000.0
# Maximum number of members described in a reply to a member query: what fits into 1,400 bytes.
MAX_DESCRIBED_MEMBERS = 16

Item = TypeVar("Item")


def is_region_representative(members: Members) -> bool:
    """Return whether this instance is one of its region's representatives to other regions."""
    own = members.own
    siblings = [one.note.ip for one in members.live(RegionName(own.region))]
    order = sorted([*siblings, own.ip], key=lambda ip: hash64(f"teller/{ip}"), reverse=True)
    return own.ip in order[:REPRESENTATIVES_PER_REGION]


def ips_by_other_region(members: Members) -> list[list[str]]:
    """Return the addresses in each other region, with the regions sorted by name.

    Starting instances are included: if regions that start together sent to live instances only,
    they would not discover each other for 6 s, until they probe silent members.
    """
    by_region: dict[str, list[str]] = {}
    for one in members.starting_or_live():
        if one.note.region != members.own.region:
            by_region.setdefault(one.note.region, []).append(one.note.ip)
    return [by_region[region] for region in sorted(by_region)]


def classify_peers(members: Members) -> tuple[list[Member], list[Member], list[Member]]:
    """Return siblings, peers in other regions, and silent members."""
    siblings: list[Member] = []
    remote: list[Member] = []
    silent: list[Member] = []
    now = now_ms()
    own_region = members.own.region
    for member in members.others():
        if _is_silent(member, now):
            silent.append(member)
        elif member.note.region == own_region:
            siblings.append(member)
        else:
            remote.append(member)
    return siblings, remote, silent


def siblings_for_round(members: Members, siblings: list[Member], round_number: int) -> list[str]:
    """Return the siblings that get a datagram in this round, mostly in the own zone."""
    if len(siblings) <= SIBLINGS_PER_ROUND:
        return ips_of(siblings)
    zone = members.own.availability_zone
    same_zone = ips_of(one for one in siblings if one.note.availability_zone == zone)
    other_zones = ips_of(one for one in siblings if one.note.availability_zone != zone)
    other_zone_count = (
        max(OTHER_ZONE_SIBLINGS_PER_ROUND, SIBLINGS_PER_ROUND - len(same_zone))
        if other_zones
        else 0
    )
    return _rotate(
        members, same_zone, SIBLINGS_PER_ROUND - other_zone_count, round_number
    ) + _rotate(members, other_zones, other_zone_count, round_number)


def _rotate(members: Members, peers: list[str], limit: int, round_number: int) -> list[str]:
    if len(peers) <= limit:
        return peers
    # Each instance starts at a different offset, so that a peer is not contacted by all at once.
    start = (round_number * limit + hash(members.own.ip)) % len(peers)
    return [peers[(start + step) % len(peers)] for step in range(limit)]


def find_missing_peers(
    members: Members, silent: list[Member], is_representative: bool
) -> list[str]:
    """Return silent siblings and, for a representative, members of unreachable regions."""
    own_region = members.own.region
    reached = {one.note.region for one in members.live()}
    return [
        one.note.ip
        for one in silent
        if one.note.region == own_region or (is_representative and one.note.region not in reached)
    ]


def sample_members(members: Members, region: str, rng: random.Random) -> list[MemberNote]:
    """Return a sample of the members that are not silent, preferring those of a region."""
    now = now_ms()
    known = [one.note for one in members.others() if not _is_silent(one, now)]
    in_region = limit_randomly(
        [one for one in known if one.region == region], MAX_DESCRIBED_MEMBERS, rng
    )
    remaining = [one for one in known if one.region != region]
    return in_region + limit_randomly(remaining, MAX_DESCRIBED_MEMBERS - len(in_region), rng)


def limit_randomly(items: list[Item], limit: int, rng: random.Random) -> list[Item]:
    """Return all items, or a random sample of them if there are more than the limit."""
    if len(items) <= limit:
        return items
    return rng.sample(items, limit)


def ips_of(members: Iterable[Member]) -> list[str]:
    """Return the sorted addresses of members."""
    return sorted(one.note.ip for one in members)


def _is_silent(member: Member, now: float) -> bool:
    """Return whether a member is contacted only by periodic probes."""
    return now - member.heard_at_ms > PROBE_ONLY_AFTER_MS
