"""Routing: load state, and the choice of region, availability zone and backend server."""

from sparline.routing._candidates import (
    CandidateFinder,
    Candidates,
    CandidateVerdict,
    LocalCandidate,
    RemoteCandidate,
    classify_length,
    room_for,
    room_key,
)
from sparline.routing._load_table import BackendState, LoadTable, Reservation
from sparline.routing._policy import (
    Decision,
    EstimatePolicy,
    Policy,
    Refuse,
    RelayToZone,
    RunLocally,
    WaitLocally,
    best_local,
)
from sparline.routing._prefixes import CHARS_PER_TOKEN, PrefixMap, prefix_keys
from sparline.routing._spare_room import SpareCapacity
from sparline.routing._summaries import (
    MAX_RELAYED_WAIT_MS,
    NO_BACKEND_WAIT_MS,
    Reporter,
    SummaryTable,
    SummaryVerdict,
    build_zone_summary,
    wait_for_target,
    with_added_age,
)

__all__ = [
    "CHARS_PER_TOKEN",
    "MAX_RELAYED_WAIT_MS",
    "NO_BACKEND_WAIT_MS",
    "BackendState",
    "CandidateFinder",
    "CandidateVerdict",
    "Candidates",
    "Decision",
    "EstimatePolicy",
    "LoadTable",
    "LocalCandidate",
    "Policy",
    "PrefixMap",
    "Refuse",
    "RelayToZone",
    "RemoteCandidate",
    "Reporter",
    "Reservation",
    "RunLocally",
    "SpareCapacity",
    "SummaryTable",
    "SummaryVerdict",
    "WaitLocally",
    "best_local",
    "build_zone_summary",
    "classify_length",
    "prefix_keys",
    "room_for",
    "room_key",
    "wait_for_target",
    "with_added_age",
]
