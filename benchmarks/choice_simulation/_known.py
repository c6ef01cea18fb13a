"""What instances of a simulated region may know as one, to find what ignorance costs."""

from enum import Enum


class Known(Enum):
    """Name a table that all instances of a region share as if they told each other without delay."""

    LOADS = "loads"
    PACES = "paces"
    PAUSES = "pauses"
    CREDIT = "credit"
    DEMAND = "demand"
    STARTS = "starts"
