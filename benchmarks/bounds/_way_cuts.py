"""Ways between instances of a fleet, and to its store, that are cut for a while."""

import json
import os
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from benchmarks.cuttable_gateway import BYTES_FROM, BYTES_TO, DATAGRAMS_FROM, DATAGRAMS_TO
from benchmarks.gateway_fleet import GatewayFleet


class Traffic(Enum):
    """Name what passes between instances."""

    GOSSIP = "gossip"
    HOPS = "hops"


ALL_TRAFFIC = frozenset(Traffic)
TO_LISTS = {Traffic.GOSSIP: DATAGRAMS_TO, Traffic.HOPS: BYTES_TO}
FROM_LISTS = {Traffic.GOSSIP: DATAGRAMS_FROM, Traffic.HOPS: BYTES_FROM}


@dataclass(frozen=True, slots=True)
class CutWay:
    """Name a way in one direction."""

    sender: str
    receiver: str
    traffic: Traffic


@dataclass(frozen=True, slots=True)
class Cut:
    """Say what is cut together."""

    ways: frozenset[CutWay] = frozenset()
    silent_to_store: frozenset[str] = frozenset()  # instances that the store hears nothing of
    silent_from_store: frozenset[str] = frozenset()  # instances that hear nothing of the store


def ways_out(
    senders: Iterable[str], receivers: Iterable[str], traffic: frozenset[Traffic] = ALL_TRAFFIC
) -> frozenset[CutWay]:
    """Return the ways from some instances to others."""
    targets = list(receivers)
    return frozenset(
        CutWay(sender, receiver, one)
        for sender in senders
        for receiver in targets
        if sender != receiver
        for one in traffic
    )


@dataclass(slots=True)
class WayCuts:
    """Hold the cuts that are in force; several may overlap."""

    fleet: GatewayFleet
    _cuts: list[Cut] = field(default_factory=list)

    def begin(self, cut: Cut) -> None:
        """Put a cut into force."""
        self._cuts.append(cut)
        self._apply()

    def end(self, cut: Cut) -> None:
        """Take a cut back."""
        self._cuts.remove(cut)
        self._apply()

    def _apply(self) -> None:
        ways = Counter(way for cut in self._cuts for way in cut.ways)
        for name, gateway in self.fleet.gateways.items():
            lists: dict[str, list[str]] = {}
            for way in ways:
                if way.sender == name:
                    receiver_ip = self.fleet.gateways[way.receiver].ip
                    lists.setdefault(TO_LISTS[way.traffic], []).append(receiver_ip)
                if way.receiver == name:
                    sender_ip = self.fleet.gateways[way.sender].ip
                    lists.setdefault(FROM_LISTS[way.traffic], []).append(sender_ip)
            faults = gateway.store_proxy.faults
            faults.silent_to = any(name in cut.silent_to_store for cut in self._cuts)
            faults.silent_from = any(name in cut.silent_from_store for cut in self._cuts)
            # An instance that reads the file finds the old one or the new one, never a part.
            fresh = gateway.cuts_path.with_suffix(".fresh")
            fresh.write_text(json.dumps(lists))
            os.replace(fresh, gateway.cuts_path)
