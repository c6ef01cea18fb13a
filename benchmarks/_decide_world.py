"""A deployment in simulated time: the real choice, gossip without sockets, modelled engines."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar
from unittest.mock import patch

import msgspec
from loguru import logger

import sparline._clock
from benchmarks._decide_caller import CallerView
from benchmarks._decide_draws import Arrival, Draw, KindDraw
from benchmarks._decide_engine import Job, ModelEngine
from benchmarks._decide_known import Known
from benchmarks._decide_time import SimulatedTime
from sparline._cbor import unpack
from sparline._hashing import hash64
from sparline._ids import BackendServerId, RegionName, RequestId, ZoneName
from sparline.fleet import (
    NO_ADMISSION,
    AdmissionExchange,
    BackendServer,
    CrashExchange,
    Datagram,
    FleetState,
    GossipPort,
    GossipSources,
    LoadExchange,
    LoadSources,
    Member,
    Members,
    QuotaExchange,
    ServerLoad,
    StorePosition,
    UnknownItem,
    _gossip,
    _gossip_peers,
    make_member_note,
    sum_loads,
)
from sparline.placement import (
    Chooser,
    ColdShares,
    CreditTable,
    DemandTable,
    GapTable,
    HealthTable,
    InstanceLocation,
    LoadTable,
    PaceTable,
    Placement,
    PlacementTables,
    PromptCache,
    RateShares,
    Refusal,
    ServerLimitShares,
    ServerLimitTable,
    StreamWatch,
    WatchTables,
)
from sparline.quarantine import CrashTable
from sparline.quotas import NO_TOLERANCE, QuotaLimiter
from sparline.requests import Origin, Prompt, PromptPrefix, RoutedRequest
from sparline.routes import (
    DEFAULT_LIMITS,
    ConfigurationVersion,
    EngineSpec,
    RequestKind,
    Route,
    RouteName,
    Service,
    ServiceName,
    ServiceShare,
    make_configuration,
)
from sparline.schema._gossip import MemberPhase

ENGINES = ServiceName("engines")
IN_REGION_MS = 0.3
ROUND_MS = 250.0
GOSSIP_PORT = 7660
SEEDS_A_REGION = 2
# A request that engines of other regions turned away is tried so often (count).
MOST_TRIES = 3
# A caller comes back so often after a refusal (count).
COMES_BACK = 1

# Instances hear of each other for so long before the first request (ms).
SETTLE_MS = 3_000.0

Table = TypeVar("Table")


MakeChooser = Callable[[InstanceLocation, PlacementTables, random.Random], Chooser]


@dataclass(slots=True)
class World:
    """Hold one deployment while it is played."""

    draw: Draw  # what it is
    time: SimulatedTime  # its clock
    engines: dict[str, ModelEngine]  # by id
    servers: list[BackendServer]  # the same, as instances know them
    nodes: dict[str, list["Node"]] = field(default_factory=dict)  # instances, by region
    by_ip: dict[str, "Node"] = field(default_factory=dict)  # the same
    views: list[CallerView] = field(default_factory=list)  # all callers
    known: frozenset[Known] = frozenset()  # what instances share without delay
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


class _WorldSocket:
    """Stand for the socket of one instance."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._ip = ""

    def bind(self, address: tuple[str, int]) -> None:
        self._ip = address[0]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._world.carry(self._ip, address[0], data)


class Node:
    """Stand for one instance: the real tables and choice, without sockets."""

    def __init__(self, world: World, region: str, number: int, make: MakeChooser) -> None:
        """Build the tables as an instance does."""
        self._world = world
        self.region = region
        ip = world.ip(region, number)
        zone = f"{region}-1"
        self.members = Members(make_member_note(ip, ip, RegionName(region), zone, 1))
        self._set_phase()
        here = [one.id for one in world.servers if one.region == region]
        self.exchange = LoadExchange(
            self.members,
            LoadSources(
                lambda: self.loads.own_in_region(),
                lambda server_id: self.loads.own(server_id),
                list,
                lambda _server_id: False,
                lambda: here,
                self._note_shown,
            ),
        )
        told = world.true_load if Known.LOADS in world.known else self.exchange.load_table.load
        self.loads = LoadTable(RegionName(region), told, self._note_load)
        instances = world.draw.instances_a_region
        sends = 1 if Known.STARTS in world.known else instances
        self._cache = world.table(
            region,
            Known.STARTS,
            lambda: PromptCache(owners_have_cached=False, sharing=lambda: sends),
        )
        self._cache._rng = random.Random(f"cache/{world.draw.seed}/{ip}")
        self.port = GossipPort(
            GOSSIP_PORT,
            world.seeds(),
            self.members,
            self.exchange,
            CrashExchange(CrashTable()),
            QuotaExchange(
                self.members, QuotaLimiter(NO_TOLERANCE, random.Random(ip)), lambda _key: None
            ),
            AdmissionExchange(self.members, NO_ADMISSION),
            GossipSources(
                recent_prefix_uses=self._cache.recent_prefix_uses,
                merge_prefix_uses=self._cache.merge_prefix_uses,
                server_limits=list,
                take_server_limits=lambda _notes: None,
                store_position=lambda: StorePosition(0, 1),
                store_reached=lambda: True,
                configuration_version=lambda: 1,
            ),
        )
        self.port._rng = random.Random(f"gossip/{world.draw.seed}/{ip}")
        self._pace = world.table(region, Known.PACES, PaceTable)
        gaps = world.table(region, Known.PAUSES, GapTable)
        asks = 1 if Known.DEMAND in world.known else instances
        self._watch_tables = WatchTables(self._pace, gaps, self.loads)
        tables = PlacementTables(
            fleet=_fleet_state(world),
            loads=self.loads,
            health=HealthTable(),
            cold=ColdShares(ip, lambda: [ip]),
            limits=ServerLimitShares(
                ServerLimitTable(), RateShares(ip, lambda: [ip], lambda: True)
            ),
            cache=self._cache,
            pace=self._pace,
            gaps=gaps,
            credit=world.table(region, Known.CREDIT, CreditTable),
            demand=world.table(region, Known.DEMAND, DemandTable),
            sharing=lambda: asks,
            peers=self._peers,
            round_trip_ms=lambda other: 2 * world.way_ms(region, other),
            load_age_ms=self.exchange.load_table.age_ms,
            is_doubted_by_region=self.exchange.load_table.is_doubted,
        )
        chance = random.Random(f"{world.draw.seed}/{ip}")
        self._chooser = make(InstanceLocation(RegionName(region), ZoneName(zone)), tables, chance)

    def _note_shown(self, server_id: BackendServerId, log_factor: float) -> None:
        # A table that all share has learned of it already.
        if Known.PACES not in self._world.known:
            self._pace.note_log_factor(server_id, log_factor)

    def _set_phase(self) -> None:
        self.members.own = msgspec.structs.replace(self.members.own, phase=MemberPhase.live)

    def _peers(self, region: RegionName) -> list[Member]:
        return self.members.live(region)

    def _note_load(
        self, server: BackendServer, change: ServerLoad, log_factor: float | None
    ) -> None:
        is_near = server.region == self.region
        self.port.send_immediately(
            self.exchange.note_change(server.id, change, log_factor, is_near)
        )

    def gossip(self) -> None:
        """Tell some instances, then again after a while."""
        self.port.round()
        self._world.time.after(ROUND_MS, self.gossip)

    def serve(self, view: CallerView) -> None:
        """Take a caller's request."""
        kind = view.arrival.kind
        left_ms = view.came_at_ms + kind.deadline_ms - self._world.time.now_ms
        request = _request(view.arrival, left_ms, Origin.CALLER)
        self._try(view, request, frozenset(), 0)

    def _try(
        self,
        view: CallerView,
        request: RoutedRequest,
        excluded: frozenset[BackendServerId],
        tries: int,
    ) -> None:
        place = self._chooser.choose(request, excluded)
        if isinstance(place, Refusal) or tries >= MOST_TRIES:
            self._refuse(view, place.retry_after_ms if isinstance(place, Refusal) else 300.0)
            return
        if place.peer is None:
            self._run(request, place, lambda: view.note_event(), lambda: view.note_end())
            return
        peer = next(
            one
            for one in self._world.nodes[place.server.region]
            if one.members.own.ip == place.peer.note.ip
        )
        way_ms = self._world.way_ms(self.region, peer.region)
        reservation = self.loads.reserve(
            place.server, request.prompt.held_tokens, place.effort_tokens, request.priority
        )
        self._chooser.note_sent(request, place)

        def turned_away() -> None:
            reservation.release()
            gone = self._chooser.note_region_full(request, place)
            self._try(view, request, excluded.union(gone), tries + 1)

        def event() -> None:
            reservation.note_first_event()
            view.note_event()

        def end() -> None:
            reservation.release()
            view.note_end()

        after = self._world.time.after
        after(
            way_ms,
            lambda: peer.relay(
                view,
                lambda: after(way_ms, turned_away),
                lambda: after(way_ms, event),
                lambda: after(way_ms, end),
            ),
        )

    def relay(
        self,
        view: CallerView,
        turned_away: Callable[[], None],
        event: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        """Take a request from an instance of another region."""
        kind = view.arrival.kind
        left_ms = view.came_at_ms + kind.deadline_ms - self._world.time.now_ms
        request = _request(view.arrival, left_ms, Origin.RELAY)
        place = self._chooser.choose(request, frozenset())
        if isinstance(place, Refusal):
            turned_away()
            return
        self._run(request, place, event, end)

    def _run(
        self,
        request: RoutedRequest,
        place: Placement,
        event: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        prompt = request.prompt
        reservation = self.loads.reserve(
            place.server, prompt.held_tokens, place.effort_tokens, request.priority
        )
        self._chooser.note_sent(request, place)
        watch = StreamWatch(self._watch_tables, request, place, reservation)

        def seen() -> None:
            watch.note_event()
            event()

        def ended() -> None:
            reservation.release()
            watch.note_end()
            end()

        after = self._world.time.after
        job = Job(
            start=(request.route.name, int(prompt.shared_prefixes[0].key.split("/")[-1])),
            shared_tokens=prompt.shared_tokens,
            tokens=prompt.tokens,
            output_tokens=prompt.max_output_tokens,
            priority=request.priority,
            on_event=lambda: after(IN_REGION_MS, seen),
            on_end=lambda: after(IN_REGION_MS, ended),
        )
        after(IN_REGION_MS, lambda: self._world.start(place.server.id, job))

    def _refuse(self, view: CallerView, retry_after_ms: float) -> None:
        view.refused = True
        view.tries += 1
        if view.tries > COMES_BACK:
            return

        def back() -> None:
            view.refused = False
            self.serve(view)

        self._world.time.after(retry_after_ms, back)


def _route(kind: KindDraw) -> Route:
    return Route(
        name=RouteName(kind.name),
        host="host.example",
        path_start=f"/{kind.name}/",
        kind=RequestKind.STREAM,
        timeout_ms=kind.deadline_ms,
        wanted_latency_ms=kind.wanted_ms,
        pause_target_ms=kind.pause_ms,
        priority=kind.rank,
        shares=(ServiceShare(ENGINES, 1.0),),
        max_backends=2,
        resumable=kind.resumable,
        allowed_regions=frozenset(),
    )


def _request(arrival: Arrival, left_ms: float, origin: Origin) -> RoutedRequest:
    kind = arrival.kind
    start = PromptPrefix(f"{kind.name}/{arrival.start}", kind.shared_tokens)
    return RoutedRequest(
        request_id=RequestId(f"r{id(arrival)}"),
        route=_route(kind),
        service=ENGINES,
        method=b"POST",
        target=b"/",
        headers=[],
        body=b"",
        prompt=Prompt(arrival.tokens, arrival.output_tokens, (start,)),
        resume_after=None,
        deadline_at_ms=sparline._clock.now_ms() + left_ms,
        origin=origin,
    )


def _fleet_state(world: World) -> FleetState:
    zones = {ZoneName(f"{one}-1"): RegionName(one) for one in world.draw.regions}
    fleet = FleetState(lambda _change: UnknownItem(), lambda: None, lambda: 1e9, zones)
    service = Service(
        ENGINES, 0.0, 0.0, EngineSpec(world.draw.engine.slots, world.draw.engine.memory_tokens)
    )
    routes = [_route(kind) for kind in world.draw.kinds]
    fleet.configuration = make_configuration(
        ConfigurationVersion(1), routes, {ENGINES: service}, DEFAULT_LIMITS
    )
    fleet.by_service[ENGINES] = world.servers
    return fleet


def play(
    draw: Draw,
    arrivals: list[Arrival],
    make: MakeChooser,
    settle_ms: float = SETTLE_MS,
    known: frozenset[Known] = frozenset(),
) -> World:
    """Play one day of a deployment; `known` is what instances share without delay."""
    time = SimulatedTime()
    held_clock = sparline._clock.time
    sparline._clock.time = time  # type: ignore[assignment]
    logger.disable("sparline")
    try:
        return _played(draw, arrivals, make, time, settle_ms, known)
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
    world = World(draw, time, engines, servers, known=known)
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
