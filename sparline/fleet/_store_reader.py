"""Follow the platform's store: read everything once, then watch, then recover from faults."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import gevent
from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._logging import log
from sparline.fleet._store_copy import StoreChange, StoreCopyTable

# A watch waits this long at the most (ms), and by chance at least this part of it. A change ends
# the watches of all instances at once, and an outage makes all that follow dead: the first that
# runs out finds the store back, and the others follow what it then holds.
WATCH_WAIT_MS = 10_000
WATCH_LEAST_PART = 0.4
# After an answer the next watch waits this long (ms): changes that come together cost one call
# of each instance, and a change is in force this much later, of the 3,000 that are allowed.
GATHER_LEAST_MS = 400.0
# The wait grows with those that watch (ms for each), so that all together call the store at
# most 70 times a second, up to a bound that leaves half of what is allowed.
GATHER_MS_A_WATCHER = 14.0
GATHER_MOST_MS = 1_500.0
# One that does not watch looks so often whether it is to (ms), and asks the store itself now and then
# (ms, spread by chance): should all that watch be turned away, it finds out.
FOLLOW_STEP_MS = 250.0
ASK_LEAST_MS = 20_000.0
ASK_MOST_MS = 40_000.0
# For this long after a fault the wait is the least (ms): entries that lapsed come back then.
SETTLING_MS = 6_000.0
# A read of everything may take this long (ms); the store answers in milliseconds, and a
# slow one in some hundreds.
READ_TIMEOUT_MS = 4_000
# Time that an answer may take beyond a watch's wait (ms).
WATCH_SLACK_MS = 1_500
# Pause after a fault, doubled up to the longest (ms), each spread by chance: all instances
# meet the same outage, and the store counts refused calls too.
PAUSE_FIRST_MS = 150.0
PAUSE_LONGEST_MS = 1_000.0
# A peer's copy that is newer for this long beyond the wait after an answer shows that the own
# watch is dead (ms).
BEHIND_MS = 700.0
# After an answer, the store counts as reached for this long beyond a watch (ms).
REACHED_MS = WATCH_WAIT_MS + WATCH_SLACK_MS


class StoreFaultKind(Enum):
    """Name how a call of the store failed."""

    UNREACHABLE = "unreachable"  # no connection, or it broke
    SILENT = "silent"  # no answer in time
    REFUSED = "refused"  # turned away; nothing was done
    HISTORY_GONE = "history_gone"  # the changes after the revision are forgotten
    BAD_ANSWER = "bad_answer"  # not what the protocol says


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Say why a call of the store failed."""

    kind: StoreFaultKind  # how
    text: str  # what was expected and found


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Hold what one call of the store brought."""

    changes: list[StoreChange]  # items, or changes of items
    revision: int  # the store's revision that the answer reaches up to


class StoreClient(Protocol):
    """Call the store."""

    def read_all(self, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Return every item, as new as the store has it."""
        ...

    def watch(self, after: int, wait_ms: int, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Wait for changes after a revision."""
        ...

    def interrupt(self) -> None:
        """End the call that is waiting, if any."""
        ...


class StoreReader:
    """Keep the copy up to date and know how far it can be trusted."""

    def __init__(
        self,
        client: StoreClient,
        copy: StoreCopyTable,
        on_call: Callable[[str, str], None],
        newest_peer_revision: Callable[[], int],
        watchers: Callable[[], int] = lambda: 1,
        watches: Callable[[], bool] = lambda: True,
    ) -> None:
        """Start without having read.

        `on_call` counts calls by kind and result; `watchers` tells how many instances watch the
        store, `watches` whether this one does.
        """
        self.answered_at_ms = 0.0  # when the store last answered, 0 for never
        self.disturbed_at_ms = 0.0  # when a call last failed, 0 for never
        self._client = client
        self._copy = copy
        self._on_call = on_call
        self._newest_peer_revision = newest_peer_revision
        self._watchers = watchers
        self._watches = watches
        self._must_read = True
        self._failures = 0
        self._behind_since_ms: float | None = None
        self._chance = random.Random()

    def reached(self) -> bool:
        """Tell whether the store answered lately and no call has failed since."""
        fresh = now_ms() - self.answered_at_ms < REACHED_MS
        return self.answered_at_ms > self.disturbed_at_ms and fresh

    def needs_peers(self) -> bool:
        """Tell whether news of the store come from peers, not from the store itself."""
        return not self.reached() or not self._watches()

    def run(self) -> None:
        """Follow the store for as long as the process lives."""
        while True:
            if self._must_read:
                answer = self._client.read_all(READ_TIMEOUT_MS)
                self._take(answer, "read", self._copy.replace)
            elif self._watches():
                self._watch(round(self._chance.uniform(WATCH_LEAST_PART, 1.0) * WATCH_WAIT_MS))
            else:
                self._follow()

    def _watch(self, wait_ms: int) -> None:
        answer = self._client.watch(self._copy.revision, wait_ms, wait_ms + WATCH_SLACK_MS)
        self._take(answer, "watch", self._copy.apply)

    def _follow(self) -> None:
        """Leave the store to those that watch it, until this instance is one of them."""
        ask_at_ms = now_ms() + self._chance.uniform(ASK_LEAST_MS, ASK_MOST_MS)
        while not self._watches():
            if now_ms() >= ask_at_ms:
                self._watch(0)
                return
            gevent.sleep(FOLLOW_STEP_MS / 1000)

    def note_peers_fault(self, ago_ms: float) -> None:
        """Note that the store failed an instance whose copy was taken."""
        self.disturbed_at_ms = max(self.disturbed_at_ms, now_ms() - ago_ms)

    def _take(
        self,
        answer: Result[StoreAnswer, StoreFault],
        call: str,
        apply: Callable[[list[StoreChange], int], None],
    ) -> None:
        match answer:
            case Ok(news):
                self._on_call(call, "answered")
                self._note_answer()
                self._must_read = False
                apply(news.changes, news.revision)
                if news.changes:
                    gevent.sleep(self._gather_ms() / 1000)
            case Err(fault):
                self._on_call(call, fault.kind.value)
                self._note_fault(call, fault)

    def _gather_ms(self) -> float:
        if now_ms() - self.disturbed_at_ms < SETTLING_MS:
            return GATHER_LEAST_MS
        wanted_ms = GATHER_MS_A_WATCHER * self._watchers()
        return min(max(wanted_ms, GATHER_LEAST_MS), GATHER_MOST_MS)

    def _note_answer(self) -> None:
        if self._failures or not self.answered_at_ms:
            log.bind(failures=self._failures, revision=self._copy.revision).info("store_reached")
        self._failures = 0
        self.answered_at_ms = now_ms()

    def _note_fault(self, call: str, fault: StoreFault) -> None:
        if fault.kind is StoreFaultKind.HISTORY_GONE:
            log.bind(revision=self._copy.revision).info("store_history_gone")
            self._must_read = True
            return
        self._failures += 1
        self.disturbed_at_ms = now_ms()
        if self._failures == 1:
            log.bind(call=call, fault=fault.kind.value, text=fault.text).warning("store_lost")
        longest_ms = min(PAUSE_FIRST_MS * 2**self._failures, PAUSE_LONGEST_MS)
        gevent.sleep(self._chance.uniform(0.5, 1.0) * longest_ms / 1000)

    def check_behind(self) -> bool:
        """End a watch that brings nothing while peers hold news; tell whether this is so."""
        if not self._watches() or self._newest_peer_revision() <= self._copy.revision:
            self._behind_since_ms = None
            return False
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms()
        if now_ms() - self._behind_since_ms < BEHIND_MS + self._gather_ms():
            return False
        self._behind_since_ms = None
        log.bind(revision=self._copy.revision, peers=self._newest_peer_revision()).info(
            "store_watch_behind"
        )
        self.disturbed_at_ms = now_ms()
        self._client.interrupt()
        return True
