"""Patterns of load at its worst, replayed on simulated deployments of different sizes."""

from benchmarks.load_replay._patterns import (
    SHOWN_SEEDS,
    UNSEEN_SEEDS,
    LoadPattern,
    arrivals_of,
    deployment_of,
    load_patterns,
)
from benchmarks.load_replay._replay import replay, replay_day

__all__ = [
    "SHOWN_SEEDS",
    "UNSEEN_SEEDS",
    "LoadPattern",
    "arrivals_of",
    "deployment_of",
    "load_patterns",
    "replay",
    "replay_day",
]
