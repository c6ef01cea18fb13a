"""Synchronisation with the platform's store: a full read, then watches, and fault recovery."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

import gevent
from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._logging import log
from sparline.fleet._store_copy import StoreChange, StoreCopyTable, StorePosition
from sparline.fleet._store_outage import StoreOutage

# Maximum wait of a watch (ms), and the minimum fraction of it; the wait is random in between. A
# change ends the watches of all instances at the same time, so their next watches start together,
# and an outage can silently break all of these. With different waits, the first to time out finds
# the store recovered, and the other instances notice that its copy is newer.
WATCH_WAIT_MS = 10_000
WATCH_MIN_FRACTION = 0.4
# Wait of the watches of the first watcher of a region, and additional time for their responses (ms).
# A connection can go silent without a reset, and all may at the same time: then nothing else shows
# for seconds that the store has news.
FIRST_WATCHER_WAIT_MS = 1_200
FIRST_WATCHER_SLACK_MS = 1_000
# Minimum delay after a response before the next watch (ms): changes that arrive together cost each
# instance only one call. A change takes effect this much later; 3,000 ms are allowed.
MIN_WATCH_DELAY_MS = 400.0
# The delay grows with the number of watchers (ms per watcher), so that all of them together call
# the store at most 70 times per second, up to a maximum that uses half of the time allowed.
WATCH_DELAY_PER_WATCHER_MS = 14.0
MAX_WATCH_DELAY_MS = 1_500.0
# Interval at which a non-watcher checks whether it should watch (ms).
WATCHER_CHECK_MS = 250.0
# Range of the random interval at which a non-watcher queries the store itself (ms), to get changes
# even if the store rejects all watchers.
MIN_QUERY_INTERVAL_MS = 20_000.0
MAX_QUERY_INTERVAL_MS = 40_000.0
# How long after a fault the minimum delay applies (ms): expired entries are renewed in this time.
RECOVERY_MS = 6_000.0
# Timeout of a full read (ms); the store normally responds within milliseconds, and a slow one
# within some hundreds.
READ_TIMEOUT_MS = 4_000
# Additional time allowed for the response of a watch after its wait (ms).
WATCH_SLACK_MS = 1_500
# How many revisions back a process that starts again asks for evacuations (count), until the store's
# history is too short: the latest first, because requests are served meanwhile.
HISTORY_STEPS = (2, 4, 8, 16, 32)
# Base and maximum backoff after a fault (ms). The base is doubled at each failure in a row, and the
# pause has random jitter: all instances meet the same outage, and rejected calls count against the
# store's rate limit too.
BASE_BACKOFF_MS = 150.0
MAX_BACKOFF_MS = 1_000.0
# A watch is considered stale once a peer's copy has been newer for this long (ms), not counting the
# delay after a response.
STALE_WATCH_MS = 700.0
# How long the store counts as reachable after a response (ms): the longest watch and its response.
REACHED_MS = WATCH_WAIT_MS + WATCH_SLACK_MS


class StoreFaultKind(Enum):
    """Classify how a call to the store failed."""

    UNREACHABLE = "unreachable"  # connection failed or was broken
    SILENT = "silent"  # no response in time
    REFUSED = "refused"  # rejected without effect
    HISTORY_GONE = "history_gone"  # the store no longer has the changes after the revision
    ERA_CHANGED = "era_changed"  # the store has come back from an older copy
    OUTDATED = "outdated"  # response of an era before the one already known
    BAD_ANSWER = "bad_answer"  # response violates the protocol
    TOO_LONG = "too_long"  # response longer than any that is kept


# Log events of the faults after which only a full read tells the store's state. They are no failures
# of the store.
FULL_READ_EVENTS = {
    StoreFaultKind.HISTORY_GONE: "store_history_gone",
    StoreFaultKind.ERA_CHANGED: "store_era_changed",
}


@dataclass(frozen=True, slots=True)
class StoreFault:
    """Describe why a call to the store failed."""

    kind: StoreFaultKind  # failure category
    text: str  # expected and actual result


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """Hold the result of one call to the store."""

    changes: list[StoreChange]  # current items of a full read, or changes from a watch
    position: StorePosition  # state of the store up to which the response is complete


class StoreClient(Protocol):
    """Define the calls to the store."""

    def read_all(self, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Return the current state of all items."""
        ...

    def watch(self, after: int, wait_ms: int, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Wait up to `wait_ms` for changes after a revision."""
        ...

    def evacuation_changes(self, after: int, timeout_ms: float) -> Result[StoreAnswer, StoreFault]:
        """Return the changes of evacuations after a revision, without waiting for any."""
        ...

    def interrupt(self) -> None:
        """Abort the pending call, if any."""
        ...


class StoreReader:
    """Keep the copy of the store up to date and track whether the store is reachable."""

    def __init__(
        self,
        client: StoreClient,
        copy: StoreCopyTable,
        on_call: Callable[[str, str], None],
        newest_peer_position: Callable[[], StorePosition],
        watcher_count: Callable[[], int] = lambda: 1,
        is_watcher: Callable[[], bool] = lambda: True,
        is_first_watcher: Callable[[], bool] = lambda: False,
        on_past_evacuation: Callable[[StoreChange], None] | None = None,
    ) -> None:
        """Create a reader that starts with a full read.

        `on_call` counts calls by kind and result; `watcher_count` returns how many instances watch
        the store, `is_watcher` whether this one does, and `is_first_watcher` whether it is the
        first of its region to do so. `on_past_evacuation`, if given, is called with each change
        of an evacuation that the store's history holds when this process starts.
        """
        self.answered_at_ms = 0.0  # time of the store's last response, 0 for never
        self.last_fault_at_ms = 0.0  # time of the last failed call, 0 for never
        self.era = 0  # era of the store's last response
        self._restored_at_ms = 0.0  # when a new era was met, 0 for never
        self.outage = StoreOutage()  # decides whether a missing entry may be renewed
        self._client = client
        self._copy = copy
        self._on_call = on_call
        self._newest_peer_position = newest_peer_position
        self._watcher_count = watcher_count
        self._is_watcher = is_watcher
        self._is_first_watcher = is_first_watcher
        self._on_past_evacuation = on_past_evacuation
        self._delay_until_ms = 0.0  # end of the delay after the last response
        self._needs_full_read = True
        self._failures = 0
        self._behind_since_ms: float | None = None
        self._rng = random.Random()

    def reached(self) -> bool:
        """Return whether the store responded recently and no call has failed since."""
        fresh = now_ms() - self.answered_at_ms < REACHED_MS
        return self.answered_at_ms > self.last_fault_at_ms and fresh

    @property
    def disturbed_at_ms(self) -> float:
        """Return the time of the last failed call or restoration, 0 for never."""
        return max(self.last_fault_at_ms, self._restored_at_ms)

    def needs_peers(self) -> bool:
        """Return whether this instance gets store changes from peers instead of the store."""
        return not self.reached() or not self._is_watcher()

    def run(self) -> None:
        """Synchronise with the store for the lifetime of the process."""
        while True:
            if self._needs_full_read:
                self._read_all()
            elif self._is_watcher():
                self._watch(self._watch_wait_ms(), self._watch_slack_ms())
            else:
                self._wait_as_non_watcher()

    def _read_all(self) -> None:
        answer = self._client.read_all(READ_TIMEOUT_MS).and_then(self._require_known_era)
        self._handle_answer(answer, "read", self._apply_full_read)

    def _apply_full_read(self, changes: list[StoreChange], position: StorePosition) -> bool:
        is_applied = self._copy.replace(changes, position)
        if self._on_past_evacuation is not None:
            self._read_past_evacuations(position, self._on_past_evacuation)
            self._on_past_evacuation = None
        return is_applied

    def _read_past_evacuations(
        self, position: StorePosition, report: Callable[[StoreChange], None]
    ) -> None:
        """Report the changes of evacuations that led to a position, as far as the history goes."""
        for step in HISTORY_STEPS:
            after = max(position.revision - step, 0)
            match self._client.evacuation_changes(after, READ_TIMEOUT_MS):
                case Ok(news):
                    self._on_call("history", "answered")
                    for change in news.changes:
                        report(change)
                case Err(fault):
                    self._on_call("history", fault.kind.value)
                    return
            if not after:
                return

    def _require_known_era(self, news: StoreAnswer) -> Result[StoreAnswer, StoreFault]:
        """Reject the list of an era before the one held, which a peer may have told."""
        held = self._copy.position.era
        if news.position.era >= held:
            return Ok(news)
        text = f"expected era {held} or later, found {news.position.era}"
        return Err(StoreFault(StoreFaultKind.OUTDATED, text))

    def _watch_wait_ms(self) -> int:
        """Return how long the next watch waits for changes.

        The first one after a fault returns at once, to tell whether the store has been restored: one
        that waits after a reissued revision would tell it only at the next change.
        """
        if self._failures:
            return 0
        if self._is_first_watcher():
            return FIRST_WATCHER_WAIT_MS
        return round(self._rng.uniform(WATCH_MIN_FRACTION, 1.0) * WATCH_WAIT_MS)

    def _watch_slack_ms(self) -> int:
        return FIRST_WATCHER_SLACK_MS if self._is_first_watcher() else WATCH_SLACK_MS

    def _watch(self, wait_ms: int, slack_ms: int = WATCH_SLACK_MS) -> None:
        answer = self._client.watch(self._copy.revision, wait_ms, wait_ms + slack_ms)
        self._handle_answer(answer.and_then(self._require_same_era), "watch", self._copy.apply)

    def _require_same_era(self, news: StoreAnswer) -> Result[StoreAnswer, StoreFault]:
        """Reject changes of another era: they don't follow the revision asked for."""
        held = self._copy.position.era
        if news.position.era == held:
            return Ok(news)
        text = f"expected era {held}, found {news.position.era}"
        return Err(StoreFault(StoreFaultKind.ERA_CHANGED, text))

    def _wait_as_non_watcher(self) -> None:
        """Wait until this instance becomes a watcher; query the store at random intervals."""
        query_at_ms = now_ms() + self._rng.uniform(MIN_QUERY_INTERVAL_MS, MAX_QUERY_INTERVAL_MS)
        while not self._is_watcher():
            if now_ms() >= query_at_ms:
                self._watch(0)
                return
            gevent.sleep(WATCHER_CHECK_MS / 1000)

    def _handle_answer(
        self,
        answer: Result[StoreAnswer, StoreFault],
        call: str,
        apply: Callable[[list[StoreChange], StorePosition], bool],
    ) -> None:
        match answer:
            case Ok(news):
                self._on_call(call, "answered")
                self._record_answer()
                self._needs_full_read = False
                self._note_position(call, news.position)
                apply(news.changes, news.position)
                if news.changes:
                    self._delay_next_call()
            case Err(fault):
                self._on_call(call, fault.kind.value)
                self._record_fault(call, fault)

    def _delay_next_call(self) -> None:
        delay_ms = self._watch_delay_ms()
        self._delay_until_ms = now_ms() + delay_ms
        gevent.sleep(delay_ms / 1000)

    def _note_position(self, call: str, position: StorePosition) -> None:
        """Log and record a new era, and log a response with less than the copy holds."""
        held = self._copy.position
        if position.era != self.era:
            log.bind(
                call=call,
                era=position.era,
                before=self.era,
                revision=position.revision,
                held=held.revision,
            ).info("store_era")
            self._record_new_era(position.era)
        elif position < held:
            log.bind(
                call=call, era=position.era, revision=position.revision, held=held.revision
            ).warning("store_answer_older")

    def _record_new_era(self, era: int) -> None:
        """Count a restoration as a disturbance: what it lost is written again after it."""
        held = self._copy.position
        if held.revision and held.era != era:
            self._restored_at_ms = now_ms()
            self.outage.note_end()
        self.era = era

    def _watch_delay_ms(self) -> float:
        if now_ms() - self.disturbed_at_ms < RECOVERY_MS:
            return MIN_WATCH_DELAY_MS
        delay_ms = WATCH_DELAY_PER_WATCHER_MS * self._watcher_count()
        return min(max(delay_ms, MIN_WATCH_DELAY_MS), MAX_WATCH_DELAY_MS)

    def _record_answer(self) -> None:
        if self._failures or not self.answered_at_ms:
            log.bind(failures=self._failures, revision=self._copy.revision).info("store_reached")
        self.outage.note_answer()
        self._failures = 0
        self.answered_at_ms = now_ms()

    def _record_fault(self, call: str, fault: StoreFault) -> None:
        if fault.kind in FULL_READ_EVENTS:
            log.bind(revision=self._copy.revision).info(FULL_READ_EVENTS[fault.kind])
            self._needs_full_read = True
            return
        if fault.kind is StoreFaultKind.TOO_LONG:
            # A list comes in pages, whatever the number of changes.
            self._needs_full_read = True
        self._failures += 1
        self.last_fault_at_ms = now_ms()
        self.outage.note_failed_call()
        if self._failures == 1:
            log.bind(call=call, fault=fault.kind.value, text=fault.text).warning("store_lost")
        backoff_ms = min(BASE_BACKOFF_MS * 2**self._failures, MAX_BACKOFF_MS)
        gevent.sleep(self._rng.uniform(0.5, 1.0) * backoff_ms / 1000)

    def interrupt_stale_watch(self) -> bool:
        """Abort a stale watch if peers hold a newer position; return whether it was aborted."""
        if not self._is_watcher() or self._newest_peer_position() <= self._copy.position:
            self._behind_since_ms = None
            return False
        if self._behind_since_ms is None:
            self._behind_since_ms = now_ms()
        # During the delay no watch is pending that could be stale.
        if now_ms() - max(self._behind_since_ms, self._delay_until_ms) < STALE_WATCH_MS:
            return False
        self._behind_since_ms = None
        newest = self._newest_peer_position()
        log.bind(revision=self._copy.revision, era=newest.era, peers=newest.revision).info(
            "store_watch_behind"
        )
        self.last_fault_at_ms = now_ms()
        self.outage.note_abort()
        self._client.interrupt()
        return True
