"""Request forwarding: attempts, retries, stream resumption and relaying through peers."""

from sparline.forwarding._answer_origin import AnswerOrigin
from sparline.forwarding._attempt_types import (
    AttemptDependencies,
    AttemptEnd,
    AttemptResult,
    InterruptedAttempt,
    Progress,
    UnframedEnd,
)
from sparline.forwarding._caller_answer import CallerAnswer
from sparline.forwarding._events import MAX_ID_DIGITS, EventOutOfOrder, EventSplitter
from sparline.forwarding._forwarder import (
    Forwarder,
    ForwarderDependencies,
)
from sparline.forwarding._request_crashes import CrashTables
from sparline.forwarding._request_end import RequestEnd, reject_quarantined
from sparline.forwarding._retry_window import RetryRule, RetryUsage, RetryWindow
from sparline.forwarding._wire import (
    AnswerKind,
    AnswerMeaning,
    AttemptParameters,
    BackendWire,
    IdMatch,
    OwnAnswer,
    Wire,
)
from sparline.forwarding._witnesses import answers_presence_check

__all__ = [
    "MAX_ID_DIGITS",
    "AnswerKind",
    "AnswerMeaning",
    "AnswerOrigin",
    "AttemptDependencies",
    "AttemptEnd",
    "AttemptParameters",
    "AttemptResult",
    "BackendWire",
    "CallerAnswer",
    "CrashTables",
    "EventOutOfOrder",
    "EventSplitter",
    "Forwarder",
    "ForwarderDependencies",
    "IdMatch",
    "InterruptedAttempt",
    "OwnAnswer",
    "Progress",
    "RequestEnd",
    "RetryRule",
    "RetryUsage",
    "RetryWindow",
    "UnframedEnd",
    "Wire",
    "answers_presence_check",
    "reject_quarantined",
]
