"""What control costs a node by the number of nodes, and the capacity page that follows from it."""

from benchmarks.control._experiment import control

__all__ = ["control"]
