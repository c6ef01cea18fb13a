"""Dissemination of summaries and records: selection of the next recipients."""

from enum import Enum

from sparline.peers._link import PeerLink
from sparline.peers._membership import Membership
from sparline.schema._messages import Hello


class Scope(Enum):
    """Location of a peer relative to this instance."""

    SELF = "self"  # this instance
    SIBLING = "sibling"  # another instance of the same zone
    ZONE = "zone"  # an instance of another zone of the same region
    REGION = "region"  # an instance of another region


def scope_of(own: Hello, peer: Hello) -> Scope:
    """Return the location of a peer relative to this instance."""
    if peer.region != own.region:
        return Scope.REGION
    return Scope.SIBLING if peer.availability_zone == own.availability_zone else Scope.ZONE


def next_hops(membership: Membership, came_from: Scope, about_own_region: bool) -> list[PeerLink]:
    """Return the links to forward an update on, so that each instance gets it about once.

    Updates from outside the zone go to siblings. Updates that originate here or arrive from
    another region go to siblings and to the other zones. Updates about this region also go to
    the other regions in which this instance has a contact, whichever peer sent them.
    """
    targets = {
        Scope.SELF: {Scope.SIBLING, Scope.ZONE},
        Scope.REGION: {Scope.SIBLING, Scope.ZONE},
    }.get(came_from, set())
    if came_from is Scope.ZONE:
        targets = {Scope.SIBLING}
    if about_own_region:
        targets = targets | {Scope.REGION}
    return [link for link in membership.links() if _is_recipient(membership, link, targets)]


def _is_recipient(membership: Membership, link: PeerLink, targets: set[Scope]) -> bool:
    scope = scope_of(membership.self_hello, link.peer)
    is_contact = link.peer.instance_id in membership.contacts
    return scope in targets and (scope is Scope.SIBLING or is_contact)
