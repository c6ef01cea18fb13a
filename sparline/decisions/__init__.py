"""Overload decisions as pure functions and state machines, separate from input and output.

Nothing here reads a clock, a socket or a table; the caller passes the facts and the time in.
"""

from sparline.decisions._admission import AdmissionFacts, RefusalReason, refusal_reason
from sparline.decisions._crash_evidence import (
    UNPROVEN_EXIT,
    EndEvidence,
    InterruptionFacts,
    Liveness,
    ProbeResult,
    counted_exit,
    exit_evidence,
    liveness,
    may_be_shown_later,
)
from sparline.decisions._fair_shares import DemandSketch, OrganisationDemand, fair_shares
from sparline.decisions._region_refusals import RegionRefusals
from sparline.decisions._return_time import (
    RefusalFacts,
    refusal_retry_after_ms,
    unserved_retry_after_ms,
)

__all__ = [
    "UNPROVEN_EXIT",
    "AdmissionFacts",
    "DemandSketch",
    "EndEvidence",
    "InterruptionFacts",
    "Liveness",
    "OrganisationDemand",
    "ProbeResult",
    "RefusalFacts",
    "RefusalReason",
    "RegionRefusals",
    "counted_exit",
    "exit_evidence",
    "fair_shares",
    "liveness",
    "may_be_shown_later",
    "refusal_reason",
    "refusal_retry_after_ms",
    "unserved_retry_after_ms",
]
