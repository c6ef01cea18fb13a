"""What one run of a load measured."""

from collections import Counter
from dataclasses import asdict, dataclass
from typing import Any

from benchmarks.instance_fleet import (
    Fleet,
    Report,
    collect_runs,
    judge,
    percentiles,
    sent_away_share,
    ttfts,
)

MS_PER_HOUR = 3_600_000.0
BYTES_PER_GB = 1e9
ENGINE_PRICE_PER_HOUR = 2.0


@dataclass(frozen=True, slots=True)
class Measures:
    """Hold the figures of one run."""

    name: str  # what ran
    sent: int  # requests
    goodput_per_s: float  # complete within the deadline, per second
    short_ttft_p50_ms: float  # time to the first token of short requests
    short_ttft_p95_ms: float  # the same
    short_ttft_p99_ms: float  # the same
    long_ttft_p95_ms: float  # time to the first token of long requests
    total_p50_ms: float  # time to the end of complete answers, all tries
    total_p95_ms: float  # the same
    total_p99_ms: float  # the same
    sent_away: float  # share that ran outside the home region
    prefix_hits: float  # share of prompt tokens found in a cache
    cost_per_1000: float  # engines' busy time and wide-area bytes, per 1000 complete answers
    refusals: dict[str, int]  # by reason
    faults: dict[str, int]  # what must be zero

    def as_json(self) -> dict[str, Any]:
        """Return plain values."""
        return asdict(self)


def measure(name: str, fleet: Fleet, reports: list[Report], seconds: float) -> Measures:
    """Gather the figures of one run from callers, ledgers and metrics."""
    runs = collect_runs(fleet)
    verdict = judge(reports, runs)
    complete = [one for one in reports if one.outcome == "complete"]
    in_time = sum(1 for one in complete if one.total_ms <= one.job.deadline_ms)
    short, long = percentiles(ttfts(reports, "short")), percentiles(ttfts(reports, "long"))
    total = percentiles([one.total_ms for one in complete])
    refusals = Counter(
        f"{one.outcome}/{one.reason}" for one in reports if one.outcome != "complete"
    )
    return Measures(
        name=name,
        sent=len(reports),
        goodput_per_s=round(in_time / seconds, 2),
        short_ttft_p50_ms=short["p50"],
        short_ttft_p95_ms=short["p95"],
        short_ttft_p99_ms=short["p99"],
        long_ttft_p95_ms=long["p95"],
        total_p50_ms=total["p50"],
        total_p95_ms=total["p95"],
        total_p99_ms=total["p99"],
        sent_away=round(sent_away_share(reports, runs), 4),
        prefix_hits=round(_prefix_hits(fleet), 3),
        cost_per_1000=round(_cost(fleet) / max(len(complete), 1) * 1000, 5),
        refusals=dict(refusals),
        faults={
            key: verdict[key]
            for key in ("lost", "doubled", "left_region", "false_not_run", "wrong_tokens")
        },
    )


def _prefix_hits(fleet: Fleet) -> float:
    rows = [
        run
        for one in fleet.backends
        if one.role == "engine"
        for run in (fleet.ledger(one) or {"runs": []})["runs"]
    ]
    tokens = sum(row["prompt_tokens"] for row in rows)
    return sum(row["cached_tokens"] for row in rows) / tokens if tokens else 0.0


def _cost(fleet: Fleet) -> float:
    engines = [one for one in fleet.backends if one.role == "engine"]
    busy_ms = sum((fleet.ledger(one) or {"busy_ms": 0})["busy_ms"] for one in engines)
    sent_bytes = sum(
        sample(fleet.metrics(one), "sparline_wide_area_bytes_total") for one in fleet.instances
    )
    engine_cost = busy_ms / fleet.shape.slots / MS_PER_HOUR * ENGINE_PRICE_PER_HOUR
    return engine_cost + sent_bytes / BYTES_PER_GB * fleet.shape.price_per_gb


def sample(metrics: str, name: str, label: str = "") -> float:
    """Return the sum of a metric's samples whose line holds a label."""
    lines = (line for line in metrics.splitlines() if line.startswith(name) and label in line)
    return sum(float(line.rpartition(" ")[2]) for line in lines)


COLUMNS = (
    ("goodput/s", "goodput_per_s", "8.2f"),
    ("short p50", "short_ttft_p50_ms", "9.1f"),
    ("short p95", "short_ttft_p95_ms", "9.1f"),
    ("short p99", "short_ttft_p99_ms", "9.1f"),
    ("long p95", "long_ttft_p95_ms", "9.1f"),
    ("total p50", "total_p50_ms", "9.1f"),
    ("total p95", "total_p95_ms", "9.1f"),
    ("total p99", "total_p99_ms", "9.1f"),
    ("away", "sent_away", "6.1%"),
    ("hits", "prefix_hits", "6.1%"),
    ("cost/1000", "cost_per_1000", "9.4f"),
)


def print_table(rows: list[Measures]) -> None:
    """Print a row for each run; times are time to first token or total, in milliseconds."""
    print(f"{'run':28} {'sent':>5} " + " ".join(f"{title:>9}" for title, _, _ in COLUMNS))
    for row in rows:
        cells = (f"{format(getattr(row, key), form):>9}" for _, key, form in COLUMNS)
        print(f"{row.name:28} {row.sent:5} " + " ".join(cells))
        print(
            f"{'':28} refused or unknown: {row.refusals or 'none'}; faults: {row.faults if any(row.faults.values()) else 'none'}"
        )
