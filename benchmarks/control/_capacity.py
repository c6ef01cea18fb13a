"""The size to design for, worked out from measured rows of the control experiment."""

from dataclasses import dataclass

import numpy as np

from benchmarks.control._rows import NodeRow

# The size to design for.
INSTANCES = 340
REPLICAS = 1300
REGIONS = 23
ZONES = 56
ORGANISATIONS = 5000
REQUESTS_PER_S = 960
CHANGES_PER_DAY = 2300
REPLACEMENTS_PER_DAY = 260
SECONDS_PER_DAY = 86_400

# What an instance may spend on control.
CPU_BUDGET_PERCENT = 1.9
MEMORY_BUDGET_MB = 256.0
BYTES_BUDGET_PER_S = 27_000.0

# Default intervals of an instance, which the rates follow from.
HEARTBEATS_PER_S = 2.0
FAR_HEARTBEATS_PER_S = 0.5
SUMMARIES_PER_S = 1 / 3
POLLS_PER_S = 1.0
REPORTS_PER_S = 1.0

FEATURES = ("Heartbeat", "ZoneLoad", "ZoneSummary", "polls", "Records")


@dataclass(frozen=True, slots=True)
class Rates:
    """Hold the messages a second of one node, in and out together."""

    heartbeat: float  # on every link
    zone_load: float  # between siblings
    zone_summary: float  # from every other zone, and passed on
    polls: float  # load reports read from engines
    records: float  # changed files and fleet entries, and passed on
    limit: float  # reports and shares

    def features(self) -> list[float]:
        """Return what processor time is fitted to."""
        return [self.heartbeat, self.zone_load, self.zone_summary, self.polls, self.records]


def design_rates() -> Rates:
    """Return the rates of an average node at the size to design for."""
    siblings = INSTANCES / ZONES - 1
    per_region = INSTANCES / REGIONS
    far_links = 2 * (ZONES / REGIONS - 1) + 2 * (REGIONS - 1) / per_region
    changes = (CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY) / SECONDS_PER_DAY
    # Owners of the limits of a node's active organisations: those of its region, mostly.
    owners = per_region
    return Rates(
        heartbeat=2 * (siblings * HEARTBEATS_PER_S + far_links * FAR_HEARTBEATS_PER_S),
        zone_load=2 * siblings * HEARTBEATS_PER_S,
        # Each summary reaches each node once, and each node once passes on on average.
        zone_summary=2 * (ZONES - 1) * SUMMARIES_PER_S,
        polls=REPLICAS / INSTANCES * POLLS_PER_S,
        records=2 * changes,
        limit=4 * owners * REPORTS_PER_S,
    )


def print_capacity(rows: list[NodeRow]) -> None:
    """Print what a node spends at the size to design for, and the verdicts."""
    idle = [row for row in rows if not row.setting.requests_per_s]
    weights, residual = fit_cpu(idle)
    rates = design_rates()
    cpu = float(weights[0] + np.dot(weights[1:], rates.features()))
    sizes = message_sizes(rows)
    print(
        "processor time, % of a core: "
        + f"{weights[0]:.3f} + "
        + " + ".join(
            f"{weight:.5f} x {name}/s" for weight, name in zip(weights[1:], FEATURES, strict=True)
        )
    )
    print(f"worst error of the fit: {residual:.2f} points over {len(idle)} rows")
    bytes_per_s = print_channels(rates, sizes)
    memory_mb = design_memory_mb(rows)
    print_verdict("processor time, % of a core", cpu, CPU_BUDGET_PERCENT)
    print_verdict("memory, MB", memory_mb, MEMORY_BUDGET_MB)
    print_verdict("bytes/s", bytes_per_s, BYTES_BUDGET_PER_S)
    print(
        f"platform calls/s: {platform_calls_per_s(REGIONS):.2f} at {INSTANCES} instances, {platform_calls_per_s(3):.2f} at 9 in 3 regions (watches of 10 s)"
    )


def platform_calls_per_s(regions: int) -> float:
    """Return calls of a quiet platform: one watch a region, and one for each change."""
    watch_s = 10.0
    changes = (CHANGES_PER_DAY + 2 * REPLACEMENTS_PER_DAY) / SECONDS_PER_DAY
    return regions * (1 / watch_s + changes)


def fit_cpu(rows: list[NodeRow]) -> tuple[np.ndarray, float]:
    """Return least-squares weights of processor time, and the worst error in points."""
    matrix = np.array([[1.0, *_features_of(row)] for row in rows])
    values = np.array([row.cpu_percent for row in rows])
    weights = np.linalg.lstsq(matrix, values, rcond=None)[0]
    return weights, float(np.max(np.abs(matrix @ weights - values)))


def _features_of(row: NodeRow) -> list[float]:
    counts = row.messages_by_channel
    polls = row.setting.replicas / row.setting.instances * POLLS_PER_S
    return [
        counts.get("Heartbeat", 0.0),
        counts.get("ZoneLoad", 0.0),
        counts.get("ZoneSummary", 0.0),
        polls,
        counts.get("Records", 0.0),
    ]


def message_sizes(rows: list[NodeRow]) -> dict[str, float]:
    """Return the mean size of a message by channel where zones are largest."""
    largest = max(rows, key=lambda row: row.setting.replicas)
    sizes = {name: _size(largest, name) for name in ("Heartbeat", "ZoneSummary")}
    sizes["ZoneLoad"] = _zone_load_size(rows)
    sizes["ZoneSummary"] += (INSTANCES / ZONES - largest.setting.instances) * _member_size(rows)
    busiest = max(rows, key=lambda row: row.setting.changes_per_s)
    loaded = max(rows, key=lambda row: row.setting.requests_per_s)
    sizes["Records"] = _size(busiest, "Records")
    for name in ("LimitReport", "LimitShares"):
        sizes[name] = _size(loaded, name)
    return sizes


def _zone_load_size(rows: list[NodeRow]) -> float:
    """Return the size at the reports that a node reads there, from a line over replicas."""
    mine = [row for row in rows if row.setting.variable == "replicas per zone"]
    reads = [row.setting.replicas / row.setting.instances for row in mine]
    slope, base = np.polyfit(reads, [_size(row, "ZoneLoad") for row in mine], 1)
    return float(base + slope * REPLICAS / INSTANCES)


def _member_size(rows: list[NodeRow]) -> float:
    """Return what one more instance of a zone adds to its summary."""
    mine = [row for row in rows if row.setting.variable == "instances per zone"]
    slope, _ = np.polyfit(
        [row.setting.instances for row in mine], [_size(row, "ZoneSummary") for row in mine], 1
    )
    return float(slope)


def _size(row: NodeRow, channel: str) -> float:
    count = row.messages_by_channel.get(channel, 0.0)
    return row.by_channel.get(channel, 0.0) / count if count else 0.0


def print_channels(rates: Rates, sizes: dict[str, float]) -> float:
    """Print messages and bytes of each channel; return the bytes of all."""
    limit_size = (sizes["LimitReport"] + sizes["LimitShares"]) / 2
    table = (
        ("Heartbeat", rates.heartbeat, sizes["Heartbeat"]),
        ("ZoneLoad", rates.zone_load, sizes["ZoneLoad"]),
        ("ZoneSummary", rates.zone_summary, sizes["ZoneSummary"]),
        ("Records", rates.records, sizes["Records"]),
        ("LimitReport and LimitShares", rates.limit, limit_size),
    )
    print(f"{'channel':28} {'messages/s':>10} {'bytes each':>10} {'bytes/s':>9}")
    for name, rate, size in table:
        print(f"{name:28} {rate:10.2f} {size:10.0f} {rate * size:9.0f}")
    return sum(rate * size for _, rate, size in table)


def design_memory_mb(rows: list[NodeRow]) -> float:
    """Return resident memory: the base, records of 5,000 organisations and of the fleet."""
    by_size = {
        row.setting.size: row.rss_mb for row in rows if row.setting.variable == "organisations"
    }
    smallest, largest = min(by_size), max(by_size)
    per_organisation = (by_size[largest] - by_size[smallest]) / (largest - smallest)
    # A fleet entry is no larger than an organisation in memory.
    return by_size[smallest] + per_organisation * (ORGANISATIONS + INSTANCES + REPLICAS)


def print_verdict(name: str, value: float, budget: float) -> None:
    """Print a figure beside its budget."""
    print(f"{name}: {value:.2f} of {budget:g}: {'pass' if value <= budget else 'MISS'}")
