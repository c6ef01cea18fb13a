"""One instance of a simulated deployment: the real choice and gossip, without sockets."""

import random
from collections.abc import Callable

import msgspec

from benchmarks.choice_simulation._caller import CallerView
from benchmarks.choice_simulation._engine import Job
from benchmarks.choice_simulation._known import Known
from benchmarks.choice_simulation._requests import make_fleet_state, make_request
from benchmarks.choice_simulation._world import IN_REGION_MS, World
from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline.fleet import (
    NO_ADMISSION,
    AdmissionExchange,
    BackendServer,
    CrashExchange,
    GossipPort,
    GossipSources,
    LoadExchange,
    LoadSources,
    Member,
    Members,
    PartExchange,
    QuotaExchange,
    ServerLoad,
    StorePosition,
    StreamVersionCallbacks,
    StreamVersionExchange,
    make_member_note,
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
from sparline.quarantine import CrashTable, PartTable
from sparline.quotas import NO_TOLERANCE, QuotaLimiter
from sparline.requests import Origin, RoutedRequest
from sparline.schema._gossip import MemberPhase

ROUND_MS = 250.0
GOSSIP_PORT = 7660
# A request that engines of other regions turned away is tried so often (count).
MOST_TRIES = 3
# A caller comes back so often after a refusal (count).
COMES_BACK = 1
# No request of these runs resumes a stream.
NO_CALLBACKS = StreamVersionCallbacks(lambda _reply: None, lambda _query: None)

MakeChooser = Callable[[InstanceLocation, PlacementTables, random.Random], Chooser]


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
        fleet = make_fleet_state(world)
        self.port = GossipPort(
            GOSSIP_PORT,
            world.seeds(),
            self.members,
            self.exchange,
            CrashExchange(CrashTable()),
            PartExchange(self.members, PartTable()),
            QuotaExchange(
                self.members, QuotaLimiter(NO_TOLERANCE, random.Random(ip)), lambda _key: None
            ),
            AdmissionExchange(self.members, NO_ADMISSION),
            StreamVersionExchange(self.members, fleet.software_versions, NO_CALLBACKS),
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
            fleet=fleet,
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
        choice_seed = f"/{world.choice_seed}" if world.choice_seed else ""
        chance = random.Random(f"{world.draw.seed}/{ip}{choice_seed}")
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
        request = make_request(view.arrival, left_ms, Origin.CALLER)
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
        request = make_request(view.arrival, left_ms, Origin.RELAY)
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
