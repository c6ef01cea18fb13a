"""Placement of requests: server load, health, prompt caches and the choice of a backend server."""

from sparline.placement._choice import Chooser
from sparline.placement._credit import CreditTable, credit_of
from sparline.placement._demand import DemandTable
from sparline.placement._gap_table import GapTable
from sparline.placement._health import HealthTable
from sparline.placement._loads import LoadTable, Reservation
from sparline.placement._loss_estimator import InstanceLocation, PlacementTables
from sparline.placement._pace import PaceTable
from sparline.placement._placement import Doubt, Placement, Refusal
from sparline.placement._prompt_cache import PromptCache, prefix_owner
from sparline.placement._stream_watch import StreamWatch, WatchTables
from sparline.placement.limits import (
    ColdRequest,
    ColdShares,
    RateShares,
    RefusalLimit,
    RefusalLimitTable,
    ServerLimit,
    ServerLimitShares,
    ServerLimitTable,
)

__all__ = [
    "Chooser",
    "ColdShares",
    "ColdRequest",
    "CreditTable",
    "DemandTable",
    "Doubt",
    "HealthTable",
    "ServerLimitShares",
    "LoadTable",
    "PaceTable",
    "InstanceLocation",
    "GapTable",
    "Placement",
    "PlacementTables",
    "PromptCache",
    "RateShares",
    "Refusal",
    "RefusalLimit",
    "RefusalLimitTable",
    "Reservation",
    "ServerLimit",
    "ServerLimitTable",
    "StreamWatch",
    "WatchTables",
    "credit_of",
    "prefix_owner",
]
