"""Backend servers that refuse a part of their requests and send each refusal twice."""

import json
import random
from dataclasses import asdict, dataclass, field

import gevent

from benchmarks.bounds._rules import Finding
from benchmarks.bounds._run import NORTH, BoundsRun
from standins import (
    CopyTime,
    RefusalCopies,
    SealedFaults,
    SealedServer,
    evacuate,
    publish,
    published_version,
)

# Its requests run once.
TARGET = "/unsafe/x"
# Time in which all instances follow an evacuation (s), and time of the refusals (s).
SETTLE_S = 4.0
REFUSING_S = 10.0
# Refusals in a row (count), and the time until the next ones begin (s).
REFUSALS = (0, 4)
NEXT_REFUSALS_S = (0.02, 0.2)
# What a seed chooses from.
LATE_SHARES = (0.5, 1.0)
WITHOUT_ID_SHARES = (0.0, 0.5, 1.0)
NOT_RUN_STATUSES = (429, 503)
CONNECTIONS_METRIC = "sparline_connections_total "


@dataclass(frozen=True, slots=True)
class CopyDraw:
    """Say how servers copy their refusals."""

    late_share: float  # share of the copies that come with the next request
    without_id_share: float  # share of the copies without an id

    @classmethod
    def make(cls, chance: random.Random) -> "CopyDraw":
        """Draw the shares."""
        return cls(
            late_share=chance.choice(LATE_SHARES), without_id_share=chance.choice(WITHOUT_ID_SHARES)
        )


@dataclass(slots=True)
class CopyingServers:
    """Let servers refuse a part of their requests."""

    servers: list[SealedServer]
    chance: random.Random
    draw: CopyDraw
    _tasks: list[gevent.Greenlet] = field(default_factory=list)

    def start(self) -> None:
        """Begin to refuse."""
        self._tasks = [
            gevent.spawn(self._refuse_parts, one, random.Random(self.chance.random()))
            for one in self.servers
        ]

    def stop(self) -> None:
        """Refuse nothing more."""
        gevent.killall(self._tasks)
        for server in self.servers:
            server.faults = SealedFaults()

    def _refuse_parts(self, server: SealedServer, chance: random.Random) -> None:
        copies = server.copies = RefusalCopies()
        while True:
            is_late = chance.random() < self.draw.late_share
            copies.time = CopyTime.WITH_NEXT if is_late else CopyTime.AT_ONCE
            copies.without_id = chance.random() < self.draw.without_id_share
            server.faults = SealedFaults(refuse=True, remaining=chance.randint(*REFUSALS))
            gevent.sleep(chance.uniform(*NEXT_REFUSALS_S))

    def refusals(self) -> int:
        """Return how many requests were refused."""
        return sum(len(one.refused_at_ms) for one in self.servers)

    def copies(self) -> int:
        """Return how many refusals were sent twice."""
        return sum(one.copies.sent for one in self.servers if one.copies is not None)


def copied_refusals(run: BoundsRun) -> list[Finding]:
    """Send requests that run once; callers of the north are passed on to the south."""
    draw = CopyDraw.make(run.rng)
    servers = CopyingServers(list(run.fleet.servers.values()), run.rng, draw)
    run.target = TARGET
    publish(run.fleet.store, published_version(run.fleet.store) + 1)
    evacuate(run.fleet.store, NORTH)
    gevent.sleep(SETTLE_S)
    servers.start()
    run.start()
    gevent.sleep(REFUSING_S)
    run.stop()
    servers.stop()
    _print_counts(run, servers)
    assert servers.copies(), "expected copies of refusals, found none"
    return _findings(run)


def _print_counts(run: BoundsRun, servers: CopyingServers) -> None:
    gateways = run.fleet.gateways
    print(json.dumps({
        "refusals": servers.refusals(),
        "copies": servers.copies(),
        "connections": sum(run.fleet.metric_at(one, CONNECTIONS_METRIC) for one in gateways),
        **asdict(servers.draw),
    }))  # fmt: skip


def _findings(run: BoundsRun) -> list[Finding]:
    runs = run.runs()
    twice = [one for one, count in runs.items() if count > 1]
    refused = [one for one, status in run.status_of.items() if status in NOT_RUN_STATUSES]
    false = [one for one in refused if runs[one]]
    return [
        Finding("requests that run once and ran twice", len(twice), 0),
        Finding("requests that ran and were called not run", len(false), 0),
    ]
