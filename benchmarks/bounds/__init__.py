"""The operators' bounds, held against gateway processes: repeats, cold, leaving and crashing servers."""

from benchmarks.bounds._command import SITUATION_NAMES, bounds
from benchmarks.bounds._rules import RepeatRule, SeenArrival, SentRequest, worst_repeat_window

__all__ = [
    "SITUATION_NAMES",
    "RepeatRule",
    "SeenArrival",
    "SentRequest",
    "bounds",
    "worst_repeat_window",
]
