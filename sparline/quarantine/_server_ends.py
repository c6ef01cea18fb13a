"""Detection of whether a backend server that interrupted an answer has exited or still runs.

A refused connection shows a exit at once, and the removal of the store entry shows it later.
When a supervisor keeps the port open and the store has no update, the other connections decide: a
process that exits loses all of them, one that only interrupts an answer keeps them.
"""

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from gevent.event import AsyncResult

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.decisions import (
    EndEvidence,
    InterruptionFacts,
    Liveness,
    ProbeResult,
    counted_exit,
    exit_evidence,
)
from sparline.quarantine._digest import RequestDigest
from sparline.quarantine._interrupted_request import InterruptedRequest

# Timeout of a probe (ms). A server in the own region accepts or refuses a connection within a few
# milliseconds; one that does neither within this time may be unreachable because of a network
# partition.
PROBE_TIMEOUT_MS = 300.0
# A refused probe is reused for this long, for other answers that the server interrupted together (ms).
REFUSAL_TTL_MS = 500.0
# A server whose store entry is removed within this time after an interrupted answer may have exited
# with it (ms): three missed heartbeats and the delay of the store.
MAX_REMOVAL_DELAY_MS = 15_000.0
# Most interrupted answers awaiting a store update about their servers, and most probe results kept.
MAX_UNEXPLAINED = 1_024
# Repeats of a request are watched for this long after an unexplained interrupted answer (ms): callers
# retry within their deadlines.
WATCH_MS = 60_000.0
# Most watched requests, at some 0.15 kB each.
MAX_WATCHED = 1_024


Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class InterruptedAnswer:
    """Represent an interrupted answer that no probe could explain."""

    request: InterruptedRequest  # request that was being answered
    server_id: BackendServerId  # server that interrupted the answer
    interrupted_at_ms: float  # time of the interruption
    liveness: Liveness  # whether the server was known to run when the request was sent


@dataclass(frozen=True, slots=True)
class ServerEndCallbacks:
    """Hold the callbacks of the exit detection."""

    probe: Callable[[Address, float], ProbeResult]  # tries to connect, with a timeout in seconds
    heard_at_ms: Callable[[BackendServerId], float]  # time when a server last sent anything
    note_unreachable: Callable[[BackendServerId], None]  # called when a probe was refused or reset
    on_end: Callable[[BackendServerId, EndEvidence], None]  # called for metrics and logging


class OtherConnection(Protocol):
    """Represent another connection to a server, which shows whether the server still runs."""

    def is_lost(self) -> bool:
        """Return whether the server has closed the connection."""
        ...


class ServerEndDetector:
    """Detect exited servers: at once by their connections, later by the store."""

    def __init__(self, callbacks: ServerEndCallbacks) -> None:
        """Start without any interrupted answer."""
        self._callbacks = callbacks
        self._probes: dict[BackendServerId, AsyncResult] = {}
        self._probe_results: OrderedDict[BackendServerId, tuple[ProbeResult, float]] = OrderedDict()
        self._unexplained: OrderedDict[InterruptedAnswer, None] = OrderedDict()
        self._ended_at_ms: OrderedDict[BackendServerId, float] = OrderedDict()
        self._watched: OrderedDict[RequestDigest, float] = (
            OrderedDict()
        )  # time of the newest interruption

    def probe(
        self, server_id: BackendServerId, address: Address, sent_at_ms: float = 0.0
    ) -> ProbeResult:
        """Probe whether a server that has just interrupted an answer still accepts connections.

        A recent refusal is reused for a request that was sent before it (`sent_at_ms`): a later one
        was accepted, so that something listened again.
        """
        last_result, probed_at_ms = self._probe_results.get(server_id, (ProbeResult.UNKNOWN, 0.0))
        is_recent = now_ms() - probed_at_ms < REFUSAL_TTL_MS
        if last_result is ProbeResult.REFUSED and is_recent and sent_at_ms <= probed_at_ms:
            return last_result
        running = self._probes.get(server_id)
        if running is not None:
            return running.get()
        result = self._probes[server_id] = AsyncResult()
        found = ProbeResult.UNKNOWN
        try:
            found = self._callbacks.probe(address, PROBE_TIMEOUT_MS / 1000)
        finally:
            # Runs also when this greenlet is killed, since others wait for the result.
            del self._probes[server_id]
            result.set(found)
        self._record_probe(server_id, found)
        return found

    def _record_probe(self, server_id: BackendServerId, found: ProbeResult) -> None:
        self._probe_results[server_id] = (found, now_ms())
        if len(self._probe_results) > MAX_UNEXPLAINED:
            self._probe_results.popitem(last=False)
        if found in (ProbeResult.REFUSED, ProbeResult.RESET):
            self._callbacks.note_unreachable(server_id)
        if found is ProbeResult.REFUSED:
            self._note_end(server_id, EndEvidence.REFUSED)

    def _note_end(self, server_id: BackendServerId, evidence: EndEvidence) -> None:
        self._ended_at_ms[server_id] = now_ms()
        self._ended_at_ms.move_to_end(server_id)
        if len(self._ended_at_ms) > MAX_UNEXPLAINED:
            self._ended_at_ms.popitem(last=False)
        self._callbacks.on_end(server_id, evidence)

    def ended_at_ms(self, server_id: BackendServerId) -> float:
        """Return when a server was last found to have exited, 0 if never (ms)."""
        return self._ended_at_ms.get(server_id, 0.0)

    def witnessed_end(
        self,
        server_id: BackendServerId,
        other_connections: Sequence[OtherConnection],
        earlier_exits: int = 0,
    ) -> BackendServerId | None:
        """Return the id under which an exit is counted, None without evidence of one.

        The evidence is that there were other connections and all are lost. The server must have
        answered on each of them since its last known exit. `earlier_exits` is the number of its
        exits known under the request when that was sent.
        """
        closed = tuple(one.is_lost() for one in other_connections)
        if exit_evidence(InterruptionFacts(witnesses_closed=closed)) is None:
            return None
        self._note_end(server_id, EndEvidence.WITNESSED)
        return counted_exit(server_id, EndEvidence.WITNESSED, Liveness.PROVEN, earlier_exits)

    @property
    def has_watched_requests(self) -> bool:
        """Return whether any request is watched, so that digests have to be computed."""
        since = now_ms() - WATCH_MS
        while self._watched and next(iter(self._watched.values())) < since:
            self._watched.popitem(last=False)
        return bool(self._watched)

    def has_unexplained_interruption(self, digest: RequestDigest) -> bool:
        """Return whether an answer to a request was recently interrupted without an explanation."""
        return self._watched.get(digest, 0.0) > now_ms() - WATCH_MS

    def note_complete_answer(self, digest: RequestDigest) -> None:
        """Stop watching a request: a server has answered it completely."""
        self._watched.pop(digest, None)

    def note_interrupted_answer(
        self,
        request: InterruptedRequest,
        server_id: BackendServerId,
        known: Liveness = Liveness.PROVEN,
    ) -> None:
        """Remember an interrupted answer until the store shows whether the server has exited."""
        self._watched[request.digest] = now_ms()
        self._watched.move_to_end(request.digest)
        if len(self._watched) > MAX_WATCHED:
            self._watched.popitem(last=False)
        self._unexplained[InterruptedAnswer(request, server_id, now_ms(), known)] = None
        if len(self._unexplained) > MAX_UNEXPLAINED:
            self._unexplained.popitem(last=False)

    def note_removed(
        self, server_id: BackendServerId, known: Liveness = Liveness.PROVEN
    ) -> list[InterruptedRequest]:
        """Return the requests whose interrupted answers are explained by the removal of a server.

        `known` selects those sent when the server was, or was not, known to run.
        """
        interrupted = [
            one for one in self._unexplained if one.server_id == server_id and one.liveness is known
        ]
        for one in interrupted:
            del self._unexplained[one]
        since = now_ms() - MAX_REMOVAL_DELAY_MS
        heard_at_ms = self._callbacks.heard_at_ms(server_id)
        ended = [
            one.request
            for one in interrupted
            if one.interrupted_at_ms >= since and heard_at_ms < one.interrupted_at_ms
        ]
        if ended and known is Liveness.PROVEN:
            self._note_end(server_id, EndEvidence.GONE)
        return ended
