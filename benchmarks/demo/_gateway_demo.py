"""The demo's second part: the same program on the users' platform, one instance killed."""

import random
import signal
from collections import Counter
from typing import Any

import gevent

from benchmarks.gateway_fleet import GatewayFleet
from benchmarks.gateway_soak import SoakRun

REQUESTS = 200
PAUSE_S = 0.03
KILL_AT = 80


def gateway_demo(seed: int) -> dict[str, Any]:
    """Send requests of every kind, kill one instance midway, and judge."""
    with GatewayFleet() as fleet:
        run = SoakRun(fleet, random.Random(seed))
        for number in range(REQUESTS):
            if number == KILL_AT:
                gateway = fleet.gateways["g3"]
                gateway.signal(signal.SIGKILL)
                gateway.process.wait()
                gateway.start()
            run.send_one()
            gevent.sleep(PAUSE_S)
        run.join()
        broken = run.recover() + run.judge()
        statuses = Counter(one.got.status if one.got else 0 for one in run.records)
    return {
        "gateway_requests": len(run.records),
        "gateway_statuses": dict(sorted(statuses.items())),
        "gateway_broken": broken,
    }
