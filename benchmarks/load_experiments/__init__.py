"""Loads on the product's own instances, what they measured, and the routings to compare with."""

from benchmarks.load_experiments._baselines import POLICIES
from benchmarks.load_experiments._limits import limits
from benchmarks.load_experiments._load import Mix, callers_by_region, make_job, run_load
from benchmarks.load_experiments._measures import sample
from benchmarks.load_experiments._routing import overload, peak, region_loss, routing, slow_link
from benchmarks.load_experiments._serve import serve

__all__ = [
    "POLICIES",
    "Mix",
    "callers_by_region",
    "limits",
    "make_job",
    "overload",
    "peak",
    "region_loss",
    "routing",
    "run_load",
    "sample",
    "serve",
    "slow_link",
]
