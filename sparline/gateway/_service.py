"""Serves connections of callers and of peers that relay requests."""

import math
import socket
from collections.abc import Callable

from gevent.socket import socket as GeventSocket

from sparline.fleet import FleetState, StoreCopyTable
from sparline.forwarding import Forwarder
from sparline.gateway._admission import AdmissionGate
from sparline.gateway._connection_bounds import ConnectionBounds
from sparline.gateway._connection_table import ConnectionTable
from sparline.gateway._in_flight import InFlightRequests
from sparline.gateway._leave_plan import LeavePlan
from sparline.gateway._memory_log import MemoryLog
from sparline.gateway._own_answers import OwnAnswers
from sparline.gateway._peer_answers import PeerAnswers
from sparline.gateway._quotas import Quotas
from sparline.gateway._request_log import RequestLog
from sparline.gateway._request_routing import RequestRouting, RoutingSources
from sparline.gateway._run_times import RunTimeTable
from sparline.http import (
    MAX_HEADERS,
    BadRequest,
    CallerConnection,
    CallerGone,
    HttpRequest,
    NoRoom,
    ReadLimits,
    ShortageReason,
)
from sparline.placement import PaceTable
from sparline.platform import parse_request_head
from sparline.quarantine import PartTable
from sparline.requests import Origin, Reason
from sparline.routes import DEFAULT_LIMITS, Configuration

# Idle timeout of persistent connections of peers (ms).
PEER_IDLE_TIMEOUT_MS = 30_000
# Factor applied to the configured idle timeout, so that a caller that reuses a connection just in
# time is still served.
IDLE_TIMEOUT_FACTOR = 1.1
# How long remaining input is read after an error response (s), so that a connection reset does not
# discard the response.
LINGER_S = 0.5
# Retry delay for a request whose body found no room (ms): room comes back as other requests end.
ROOM_RETRY_AFTER_MS = 1_000.0
SHORTAGE_REASONS = {
    ShortageReason.NO_ROOM: Reason.MEMORY_FULL,
    ShortageReason.STALLED: Reason.BODY_STALLED,
}


class Service:
    """Serve connections: read requests, and pass those that are admitted to a forwarder."""

    def __init__(
        self,
        fleet: FleetState,
        copy: StoreCopyTable,
        request_log: RequestLog,
        pace: PaceTable,
        store_outage_age_ms: Callable[[], float],
        is_configuration_current: Callable[[], bool],
        quotas: Quotas,
        admission: AdmissionGate,
        parts: PartTable,
        bounds: ConnectionBounds,
    ) -> None:
        """Create a service that follows the configuration of a fleet.

        `store_outage_age_ms` returns the time since the store's last outage ended.
        `is_configuration_current` returns whether its configuration is the newest; it may block.
        """
        self.in_flight = InFlightRequests()
        self.run_times = RunTimeTable(self.in_flight)
        self.leave_plan: LeavePlan | None = None  # set once this instance leaves
        self._fleet = fleet
        self._log = request_log
        self.held = bounds.held
        self._bounds = bounds
        self.memory_log = MemoryLog()
        self._own_answers = OwnAnswers(fleet, request_log)
        self._peer_answers = PeerAnswers(
            fleet, copy, self._own_answers, self.run_times, store_outage_age_ms
        )
        self._quotas = quotas
        self._admission = admission
        self._routing = RequestRouting(
            RoutingSources(
                fleet, request_log, pace, is_configuration_current, quotas, admission, parts
            ),
            self._own_answers,
            self.run_times,
            lambda: self.leave_plan,
        )
        self._tables = {
            Origin.CALLER: ConnectionTable(bounds.max_connections, bounds.note_closed),
            Origin.RELAY: ConnectionTable(math.inf, bounds.note_closed),
        }
        # Configuration of the cached read limits.
        self._limits_configuration: Configuration | None = None
        self._read_limits: dict[Origin, ReadLimits] = {}

    def set_forwarders(self, for_callers: Forwarder, for_peers: Forwarder) -> None:
        """Set the forwarders for requests of callers and of peers."""
        self._forwarders = {Origin.CALLER: for_callers, Origin.RELAY: for_peers}

    def serve_caller(self, connection: GeventSocket, _address: object) -> None:
        """Serve a caller's connection until it ends."""
        self._serve(connection, Origin.CALLER)

    def serve_peer(self, connection: GeventSocket, _address: object) -> None:
        """Serve a peer's connection until it ends."""
        self._serve(connection, Origin.RELAY)

    def _serve(self, raw: GeventSocket, origin: Origin) -> None:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller = CallerConnection(raw, self.held)
        table = self._tables[origin]
        if not table.add(caller):
            caller.close()
            return
        try:
            while not caller.closing:
                request = caller.next_request(self._limits(origin))
                if request is None:
                    return
                if isinstance(request, BadRequest):
                    self._own_answers.reject(
                        caller, "", request.status, Reason.BAD_REQUEST, request.text
                    )
                    caller.linger(LINGER_S)
                    return
                if isinstance(request, NoRoom):
                    self._refuse_body(caller, request, origin)
                    caller.linger(LINGER_S)
                    return
                self._answer(caller, request, origin)
        except CallerGone:
            # There is nobody to answer, and the forwarder has recorded the end of the request.
            return
        finally:
            table.discard(caller)
            caller.close()

    def _limits(self, origin: Origin) -> ReadLimits:
        configuration = self._fleet.configuration
        if configuration is not self._limits_configuration:
            self._limits_configuration = configuration
            self._read_limits = {}
        limits = self._read_limits.get(origin)
        if limits is None:
            limits = self._read_limits[origin] = self._make_limits(configuration, origin)
        return limits

    def _make_limits(self, configuration: Configuration | None, origin: Origin) -> ReadLimits:
        limits = configuration.limits if configuration else DEFAULT_LIMITS
        idle_ms = (
            PEER_IDLE_TIMEOUT_MS
            if origin is Origin.RELAY
            else limits.idle_timeout_ms * IDLE_TIMEOUT_FACTOR
        )
        # A peer adds its own headers to those allowed for callers.
        head_factor = 2 if origin is Origin.RELAY else 1
        return ReadLimits(
            max_head_bytes=limits.max_head_bytes * head_factor,
            max_body_bytes=limits.max_body_bytes,
            head_timeout_ms=limits.head_timeout_ms,
            idle_timeout_ms=int(idle_ms),
            body_timeout_ms=self._bounds.body_timeout_ms,
            max_headers=MAX_HEADERS * head_factor,
        )

    def _refuse_body(self, caller: CallerConnection, found: NoRoom, origin: Origin) -> None:
        marks = parse_request_head(found.request)
        request_id = marks.unwrap().request_id if marks.is_ok() else ""
        reason = SHORTAGE_REASONS[found.shortage.reason]
        self._own_answers.refuse_body(caller, request_id, origin, reason, ROOM_RETRY_AFTER_MS)
        self.memory_log.note_refused(request_id, origin, reason, found.shortage)

    def _answer(self, caller: CallerConnection, http: HttpRequest, origin: Origin) -> None:
        if self.leave_plan is not None:
            caller.closing = True
        if origin is Origin.RELAY and self._peer_answers.answer(caller, http):
            return
        marks = parse_request_head(http)
        if marks.is_err():
            self._own_answers.reject(caller, "", 400, Reason.BAD_REQUEST, marks.unwrap_err())
            return
        routed = self._routing.route(caller, http, marks.unwrap(), origin)
        if routed is None:
            return
        self._admission.note_start(routed)
        with self.in_flight.holding(routed):
            sends_left = routed.route.max_backends if origin is Origin.CALLER else 1
            end = self._forwarders[origin].forward(routed, caller, sends_left)
        if end.reason is Reason.NONE:
            self.run_times.note(routed, end.progress.first_at_ms)
        if origin is Origin.CALLER:
            self._quotas.settle(routed, end.progress.runs())
        self._admission.note_end(routed, end)
        version = self._fleet.configuration.version if self._fleet.configuration else 0
        self._log.note_end(routed, end, version)

    def close_idle(self) -> None:
        """Close the connections without a request in flight."""
        for table in self._tables.values():
            for caller in table:
                if caller.is_resting():
                    caller.close()

    def close_all(self) -> None:
        """Close all connections, even with requests in flight."""
        for table in self._tables.values():
            for caller in table:
                caller.close()

    def connection_count(self, origin: Origin) -> int:
        """Return how many connections of callers or of peers are open."""
        return len(self._tables[origin])
