"""What instances cost: processor time by activity, and the choice of a server by fleet size."""

from benchmarks.cost._choice import choice_cost
from benchmarks.cost._processor_time import cpu

__all__ = ["choice_cost", "cpu"]
