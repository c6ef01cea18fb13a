"""Exchange facts on backend servers that crashed while processing a request.

Facts on suspect requests are sent immediately to every sibling, and to a few instances of each
other region, which forward them. All other facts go with the periodic gossip rounds, which also
make up for lost datagrams. A newly started instance receives all known facts on suspects.
"""

from sparline.fleet._news_allowance import BroadcastAllowance
from sparline.quarantine import CrashChange, CrashTable, FactSource, to_crash_fact, to_crash_note
from sparline.schema._gossip import CrashNews, CrashNote

# Maximum number of requests reported in a datagram, about 35 bytes each, so that it stays below
# 1,400 bytes. With 40 concurrent suspects and a fifth of the datagrams lost, all 78 instances know
# of each suspect within 5 s; with a maximum of 6 they do not.
MAX_FACTS = 12
# Maximum number of requests reported in a datagram to a newly started instance. With this many
# suspects, a datagram that also describes sixteen members may exceed one packet.
MAX_FACTS_TO_NEW = 12
# How long a request's first crash is reported to siblings (ms): long enough to reach the last of 70
# even if one or two datagrams are lost. Other regions take turns to get a datagram, so they need
# longer.
FIRST_CRASH_SIBLINGS_MS = 1_500.0
FIRST_CRASH_OTHER_REGIONS_MS = 12_000.0
# How long each round repeats a fact on a suspect after it was received (ms).
SUSPECT_MS = 12_000.0
ALWAYS_MS = float("inf")


class CrashExchange:
    """Select the crash facts to send to peers, without sending them."""

    def __init__(self, table: CrashTable) -> None:
        """Create an exchange for the records of a crash table."""
        self._table = table
        self._allowance = BroadcastAllowance()

    def notes_for(self, is_same_region: bool, is_new: bool) -> list[CrashNote]:
        """Return the crash facts for a gossip datagram; `is_new` if the peer has just started."""
        if self._table.is_empty:
            return []
        if is_new:
            facts = self._table.facts(MAX_FACTS_TO_NEW, FIRST_CRASH_SIBLINGS_MS, ALWAYS_MS)
        else:
            first_crash_ms = (
                FIRST_CRASH_SIBLINGS_MS if is_same_region else FIRST_CRASH_OTHER_REGIONS_MS
            )
            facts = self._table.facts(MAX_FACTS, first_crash_ms, SUSPECT_MS)
        return [to_crash_note(fact) for fact in facts]

    def take(self, notes: list[CrashNote]) -> list[CrashNote]:
        """Merge a peer's crash facts; return those that add to what is known of suspects."""
        changes = self._table.take(map(to_crash_fact, notes))
        return [to_crash_note(one.fact) for one in changes if one.concerns_suspect]

    def urgent_news(self, change: CrashChange, instances: int) -> CrashNews | None:
        """Return the fact to broadcast immediately, if any.

        `instances` is the number of instances that share the broadcast rate limit.
        """
        if change.learnt is not FactSource.HERE or not change.concerns_suspect:
            return None
        if not self._allowance.take(instances):
            # Over the rate limit; the periodic rounds report it instead.
            return None
        return CrashNews([to_crash_note(change.fact)], pass_on=True)
