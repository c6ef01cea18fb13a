"""Quarantine of requests that repeatedly crash the backend servers that run them."""

from sparline.quarantine._crash_table import (
    MIN_QUARANTINE_ENDS,
    CrashChange,
    CrashFact,
    CrashTable,
    FactSource,
    Verdict,
)
from sparline.quarantine._digest import (
    PartDigest,
    RequestDigest,
    digest_of,
    digest_of_part,
    short_hex,
)
from sparline.quarantine._notes import to_crash_fact, to_crash_note
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
    "PartDigest",
    "ProbeResult",
    "RequestDigest",
    "ServerEndCallbacks",
    "ServerEndDetector",
    "Verdict",
    "digest_of",
    "digest_of_part",
    "short_hex",
    "to_crash_fact",
    "to_crash_note",
]
