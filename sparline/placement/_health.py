"""Health of backend servers as observed on requests: refusals, failures, silence and speed."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline._logging import log

# Weight of one more request in the failure share: about the last ten count.
FAILURE_WEIGHT = 0.1
# A server with a higher failure share is skipped. One service fails 14% of its requests by itself,
# so the threshold lies well above that.
MAX_FAILURE_SHARE = 0.5
# How long a failing server is skipped (ms), doubled each time in a row.
MIN_SKIP_MS = 500.0
MAX_SKIP_MS = 4_000.0
# How long a server that reports to be full is skipped (ms).
FULL_SKIP_MS = 150.0
# How long a server is skipped whose address belongs to another one (ms); the store removes it soon.
MISDIRECTED_SKIP_MS = 5_000.0
# A server that sends no byte for this long while requests wait is unresponsive (ms): three gaps
# between events are allowed.
UNRESPONSIVE_MS = 1_200.0
# Weight of one more observed time in the time factor.
TIME_FACTOR_WEIGHT = 0.2
# Bounds of one observed time, relative to the expected one.
MIN_TIME_FACTOR = 0.5
MAX_TIME_FACTOR = 10.0
# Without new measurements the time factor decays to 1 with this half-life (ms).
TIME_FACTOR_HALF_LIFE_MS = 4_000.0


@dataclass(slots=True)
class _Observations:
    """Observations of one server by this instance."""

    failing: float = 0.0  # exponentially weighted share of failures
    skip_until_ms: float = 0.0  # until when it is used only if there is no other
    is_probed: bool = False  # whether one request probes it after that
    full_until_ms: float = 0.0  # until when it counts as full
    backoff_until_ms: float = 0.0  # end of the wait requested through Retry-After
    misdirected_until_ms: float = 0.0  # until when its address counts as another server's
    skip_ms: float = 0.0  # how long it was skipped the last time
    time_factor: float = 1.0  # observed time relative to the expected one
    time_factor_at_ms: float = 0.0  # when that was last measured
    heard_at_ms: float = 0.0  # when it last sent anything
    waiting: int = 0  # requests that wait for a byte
    waiting_since_ms: float = 0.0  # since when at least one waits


class HealthTable:
    """Judges the health of backend servers by the requests of this instance."""

    def __init__(self, process_resumed_at_ms: Callable[[], float] = lambda: 0.0) -> None:
        """Start without observations.

        `process_resumed_at_ms` returns when this process last resumed after it had been suspended.
        """
        self._process_resumed_at_ms = process_resumed_at_ms
        self._observations: dict[BackendServerId, _Observations] = {}

    def _of(self, server_id: BackendServerId) -> _Observations:
        observed = self._observations.get(server_id)
        if observed is None:
            observed = self._observations[server_id] = _Observations()
        return observed

    def note_sent(self, server_id: BackendServerId) -> None:
        """Record that a request was sent and waits for a byte."""
        observed = self._of(server_id)
        if not observed.waiting:
            observed.waiting_since_ms = now_ms()
        observed.waiting += 1

    def note_done(self, server_id: BackendServerId) -> None:
        """Record that a request no longer waits for anything."""
        observed = self._of(server_id)
        observed.waiting = max(observed.waiting - 1, 0)

    def note_received(self, server_id: BackendServerId) -> None:
        """Record that a server sent something."""
        self._of(server_id).heard_at_ms = now_ms()

    def heard_at_ms(self, server_id: BackendServerId) -> float:
        """Return when a server last sent anything, 0 if never."""
        observed = self._observations.get(server_id)
        return observed.heard_at_ms if observed else 0.0

    def note_event(self, server_id: BackendServerId) -> None:
        """Record part of a good answer, which ends the skipping of a server that has recovered."""
        observed = self._of(server_id)
        observed.heard_at_ms = now_ms()
        if observed.failing <= MAX_FAILURE_SHARE:
            observed.skip_ms = 0.0
            observed.skip_until_ms = 0.0

    def note_placed(self, server_id: BackendServerId) -> None:
        """Record that a request will be sent; if the server was skipped, as its only probe."""
        observed = self._of(server_id)
        if observed.skip_ms:
            observed.is_probed = True
            observed.skip_until_ms = now_ms() + observed.skip_ms

    def note_success(self, server_id: BackendServerId) -> None:
        """Record a complete answer."""
        observed = self._of(server_id)
        observed.failing *= 1 - FAILURE_WEIGHT
        observed.skip_ms = 0.0
        observed.skip_until_ms = 0.0

    def note_failure(self, server_id: BackendServerId, why: str) -> None:
        """Record an answer that failed, broke off or never came."""
        observed = self._of(server_id)
        observed.failing += (1 - observed.failing) * FAILURE_WEIGHT
        if observed.failing > MAX_FAILURE_SHARE:
            self._skip(server_id, observed, why)

    def note_unreachable(self, server_id: BackendServerId) -> None:
        """Record a connection that could not be opened."""
        observed = self._of(server_id)
        observed.failing += (1 - observed.failing) * FAILURE_WEIGHT
        self._skip(server_id, observed, "unreachable")

    def note_full(self, server_id: BackendServerId, retry_after_ms: float = 0.0) -> None:
        """Record a refusal because the server is full, and its Retry-After, 0 if it has none."""
        observed = self._of(server_id)
        observed.full_until_ms = now_ms() + FULL_SKIP_MS
        if retry_after_ms <= 0:
            return
        if not self.backoff_left_ms(server_id):
            log.bind(backend_server=server_id, for_ms=round(retry_after_ms)).info("server_rests")
        # Concurrent refusals may name different waits; the latest end applies.
        observed.backoff_until_ms = max(observed.backoff_until_ms, now_ms() + retry_after_ms)

    def backoff_left_ms(self, server_id: BackendServerId) -> float:
        """Return the remaining time for which a server must get no requests, 0 if there is none."""
        observed = self._observations.get(server_id)
        return 0.0 if observed is None else max(observed.backoff_until_ms - now_ms(), 0.0)

    def forget_failures(self, server_ids: Iterable[BackendServerId]) -> None:
        """Forget what failed on a way to servers that is no longer used."""
        for server_id in server_ids:
            observed = self._observations.get(server_id)
            if observed is not None:
                observed.failing = 0.0
                observed.skip_ms = 0.0
                observed.skip_until_ms = 0.0
                observed.waiting_since_ms = now_ms()

    def note_misdirected(self, server_id: BackendServerId) -> None:
        """Record that the address belongs to another server."""
        self._of(server_id).misdirected_until_ms = now_ms() + MISDIRECTED_SKIP_MS
        log.bind(backend_server=server_id, for_ms=MISDIRECTED_SKIP_MS).info("server_misdirected")

    def _skip(self, server_id: BackendServerId, observed: _Observations, why: str) -> None:
        if now_ms() < observed.skip_until_ms and not observed.is_probed:
            # All streams of an engine that crashes break at once: only the first failure doubles the
            # time.
            return
        longer_ms = min(observed.skip_ms * 2, MAX_SKIP_MS)
        observed.skip_ms = max(longer_ms, MIN_SKIP_MS)
        observed.skip_until_ms = now_ms() + observed.skip_ms
        observed.is_probed = False
        log.bind(
            backend_server=server_id,
            why=why,
            failing=round(observed.failing, 2),
            for_ms=observed.skip_ms,
        ).info("server_passed_over")

    def note_time(self, server_id: BackendServerId, took_ms: float, expected_ms: float) -> None:
        """Record a measured time and the expected one."""
        observed = self._of(server_id)
        factor = min(max(took_ms / max(expected_ms, 1.0), MIN_TIME_FACTOR), MAX_TIME_FACTOR)
        observed.time_factor = (
            self.time_factor(server_id) * (1 - TIME_FACTOR_WEIGHT) + factor * TIME_FACTOR_WEIGHT
        )
        observed.time_factor_at_ms = now_ms()

    def time_factor(self, server_id: BackendServerId) -> float:
        """Return the time that a server takes relative to the expected one."""
        observed = self._observations.get(server_id)
        if observed is None:
            return 1.0
        age = (now_ms() - observed.time_factor_at_ms) / TIME_FACTOR_HALF_LIFE_MS
        return 1.0 + (observed.time_factor - 1.0) * 0.5**age

    def failing(self, server_id: BackendServerId) -> float:
        """Return the share of failures."""
        observed = self._observations.get(server_id)
        return observed.failing if observed else 0.0

    def is_unresponsive(self, server_id: BackendServerId) -> bool:
        """Tell whether a server with pending requests has sent nothing for too long."""
        observed = self._observations.get(server_id)
        return observed is not None and self._is_unresponsive(observed, now_ms())

    def is_misdirected(self, server_id: BackendServerId) -> bool:
        """Tell whether another server has the address, so that each request would be refused."""
        observed = self._observations.get(server_id)
        return observed is not None and now_ms() < observed.misdirected_until_ms

    def usable(self, server_id: BackendServerId) -> bool:
        """Tell whether a server is healthy and not full, as far as is known."""
        return self.is_usable_at(server_id, now_ms())

    def is_usable_at(self, server_id: BackendServerId, now: float) -> bool:
        """Tell the same as `usable`, with the current time (ms) known to the caller."""
        observed = self._observations.get(server_id)
        if observed is None:
            return True
        if now < observed.misdirected_until_ms or now < observed.full_until_ms:
            return False
        return not self._is_doubted(observed, now)

    def is_barred_at(self, server_id: BackendServerId, now: float) -> bool:
        """Tell whether a server must get no requests now (ms): misdirected, or in backoff."""
        observed = self._observations.get(server_id)
        return observed is not None and (
            now < observed.misdirected_until_ms or now < observed.backoff_until_ms
        )

    def is_doubted(self, server_id: BackendServerId) -> bool:
        """Tell whether a server failed or became unresponsive recently."""
        observed = self._observations.get(server_id)
        return observed is not None and self._is_doubted(observed, now_ms())

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget servers that are gone."""
        now = now_ms()
        self._observations = {
            one: observed
            for one, observed in self._observations.items()
            # The backoff must outlast a server whose entry expires and reappears.
            if one in known or now < observed.backoff_until_ms
        }

    def _is_doubted(self, observed: _Observations, now: float) -> bool:
        return now < observed.skip_until_ms or self._is_unresponsive(observed, now)

    def _is_unresponsive(self, observed: _Observations, now: float) -> bool:
        if not observed.waiting:
            return False
        since_ms = max(observed.heard_at_ms, observed.waiting_since_ms)
        if now - since_ms <= UNRESPONSIVE_MS:
            return False
        # While this process was suspended it received nothing, which does not count as silence.
        return now - self._process_resumed_at_ms() > UNRESPONSIVE_MS
