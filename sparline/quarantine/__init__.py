"""Quarantine of requests, and of parts of prompts, that crash the backend servers that run them."""

from sparline.quarantine._crash_table import (
    MIN_QUARANTINE_ENDS,
    CrashChange,
    CrashFact,
    CrashTable,
    FactSource,
    Verdict,
)
from sparline.quarantine._digest import (
    RequestDigest,
    digest_of,
    digest_of_part,
    short_hex,
)
from sparline.quarantine._interrupted_request import InterruptedRequest, ServerKind
from sparline.quarantine._notes import (
    to_crash_fact,
    to_crash_note,
    to_part_fact,
    to_part_note,
)
from sparline.quarantine._part_facts import PartChange, PartFact, QuarantinedPart
from sparline.quarantine._part_table import PartTable
from sparline.quarantine._request_sample import RequestSample, make_sample, sample_of
from sparline.quarantine._server_ends import (
    EndEvidence,
    ProbeResult,
    ServerEndCallbacks,
    ServerEndDetector,
)

__all__ = [
    "MIN_QUARANTINE_ENDS",
    "CrashChange",
    "CrashFact",
    "CrashTable",
    "EndEvidence",
    "FactSource",
    "InterruptedRequest",
    "PartChange",
    "PartFact",
    "PartTable",
    "ProbeResult",
    "QuarantinedPart",
    "RequestDigest",
    "RequestSample",
    "ServerEndCallbacks",
    "ServerEndDetector",
    "ServerKind",
    "Verdict",
    "digest_of",
    "digest_of_part",
    "make_sample",
    "sample_of",
    "short_hex",
    "to_crash_fact",
    "to_crash_note",
    "to_part_fact",
    "to_part_note",
]
