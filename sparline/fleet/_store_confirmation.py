"""Confirmation, on demand, that this instance's copy of the store is current.

A copy without news may be a copy that news cannot reach. Only an answer of the store to a call that
began after the question tells the two apart.
"""

from collections.abc import Callable

import gevent
from gevent.event import AsyncResult
from result import Err, Ok, Result

from sparline.fleet._store_copy import NO_POSITION, StoreCopyTable
from sparline.fleet._store_reader import StoreAnswer, StoreClient, StoreFault, StoreFaultKind

# Timeout of a call (ms): two round trips between regions, on a new connection.
CALL_TIMEOUT_MS = 600.0
# Time between two calls (ms): those that come in it share the next one.
MIN_CALL_GAP_MS = 20.0
CALL_NAME = "confirm"


class StoreConfirmation:
    """Read what the store has beyond the copy; all that wait share one call."""

    def __init__(
        self,
        client: StoreClient,
        copy: StoreCopyTable,
        on_call: Callable[[str, str], None],
        on_recovery: Callable[[], None],
    ) -> None:
        """Use a client of its own.

        `on_call` counts calls by kind and result; `on_recovery` is called before the changes of the
        first answer after a failed call are applied: entries may have lapsed in an outage.
        """
        self._client = client
        self._copy = copy
        self._on_call = on_call
        self._on_recovery = on_recovery
        self.has_failed = False  # whether the store did not answer the last call
        self._next: AsyncResult | None = None  # outcome of the call that has not begun
        self._is_calling = False

    def request(self) -> AsyncResult:
        """Return an outcome: whether the copy holds all that the store held at this moment."""
        if self._next is None:
            self._next = AsyncResult()
        outcome = self._next
        if not self._is_calling:
            self._is_calling = True
            gevent.spawn(self._call_until_idle)
        return outcome

    def _call_until_idle(self) -> None:
        """Make calls, one at a time: one that has begun says nothing to those that come after."""
        try:
            while self._next is not None:
                outcome, self._next = self._next, None
                self._call(outcome)
                gevent.sleep(MIN_CALL_GAP_MS / 1000)
        finally:
            self._is_calling = False

    def _call(self, outcome: AsyncResult) -> None:
        is_current = False
        try:
            is_current = self._confirm()
        finally:
            # Those that wait learn of a failure to apply the changes, too.
            outcome.set(is_current)

    def _confirm(self) -> bool:
        if self._copy.position == NO_POSITION:
            return False
        lists = self._copy.lists
        match self._read():
            case Ok(news):
                self._on_call(CALL_NAME, "answered")
                if self.has_failed:
                    self._on_recovery()
                self.has_failed = False
                if self._copy.lists != lists:
                    # The list may lack items that the answer, which is older, still has.
                    return self._copy.includes(news.position)
                # Fails if the store has come back from an older copy, which takes a full read.
                return self._copy.apply(news.changes, news.position)
            case Err(fault):
                self.has_failed = True
                self._on_call(CALL_NAME, fault.kind.value)
                return False
        raise AssertionError("a result is either Ok or Err")

    def _read(self) -> Result[StoreAnswer, StoreFault]:
        """Read the changes; try again if the store has closed an idle connection."""
        answer = self._client.watch(self._copy.revision, 0, CALL_TIMEOUT_MS)
        if answer.is_err() and answer.unwrap_err().kind is StoreFaultKind.UNREACHABLE:
            answer = self._client.watch(self._copy.revision, 0, CALL_TIMEOUT_MS)
        return answer
