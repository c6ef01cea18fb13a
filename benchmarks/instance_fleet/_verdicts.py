"""What callers were told, held against what backend servers ran."""

from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.instance_fleet._callers import Report
from benchmarks.instance_fleet._fleet import Fleet

LOWEST_US = 1
HIGHEST_US = 600_000_000
DIGITS = 3
# Names of the results of `judge` that count broken promises.
MUST_BE_ZERO = ("lost", "doubled", "left_region", "false_not_run", "wrong_tokens")


@dataclass(frozen=True, slots=True)
class RunSeen:
    """Hold one run from a backend server's ledger."""

    backend_server: str  # where it ran
    region: str  # region of the backend server
    request_id: str  # id of the request
    finished: bool  # whether it ran to its end
    resume_from: int  # tokens that were made before it


def collect_runs(
    fleet: Fleet, lost_ledgers: dict[str, list[dict[str, Any]]] | None = None
) -> list[RunSeen]:
    """Return every run of every backend server."""
    runs = []
    for backend in fleet.backends:
        ledger = fleet.ledger(backend)
        rows = ledger["runs"] if ledger else (lost_ledgers or {}).get(backend.name, [])
        runs += [
            RunSeen(
                backend.name,
                backend.zone.region,
                row["request_id"],
                row["finished"],
                row["resume_from"],
            )
            for row in rows
        ]
    return runs


def judge(reports: list[Report], runs: list[RunSeen]) -> dict[str, Any]:
    """Count outcomes, and everything that must never be."""
    by_id: dict[str, list[RunSeen]] = defaultdict(list)
    for run in runs:
        by_id[run.request_id].append(run)
    outcomes = Counter(report.outcome for report in reports)
    return {
        "sent": len(reports),
        "complete": outcomes["complete"],
        "not_run": outcomes["not_run"],
        "unknown": outcomes["unknown"],
        "lost": outcomes["lost"] + sum(1 for report in reports if _answer_lost(report, by_id)),
        "doubled": sum(1 for report in reports if _doubled(report, by_id)),
        "left_region": sum(1 for report in reports if _left_region(report, by_id)),
        "false_not_run": sum(1 for report in reports if _falsely_not_run(report, by_id)),
        "wrong_tokens": sum(1 for report in reports if report.faults),
    }


def _answer_lost(report: Report, by_id: dict[str, list[RunSeen]]) -> bool:
    if report.outcome != "complete":
        return False
    return not any(run.finished for run in by_id[report.request_ids[-1]])


def _doubled(report: Report, by_id: dict[str, list[RunSeen]]) -> bool:
    if report.job.repeatable:
        return False
    return sum(len(by_id[request_id]) for request_id in report.request_ids) > 1


def _left_region(report: Report, by_id: dict[str, list[RunSeen]]) -> bool:
    allowed = report.job.organisation.allowed
    return any(run.region not in allowed for one in report.request_ids for run in by_id[one])


def _falsely_not_run(report: Report, by_id: dict[str, list[RunSeen]]) -> bool:
    return any(by_id[request_id] for request_id in report.not_run_ids)


def sent_away_share(reports: list[Report], runs: list[RunSeen]) -> float:
    """Return the share of requests that ran outside their organisation's home region."""
    homes = {
        one: report.job.organisation.home_region for report in reports for one in report.request_ids
    }
    regions = {run.request_id: run.region for run in runs if run.request_id in homes}
    away = sum(1 for request_id, region in regions.items() if region != homes[request_id])
    return away / len(regions) if regions else 0.0


def percentiles(
    values_ms: list[float], points: tuple[float, ...] = (50, 95, 99)
) -> dict[str, float]:
    """Return percentiles in milliseconds, zero where there is no value."""
    histogram = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(int(value_ms * 1000), LOWEST_US))
    return {
        f"p{point:g}": round(histogram.get_value_at_percentile(point) / 1000, 1) for point in points
    }


def ttfts(reports: list[Report], kind: str | None = None) -> list[float]:
    """Return the times to the first token of complete answers."""
    return [
        report.ttft_ms
        for report in reports
        if report.outcome == "complete"
        and report.ttft_ms is not None
        and kind in (None, report.job.kind)
    ]
