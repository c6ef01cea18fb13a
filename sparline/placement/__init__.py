"""Placement: loads, health, caches and the choice of a backend server."""

from sparline.placement._choice import Chooser
from sparline.placement._cold_shares import ColdShares
from sparline.placement._health import HealthTable
from sparline.placement._loads import LoadTable, Reservation
from sparline.placement._pace import PaceTable
from sparline.placement._place_judge import OwnPlace, PlacementTables
from sparline.placement._placement import Doubt, Placement, Refusal
from sparline.placement._prompt_cache import PromptCache, owner_of

__all__ = [
    "Chooser",
    "ColdShares",
    "Doubt",
    "HealthTable",
    "LoadTable",
    "PaceTable",
    "OwnPlace",
    "Placement",
    "PlacementTables",
    "PromptCache",
    "Refusal",
    "Reservation",
    "owner_of",
]
