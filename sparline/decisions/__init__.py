"""Overload decisions as pure functions and state machines, separate from input and output.

Nothing here reads a clock, a socket or a table; the caller passes the facts and the time in.
"""

from sparline.decisions._admission import (
    LONG_PREFILL_RATIO,
    AdmissionFacts,
    RefusalReason,
    refusal_reason,
)
from sparline.decisions._admission_keys import (
    ADJUSTMENT_MS,
    BUCKET_KEYS,
    FLOOR_POSITIONS,
    KEYS_PER_RANK,
    OPEN_LEVEL,
    OPENING_MS,
    POSITIONS,
    admission_key,
    is_admitted,
    is_telling,
    level_retry_after_ms,
)
from sparline.decisions._admission_level import (
    DEMAND_SMOOTHING_MS,
    LevelController,
    RoundReport,
)
from sparline.decisions._crash_evidence import (
    UNPROVEN_EXIT,
    EndEvidence,
    InterruptionFacts,
    Liveness,
    ProbeResult,
    ProcessState,
    counted_exit,
    exit_evidence,
    liveness,
    may_be_shown_later,
    process_state,
)
from sparline.decisions._fair_shares import fair_shares
from sparline.decisions._occupancy import ServerUse, region_occupancy
from sparline.decisions._part_blame import (
    MIN_ANSWERS_BESIDE,
    MIN_BLAMED_EXITS,
    MIN_SUSPECTED_EXITS,
    PartEvidence,
    blame_ms,
    blamed_parts,
    is_suspected,
)
from sparline.decisions._region_refusals import RegionRefusals
from sparline.decisions._return_time import (
    RefusalFacts,
    refusal_retry_after_ms,
    unserved_retry_after_ms,
)
from sparline.decisions._smoothed_rate import SmoothedRate

__all__ = [
    "ADJUSTMENT_MS",
    "BUCKET_KEYS",
    "DEMAND_SMOOTHING_MS",
    "FLOOR_POSITIONS",
    "KEYS_PER_RANK",
    "LONG_PREFILL_RATIO",
    "MIN_ANSWERS_BESIDE",
    "MIN_BLAMED_EXITS",
    "MIN_SUSPECTED_EXITS",
    "OPENING_MS",
    "OPEN_LEVEL",
    "POSITIONS",
    "UNPROVEN_EXIT",
    "AdmissionFacts",
    "EndEvidence",
    "InterruptionFacts",
    "LevelController",
    "Liveness",
    "PartEvidence",
    "ProbeResult",
    "ProcessState",
    "RefusalFacts",
    "RefusalReason",
    "RegionRefusals",
    "RoundReport",
    "ServerUse",
    "SmoothedRate",
    "admission_key",
    "blame_ms",
    "blamed_parts",
    "counted_exit",
    "exit_evidence",
    "fair_shares",
    "is_admitted",
    "is_suspected",
    "is_telling",
    "level_retry_after_ms",
    "liveness",
    "may_be_shown_later",
    "process_state",
    "refusal_reason",
    "refusal_retry_after_ms",
    "region_occupancy",
    "unserved_retry_after_ms",
]
