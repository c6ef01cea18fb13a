"""Limits that backend servers set on how many requests they have to refuse."""

import random
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId

# Time after which a limit that no answer has repeated no longer applies (ms).
REFUSAL_LIMIT_TTL_MS = 10_000.0
# Fraction of the limit that all instances use together. The rest absorbs requests that are refused
# at the same moment, before any instance knows of it.
LIMIT_FRACTION = 0.5
# Lowest limit that is used (refusals per second): a server that names none at all must be tried now
# and then.
MIN_LIMIT_PER_S = 0.1
# Time until the instances of a region know of each other's requests (ms).
LOAD_DELAY_MS = 50.0
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class RefusalLimit:
    """Limit in a backend server's latest answer."""

    server_id: BackendServerId
    per_s: float | None  # refusals per second beyond which it fails, None if it has no limit
    at_ms: float  # when the answer arrived


class RefusalLimitTable:
    """Holds the limits that servers state, and divides them between the instances of a region."""

    def __init__(
        self,
        sharer_count: Callable[[], int],
        on_change: Callable[[RefusalLimit], None] = lambda _limit: None,
    ) -> None:
        """Start empty.

        `sharer_count` returns how many instances send to the servers of this region; `on_change` is
        called when a limit is added, changed or removed.
        """
        self._sharer_count = sharer_count
        self._on_change = on_change
        self._rng = random.Random()
        self._limits: dict[BackendServerId, RefusalLimit] = {}
        # Times of this instance's latest requests to servers with a limit.
        self._sent_at_ms: dict[BackendServerId, deque[float]] = {}

    def note_answer(self, server_id: BackendServerId, per_s: float | None) -> None:
        """Record the limit in a server's answer, None if it has none."""
        known = self._limits.get(server_id)
        if per_s is None:
            if known is not None:
                del self._limits[server_id]
                self._on_change(RefusalLimit(server_id, None, now_ms()))
            return
        limit = self._limits[server_id] = RefusalLimit(server_id, per_s, now_ms())
        if known is None or known.per_s != per_s:
            self._on_change(limit)

    def is_limited(self, server_id: BackendServerId) -> bool:
        """Tell whether a server must be spared requests that it may have to refuse."""
        return self._limit_per_s(server_id) is not None

    def may_send(self, server_id: BackendServerId, free_slots: Callable[[], int]) -> bool:
        """Tell whether this instance may send a server one more request now.

        Each instance takes its part of the free slots, which look the same to all until they know
        of each other's requests; a fraction of a slot is taken with that probability.
        """
        if not self.is_limited(server_id):
            return True
        recent_sends = self._recent_sends(server_id)
        part = (free_slots() + recent_sends) / max(self._sharer_count(), 1)
        return self._rng.random() < part - recent_sends

    def note_sent(self, server_id: BackendServerId) -> None:
        """Record a request to a server of this instance's region."""
        if self.is_limited(server_id):
            self._sent_at_ms.setdefault(server_id, deque()).append(now_ms())

    def _recent_sends(self, server_id: BackendServerId) -> int:
        """Return how many requests of this instance the others may not know of yet."""
        sent_at_ms = self._sent_at_ms.get(server_id)
        if sent_at_ms is None:
            return 0
        since_ms = now_ms() - LOAD_DELAY_MS
        while sent_at_ms and sent_at_ms[0] < since_ms:
            sent_at_ms.popleft()
        return len(sent_at_ms)

    def pause_ms(self, server_id: BackendServerId) -> float:
        """Return how long this instance sends a server nothing after a refusal, 0 without a limit."""
        per_s = self._limit_per_s(server_id)
        if per_s is None:
            return 0.0
        own_per_s = LIMIT_FRACTION * max(per_s, MIN_LIMIT_PER_S) / max(self._sharer_count(), 1)
        return MS_PER_S / own_per_s

    def _limit_per_s(self, server_id: BackendServerId) -> float | None:
        limit = self._limits.get(server_id)
        if limit is None or now_ms() - limit.at_ms > REFUSAL_LIMIT_TTL_MS:
            return None
        return limit.per_s

    def retry_ms(self, server_id: BackendServerId) -> float:
        """Return after how long a slot of a server may be free again, 0 without a limit."""
        return LOAD_DELAY_MS if self.is_limited(server_id) else 0.0

    def limited_count(self) -> int:
        """Return how many servers have a limit."""
        return sum(self.is_limited(one) for one in self._limits)

    def forget_all_but(self, known: Iterable[BackendServerId]) -> None:
        """Forget servers that are gone."""
        self._limits = {one: self._limits[one] for one in known if one in self._limits}
        self._sent_at_ms = {
            one: times for one, times in self._sent_at_ms.items() if one in self._limits
        }
