"""The command that plays one situation and prints what was seen and what is allowed."""

import argparse
import json
import random
import subprocess
import sys
from collections import Counter
from dataclasses import dataclass

import gevent

from benchmarks.bounds._crashing_part import ENGINE_BACK_S, ENGINES, CrashDraw, CrashingRun
from benchmarks.bounds._release_out_of_step import (
    NEW_ENGINES,
    RELEASE_ENGINES,
    RELEASE_VERSIONS,
    ReleaseDraw,
    ReleaseRun,
)
from benchmarks.bounds._resumption_delays import DelayRun, ResumedWhile
from benchmarks.bounds._rules import Finding
from benchmarks.bounds._run import NORTH, SERVERS, SOUTH, BoundsRun
from benchmarks.bounds._silent_engines import STREAM_ENGINES
from benchmarks.bounds._situations import (
    COLD,
    COLD_START_S,
    SETTLE_S,
    SILENT_ENGINES,
    SITUATIONS,
)
from benchmarks.gateway_fleet import FleetShape, GatewayFleet
from standins import publish

BUSY_LOOP = "while True: pass"
# Situations with engines of their own.
CRASHING_PART = "crashing-part"
RELEASES = {
    "release-out-of-step": ReleaseDraw.make,
    "release-taken-back": ReleaseDraw.taken_back,
}
STREAM_SITUATIONS = (*RELEASES, *(one.value for one in ResumedWhile))
SITUATION_NAMES = (*SITUATIONS, CRASHING_PART, *STREAM_SITUATIONS)


@dataclass(frozen=True, slots=True)
class Played:
    """Hold what was seen in a situation."""

    findings: list[Finding]
    requests: int
    statuses: Counter
    draw: dict[str, object]  # what the seed drew, empty where a situation draws nothing


def bounds(options: argparse.Namespace) -> int:
    """Play one situation and return an exit code."""
    half = options.gateways // 2
    zones = (NORTH,) * (options.gateways - half) + (SOUTH,) * half
    if options.situation == CRASHING_PART:
        shape = FleetShape(zones, ENGINES, False, {}, ENGINE_BACK_S)
    elif options.situation in STREAM_SITUATIONS:
        shape = FleetShape(
            zones,
            RELEASE_ENGINES,
            False,
            RELEASE_VERSIONS,
            later_servers=frozenset(NEW_ENGINES),
            can_be_cut=True,
        )
    elif options.situation == SILENT_ENGINES:
        shape = FleetShape(zones, STREAM_ENGINES, False, {})
    else:
        shape = FleetShape(zones, SERVERS, False)
    busy = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(options.busy)]
    try:
        with GatewayFleet(shape) as fleet:
            played = _play(fleet, options)
            folder = fleet.folder
    finally:
        for process in busy:
            process.kill()
            process.wait()
    result = {
        "situation": options.situation,
        "seed": options.seed,
        "gateways": options.gateways,
        "busy": options.busy,
        "requests": played.requests,
        "statuses": dict(sorted(played.statuses.items())),
        "draw": played.draw,
        "findings": [
            {"what": one.what, "seen": one.seen, "allowed": one.allowed} for one in played.findings
        ],
    }
    is_broken = any(one.is_broken for one in played.findings)
    if is_broken:
        print(f"logs in {folder}", file=sys.stderr)
    print(json.dumps(result))
    return 1 if is_broken else 0


def _play(fleet: GatewayFleet, options: argparse.Namespace) -> Played:
    rng = random.Random(options.seed)
    if options.situation == CRASHING_PART:
        gevent.sleep(SETTLE_S)
        crashing = CrashingRun(fleet, rng, options.rate, CrashDraw.make(rng))
        findings = crashing.play()
        return Played(findings, crashing.number, crashing.statuses, crashing.draw.described())
    if options.situation in STREAM_SITUATIONS:
        gevent.sleep(SETTLE_S)
        streams_run = _streams_run(fleet, rng, options)
        findings = streams_run.play()
        streams = len(streams_run.streams.streams)
        return Played(findings, streams, Counter(), streams_run.described())
    cold = {"cold_start_s": COLD_START_S, "cold_per_s": COLD.per_s}
    publish(fleet.store, 2, plain=cold)
    gevent.sleep(SETTLE_S)
    run = BoundsRun(fleet, rng, options.rate)
    findings = SITUATIONS[options.situation](run)
    return Played(findings, len(run.sent), run.statuses, {})


def _streams_run(
    fleet: GatewayFleet, rng: random.Random, options: argparse.Namespace
) -> ReleaseRun | DelayRun:
    if options.situation in RELEASES:
        draw = RELEASES[options.situation](rng, fleet)
        return ReleaseRun(fleet, rng, options.rate, draw)
    return DelayRun(fleet, rng, options.rate, ResumedWhile(options.situation))
