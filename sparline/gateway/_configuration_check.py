"""Whether the configuration held here is the newest, checked before it rejects a request for good."""

from collections.abc import Callable

from gevent.event import AsyncResult

from sparline._clock import now_ms

# How long an outcome holds (ms): far less than the time that a version has to come into force, and
# requests that no version allows cost an instance no more than one call of the store in it.
OUTCOME_RETENTION_MS = 1_000.0
# How long requests wait for an outcome (ms): longer than a call of the store may take.
MAX_WAIT_MS = 700.0


class ConfigurationCheck:
    """Ask the store whether there is a newer configuration; requests share the outcome.

    A configuration that nothing contradicts may be one that no news reaches. Callers don't repeat
    a request that gets 401 or 404, and another instance may know that it is allowed.
    """

    def __init__(
        self, read_store: Callable[[], AsyncResult], is_peer_ahead: Callable[[], bool]
    ) -> None:
        """Use the callbacks of one instance.

        `read_store` begins a read of the store, whose outcome is whether this instance then holds
        all of it. `is_peer_ahead` returns whether a live peer follows a newer configuration, which
        a restored store may lack.
        """
        self._read_store = read_store
        self._is_peer_ahead = is_peer_ahead
        self._began_at_ms = 0.0  # when the latest read began
        self._outcome: AsyncResult | None = None  # of the latest read, None before the first

    def is_current(self) -> bool:
        """Return whether the configuration held now was the newest within the last second.

        Blocks until the store has answered, for MAX_WAIT_MS at most.
        """
        age_ms = now_ms() - self._began_at_ms
        if self._outcome is None or not 0 <= age_ms < OUTCOME_RETENTION_MS:
            self._began_at_ms, age_ms = now_ms(), 0.0
            self._outcome = self._read_store()
        outcome = self._outcome
        outcome.wait(max(MAX_WAIT_MS - age_ms, 0.0) / 1000)
        return bool(outcome.value) and not self._is_peer_ahead()
