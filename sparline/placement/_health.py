"""Health of backend servers as observed on requests: refusals, failures, silence and speed."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline._logging import log

# Weight of one more request in the failure share: about the last ten count.
FAILURE_WEIGHT = 0.1
# A server with a higher failure share is skipped. One service fails 14% of its requests by itself,
# so the threshold lies well above that.
FAILING_SHARE = 0.5
# How long a failing server is skipped (ms), doubled each time in a row.
PASS_OVER_FIRST_MS = 500.0
PASS_OVER_LONGEST_MS = 4_000.0
# How long a server that reports to be full is skipped (ms).
FULL_MS = 150.0
# How long a server is skipped whose address belongs to another one (ms); the store removes it soon.
MISDIRECTED_MS = 5_000.0
# A server that sends no byte for this long while requests wait is unresponsive (ms): three gaps
# between events are allowed.
DARK_MS = 1_200.0
# Weight of one more measured time in the pace.
PACE_WEIGHT = 0.2
# Bounds of one measured time, relative to the expected one.
PACE_LEAST = 0.5
PACE_MOST = 10.0
# Without new measurements the pace decays to 1 with this half-life (ms).
PACE_HALF_LIFE_MS = 4_000.0


@dataclass(slots=True)
class _Witness:
    """Observations of one server by this instance."""

    failing: float = 0.0  # exponentially weighted share of failures
    pass_over_until_ms: float = 0.0  # until when it is a last resort
    on_trial: bool = False  # whether one request probes it after that
    full_until_ms: float = 0.0  # until when it counts as full
    backoff_until_ms: float = 0.0  # end of the wait requested through Retry-After
    elsewhere_until_ms: float = 0.0  # until when its address counts as another server's
    pass_over_ms: float = 0.0  # how long it was skipped the last time
    pace: float = 1.0  # measured time relative to the expected one
    pace_at_ms: float = 0.0  # when the pace was last measured
    heard_at_ms: float = 0.0  # when it last sent anything
    waiting: int = 0  # requests that wait for a byte
    waiting_since_ms: float = 0.0  # since when at least one waits


class HealthTable:
    """Judges the health of backend servers by the requests of this instance."""

    def __init__(self, thawed_at_ms: Callable[[], float] = lambda: 0.0) -> None:
        """Start without observations.

        `thawed_at_ms` returns when this process last resumed after it had been suspended.
        """
        self._thawed_at_ms = thawed_at_ms
        self._witnesses: dict[BackendServerId, _Witness] = {}

    def _of(self, server_id: BackendServerId) -> _Witness:
        witness = self._witnesses.get(server_id)
        if witness is None:
            witness = self._witnesses[server_id] = _Witness()
        return witness

    def note_sent(self, server_id: BackendServerId) -> None:
        """Record that a request was sent and waits for a byte."""
        witness = self._of(server_id)
        if not witness.waiting:
            witness.waiting_since_ms = now_ms()
        witness.waiting += 1

    def note_done(self, server_id: BackendServerId) -> None:
        """Record that a request no longer waits for anything."""
        witness = self._of(server_id)
        witness.waiting = max(witness.waiting - 1, 0)

    def note_heard(self, server_id: BackendServerId) -> None:
        """Record that a server sent something."""
        self._of(server_id).heard_at_ms = now_ms()

    def heard_at_ms(self, server_id: BackendServerId) -> float:
        """Return when a server last sent anything, 0 if never."""
        witness = self._witnesses.get(server_id)
        return witness.heard_at_ms if witness else 0.0

    def note_event(self, server_id: BackendServerId) -> None:
        """Record part of a good answer, which ends the skipping of a server that has recovered."""
        witness = self._of(server_id)
        witness.heard_at_ms = now_ms()
        if witness.failing <= FAILING_SHARE:
            witness.pass_over_ms = 0.0
            witness.pass_over_until_ms = 0.0

    def note_placed(self, server_id: BackendServerId) -> None:
        """Record that a request will be sent; on a server that failed, it is the only probe."""
        witness = self._of(server_id)
        if witness.pass_over_ms:
            witness.on_trial = True
            witness.pass_over_until_ms = now_ms() + witness.pass_over_ms

    def note_success(self, server_id: BackendServerId) -> None:
        """Record a complete answer."""
        witness = self._of(server_id)
        witness.failing *= 1 - FAILURE_WEIGHT
        witness.pass_over_ms = 0.0
        witness.pass_over_until_ms = 0.0

    def note_failure(self, server_id: BackendServerId, why: str) -> None:
        """Record an answer that failed, broke off or never came."""
        witness = self._of(server_id)
        witness.failing += (1 - witness.failing) * FAILURE_WEIGHT
        if witness.failing > FAILING_SHARE:
            self._pass_over(server_id, witness, why)

    def note_unreachable(self, server_id: BackendServerId) -> None:
        """Record a connection that could not be opened."""
        witness = self._of(server_id)
        witness.failing += (1 - witness.failing) * FAILURE_WEIGHT
        self._pass_over(server_id, witness, "unreachable")

    def note_full(self, server_id: BackendServerId, retry_after_ms: float = 0.0) -> None:
        """Record a refusal because the server is full, and its Retry-After, 0 if it has none."""
        witness = self._of(server_id)
        witness.full_until_ms = now_ms() + FULL_MS
        if retry_after_ms <= 0:
            return
        if not self.backoff_left_ms(server_id):
            log.bind(backend_server=server_id, for_ms=round(retry_after_ms)).info("server_rests")
        # Concurrent refusals may name different waits; the latest end applies.
        witness.backoff_until_ms = max(witness.backoff_until_ms, now_ms() + retry_after_ms)

    def backoff_left_ms(self, server_id: BackendServerId) -> float:
        """Return the remaining time for which a server must get no requests, 0 if there is none."""
        witness = self._witnesses.get(server_id)
        return 0.0 if witness is None else max(witness.backoff_until_ms - now_ms(), 0.0)

    def note_misdirected(self, server_id: BackendServerId) -> None:
        """Record that the address belongs to another server."""
        self._of(server_id).elsewhere_until_ms = now_ms() + MISDIRECTED_MS
        log.bind(backend_server=server_id, for_ms=MISDIRECTED_MS).info("server_misdirected")

    def _pass_over(self, server_id: BackendServerId, witness: _Witness, why: str) -> None:
        if now_ms() < witness.pass_over_until_ms and not witness.on_trial:
            # All streams of an engine that crashes break at once: that counts as one failure in a
            # row.
            return
        longer_ms = min(witness.pass_over_ms * 2, PASS_OVER_LONGEST_MS)
        witness.pass_over_ms = max(longer_ms, PASS_OVER_FIRST_MS)
        witness.pass_over_until_ms = now_ms() + witness.pass_over_ms
        witness.on_trial = False
        log.bind(
            backend_server=server_id,
            why=why,
            failing=round(witness.failing, 2),
            for_ms=witness.pass_over_ms,
        ).info("server_passed_over")

    def note_pace(self, server_id: BackendServerId, took_ms: float, expected_ms: float) -> None:
        """Record a measured time and the expected one."""
        witness = self._of(server_id)
        factor = min(max(took_ms / max(expected_ms, 1.0), PACE_LEAST), PACE_MOST)
        witness.pace = self.pace(server_id) * (1 - PACE_WEIGHT) + factor * PACE_WEIGHT
        witness.pace_at_ms = now_ms()

    def pace(self, server_id: BackendServerId) -> float:
        """Return the time that a server takes relative to the expected one."""
        witness = self._witnesses.get(server_id)
        if witness is None:
            return 1.0
        age = (now_ms() - witness.pace_at_ms) / PACE_HALF_LIFE_MS
        return 1.0 + (witness.pace - 1.0) * 0.5**age

    def failing(self, server_id: BackendServerId) -> float:
        """Return the share of failures."""
        witness = self._witnesses.get(server_id)
        return witness.failing if witness else 0.0

    def is_dark(self, server_id: BackendServerId) -> bool:
        """Tell whether a server with pending requests has sent nothing for too long."""
        witness = self._witnesses.get(server_id)
        return witness is not None and self._is_silent(witness, now_ms())

    def is_elsewhere(self, server_id: BackendServerId) -> bool:
        """Tell whether another server has the address, so that each request would be refused."""
        witness = self._witnesses.get(server_id)
        return witness is not None and now_ms() < witness.elsewhere_until_ms

    def usable(self, server_id: BackendServerId) -> bool:
        """Tell whether a server may be used without reservation."""
        witness = self._witnesses.get(server_id)
        if witness is None:
            return True
        now = now_ms()
        if now < witness.elsewhere_until_ms or now < witness.full_until_ms:
            return False
        return not self._doubts(witness, now)

    def is_doubted(self, server_id: BackendServerId) -> bool:
        """Tell whether a server failed or became unresponsive recently."""
        witness = self._witnesses.get(server_id)
        return witness is not None and self._doubts(witness, now_ms())

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget servers that are gone."""
        now = now_ms()
        self._witnesses = {
            one: kept
            for one, kept in self._witnesses.items()
            # A server whose entry expires and reappears must still be in backoff.
            if one in known or now < kept.backoff_until_ms
        }

    def _doubts(self, witness: _Witness, now: float) -> bool:
        return now < witness.pass_over_until_ms or self._is_silent(witness, now)

    def _is_silent(self, witness: _Witness, now: float) -> bool:
        if not witness.waiting:
            return False
        since_ms = max(witness.heard_at_ms, witness.waiting_since_ms)
        if now - since_ms <= DARK_MS:
            return False
        # What this process could not receive while it was suspended is no silence of the server.
        return now - self._thawed_at_ms() > DARK_MS
