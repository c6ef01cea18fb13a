"""Requests, callers, answers and their outcomes, and tickets."""

from sparline.requests._body import UNKNOWN_LENGTH, RequestBody
from sparline.requests._callers import (
    CallerResult,
    KeyFault,
    KnownCaller,
    PresentedKey,
    RelayedCaller,
    UnknownCaller,
    find_caller,
    find_relayed_caller,
    is_withdrawn,
)
from sparline.requests._ledger import RequestLedger, Ticket, make_ticket, parse_ticket
from sparline.requests._reasons import Reason
from sparline.requests._routed import Prompt, PromptPrefix, RoutedRequest
from sparline.requests._types import (
    COMPLETE,
    Answer,
    AnswerChunk,
    AnswerEnd,
    AnswerHead,
    AnswerPart,
    Length,
    Origin,
    Request,
    TargetKind,
    not_run,
    unknown,
)
from sparline.schema._messages import Outcome

__all__ = [
    "CallerResult",
    "COMPLETE",
    "UNKNOWN_LENGTH",
    "Answer",
    "AnswerChunk",
    "AnswerEnd",
    "AnswerHead",
    "AnswerPart",
    "KeyFault",
    "KnownCaller",
    "Length",
    "Origin",
    "Outcome",
    "PresentedKey",
    "Prompt",
    "PromptPrefix",
    "Reason",
    "RelayedCaller",
    "Request",
    "RequestBody",
    "RequestLedger",
    "RoutedRequest",
    "TargetKind",
    "Ticket",
    "UnknownCaller",
    "find_caller",
    "find_relayed_caller",
    "is_withdrawn",
    "make_ticket",
    "not_run",
    "parse_ticket",
    "unknown",
]
