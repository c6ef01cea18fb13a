"""Exchange facts on backend servers that exited while they ran requests with some part.

A fact that may put a part in quarantine is sent at once to every sibling, and to a few instances of
each other region, which forward it. Rounds repeat recent facts, which makes up for lost datagrams, and
less often the parts in quarantine, so that newly started instances know them.
"""

import random
from dataclasses import dataclass

from sparline._ids import RegionName
from sparline.decisions import MIN_SUSPECTED_EXITS
from sparline.fleet._gossip_peers import (
    REPRESENTATIVES_PER_REGION,
    classify_peers,
    ips_by_other_region,
    ips_of,
    is_region_representative,
    limit_randomly,
    siblings_for_round,
)
from sparline.fleet._members import Members
from sparline.fleet._news_allowance import BroadcastAllowance
from sparline.quarantine import FactSource, PartChange, PartTable, to_part_fact, to_part_note
from sparline.schema._gossip import PartNews

# Maximum number of parts in a datagram, at most 220 bytes each, so that it stays below 1,400 bytes.
MAX_FACTS = 6
# How long each round repeats a fact after its last change (ms).
RECENT_MS = 12_000.0
# Rounds between two datagrams on parts in quarantine whose records don't change.
QUIET_ROUNDS = 4


@dataclass(frozen=True, slots=True)
class PartDatagram:
    """Hold a datagram to send and its recipients."""

    peers: list[str]  # recipient addresses
    message: PartNews  # content


class PartExchange:
    """Select the facts on parts to send to peers, and merge those received; sends nothing itself."""

    def __init__(self, members: Members, table: PartTable) -> None:
        """Create an exchange for the records of a table."""
        self._members = members
        self._table = table
        # Two allowances, so that first exits don't use up what is there for suspected parts.
        self._first_exits = BroadcastAllowance()
        self._suspected = BroadcastAllowance()
        self._rng = random.Random()
        self._round = 0

    def round(self) -> list[PartDatagram]:
        """Return the datagrams to send in a round."""
        self._round += 1
        if self._table.is_empty:
            return []
        facts = self._table.facts(MAX_FACTS, RECENT_MS)
        is_quiet = not any(one.age_ms < RECENT_MS for one in facts)
        if not facts or (is_quiet and self._round % QUIET_ROUNDS):
            return []
        news = PartNews([to_part_note(one) for one in facts], pass_on=False)
        siblings, _, _ = classify_peers(self._members)
        peers = siblings_for_round(self._members, siblings, self._round)
        regions = ips_by_other_region(self._members)
        if regions and is_region_representative(self._members):
            peers = [*peers, self._rng.choice(regions[self._round % len(regions)])]
        return [PartDatagram(peers, news)] if peers else []

    def greeting(self, peers: list[str]) -> list[PartDatagram]:
        """Return the datagram that tells newly started instances of the parts in quarantine."""
        facts = self._table.facts(MAX_FACTS, 0.0)
        notes = [to_part_note(one) for one in facts]
        return [PartDatagram(peers, PartNews(notes, pass_on=False))] if notes else []

    def take(self, message: PartNews) -> list[PartDatagram]:
        """Merge a peer's facts; return the datagrams that forward those that are new here."""
        changes = self._table.take(map(to_part_fact, message.parts))
        if not changes or not message.pass_on:
            return []
        notes = [to_part_note(one.fact) for one in changes[:MAX_FACTS]]
        return [self._to_siblings(PartNews(notes, pass_on=False))]

    def urgent_news(self, change: PartChange) -> list[PartDatagram]:
        """Return the datagrams that tell of a change at once, if it is urgent."""
        if change.learnt is not FactSource.HERE or not change.is_urgent:
            return []
        region = RegionName(self._members.own.region)
        is_suspected = max(change.exits, change.exits_before) >= MIN_SUSPECTED_EXITS
        allowance = self._suspected if is_suspected else self._first_exits
        if not allowance.take(len(self._members.live(region)) + 1):
            # Over the rate limit; the rounds report it instead.
            return []
        others = [
            one for one in self._table.facts(MAX_FACTS, RECENT_MS) if one.part != change.fact.part
        ]
        notes = [to_part_note(one) for one in (change.fact, *others[: MAX_FACTS - 1])]
        remote = [
            ip
            for ips in ips_by_other_region(self._members)
            for ip in limit_randomly(ips, REPRESENTATIVES_PER_REGION, self._rng)
        ]
        return [
            self._to_siblings(PartNews(notes, pass_on=False)),
            PartDatagram(remote, PartNews(notes, pass_on=True)),
        ]

    def _to_siblings(self, news: PartNews) -> PartDatagram:
        siblings, _, _ = classify_peers(self._members)
        return PartDatagram(ips_of(siblings), news)
