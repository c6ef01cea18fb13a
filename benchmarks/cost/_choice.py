"""Processor time of one choice among 70 engines in three regions, and whom it evaluates."""

import argparse
import json
import random
import time
from statistics import median

from loguru import logger

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, RequestId, ZoneName
from sparline.fleet import (
    BackendServer,
    FleetState,
    Member,
    ServerLoad,
    UnknownItem,
    make_member_note,
)
from sparline.fleet._load_board import LoadReading, ServerLoadTable
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
    PlacementTables,
    PromptCache,
    RateShares,
    ServerLimitShares,
    ServerLimitTable,
)
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

ENGINES = ServiceName("engines")
# Engines by region; the first region is that of the instance.
ENGINES_BY_REGION = {"north": 36, "south": 22, "west": 12}
SLOTS = 16
CACHE_TOKENS = 400_000
INSTANCES = 24  # of each region
PREFIXES = 40  # different shared prefixes of each kind of request
ROUNDS = 7
CHOICES_PER_ROUND = 300
QUICK_CHOICES_PER_ROUND = 100

# Name, rank, target (ms), prompt tokens, shared tokens and output tokens of each kind of request.
KINDS = (
    ("question", 0, 500.0, 628, 400, 26),
    ("check", 1, 600.0, 1_800, 1_200, 2),
    ("comparison", 2, 1_500.0, 12_000, 9_000, 35),
)


def _route(name: str, rank: int, target_ms: float) -> Route:
    return Route(
        name=RouteName(name),
        host="host.example",
        path_start=f"/{name}/",
        kind=RequestKind.STREAM,
        timeout_ms=10_000.0,
        wanted_latency_ms=target_ms,
        pause_target_ms=400.0,
        priority=rank,
        shares=(ServiceShare(ENGINES, 1.0),),
        max_backends=2,
        resumable=True,
        allowed_regions=frozenset(),
    )


class ChoiceWorld:
    """Tables of one busy instance, as they are after some seconds of load."""

    def __init__(self, seed: int = 1) -> None:
        """Draw loads, paces and cached prefixes from a seed."""
        self._rng = random.Random(seed)
        regions = {ZoneName(f"{one}-1"): RegionName(one) for one in ENGINES_BY_REGION}
        self.servers = [
            BackendServer(
                id=BackendServerId(f"{region}-{number}"),
                service=ENGINES,
                address=("10.9.0.1", number),
                zone=ZoneName(f"{region}-1"),
                region=RegionName(region),
                slots=SLOTS,
                leaving=False,
                cold_until_ms=0.0,
            )
            for region, count in ENGINES_BY_REGION.items()
            for number in range(count)
        ]
        fleet = FleetState(lambda _change: UnknownItem(), lambda: None, lambda: 1e9, regions)
        self.routes = [_route(name, rank, target) for name, rank, target, *_ in KINDS]
        fleet.configuration = make_configuration(
            ConfigurationVersion(1),
            self.routes,
            {ENGINES: Service(ENGINES, 0.0, 0.0, EngineSpec(SLOTS, CACHE_TOKENS))},
            DEFAULT_LIMITS,
        )
        fleet.by_service[ENGINES] = self.servers
        board = ServerLoadTable()
        loads = LoadTable(
            RegionName("north"),
            board.load,
            lambda server, change, _factor: board.note_change(server.id, change),
        )
        health, pace, cache = HealthTable(), PaceTable(), PromptCache(owners_have_cached=False)
        credit, demand = CreditTable(), DemandTable()
        self.tables = PlacementTables(
            fleet=fleet,
            loads=loads,
            health=health,
            cold=ColdShares("own", lambda: ["own"]),
            limits=ServerLimitShares(
                ServerLimitTable(), RateShares("own", lambda: ["own"], lambda: True)
            ),
            cache=cache,
            pace=pace,
            gaps=GapTable(),
            credit=credit,
            demand=demand,
            sharing=lambda: INSTANCES,
            peers=self._peers,
            round_trip_ms=lambda _region: 110.0,
            load_age_ms=board.age_ms,
            is_doubted_by_region=board.is_doubted,
        )
        self._members = {
            region: [
                Member(
                    make_member_note(
                        f"{region}-{number}", "", RegionName(region), f"{region}-1", 1
                    ),
                    now_ms(),
                    now_ms(),
                )
                for number in range(INSTANCES)
            ]
            for region in ENGINES_BY_REGION
        }
        self._board = board
        self._fill(health, pace, cache)
        self.chooser = Chooser(
            InstanceLocation(RegionName("north"), ZoneName("north-1")), self.tables, self._rng
        )

    def _peers(self, region: RegionName) -> list[Member]:
        return self._members[region]

    def _fill(self, health: HealthTable, pace: PaceTable, cache: PromptCache) -> None:
        for server in self.servers:
            load = ServerLoad(
                self._rng.randrange(2, 22),
                self._rng.randrange(5_000, 60_000),
                6_000,
                (1, 600, 2, 1_400, 3, 4_000),
            )
            self._board.take(server.id, LoadReading(now_ms(), now_ms(), load, False))
            health.note_success(server.id)
            pace.note_log_factor(server.id, self._rng.uniform(-0.5, 0.5))
        for _ in range(300):
            server = self._rng.choice(self.servers)
            cache.note(self.request().prompt, server.id, CACHE_TOKENS)
            own = self._rng.choice(self.servers[: ENGINES_BY_REGION["north"]])
            self.tables.loads.reserve(own, 0, 0, 0).note_first_event()

    def renew(self) -> None:
        """Let the readings of all servers be new."""
        for server in self.servers:
            reading = self._board.reading(server.id)
            if reading is not None:
                now = now_ms()
                self._board.take(server.id, LoadReading(now, now, reading.load, False))

    def request(self) -> RoutedRequest:
        """Draw a request."""
        number = self._rng.randrange(len(KINDS))
        name, _, _, tokens, shared, output = KINDS[number]
        prefix = PromptPrefix(f"{name}/{self._rng.randrange(PREFIXES)}", shared)
        return RoutedRequest(
            request_id=RequestId("r"),
            route=self.routes[number],
            service=ENGINES,
            method=b"POST",
            target=b"/",
            headers=[],
            body=b"",
            prompt=Prompt(tokens, output, (prefix,)),
            resume_after=None,
            deadline_at_ms=now_ms() + 8_000.0,
            origin=Origin.CALLER,
        )


def choice_cost_us(choices: int, rounds: int = ROUNDS) -> list[float]:
    """Return the mean processor time of a choice (us) in each round."""
    world = ChoiceWorld()
    costs = []
    for _ in range(rounds):
        world.renew()
        requests = [world.request() for _ in range(choices)]
        began_ns = time.process_time_ns()
        for request in requests:
            world.chooser.choose(request, frozenset())
        costs.append((time.process_time_ns() - began_ns) / choices / 1_000)
    return costs


def choice_cost(options: argparse.Namespace) -> int:
    """Print the processor time of one choice among 70 engines."""
    logger.disable("sparline")
    costs = choice_cost_us(QUICK_CHOICES_PER_ROUND if options.quick else CHOICES_PER_ROUND)
    servers = sum(ENGINES_BY_REGION.values())
    print(f"choice among {servers} engines: {min(costs):.0f} us least, {median(costs):.0f} median")
    result = {"least_us": round(min(costs), 1), "median_us": round(median(costs), 1)}
    print(json.dumps({"experiment": "choice-cost", "servers": servers, **result}))
    return 0
