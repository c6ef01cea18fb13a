"""Randomised runs of the product's own instances under faults, judged by ledgers."""

from benchmarks.instance_soak._soak import plan, soak

__all__ = ["plan", "soak"]
