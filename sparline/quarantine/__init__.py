"""Quarantine: requests under which one backend server after the other ends are sent nowhere."""

from sparline.quarantine._crash_table import (
    MOST_ENDS,
    CrashChange,
    CrashFact,
    CrashTable,
    Learnt,
    Verdict,
)
from sparline.quarantine._digest import RequestDigest, digest_of, logged

__all__ = [
    "MOST_ENDS",
    "CrashChange",
    "CrashFact",
    "CrashTable",
    "Learnt",
    "RequestDigest",
    "Verdict",
    "digest_of",
    "logged",
]
