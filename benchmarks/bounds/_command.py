"""The command that plays one situation and prints what was seen and what is allowed."""

import argparse
import json
import random
import subprocess
import sys

import gevent

from benchmarks._gateway_fleet import FleetShape, GatewayFleet
from benchmarks.bounds._run import NORTH, SERVERS, SOUTH, BoundsRun
from benchmarks.bounds._situations import COLD, COLD_START_S, SETTLE_S, SITUATIONS, Finding
from standins import publish

BUSY_LOOP = "while True: pass"


def bounds(options: argparse.Namespace) -> int:
    """Play one situation and return an exit code."""
    half = options.gateways // 2
    shape = FleetShape((NORTH,) * (options.gateways - half) + (SOUTH,) * half, SERVERS, False)
    busy = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(options.busy)]
    try:
        with GatewayFleet(shape) as fleet:
            findings, run = _play(fleet, options)
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
        "requests": len(run.sent),
        "statuses": dict(sorted(run.statuses.items())),
        "findings": [
            {"what": one.what, "seen": one.seen, "allowed": one.allowed} for one in findings
        ],
    }
    is_broken = any(one.is_broken for one in findings)
    if is_broken:
        print(f"logs in {folder}", file=sys.stderr)
    print(json.dumps(result))
    return 1 if is_broken else 0


def _play(fleet: GatewayFleet, options: argparse.Namespace) -> tuple[list[Finding], BoundsRun]:
    cold = {"cold_start_s": COLD_START_S, "cold_per_s": COLD.per_s}
    publish(fleet.store, 2, plain=cold)
    gevent.sleep(SETTLE_S)
    run = BoundsRun(fleet, random.Random(options.seed), options.rate)
    return SITUATIONS[options.situation](run), run
