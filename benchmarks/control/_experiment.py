"""Experiment on control: bytes, messages, processor time and memory as each size grows."""

import argparse
import json
import statistics
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, replace

import gevent
import psutil

from benchmarks.control._capacity import print_capacity
from benchmarks.control._rows import NodeRow, Setting
from benchmarks.instance_fleet import (
    CARVALHO,
    Fleet,
    InstancePlace,
    OrganisationShape,
    Shape,
    ZoneShape,
    as_body,
    files_of,
    organisations_of,
)
from benchmarks.load_experiments import Mix, run_load
from sparline._clock import now_ms

SETTLE_S = 4.0
WINDOW_S = 8.0
QUICK_WINDOW_S = 4.0
MB = 1e6
# What one record published for the experiment holds: a file of twenty organisations.
CHANGED_FILE = "organisations/000"


SETTINGS = (
    *(Setting("instances per zone", size, instances=size) for size in (2, 4, 8)),
    *(Setting("regions", size, regions=size) for size in (2, 4, 8, 16)),
    *(Setting("regions, 4 a zone", size, regions=size, instances=4) for size in (4, 8, 16)),
    *(Setting("zones per region", size, zones_per_region=size) for size in (1, 2, 4)),
    *(Setting("replicas per zone", size, replicas=size) for size in (2, 8, 24)),
    *(Setting("organisations", size, organisations=size) for size in (20, 1000, 5000)),
    *(Setting("changes per second", size, changes_per_s=size) for size in (0.0, 1.0, 4.0)),
    *(Setting("requests per second", size, requests_per_s=size, replicas=4) for size in (0.0, 6.0, 12.0)),
)  # fmt: skip
QUICK = ("instances per zone",)


def control(options: argparse.Namespace) -> int:
    """Run every size and fit a line for each variable."""
    window_s = QUICK_WINDOW_S if options.quick else WINDOW_S
    settings = [one for one in SETTINGS if not options.quick or one.variable in QUICK]
    rows = []
    print(
        f"{'variable':20} {'size':>6} {'cpu %':>6} {'worst':>6} {'MB':>6} {'B/s':>8} {'worst':>8} {'msg/s':>6} {'calls/s':>7} {'in force ms':>11}"
    )
    for setting in settings:
        row = _run(setting, window_s)
        rows.append(row)
        print(
            f"{setting.variable:20} {setting.size:6g} {row.cpu_percent:6.2f} {row.cpu_percent_worst:6.2f} {row.rss_mb:6.1f} "
            f"{row.bytes_per_s:8.0f} {row.bytes_per_s_worst:8.0f} {row.messages_per_s:6.1f} {row.platform_calls_per_s:7.2f} {row.in_force_ms:11.0f}",
            flush=True,
        )
    fits = _fits(rows)
    for variable, slopes in fits.items():
        print(
            f"slope by {variable}: "
            + ", ".join(f"{name} {value:.4g}" for name, value in slopes.items())
        )
    if not options.quick:
        print_capacity(rows)
    print(
        json.dumps(
            {
                "experiment": "control",
                "ratio": _ratios(rows),
                "slopes": fits,
                "rows": [_as_json(row) for row in rows],
            }
        )
    )
    return 0


def _run(setting: Setting, window_s: float) -> NodeRow:
    shape = _shape(setting)
    with Fleet(shape, organisations=_organisations(shape, setting), packed=True) as fleet:
        gevent.sleep(SETTLE_S)
        load = gevent.spawn(_load, fleet, setting, window_s) if setting.requests_per_s else None
        before = {place.name: _sample(fleet, place) for place in fleet.instances}
        calls = _platform_calls(fleet)
        began_ms = now_ms()
        in_force_ms = _publish(fleet, setting, window_s)
        gevent.sleep(max(window_s - (now_ms() - began_ms) / 1000, 0))
        elapsed_s = (now_ms() - began_ms) / 1000
        after = {place.name: _sample(fleet, place) for place in fleet.instances}
        calls = (_platform_calls(fleet) - calls) / elapsed_s
        if load:
            load.get()
    return _row(
        setting, [(before[name], after[name]) for name in before], elapsed_s, calls, in_force_ms
    )


def _shape(setting: Setting) -> Shape:
    zones = tuple(
        ZoneShape(
            f"zone-{region}-{zone}", f"region-{region}", setting.replicas, 0, setting.instances
        )
        for region in range(setting.regions)
        for zone in range(setting.zones_per_region)
    )
    # Ten models, as at the size to design for.
    return replace(CARVALHO, zones=zones, more_models=9, slots=4, token_interval_ms=20.0)


def _organisations(shape: Shape, setting: Setting) -> list[OrganisationShape]:
    per_region = -(-setting.organisations // len(shape.regions))
    return organisations_of(shape, per_region)


@dataclass(frozen=True, slots=True)
class _Sample:
    """Hold the counters of one instance at one moment."""

    cpu_s: float  # processor time
    rss_mb: float  # resident memory
    bytes: dict[str, float]  # control bytes by channel
    messages: dict[str, float]  # control messages by channel


def _sample(fleet: Fleet, place: InstancePlace) -> _Sample:
    process = psutil.Process(fleet.process(place.name).pid)
    times = process.cpu_times()
    text = fleet.metrics(place)
    return _Sample(
        cpu_s=times.user + times.system,
        rss_mb=process.memory_info().rss / MB,
        bytes=_by_channel(text, "sparline_control_bytes_total"),
        messages=_by_channel(text, "sparline_control_messages_total"),
    )


def _by_channel(metrics: str, name: str) -> dict[str, float]:
    """Return a counter's sums by channel, in and out together."""
    sums: dict[str, float] = defaultdict(float)
    for line in metrics.splitlines():
        if line.startswith(name):
            channel = line.partition('channel="')[2].partition('"')[0]
            sums[channel] += float(line.rpartition(" ")[2])
    return dict(sums)


def _platform_calls(fleet: Fleet) -> float:
    return float(sum(fleet.platform_calls()["readers"].values()))


def _load(fleet: Fleet, setting: Setting, window_s: float) -> None:
    run_load(fleet, lambda _region, _at: setting.requests_per_s, window_s, Mix(), seed=3)


def _publish(fleet: Fleet, setting: Setting, window_s: float) -> float:
    """Publish changes at the wanted rate; return how long the last took to be everywhere."""
    if not setting.changes_per_s:
        return -1.0
    engines = {one.name: one.model for one in fleet.backends}
    document = files_of(fleet.shape, fleet.organisations, engines)[CHANGED_FILE]
    end_ms = now_ms() + window_s * 1000
    slowest_ms = 0.0
    while now_ms() < end_ms:
        began_ms = now_ms()
        revision = fleet.publish(CHANGED_FILE, as_body(document))
        took_ms = fleet.await_true(_everywhere(fleet, revision), "a change everywhere")
        slowest_ms = max(slowest_ms, took_ms)
        gevent.sleep(max(1 / setting.changes_per_s - (now_ms() - began_ms) / 1000, 0))
    return slowest_ms


def _everywhere(fleet: Fleet, revision: int) -> Callable[[], bool]:
    def done() -> bool:
        statuses = (fleet.status(place) for place in fleet.instances)
        return all(status and status["complete_revision"] >= revision for status in statuses)

    return done


def _row(
    setting: Setting,
    samples: list[tuple[_Sample, _Sample]],
    elapsed_s: float,
    calls_per_s: float,
    in_force_ms: float,
) -> NodeRow:
    cpu = [(after.cpu_s - before.cpu_s) / elapsed_s * 100 for before, after in samples]
    sent = [_rates(before.bytes, after.bytes, elapsed_s) for before, after in samples]
    counted = [_rates(before.messages, after.messages, elapsed_s) for before, after in samples]
    totals = [sum(rates.values()) for rates in sent]
    return NodeRow(
        setting=setting,
        cpu_percent=statistics.fmean(cpu),
        cpu_percent_worst=max(cpu),
        rss_mb=statistics.fmean(after.rss_mb for _, after in samples),
        bytes_per_s=statistics.fmean(totals),
        bytes_per_s_worst=max(totals),
        messages_per_s=statistics.fmean(sum(rates.values()) for rates in counted),
        by_channel=_mean_rates(sent),
        messages_by_channel=_mean_rates(counted),
        platform_calls_per_s=calls_per_s,
        in_force_ms=in_force_ms,
    )


def _rates(before: dict[str, float], after: dict[str, float], elapsed_s: float) -> dict[str, float]:
    return {name: (value - before.get(name, 0.0)) / elapsed_s for name, value in after.items()}


def _mean_rates(rates: list[dict[str, float]]) -> dict[str, float]:
    names = sorted({name for one in rates for name in one})
    return {name: statistics.fmean(one.get(name, 0.0) for one in rates) for name in names}


MEASURED = ("cpu_percent", "rss_mb", "bytes_per_s", "messages_per_s", "platform_calls_per_s")


def _fits(rows: list[NodeRow]) -> dict[str, dict[str, float]]:
    """Return least-squares slopes per unit of each variable, of figures and of channels."""
    fits: dict[str, dict[str, float]] = {}
    for variable in dict.fromkeys(row.setting.variable for row in rows):
        mine = [row for row in rows if row.setting.variable == variable]
        sizes = [row.setting.size for row in mine]
        fits[variable] = {
            name: _slope(sizes, [getattr(row, name) for row in mine]) for name in MEASURED
        }
        for channel in sorted({channel for row in mine for channel in row.by_channel}):
            fits[variable][f"bytes {channel}"] = _slope(
                sizes, [row.by_channel.get(channel, 0.0) for row in mine]
            )
    return fits


def _slope(sizes: list[float], values: list[float]) -> float:
    return round(statistics.linear_regression(sizes, values).slope, 5)


def _ratios(rows: list[NodeRow]) -> dict[str, float]:
    """Return how much bytes grow from the smallest to the largest size of each variable."""
    ratios = {}
    for variable in dict.fromkeys(row.setting.variable for row in rows):
        mine = [row for row in rows if row.setting.variable == variable]
        ratios[f"bytes by {variable}"] = round(
            mine[-1].bytes_per_s / max(mine[0].bytes_per_s, 1), 3
        )
    return ratios


def _as_json(row: NodeRow) -> dict[str, object]:
    return {
        "variable": row.setting.variable,
        "size": row.setting.size,
        **{
            name: round(getattr(row, name), 3)
            for name in (*MEASURED, "cpu_percent_worst", "bytes_per_s_worst", "in_force_ms")
        },
        "by_channel": {channel: round(value, 1) for channel, value in row.by_channel.items()},
        "messages_by_channel": {
            channel: round(value, 2) for channel, value in row.messages_by_channel.items()
        },
    }
