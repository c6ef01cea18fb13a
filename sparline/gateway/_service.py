"""Serve connections of callers and of peers that relay."""

import socket
from collections.abc import Callable

import msgspec
from gevent.socket import socket as GeventSocket
from result import Result

from sparline._cbor import pack
from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RequestId
from sparline.decisions import unserved_retry_after_ms
from sparline.fleet import FleetState, StoreCopyTable
from sparline.forwarding import Forwarder, OwnAnswer
from sparline.gateway._admission import AdmissionGate, Admitted, Arrival, NotAdmitted
from sparline.gateway._leave_plan import LeavePlan
from sparline.gateway._quotas import Quotas
from sparline.gateway._request_log import RequestLog
from sparline.http import (
    BadRequest,
    CallerConnection,
    CallerGone,
    HttpRequest,
    ReadLimits,
)
from sparline.placement import PaceTable
from sparline.platform import (
    RequestHead,
    headers_to_pass,
    parse_request_head,
    refusal_headers,
    relayed_refusal_headers,
)
from sparline.requests import (
    KnownCaller,
    Origin,
    Reason,
    RoutedRequest,
    UnknownCaller,
    find_caller,
    find_relayed_caller,
)
from sparline.routes import DEFAULT_LIMITS, Configuration, Organisation, Route, ServiceName

# A caller of an instance that has no configuration yet and names no deadline is taken to have so
# much time (ms).
UNNAMED_DEADLINE_MS = 3_000.0
# The first instance of a relayed request that has no route here is to try elsewhere (ms).
NO_ROUTE_RETRY_MS = 500.0
# Callers whose key may be one that this instance has not heard of yet come back after this long (ms):
# instances that are in touch hear of a version within a second or two.
BEHIND_RETRY_MS = 400.0
# Callers of an instance that is about to end go elsewhere at once (ms).
LEAVING_RETRY_MS = 50.0
# Kept connections of peers rest at most this long (ms).
PEER_IDLE_MS = 30_000
# Idle connections are closed this much later than the operators' limit (factor), so that a
# caller that takes one up just in time is served.
IDLE_SLACK = 1.1
# What a caller still sends after a refusal is read for this long (s), so that the refusal is
# not lost with a reset.
LINGER_S = 0.5
# Where peers get copies of the store.
STORE_COPY_TARGET = b"/sparline/store-copy?after="


class Service:
    """Read requests, find their route, and let them be forwarded."""

    def __init__(
        self,
        fleet: FleetState,
        copy: StoreCopyTable,
        request_log: RequestLog,
        pace: PaceTable,
        disturbed_ago_ms: Callable[[], float | None],
        may_be_behind: Callable[[], bool],
        quotas: Quotas,
        admission: AdmissionGate,
    ) -> None:
        """Serve from what is in force.

        `disturbed_ago_ms` tells how long ago the store failed, `may_be_behind` whether a newer
        configuration may be in force elsewhere.
        """
        self.in_flight = 0  # requests that are being answered
        self.leave_plan: LeavePlan | None = None  # once this instance leaves
        self._fleet = fleet
        self._copy = copy
        self._log = request_log
        self._pace = pace
        self._disturbed_ago_ms = disturbed_ago_ms
        self._may_be_behind = may_be_behind
        self._quotas = quotas
        self._admission = admission
        self._open: set[CallerConnection] = set()
        self._limits_of: Configuration | None = None  # configuration that the limits are of
        self._read_limits: dict[Origin, ReadLimits] = {}

    def use(self, for_callers: Forwarder, for_peers: Forwarder) -> None:
        """Name the forwarders of the two kinds of origin."""
        self._forwarders = {Origin.CALLER: for_callers, Origin.RELAY: for_peers}

    def serve_caller(self, connection: GeventSocket, _address: object) -> None:
        """Serve a caller's connection until it ends."""
        self._serve(connection, Origin.CALLER)

    def serve_peer(self, connection: GeventSocket, _address: object) -> None:
        """Serve a peer's connection until it ends."""
        self._serve(connection, Origin.RELAY)

    def _serve(self, raw: GeventSocket, origin: Origin) -> None:
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        caller = CallerConnection(raw)
        self._open.add(caller)
        try:
            while not caller.closing:
                request = caller.next_request(self._limits(origin))
                if request is None:
                    return
                if isinstance(request, BadRequest):
                    self._reject(caller, "", request.status, Reason.BAD_REQUEST, request.text)
                    caller.linger(LINGER_S)
                    return
                self._answer(caller, request, origin)
        except CallerGone:
            # Nobody is left to answer; what was under way has been noted where it ended.
            return
        finally:
            self._open.discard(caller)
            caller.close()

    def _limits(self, origin: Origin) -> ReadLimits:
        configuration = self._fleet.configuration
        if configuration is not self._limits_of:
            self._limits_of = configuration
            self._read_limits = {}
        held = self._read_limits.get(origin)
        if held is None:
            held = self._read_limits[origin] = self._make_limits(configuration, origin)
        return held

    def _make_limits(self, configuration: Configuration | None, origin: Origin) -> ReadLimits:
        limits = configuration.limits if configuration else DEFAULT_LIMITS
        idle_ms = PEER_IDLE_MS if origin is Origin.RELAY else limits.idle_timeout_ms * IDLE_SLACK
        # A peer adds headers of its own to those that the caller was allowed.
        head_bytes = limits.max_head_bytes * (2 if origin is Origin.RELAY else 1)
        return ReadLimits(head_bytes, limits.max_body_bytes, limits.head_timeout_ms, int(idle_ms))

    def _answer(self, caller: CallerConnection, http: HttpRequest, origin: Origin) -> None:
        if self.leave_plan is not None:
            caller.closing = True
        if origin is Origin.RELAY and http.target.startswith(STORE_COPY_TARGET):
            self._answer_copy(caller, http)
            return
        marks = parse_request_head(http)
        if marks.is_err():
            self._reject(caller, "", 400, Reason.BAD_REQUEST, marks.unwrap_err())
            return
        routed = self._route(caller, http, marks.unwrap(), origin)
        if routed is None:
            return
        self._admission.note_start(routed)
        self.in_flight += 1
        try:
            sends_left = routed.route.max_backends if origin is Origin.CALLER else 1
            end = self._forwarders[origin].forward(routed, caller, sends_left)
        finally:
            self.in_flight -= 1
        if origin is Origin.CALLER:
            self._quotas.settle(routed, end.progress.runs())
        self._admission.note_end(routed, end)
        version = self._fleet.configuration.version if self._fleet.configuration else 0
        self._log.note_end(routed, end, version)

    def _route(
        self, caller: CallerConnection, http: HttpRequest, marks: RequestHead, origin: Origin
    ) -> RoutedRequest | None:
        """Return the request with its route; None once it is answered."""
        configuration = self._fleet.configuration
        request_id = marks.request_id
        if configuration is None:
            wait_ms = unserved_retry_after_ms(marks.deadline_ms or UNNAMED_DEADLINE_MS)
            self._refuse(caller, request_id, origin, Reason.NO_CONFIGURATION, wait_ms)
            return None
        route = configuration.find(marks.host, marks.path)
        if route is None and origin is Origin.RELAY:
            # The first instance may hold another version; it decides what to answer.
            self._refuse(caller, request_id, origin, Reason.NO_ROUTE, NO_ROUTE_RETRY_MS)
            return None
        if route is None:
            text = f"expected a route for host {marks.host} and path {marks.path}"
            self._reject(caller, request_id, 404, Reason.NO_ROUTE, text)
            return None
        whose = self._whose(configuration, route, marks, origin)
        if whose.is_err():
            self._turn_away(caller, marks, origin, whose.unwrap_err())
            return None
        known = whose.unwrap()
        if known is not None and not _has_home(route, known.organisation):
            wait_ms = unserved_retry_after_ms(marks.deadline_ms or UNNAMED_DEADLINE_MS)
            self._refuse(caller, request_id, origin, Reason.RESIDENCY, wait_ms)
            return None
        relayed = ServiceName(marks.relay_service) if origin is Origin.RELAY else None
        service = relayed or choose_service(route, request_id)
        if not self._has_time(route, service, marks):
            self._refuse(caller, request_id, origin, Reason.LEAVING, LEAVING_RETRY_MS)
            return None
        limit_ms = route.timeout_ms
        if marks.deadline_ms is not None:
            limit_ms = min(limit_ms, marks.deadline_ms)
        resume_after = marks.resume_after if route.resumable else None
        admitted = Admitted()
        if resume_after is None:
            # A stream that has begun is never refused by the level.
            decision = self._admission.admit(
                Arrival(http, marks, route, service, known, limit_ms), origin
            )
            if isinstance(decision, NotAdmitted):
                self._answer_not_admitted(caller, origin, decision)
                return None
            admitted = decision
        wait_ms = None
        if origin is Origin.CALLER:
            wait_ms = self._quotas.admit(request_id, known, marks.prompt)
        if wait_ms is not None:
            self._refuse(caller, request_id, origin, Reason.LIMIT, wait_ms)
            return None
        return RoutedRequest(
            request_id=request_id,
            route=route,
            service=service,
            method=http.method,
            target=http.target,
            headers=headers_to_pass(http, keys_required=configuration.organisations is not None),
            body=bytes(http.body),
            prompt=marks.prompt,
            resume_after=resume_after,
            deadline_at_ms=now_ms() + limit_ms,
            origin=origin,
            caller=known,
            admission_key=admitted.key,
            admission_level=admitted.level,
            closed_regions=admitted.closed_regions,
        )

    def _answer_not_admitted(
        self, caller: CallerConnection, origin: Origin, decision: NotAdmitted
    ) -> None:
        """Refuse a request that no allowed region admits; the gate has logged it."""
        headers = relayed_refusal_headers if origin is Origin.RELAY else refusal_headers
        # An instance that relayed it need not ask another one of this region.
        answer = OwnAnswer(False, decision.retry_after_ms, is_region_full=True)
        caller.answer(503, headers(answer), b"")
        self._log.count_rejected(Reason.ADMISSION_LEVEL)

    def _whose(
        self, configuration: Configuration, route: Route, marks: RequestHead, origin: Origin
    ) -> Result[KnownCaller | None, UnknownCaller]:
        if origin is Origin.RELAY:
            return find_relayed_caller(configuration, route, marks.relay_caller)
        return find_caller(configuration, route, marks.key)

    def _turn_away(
        self, caller: CallerConnection, marks: RequestHead, origin: Origin, why: UnknownCaller
    ) -> None:
        """Answer a request for which no organisation stands.

        A key that is not known here may be a new one: where a newer configuration may be in force, its
        caller is told to come back, which 401 would not do.
        """
        request_id = marks.request_id
        if origin is Origin.RELAY:
            self._refuse(caller, request_id, origin, why.reason, NO_ROUTE_RETRY_MS)
            return
        if why.reason is Reason.UNKNOWN_KEY and self._may_be_behind():
            self._refuse(caller, request_id, origin, Reason.CONFIGURATION_BEHIND, BEHIND_RETRY_MS)
            return
        text = why.text
        withdrawn_at = self._fleet.withdrawn_at(marks.key.digest) if marks.key.digest else None
        if withdrawn_at is not None:
            text = f"{text}; it was withdrawn by version {withdrawn_at}"
        self._reject(caller, request_id, 401, why.reason, text)

    def _has_time(self, route: Route, service: ServiceName, marks: RequestHead) -> bool:
        """Tell whether this instance stays long enough for a request."""
        if self.leave_plan is None:
            return True
        token_ms = self._pace.max_output_token_ms(service)
        return self.leave_plan.takes(route, marks.prompt, token_ms)

    def _refuse(
        self,
        caller: CallerConnection,
        request_id: str,
        origin: Origin,
        reason: Reason,
        retry_after_ms: float,
    ) -> None:
        headers = relayed_refusal_headers if origin is Origin.RELAY else refusal_headers
        status = 429 if reason is Reason.LIMIT else 503
        caller.answer(status, headers(OwnAnswer(False, retry_after_ms)), b"")
        self._log.note_rejected(request_id, status, reason, "not run")

    def _reject(
        self, caller: CallerConnection, request_id: str, status: int, reason: Reason, text: str
    ) -> None:
        if status not in (401, 404):
            caller.closing = True
        body = text.encode() + b"\n"
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        if status == 401:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        caller.answer(status, headers, body)
        self._log.note_rejected(request_id, status, reason, text)

    def _answer_copy(self, caller: CallerConnection, http: HttpRequest) -> None:
        after = http.target.removeprefix(STORE_COPY_TARGET)
        if not after.isdigit():
            text = f"expected a revision, found {after!r}"
            self._reject(caller, "", 400, Reason.BAD_REQUEST, text)
            return
        ago_ms = self._disturbed_ago_ms()
        copy = msgspec.structs.replace(
            self._copy.since(int(after)),
            disturbed_ago_ms=None if ago_ms is None else round(ago_ms),
        )
        content = pack(copy)
        caller.answer(200, [(b"Content-Type", b"application/cbor")], content)

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way."""
        for caller in list(self._open):
            if caller.is_resting():
                caller.close()

    def close_all(self) -> None:
        """Close every connection, whatever is under way."""
        for caller in list(self._open):
            caller.close()


def _has_home(route: Route, organisation: Organisation) -> bool:
    """Tell whether any region may run an organisation's requests on a route."""
    return (
        not route.allowed_regions
        or not organisation.allowed_regions
        or bool(route.allowed_regions & organisation.allowed_regions)
    )


def choose_service(route: Route, request_id: RequestId) -> ServiceName:
    """Return the service that takes a request, by its share."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = (hash64(f"split/{request_id}") % 1_000_003) / 1_000_003 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
