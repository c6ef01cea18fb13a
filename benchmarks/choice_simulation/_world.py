"""A deployment in simulated time: its instances, modelled engines and the ways between them."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Generic, Protocol, TypeVar

from benchmarks.choice_simulation._caller import CallerView
from benchmarks.choice_simulation._draws import Draw
from benchmarks.choice_simulation._engine import Job, ModelEngine
from benchmarks.choice_simulation._known import Known
from benchmarks.choice_simulation._time import SimulatedTime
from sparline._cbor import unpack
from sparline._ids import BackendServerId
from sparline.fleet import BackendServer, Datagram, GossipPort, ServerLoad, sum_loads
from sparline.placement import LoadTable

IN_REGION_MS = 0.3
SEEDS_A_REGION = 2

Table = TypeVar("Table")


class Instance(Protocol):
    """Define what the deployment needs of an instance in it."""

    region: str
    loads: LoadTable  # its requests in flight by server
    port: GossipPort  # takes datagrams


InstanceType = TypeVar("InstanceType", bound=Instance)


@dataclass(slots=True)
class World(Generic[InstanceType]):
    """Hold one deployment while it is played."""

    draw: Draw  # what it is
    time: SimulatedTime  # its clock
    engines: dict[str, ModelEngine]  # by id
    servers: list[BackendServer]  # the same, as instances know them
    nodes: dict[str, list[InstanceType]] = field(default_factory=dict)  # instances, by region
    by_ip: dict[str, InstanceType] = field(default_factory=dict)  # the same
    views: list[CallerView] = field(default_factory=list)  # all callers
    known: frozenset[Known] = frozenset()  # what instances share without delay
    choice_seed: int = 0  # seed of what the choice draws at random, beside the deployment's
    tables: dict[tuple[str, Known], object] = field(default_factory=dict)  # these, by region

    def table(self, region: str, name: Known, make: Callable[[], Table]) -> Table:
        """Return a table of one instance, or the one that all of its region share."""
        if name not in self.known:
            return make()
        return self.tables.setdefault((region, name), make())  # type: ignore[return-value]

    def true_load(self, server_id: BackendServerId) -> ServerLoad:
        """Return what all instances of a server's region have at it."""
        region = next(one.region for one in self.servers if one.id == server_id)
        return sum_loads(node.loads.own(server_id) for node in self.nodes[region])

    def way_ms(self, region: str, other: str) -> float:
        """Return the time of a message between two regions."""
        return IN_REGION_MS if region == other else self.draw.one_way_ms

    def ip(self, region: str, number: int) -> str:
        """Return the address of an instance."""
        return f"10.{self.draw.regions.index(region)}.0.{number}"

    def seeds(self) -> list[str]:
        """Return the addresses that instances start from, two of each region."""
        first = range(min(SEEDS_A_REGION, self.draw.instances_a_region))
        return [self.ip(region, number) for region in self.draw.regions for number in first]

    def carry(self, sender: str, receiver: str, data: bytes) -> None:
        """Carry a datagram between instances."""
        to = self.by_ip.get(receiver)
        if to is None or sender not in self.by_ip:
            return
        message = unpack(data, Datagram).unwrap()
        way_ms = self.way_ms(self.by_ip[sender].region, to.region)
        self.time.after(way_ms, lambda: to.port.take(message))

    def start(self, server_id: str, job: Job) -> None:
        """Give an engine a job, and let it step on."""
        engine = self.engines[server_id]
        resting = engine.idle
        engine.add(job)
        if resting:
            self._step(engine)

    def _step(self, engine: ModelEngine) -> None:
        took_ms, end = engine.step()

        def ended() -> None:
            end()
            if not engine.idle:
                self._step(engine)

        self.time.after(took_ms, ended)
