"""A randomised run of gateway processes under faults, judged by callers and servers."""

import argparse
import json
import random
import sys
from collections import Counter
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from benchmarks.gateway_fleet import GatewayFleet
from benchmarks.gateway_soak._faults import SoakFaults
from benchmarks.gateway_soak._judge import (
    CRASHING,
    Record,
    crashes_ms,
    judge_crashes,
    judge_records,
    judge_repeats,
)
from benchmarks.gateway_soak._streams import events_wanted, judge_versions, next_try, resume_headers
from sparline._clock import now_ms
from sparline.http import MalformedMessage
from standins import PROMPT

REQUESTS_PER_S = 20.0
# Callers give up after this (s).
CALLER_TIMEOUT_S = 12.0
# After the last fault all must be well within this (s); the users allow 12 to 15.
RECOVERY_S = 15.0
TARGETS = ("/safe/x", "/unsafe/x", "/stream/x", "/once/x", "/home/x")


@dataclass(slots=True)
class SoakRun:
    """Drive requests and faults, and judge."""

    fleet: GatewayFleet
    chance: random.Random
    server_chance: random.Random = field(default_factory=random.Random)
    store_chance: random.Random = field(default_factory=random.Random)
    stream_chance: random.Random = field(default_factory=random.Random)
    resumption_chance: random.Random = field(default_factory=random.Random)
    long_chance: random.Random = field(default_factory=random.Random)
    copy_chance: random.Random = field(default_factory=random.Random)
    records: list[Record] = field(default_factory=list)
    faults: SoakFaults = field(init=False)
    _callers: Pool = field(default_factory=lambda: Pool(200))

    def __post_init__(self) -> None:
        """Share the fleet and the random draws with the faults."""
        self.faults = SoakFaults(
            self.fleet,
            self.chance,
            self.server_chance,
            self.store_chance,
            self.stream_chance,
            self.long_chance,
            self.copy_chance,
            self._ask,
        )

    def drive(self, seconds: float) -> None:
        """Send requests while faults come and go."""
        end_ms = now_ms() + seconds * 1000
        greenlets = self.faults.start(end_ms)
        while now_ms() < end_ms:
            self.send_one()
            gevent.sleep(self.chance.expovariate(REQUESTS_PER_S))
        gevent.joinall(greenlets, raise_error=True)
        self.join()

    def join(self) -> None:
        """Wait for all callers."""
        self._callers.join()

    def send_one(self) -> None:
        """Send a request of some kind to some instance."""
        record = Record(f"r{len(self.records)}", self.chance.choice(TARGETS))
        self.records.append(record)
        self._callers.spawn(self._ask, record, self.chance.choice(sorted(self.fleet.gateways)))

    def _ask(self, record: Record, at: str) -> None:
        caller = None
        try:
            with gevent.Timeout(CALLER_TIMEOUT_S, False):
                caller = self.fleet.caller(at)
                more = PROMPT if record.target in ("/stream/x", "/once/x") else {}
                headers = more | resume_headers(record)
                caller.send(record.target, record.request_id, record.body, **headers)
                record.got = caller.read_events(events_wanted(record, self.resumption_chance))
        except MalformedMessage as error:
            record.malformed = str(error)
            return
        except OSError:
            # The instance is down: nothing was promised.
            return
        finally:
            if caller is not None:
                caller.close()
        self._resume(record)

    def _resume(self, record: Record) -> None:
        """Take up a stream that was not received whole, at some instance."""
        following = next_try(record)
        if following is not None:
            self.records.append(following)
            self._ask(following, self.resumption_chance.choice(sorted(self.fleet.gateways)))

    def recover(self) -> list[str]:
        """Wait until all is well again; return what is not."""
        broken = []
        took_ms = self.fleet.until_ready()
        if took_ms > RECOVERY_S * 1000:
            broken.append(f"ready only after {took_ms:.0f} ms")
        began_ms = now_ms()
        for at in sorted(self.fleet.gateways):
            for target in TARGETS:
                while (status := self._probe(at, target)) != 200:
                    if now_ms() - began_ms > RECOVERY_S * 1000:
                        broken.append(f"{at} answers {target} with {status} after the faults")
                        break
                    gevent.sleep(0.3)
        return broken + self._judge_versions(began_ms + RECOVERY_S * 1000)

    def _judge_versions(self, until_ms: float) -> list[str]:
        """Wait until all instances follow the newest version; return those that don't."""
        while True:
            versions = {name: self.fleet.version_at(name) for name in sorted(self.fleet.gateways)}
            behind = {name: one for name, one in versions.items() if one != self.faults.version}
            if not behind or now_ms() > until_ms:
                break
            gevent.sleep(0.3)
        return [
            f"{name} follows version {one}, confirmed is {self.faults.version}"
            for name, one in behind.items()
        ]

    def _probe(self, at: str, target: str) -> int:
        record = Record(f"r{len(self.records)}", target)
        self.records.append(record)
        self._ask(record, at)
        return record.got.status if record.got else 0

    def judge(self) -> list[str]:
        """Return every promise that was broken."""
        servers = self.fleet.servers
        return [
            *judge_crashes(servers),
            *judge_repeats(self.records, servers),
            *judge_records(self.records, servers),
            *judge_versions(self.records, servers),
        ]


def gateway_soak(options: argparse.Namespace) -> int:
    """Run one seed and return an exit code."""
    with GatewayFleet() as fleet:
        server_chance = random.Random(f"servers/{options.seed}")
        store_chance = random.Random(f"store/{options.seed}")
        stream_chance = random.Random(f"streams/{options.seed}")
        resumption_chance = random.Random(f"resumptions/{options.seed}")
        long_chance = random.Random(f"long/{options.seed}")
        copy_chance = random.Random(f"copies/{options.seed}")
        run = SoakRun(
            fleet,
            random.Random(options.seed),
            server_chance,
            store_chance,
            stream_chance,
            resumption_chance,
            long_chance,
            copy_chance,
        )
        for server in fleet.servers.values():
            server.ends_on = CRASHING
        run.drive(options.seconds)
        broken = run.recover() + run.judge()
        statuses = Counter(one.got.status if one.got else 0 for one in run.records)
        result = {
            "seed": options.seed,
            "requests": len(run.records),
            "resumed": sum(one.resumes is not None for one in run.records),
            "went_on": sum(one.went_on() for one in run.records),
            "statuses": dict(sorted(statuses.items())),
            "faults": sum(run.faults.counts.values()),
            "engines_ended": len(crashes_ms(fleet.servers)),
            "broken": broken[:20],
        }
        if broken:
            print(f"logs in {fleet.folder}: {dict(run.faults.counts)}", file=sys.stderr)
    print(json.dumps(result))
    return 1 if broken else 0
