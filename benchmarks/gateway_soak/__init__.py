"""Randomised runs of gateway processes under faults, judged by callers and servers."""

from benchmarks.gateway_soak._run import SoakRun, gateway_soak

__all__ = ["SoakRun", "gateway_soak"]
