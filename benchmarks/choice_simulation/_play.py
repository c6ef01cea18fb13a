"""Play one day of a simulated deployment."""

from unittest.mock import patch

from loguru import logger

import sparline._clock
from benchmarks.choice_simulation._caller import CallerView
from benchmarks.choice_simulation._draws import Arrival, Draw
from benchmarks.choice_simulation._engine import ModelEngine
from benchmarks.choice_simulation._known import Known
from benchmarks.choice_simulation._node import ROUND_MS, MakeChooser, Node
from benchmarks.choice_simulation._requests import ENGINES
from benchmarks.choice_simulation._time import SimulatedTime
from benchmarks.choice_simulation._world import World
from sparline._hashing import hash64
from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline.fleet import (
    BackendServer,
    _gossip,
    _gossip_peers,
)

# Instances hear of each other for so long before the first request (ms).
SETTLE_MS = 3_000.0


class _WorldSocket:
    """Stand for the socket of one instance."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._ip = ""

    def bind(self, address: tuple[str, int]) -> None:
        self._ip = address[0]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._world.carry(self._ip, address[0], data)


def play(
    draw: Draw,
    arrivals: list[Arrival],
    make: MakeChooser,
    settle_ms: float = SETTLE_MS,
    known: frozenset[Known] = frozenset(),
    choice_seed: int = 0,
) -> World:
    """Play one day of a deployment; `known` is what instances share without delay.

    With another `choice_seed`, choices draw other servers and ties at the same arrivals.
    """
    time = SimulatedTime()
    held_clock = sparline._clock.time
    sparline._clock.time = time  # type: ignore[assignment]
    logger.disable("sparline")
    try:
        return _played(draw, arrivals, make, time, settle_ms, known, choice_seed)
    finally:
        logger.enable("sparline")
        sparline._clock.time = held_clock


def _played(
    draw: Draw,
    arrivals: list[Arrival],
    make: MakeChooser,
    time: SimulatedTime,
    settle_ms: float,
    known: frozenset[Known],
    choice_seed: int,
) -> World:
    servers = [
        BackendServer(
            id=BackendServerId(f"engine-{number}"),
            service=ENGINES,
            address=("10.9.0.1", number),
            zone=ZoneName(f"{engine.region}-1"),
            region=RegionName(engine.region),
            slots=draw.engine.slots,
            leaving=False,
            cold_until_ms=0.0,
        )
        for number, engine in enumerate(draw.engines)
    ]
    engines = {
        server.id: ModelEngine(draw.engine, engine.speed)
        for server, engine in zip(servers, draw.engines, strict=True)
    }
    world = World(draw, time, engines, servers, known=known, choice_seed=choice_seed)
    with (
        patch.object(_gossip.socket, "socket", lambda *_kind: _WorldSocket(world)),
        patch.object(_gossip_peers, "hash", hash64, create=True),
    ):
        _run(world, arrivals, make, settle_ms)
    return world


def _run(world: World, arrivals: list[Arrival], make: MakeChooser, settle_ms: float) -> None:
    draw, time = world.draw, world.time
    for region in draw.regions:
        world.nodes[region] = [
            Node(world, region, number, make) for number in range(draw.instances_a_region)
        ]
        world.by_ip.update({one.members.own.ip: one for one in world.nodes[region]})
    began_ms = time.now_ms
    for some in world.nodes.values():
        for number, node in enumerate(some):
            time.after(number * ROUND_MS / draw.instances_a_region, node.gossip)
    for arrival in arrivals:
        view = CallerView(arrival, began_ms + settle_ms + arrival.at_ms)
        world.views.append(view)
        node = world.nodes[arrival.region][arrival.instance]
        time.after(settle_ms + arrival.at_ms, lambda to=node, of=view: to.serve(of))
    last_ms = max((one.at_ms for one in arrivals), default=0.0)
    longest_ms = max(kind.deadline_ms for kind in draw.kinds)
    time.run(began_ms + settle_ms + last_ms + longest_ms)
