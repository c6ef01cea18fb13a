"""The duty to read the platform: one instance a region, others only if it is lost."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import gevent
from result import Err, Ok

from sparline._clock import now_ms
from sparline._ids import Revision
from sparline._logging import log
from sparline._metrics import Metrics
from sparline.declarations import Record, RecordStore
from sparline.publication._client import PlatformClient

# Pause after a failed call, doubled up to the longest.
PAUSE_FIRST_MS = 200.0
PAUSE_LONGEST_MS = 5_000.0
IDLE_MS = 200.0
# Without news of a platform's answer for so many watches, others read too.
FALLBACK_WATCHES = 1.5
FALLBACK_SPREAD_MS = 4_000.0
# After so many failures in a row another instance is to read; for so long.
FAILURES_TO_GIVE_WAY = 2
GIVE_WAY_MS = 20_000.0


@dataclass(frozen=True, slots=True)
class ReaderHooks:
    """Hold what the reader asks of its instance."""

    has_duty: Callable[[], bool]  # whether this instance reads for its region
    freshness_ms: Callable[[], float]  # time since the platform answered anyone known
    take: Callable[[tuple[Record, ...], Revision], None]  # what to do with records


class PlatformReader:
    """Watch the platform while this instance has the duty."""

    def __init__(
        self,
        client: PlatformClient,
        store: RecordStore,
        hooks: ReaderHooks,
        metrics: Metrics,
        wait_ms: int,
        chance: random.Random,
    ) -> None:
        """Start without having read anything."""
        self.last_answer_ms: float | None = None  # when the platform last answered here
        self._failures = 0
        self._failed_at_ms = 0.0
        self._client = client
        self._store = store
        self._hooks = hooks
        self._metrics = metrics
        self._wait_ms = wait_ms
        self._pause_ms = PAUSE_FIRST_MS
        self._patience_ms = wait_ms * FALLBACK_WATCHES + chance.uniform(0, FALLBACK_SPREAD_MS)

    def run(self) -> None:
        """Read for as long as the process lives."""
        while True:
            if self._must_read():
                self.read_once(self._wait_ms)
            else:
                gevent.sleep(IDLE_MS / 1000)

    def _must_read(self) -> bool:
        return self._hooks.has_duty() or self._hooks.freshness_ms() > self._patience_ms

    def is_cut(self) -> bool:
        """Tell whether reading lately failed here, so that another instance should read."""
        recent = now_ms() - self._failed_at_ms < GIVE_WAY_MS
        return self._failures >= FAILURES_TO_GIVE_WAY and recent

    def read_once(self, wait_ms: int) -> bool:
        """Make one call; tell whether the platform answered with nothing older than is held."""
        match self._client.read(self._store.complete_revision, wait_ms):
            case Err(reason):
                self._metrics.platform_calls.labels("records", "failed").inc()
                log.debug("platform: {}", reason)
                self._pause()
                return False
            case Ok(answer) if answer.revision < self._store.complete_revision:
                self._metrics.platform_calls.labels("records", "stale").inc()
                self._client.use_next()
                self._pause()
                return False
            case Ok(answer):
                self._metrics.platform_calls.labels("records", "answered").inc()
                self._pause_ms = PAUSE_FIRST_MS
                self._failures = 0
                self._hooks.take(answer.records, answer.revision)
                self.last_answer_ms = now_ms()
                return True

    def _pause(self) -> None:
        self._failures += 1
        self._failed_at_ms = now_ms()
        gevent.sleep(self._pause_ms / 1000)
        self._pause_ms = min(self._pause_ms * 2, PAUSE_LONGEST_MS)
