"""The operators' bounds on repeats, cold and leaving servers, held against gateway processes."""

from benchmarks.bounds._command import bounds
from benchmarks.bounds._rules import RepeatRule, SeenArrival, SentRequest, worst_repeat_window
from benchmarks.bounds._situations import SITUATIONS

__all__ = [
    "SITUATIONS",
    "RepeatRule",
    "SeenArrival",
    "SentRequest",
    "bounds",
    "worst_repeat_window",
]
