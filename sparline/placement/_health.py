"""What requests show of a backend server: refusals, failures, silence, pace."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline._logging import log

# Weight of one more request in the share of failures: about the last ten count.
FAILURE_WEIGHT = 0.1
# Above this share of failures a server gets next to nothing; one service fails 14% of its
# requests by itself, so the bound lies well above.
FAILING_SHARE = 0.5
# How long a server that failed is passed over (ms), doubled each time in a row.
PASS_OVER_FIRST_MS = 500.0
PASS_OVER_LONGEST_MS = 4_000.0
# A server that says that it is full is passed over this long (ms).
FULL_MS = 150.0
# A server at another's address is gone; the store tells soon (ms).
MISDIRECTED_MS = 5_000.0
# With work under way and no byte for this long, a server is taken for dark (ms): three
# pauses between events are allowed to it.
DARK_MS = 1_200.0
# Weight of one more observed time in the learned pace.
PACE_WEIGHT = 0.2
# The learned pace stays between these factors of what is usual.
PACE_LEAST = 0.5
PACE_MOST = 10.0
# Without new measurements the pace falls back to usual with this half-life (ms).
PACE_HALF_LIFE_MS = 4_000.0


@dataclass(slots=True)
class _Witness:
    """Hold what is known of one server first-hand."""

    failing: float = 0.0  # share of failures, the last ones weigh most
    pass_over_until_ms: float = 0.0  # until when it is used only for want of another
    on_trial: bool = False  # whether one request tries it after that
    full_until_ms: float = 0.0  # until when it is taken to have no room
    backoff_until_ms: float = 0.0  # end of the wait requested through Retry-After
    elsewhere_until_ms: float = 0.0  # until when another server is taken to have its address
    pass_over_ms: float = 0.0  # how long it was passed over the last time
    pace: float = 1.0  # observed time against the expected one
    pace_at_ms: float = 0.0  # when the pace was last measured
    heard_at_ms: float = 0.0  # when it last sent anything
    waiting: int = 0  # requests sent that wait for a byte
    waiting_since_ms: float = 0.0  # since when at least one waits


class HealthTable:
    """Judge backend servers by the requests of this instance."""

    def __init__(self, thawed_at_ms: Callable[[], float] = lambda: 0.0) -> None:
        """Start with no opinion; `thawed_at_ms` tells when this process last stood still."""
        self._thawed_at_ms = thawed_at_ms
        self._witnesses: dict[BackendServerId, _Witness] = {}

    def _of(self, server_id: BackendServerId) -> _Witness:
        witness = self._witnesses.get(server_id)
        if witness is None:
            witness = self._witnesses[server_id] = _Witness()
        return witness

    def note_sent(self, server_id: BackendServerId) -> None:
        """Note that a request went out and waits for a byte."""
        witness = self._of(server_id)
        if not witness.waiting:
            witness.waiting_since_ms = now_ms()
        witness.waiting += 1

    def note_done(self, server_id: BackendServerId) -> None:
        """Note that a request no longer waits for anything."""
        witness = self._of(server_id)
        witness.waiting = max(witness.waiting - 1, 0)

    def note_heard(self, server_id: BackendServerId) -> None:
        """Note that a server sent something."""
        self._of(server_id).heard_at_ms = now_ms()

    def heard_at_ms(self, server_id: BackendServerId) -> float:
        """Return when a server last sent anything, 0 where that was never."""
        witness = self._witnesses.get(server_id)
        return witness.heard_at_ms if witness else 0.0

    def note_event(self, server_id: BackendServerId) -> None:
        """Note a part of a good answer: the server is back if it was passed over."""
        witness = self._of(server_id)
        witness.heard_at_ms = now_ms()
        if witness.failing <= FAILING_SHARE:
            witness.pass_over_ms = 0.0
            witness.pass_over_until_ms = 0.0

    def note_placed(self, server_id: BackendServerId) -> None:
        """Note that a request is about to go out; one that was passed over gets no second yet."""
        witness = self._of(server_id)
        if witness.pass_over_ms:
            witness.on_trial = True
            witness.pass_over_until_ms = now_ms() + witness.pass_over_ms

    def note_success(self, server_id: BackendServerId) -> None:
        """Note a whole answer."""
        witness = self._of(server_id)
        witness.failing *= 1 - FAILURE_WEIGHT
        witness.pass_over_ms = 0.0
        witness.pass_over_until_ms = 0.0

    def note_failure(self, server_id: BackendServerId, why: str) -> None:
        """Note an answer that failed, broke off or never came."""
        witness = self._of(server_id)
        witness.failing += (1 - witness.failing) * FAILURE_WEIGHT
        if witness.failing > FAILING_SHARE:
            self._pass_over(server_id, witness, why)

    def note_unreachable(self, server_id: BackendServerId) -> None:
        """Note a connection that could not be opened."""
        witness = self._of(server_id)
        witness.failing += (1 - witness.failing) * FAILURE_WEIGHT
        self._pass_over(server_id, witness, "unreachable")

    def note_full(self, server_id: BackendServerId, retry_after_ms: float = 0.0) -> None:
        """Note a refusal for want of room and its Retry-After, 0 if it has none."""
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
        """Note that another server has the address."""
        self._of(server_id).elsewhere_until_ms = now_ms() + MISDIRECTED_MS
        log.bind(backend_server=server_id, for_ms=MISDIRECTED_MS).info("server_misdirected")

    def _pass_over(self, server_id: BackendServerId, witness: _Witness, why: str) -> None:
        if now_ms() < witness.pass_over_until_ms and not witness.on_trial:
            # All streams of an engine that ends break at once: that is one failure in a row.
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
        """Compare a measured time with the expected one."""
        witness = self._of(server_id)
        factor = min(max(took_ms / max(expected_ms, 1.0), PACE_LEAST), PACE_MOST)
        witness.pace = self.pace(server_id) * (1 - PACE_WEIGHT) + factor * PACE_WEIGHT
        witness.pace_at_ms = now_ms()

    def pace(self, server_id: BackendServerId) -> float:
        """Return how much longer a server takes than is usual."""
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
        """Tell whether a server with work under way has sent nothing for too long."""
        witness = self._witnesses.get(server_id)
        return witness is not None and self._is_silent(witness, now_ms())

    def is_elsewhere(self, server_id: BackendServerId) -> bool:
        """Tell whether another server has the address, so that each send would be turned away."""
        witness = self._witnesses.get(server_id)
        return witness is not None and now_ms() < witness.elsewhere_until_ms

    def usable(self, server_id: BackendServerId) -> bool:
        """Tell whether nothing speaks against a server."""
        witness = self._witnesses.get(server_id)
        if witness is None:
            return True
        now = now_ms()
        if now < witness.elsewhere_until_ms or now < witness.full_until_ms:
            return False
        return not self._doubts(witness, now)

    def is_doubted(self, server_id: BackendServerId) -> bool:
        """Tell whether a server failed or fell silent lately."""
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
        # What this process did not hear while it stood still is no silence of the server.
        return now - self._thawed_at_ms() > DARK_MS
