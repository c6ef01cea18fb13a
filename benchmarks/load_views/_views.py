"""Measure what instances know of their region's servers, and what gossip costs, by fleet size.

Instances gossip by the product's own code over a network in memory, on a clock of their own.
Requests come at random to each and go to a random server of the region. The error is the mean over
servers and instances of |known running - true running| as a part of the mean true running; `blind`
is the error of who takes each server for the mean.
"""

import argparse
import heapq
import json
import random
import time
from dataclasses import dataclass
from unittest.mock import patch

from sparline.fleet import ServerLoad
from sparline.tests.fake_fleet import STEP_MS, FakeFleet, region_of, zone_of

# Instances of a region, its servers: a small site, the larger ones of today, and beyond.
SIZES = ((3, 4), (26, 14), (71, 28), (170, 60))
# Instances of each of three regions, servers of each, for the bytes.
FLEETS = ((3, 4), (26, 15), (65, 21), (113, 40))
PER_SERVER = 8.0  # requests that run there in the mean
LASTING_MS = (500.0, 2_000.0)  # how long a request lasts in the mean
SETTLE_MS = 8_000.0
WINDOW_MS = 6_000.0
LOOK_MS = 500.0


@dataclass(frozen=True, slots=True)
class ViewError:
    """Hold how far views are from the truth."""

    error: float  # part of the mean load
    blind: float  # the same, for who knows the mean alone
    age_ms: float  # mean age of what is known
    look_ms: float  # processor time to look all servers up


@dataclass(frozen=True, slots=True)
class GossipCost:
    """Hold what gossip sends."""

    far_bytes_per_s: float  # between regions, of all instances
    far_datagram_bytes: float  # mean size of these
    near_datagram_bytes: float  # mean size inside regions
    zone_bytes_per_s: float  # between availability zones of a region, of all instances
    an_instance_bytes_per_s: float  # in and out of one instance
    an_instance_datagrams_per_s: float  # in and out of one instance


class _Patch:
    """Put values in place for the length of a run, as a test's monkeypatch does."""

    def __init__(self) -> None:
        self._patches: list = []

    def setattr(self, place: object, name: str, value: object, raising: bool = True) -> None:
        one = patch.object(place, name, value, create=not raising)
        one.start()
        self._patches.append(one)

    def undo(self) -> None:
        for one in reversed(self._patches):
            one.stop()


class _Traffic:
    """Let requests come and go at the instances of some regions."""

    def __init__(self, fleet: FakeFleet, lasting_ms: float, unread_tokens: int) -> None:
        self._fleet = fleet
        self._lasting_ms = lasting_ms
        self._unread_tokens = unread_tokens
        self._ips = {
            region: [ip for ip in fleet.instances if region_of(ip) == region]
            for region in fleet.servers
        }
        self._ends: list[tuple[float, str, str]] = []
        self.running = {one: 0 for some in fleet.servers.values() for one in some}

    def step(self) -> None:
        """Let a step's requests end and begin."""
        now_ms = self._fleet.now_ms
        while self._ends and self._ends[0][0] <= now_ms:
            _, ip, server = heapq.heappop(self._ends)
            self.running[server] -= 1
            self._fleet.change_load(ip, server, ServerLoad(-1, -400, 0))
        chance = self._fleet.chance
        for region, servers in self._fleet.servers.items():
            due = len(servers) * PER_SERVER / self._lasting_ms * STEP_MS
            for _ in range(int(due) + (chance.random() < due % 1)):
                ip, server = chance.choice(self._ips[region]), chance.choice(servers)
                self.running[server] += 1
                self._fleet.change_load(ip, server, ServerLoad(1, 400, self._unread_tokens))
                if self._unread_tokens:
                    self._fleet.change_load(ip, server, ServerLoad(0, 0, -self._unread_tokens))
                end_ms = now_ms + chance.expovariate(1 / self._lasting_ms)
                heapq.heappush(self._ends, (end_ms, ip, server))


def _start(sizes: tuple[int, int], regions: str, seed: int) -> FakeFleet:
    instances, servers = sizes
    ips = [f"10.{region}.0.{number}" for region in regions for number in range(instances)]
    seeds = [ip for ip in ips if ip.endswith((".0", ".1"))][:6]
    fleet = FakeFleet(random.Random(seed), seeds)
    fleet.servers = {one: [f"i-{one}{number:07x}" for number in range(servers)] for one in regions}
    for ip in ips:
        fleet.start(ip, region_of(ip), fleet.chance.uniform(0, 250))
    return fleet


def measure_error(sizes: tuple[int, int], lasting_ms: float, seed: int = 1) -> ViewError:
    """Return how far views of one region's servers are from the truth."""
    patches = _Patch()
    fleet = _start(sizes, "a", seed)
    fleet.install(patches)
    try:
        return _measure_error(fleet, lasting_ms)
    finally:
        patches.undo()


def _measure_error(fleet: FakeFleet, lasting_ms: float) -> ViewError:
    fleet.pass_ms(300)
    traffic = _Traffic(fleet, lasting_ms, 0)
    servers = fleet.servers["a"]
    error = blind = total = age = look_s = 0.0
    samples = looks = 0
    for step in range(round((SETTLE_MS + WINDOW_MS) / STEP_MS)):
        fleet.step()
        traffic.step()
        if step * STEP_MS < SETTLE_MS or step % round(LOOK_MS / STEP_MS):
            continue
        mean = sum(traffic.running.values()) / len(servers)
        for one in fleet.chance.sample(
            list(fleet.instances.values()), min(9, len(fleet.instances))
        ):
            began_s = time.perf_counter()
            known = {
                server: one.loads.load_table.load(server) or ServerLoad() for server in servers
            }
            look_s += time.perf_counter() - began_s
            looks += 1
            for server in servers:
                error += abs(known[server].running - traffic.running[server])
                blind += abs(mean - traffic.running[server])
                total += traffic.running[server]
                age += one.loads.load_table.age_ms(server) or 0.0
                samples += 1
    return ViewError(error / total, blind / total, age / samples, 1000 * look_s / looks)


def measure_cost(sizes: tuple[int, int], seed: int = 1) -> GossipCost:
    """Return what gossip between and inside three regions of that size sends."""
    patches = _Patch()
    fleet = _start(sizes, "abc", seed)
    fleet.install(patches)
    near: list[int] = []
    far: list[int] = []
    across: list[int] = []
    carry = fleet.send

    def count(_fleet: FakeFleet, sender: str, receiver: str, data: bytes) -> None:
        (near if region_of(sender) == region_of(receiver) else far).append(len(data))
        if region_of(sender) == region_of(receiver) and zone_of(sender) != zone_of(receiver):
            across.append(len(data))
        carry(sender, receiver, data)

    patches.setattr(FakeFleet, "send", count)
    try:
        fleet.pass_ms(300)
        traffic = _Traffic(fleet, LASTING_MS[1], 300)
        for step in range(round((SETTLE_MS + 3_000) / STEP_MS)):
            if step * STEP_MS == SETTLE_MS:
                near.clear()
                far.clear()
                across.clear()
            fleet.step()
            traffic.step()
    finally:
        patches.undo()
    instances = len(fleet.instances)
    return GossipCost(
        far_bytes_per_s=sum(far) / 3,
        far_datagram_bytes=sum(far) / max(len(far), 1),
        near_datagram_bytes=sum(near) / max(len(near), 1),
        zone_bytes_per_s=sum(across) / 3,
        an_instance_bytes_per_s=2 * (sum(near) + sum(far)) / 3 / instances,
        an_instance_datagrams_per_s=2 * (len(near) + len(far)) / 3 / instances,
    )


def views(options: argparse.Namespace) -> int:
    """Print error, age and cost by fleet size."""
    count = 2 if options.quick else len(SIZES)
    print("instances, servers, lasting ms: error, blind, age ms, ms to look all up")
    rows = []
    for sizes in SIZES[:count]:
        for lasting_ms in LASTING_MS:
            one = measure_error(sizes, lasting_ms, options.seed)
            rows.append([*sizes, lasting_ms, one.error, one.blind, one.age_ms])
            print(
                f"{sizes[0]:4} {sizes[1]:3} {lasting_ms:6.0f}: {one.error:.2f} {one.blind:.2f} "
                f"{one.age_ms:5.0f} {one.look_ms:.3f}",
                flush=True,
            )
    print(
        "instances: KB/s between regions and zones, B a datagram far and near, KB/s and datagrams/s each"
    )
    for sizes in FLEETS[:count]:
        cost = measure_cost(sizes, options.seed)
        print(
            f"{3 * sizes[0]:4}: {cost.far_bytes_per_s / 1000:7.0f} {cost.zone_bytes_per_s / 1000:7.0f} "
            f"{cost.far_datagram_bytes:5.0f} "
            f"{cost.near_datagram_bytes:5.0f} {cost.an_instance_bytes_per_s / 1000:6.1f} "
            f"{cost.an_instance_datagrams_per_s:6.1f}",
            flush=True,
        )
    print(json.dumps({"experiment": "views", "rows": rows}))
    return 0
