"""How well backend servers are chosen, on drawn deployments in simulated time."""

from benchmarks.choice_simulation._command import POLICIES, DayResult, bound_of, decide, result_of
from benchmarks.choice_simulation._draws import (
    MOST_REQUESTS,
    SHOWN_SEEDS,
    UNSEEN_SEEDS,
    Arrival,
    Draw,
    EngineDraw,
    EngineKind,
    draw_arrivals,
    draw_deployment,
    draw_ranked_work,
    draw_short_work,
)
from benchmarks.choice_simulation._engine import Job, ModelEngine
from benchmarks.choice_simulation._known import Known
from benchmarks.choice_simulation._play import play

__all__ = [
    "MOST_REQUESTS",
    "POLICIES",
    "SHOWN_SEEDS",
    "UNSEEN_SEEDS",
    "Arrival",
    "DayResult",
    "Draw",
    "EngineDraw",
    "EngineKind",
    "Job",
    "Known",
    "ModelEngine",
    "bound_of",
    "decide",
    "draw_arrivals",
    "draw_deployment",
    "draw_ranked_work",
    "draw_short_work",
    "play",
    "result_of",
]
