"""How instances tell each other which servers ended under which requests.

What concerns a suspect goes to every sibling at once, and to a few instances of each other region
that pass it on; all else goes with the datagrams of the rounds, which also make up for lost ones. An
instance that starts is told everything that is known of suspects.
"""

from sparline.fleet._news_allowance import NewsAllowance
from sparline.quarantine import CrashChange, CrashTable, FactSource, to_crash_fact, to_crash_note
from sparline.schema._gossip import CrashNews, CrashNote

# Requests told of in a datagram (count), some 35 bytes each: it stays below 1,400 bytes. With 40 suspects
# at once all 78 instances know of each within 5 s, a fifth of the datagrams lost (with 6 told they do not).
MOST_TOLD = 12
# An instance that starts is told of so many in each datagram (count). While there are so many suspects,
# those with sixteen members beside them may outgrow a packet.
MOST_TOLD_TO_NEW = 12
# A first end is told to siblings for as long as it takes to reach the last of 70 with a lost datagram
# or two, and for longer to other regions, which get a datagram in turn (ms).
SINGLE_NEAR_MS = 1_500.0
SINGLE_FAR_MS = 12_000.0
# What concerns a suspect is told in each round for this long after it was heard (ms).
SUSPECT_MS = 12_000.0
ALWAYS_MS = float("inf")


class CrashExchange:
    """Decide what is told of ends under requests; sends nothing itself."""

    def __init__(self, table: CrashTable) -> None:
        """Tell of what a table holds."""
        self._table = table
        self._allowance = NewsAllowance()

    def notes_for(self, is_near: bool, is_new: bool) -> list[CrashNote]:
        """Return what to tell a peer in a round, or one that has just started."""
        if self._table.is_empty:
            return []
        if is_new:
            facts = self._table.facts(MOST_TOLD_TO_NEW, SINGLE_NEAR_MS, ALWAYS_MS)
        else:
            singles_ms = SINGLE_NEAR_MS if is_near else SINGLE_FAR_MS
            facts = self._table.facts(MOST_TOLD, singles_ms, SUSPECT_MS)
        return [to_crash_note(fact) for fact in facts]

    def take(self, notes: list[CrashNote]) -> list[CrashNote]:
        """Take in what a peer told; return what was news of suspects."""
        changes = self._table.take(map(to_crash_fact, notes))
        return [to_crash_note(one.fact) for one in changes if one.concerns_suspect]

    def news_of(self, change: CrashChange, instances: int) -> CrashNews | None:
        """Return what every instance is to hear at once; `instances` share what may be told so."""
        if change.learnt is not FactSource.HERE or not change.concerns_suspect:
            return None
        if not self._allowance.take(instances):
            # The rounds tell it.
            return None
        return CrashNews([to_crash_note(change.fact)], pass_on=True)
