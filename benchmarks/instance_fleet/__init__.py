"""The product's own instances as processes, their callers, and what callers were told against what ran."""

from benchmarks.instance_fleet._callers import Caller, Job, Report
from benchmarks.instance_fleet._fleet import Fleet, InstancePlace
from benchmarks.instance_fleet._shapes import (
    CARVALHO,
    SHAPES,
    OrganisationShape,
    Shape,
    ZoneShape,
    as_body,
    files_of,
    model_file,
    organisations_of,
)
from benchmarks.instance_fleet._verdicts import (
    MUST_BE_ZERO,
    RunSeen,
    collect_runs,
    judge,
    percentiles,
    sent_away_share,
    ttfts,
)

__all__ = [
    "CARVALHO",
    "MUST_BE_ZERO",
    "SHAPES",
    "Caller",
    "Fleet",
    "InstancePlace",
    "Job",
    "OrganisationShape",
    "Report",
    "RunSeen",
    "Shape",
    "ZoneShape",
    "as_body",
    "collect_runs",
    "files_of",
    "judge",
    "model_file",
    "organisations_of",
    "percentiles",
    "sent_away_share",
    "ttfts",
]
