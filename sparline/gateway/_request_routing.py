"""Routing and admission of one request: where it may run, or its answer if it may not."""

from collections.abc import Callable
from dataclasses import dataclass

from result import Ok

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RequestId
from sparline.decisions import unserved_retry_after_ms
from sparline.fleet import FleetState
from sparline.gateway._admission import AdmissionGate, Admitted, Arrival, NotAdmitted
from sparline.gateway._late_requests import LateRequest
from sparline.gateway._leave_plan import LeavePlan
from sparline.gateway._own_answers import NO_ROUTE_RETRY_AFTER_MS, OwnAnswers
from sparline.gateway._quotas import Quotas
from sparline.gateway._request_log import RequestLog
from sparline.gateway._run_times import RunTimeTable, estimate_key, whole_key
from sparline.http import CallerConnection, HttpRequest
from sparline.placement import PaceTable
from sparline.platform import RequestHead, headers_to_pass
from sparline.quarantine import PartTable
from sparline.requests import (
    CallerResult,
    Origin,
    Reason,
    RoutedRequest,
    find_caller,
    find_relayed_caller,
)
from sparline.routes import Configuration, Organisation, RequestKind, Route, ServiceName

# Deadline assumed for requests without one when they are refused before a route's timeout
# applies (ms).
DEFAULT_DEADLINE_MS = 3_000.0
# Retry delay for callers of an instance that is about to exit (ms): they can use another at once.
LEAVING_RETRY_AFTER_MS = 50.0
# How long after a route's move a request of an instance that does not know it yet still runs at the
# service before (ms). Instances in touch know a version sooner.
MOVED_ROUTE_GRACE_MS = 1_500.0


@dataclass(frozen=True, slots=True)
class _Lookup:
    """Hold what a configuration says of a request."""

    route: Route | None  # its route, None without one
    caller: CallerResult  # its caller, or why there is no known one

    @property
    def is_rejected(self) -> bool:
        """Tell whether the request has no route or no allowed caller."""
        return self.route is None or self.caller.is_err()


@dataclass(frozen=True, slots=True)
class RoutingSources:
    """Bundle what routing asks of other components."""

    fleet: FleetState  # configuration and former ones
    log: RequestLog  # logs decisions on late requests
    pace: PaceTable  # pace of services
    # Returns whether the configuration is the newest; it may block.
    is_configuration_current: Callable[[], bool]
    quotas: Quotas  # quotas of organisations
    admission: AdmissionGate  # admits requests by rank
    parts: PartTable  # parts in quarantine


class RequestRouting:
    """Route and admit requests; answer those that may not run."""

    def __init__(
        self,
        sources: RoutingSources,
        own_answers: OwnAnswers,
        run_times: RunTimeTable,
        leave_plan: Callable[[], LeavePlan | None],
    ) -> None:
        """Create the routing of one instance; `leave_plan` returns None until it leaves."""
        self._fleet = sources.fleet
        self._log = sources.log
        self._pace = sources.pace
        self._is_configuration_current = sources.is_configuration_current
        self._quotas = sources.quotas
        self._admission = sources.admission
        self._parts = sources.parts
        self._own_answers = own_answers
        self._run_times = run_times
        self._leave_plan = leave_plan

    def route(
        self, caller: CallerConnection, http: HttpRequest, marks: RequestHead, origin: Origin
    ) -> RoutedRequest | None:
        """Route and admit a request; return None if it was answered instead."""
        configuration = self._fleet.configuration
        request_id = marks.request_id
        if configuration is None:
            wait_ms = unserved_retry_after_ms(marks.deadline_ms or DEFAULT_DEADLINE_MS)
            self._own_answers.refuse(caller, request_id, origin, Reason.NO_CONFIGURATION, wait_ms)
            return None
        found = self._look_up(configuration, marks, origin)
        if found.is_rejected and self._may_be_allowed_since(marks, origin):
            # One that leaves does not wait for the store: its callers can use another at once.
            if self._leave_plan() is not None or not self._is_configuration_current():
                self._own_answers.refuse_as_behind(caller, request_id)
                return None
            # The check may have brought a newer one.
            configuration = self._fleet.configuration
            assert configuration is not None, "a configuration is only replaced by a newer one"
            found = self._look_up(configuration, marks, origin)
        route = found.route
        if origin is Origin.RELAY and not self._may_run_at_service(configuration, route, marks):
            # The instance that relayed it may have another version and decides on the answer.
            self._own_answers.refuse(
                caller, request_id, origin, Reason.NO_ROUTE, NO_ROUTE_RETRY_AFTER_MS
            )
            return None
        if route is None:
            text = f"expected a route for host {marks.host} and path {marks.path}"
            self._own_answers.reject(caller, request_id, 404, Reason.NO_ROUTE, text)
            return None
        if not self._can_resume(caller, route, marks, origin):
            return None
        if found.caller.is_err():
            self._own_answers.answer_unknown_caller(
                caller, marks, origin, found.caller.unwrap_err()
            )
            return None
        known_caller = found.caller.unwrap()
        if known_caller is not None and not _has_allowed_region(route, known_caller.organisation):
            wait_ms = unserved_retry_after_ms(marks.deadline_ms or DEFAULT_DEADLINE_MS)
            self._own_answers.refuse(caller, request_id, origin, Reason.RESIDENCY, wait_ms)
            return None
        if marks.prompt is not None and not self._parts.is_empty:
            part = self._parts.quarantined_among(marks.prompt.shared_parts())
            if part is not None:
                self._own_answers.reject_quarantined_part(caller, request_id, origin, part)
                return None
        relayed = ServiceName(marks.relay_service) if origin is Origin.RELAY else None
        # A resumed stream goes on at the service that began it.
        began_by = (marks.resumes if route.resumable else None) or request_id
        service = relayed or choose_service(route, began_by)
        if not self._can_complete(request_id, route, service, marks):
            wait_ms = self._leaving_retry_after_ms(route, marks)
            self._own_answers.refuse(caller, request_id, origin, Reason.LEAVING, wait_ms)
            return None
        limit_ms = _limit_ms(route, marks)
        resume_after = marks.resume_after if route.resumable else None
        admitted = Admitted()
        if resume_after is None:
            # The admission level never refuses a stream that has begun.
            decision = self._admission.admit(
                Arrival(http, marks, route, service, known_caller, limit_ms), origin
            )
            if isinstance(decision, NotAdmitted):
                self._own_answers.refuse_not_admitted(caller, origin, decision)
                return None
            admitted = decision
        wait_ms = None
        if origin is Origin.CALLER:
            wait_ms = self._quotas.admit(request_id, known_caller, marks.prompt)
        if wait_ms is not None:
            self._own_answers.refuse(caller, request_id, origin, Reason.LIMIT, wait_ms)
            return None
        return RoutedRequest(
            request_id=request_id,
            route=route,
            service=service,
            method=http.method,
            target=http.target,
            headers=headers_to_pass(http, keys_required=configuration.organisations is not None),
            body=http.take_body(),
            prompt=marks.prompt,
            resume_after=resume_after,
            resumes=marks.resumes if route.resumable else None,
            software_version=marks.relay_software_version if origin is Origin.RELAY else None,
            left_server=marks.relay_left_server if origin is Origin.RELAY else None,
            deadline_at_ms=now_ms() + limit_ms,
            origin=origin,
            configuration_version=configuration.version,
            caller=known_caller,
            admission_key=admitted.key,
            admission_level=admitted.level,
            closed_regions=admitted.closed_regions,
            rank=configuration.rank_of(route, known_caller.organisation if known_caller else None),
        )

    def _can_resume(
        self, caller: CallerConnection, route: Route, marks: RequestHead, origin: Origin
    ) -> bool:
        """Return whether a request begins a stream, or may resume one; otherwise it was answered."""
        if route.resumable and marks.resumes is not None and marks.is_last_event_invalid:
            text = "Last-Event-Id: expected a whole number"
            self._own_answers.reject(caller, marks.request_id, 400, Reason.BAD_REQUEST, text)
            return False
        if marks.resume_after is None or route.resumable or route.kind is not RequestKind.STREAM:
            return True
        # Another version of the configuration may allow it, so that it is not the caller's fault.
        wait_ms = unserved_retry_after_ms(_limit_ms(route, marks))
        self._own_answers.refuse(caller, marks.request_id, origin, Reason.NOT_RESUMED, wait_ms)
        return False

    def _look_up(self, configuration: Configuration, marks: RequestHead, origin: Origin) -> _Lookup:
        route = configuration.find(marks.host, marks.path)
        if route is None:
            return _Lookup(None, Ok(None))
        if origin is Origin.RELAY:
            return _Lookup(route, find_relayed_caller(configuration, route, marks.relay_caller))
        return _Lookup(route, find_caller(configuration, route, marks.key))

    def _may_run_at_service(
        self, configuration: Configuration, route: Route | None, marks: RequestHead
    ) -> bool:
        """Tell whether a relayed request may run at the service that the first instance chose.

        The instance with the newer configuration decides. A stream that has begun goes on at its service.
        """
        if route is None:
            return False
        service = ServiceName(marks.relay_service)
        known = marks.relay_configuration
        if known is None or known >= configuration.version or marks.resume_after is not None:
            return True
        if _names_service(route, service):
            return True
        before = self._fleet.former_configurations.recent(MOVED_ROUTE_GRACE_MS)
        routes = (one.find(marks.host, marks.path) for one in before)
        return any(one is not None and _names_service(one, service) for one in routes)

    def _may_be_allowed_since(self, marks: RequestHead, origin: Origin) -> bool:
        """Tell whether a newer configuration may allow what the one held here rejects for good."""
        if origin is Origin.RELAY:
            # The instance that relayed it decides on the answer.
            return False
        digest = marks.key.digest
        return digest is None or self._fleet.withdrawn_at(digest) is None

    def _can_complete(
        self, request_id: RequestId, route: Route, service: ServiceName, marks: RequestHead
    ) -> bool:
        """Return whether this instance runs long enough to complete a request."""
        plan = self._leave_plan()
        if plan is None:
            return True
        estimated = estimate_key(route, service, marks.prompt is not None)
        request = LateRequest(
            route,
            marks.prompt,
            limit_ms=_limit_ms(route, marks),
            longest_ms=self._run_times.longest_ms(estimated),
            longest_whole_ms=self._run_times.longest_ms(whole_key(route, service)),
            output_token_ms=self._pace.max_output_token_ms(service),
        )
        decision = plan.decide(request)
        self._log.note_late_request(request_id, route, decision)
        return decision.is_accepted

    def _leaving_retry_after_ms(self, route: Route, marks: RequestHead) -> float:
        """Return when a request that this instance refuses may be served by another, or again here."""
        plan = self._leave_plan()
        served_in_ms = plan.served_again_in_ms() if plan is not None else 0.0
        if served_in_ms <= LEAVING_RETRY_AFTER_MS:
            return LEAVING_RETRY_AFTER_MS
        return min(unserved_retry_after_ms(_limit_ms(route, marks)), served_in_ms)


def _limit_ms(route: Route, marks: RequestHead) -> float:
    """Return the time in which a request's caller and its route want it answered."""
    if marks.deadline_ms is None:
        return route.timeout_ms
    return min(route.timeout_ms, marks.deadline_ms)


def _has_allowed_region(route: Route, organisation: Organisation) -> bool:
    """Return whether any region may run an organisation's requests on a route."""
    return (
        not route.allowed_regions
        or not organisation.allowed_regions
        or bool(route.allowed_regions & organisation.allowed_regions)
    )


def _names_service(route: Route, service: ServiceName) -> bool:
    """Tell whether a route sends any of its requests to a service."""
    return any(share.service == service for share in route.shares)


def choose_service(route: Route, request_id: RequestId) -> ServiceName:
    """Choose the service for a request by the weights of the route's shares."""
    if len(route.shares) == 1:
        return route.shares[0].service
    total = sum(share.weight for share in route.shares)
    point = (hash64(f"split/{request_id}") % 1_000_003) / 1_000_003 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service
