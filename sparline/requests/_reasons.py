"""Reasons for refusals, retries and unknown outcomes; each has a counter."""

from enum import StrEnum


class Reason(StrEnum):
    """Name why a request was refused or retried, or why its outcome is unknown."""

    NONE = "none"
    # Refused before routing.
    BAD_REQUEST = "bad_request"
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    KEY_WITHDRAWN = "key_withdrawn"
    CONFIGURATION_BEHIND = "configuration_behind"
    UNKNOWN_TARGET = "unknown_target"
    RESIDENCY = "residency"
    STARTING = "starting"
    LEAVING = "leaving"
    NO_ROUTE = "no_route"
    NO_CONFIGURATION = "no_configuration"
    LIMIT = "limit"
    ADMISSION_LEVEL = "admission_level"
    DUPLICATE = "duplicate"
    TICKET_ELSEWHERE = "ticket_elsewhere"
    TICKET_EXPIRED = "ticket_expired"
    # Refused by routing.
    NO_BACKEND = "no_backend"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    ISOLATED = "isolated"
    SOFTWARE_VERSION_GONE = "software_version_gone"
    RETRY_BUDGET = "retry_budget"
    QUARANTINED = "quarantined"
    # Why one attempt did not run.
    CONNECT_FAILED = "connect_failed"
    BACKEND_REFUSED = "backend_refused"
    CANCELLED_UNSTARTED = "cancelled_unstarted"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_NO_ROOM = "peer_no_room"
    PEER_ISOLATED = "peer_isolated"
    PEER_NO_GRANT = "peer_no_grant"
    PEER_NOT_RUN = "peer_not_run"
    MISDIRECTED = "misdirected"
    # Why the outcome of an attempt is unknown.
    BROKEN_BEFORE_ANSWER = "broken_before_answer"
    BROKEN_IN_ANSWER = "broken_in_answer"
    PEER_LOST = "peer_lost"
    PEER_OTHER_VERSION = "peer_other_version"
    CALLER_GONE = "caller_gone"
    BACKEND_FAILED = "backend_failed"
    BACKEND_SILENT = "backend_silent"
    ROUTE_TIMEOUT = "route_timeout"
