"""What a request would lose at a backend server: its time, what it delays, what is read again."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline.fleet import BackendServer, FleetState, Member, ServerLoad
from sparline.placement._cold_shares import ColdShares
from sparline.placement._credit import CreditTable
from sparline.placement._demand import DemandTable
from sparline.placement._health import HealthTable
from sparline.placement._kept_prompt import KeptPrompt
from sparline.placement._limit_shares import LimitShares
from sparline.placement._loads import LoadTable
from sparline.placement._pace import EnginePace, PaceTable
from sparline.placement._pauses import PauseTable
from sparline.placement._placement import Doubt, Placement
from sparline.placement._prompt_cache import PromptCache
from sparline.requests import RoutedRequest
from sparline.routes import EngineFigures, Service

# What operators would rather not pay, as parts of the credit of a token of prompt: for a token
# that is read again though an engine keeps it, and for each MB of memory that an engine passes on.
REREAD_LOSS = 0.36
FETCH_MB_LOSS = 0.11
BYTES_A_MB = 1_000_000
# A fetch waits its turn behind others on the same link: its own time, this many times.
FETCH_TURNS = 1.5
# Part of its own credit that a request loses where its own pauses become too long.
OWN_DELAY_LOSS = 0.5
# The same as parts of the credit of a request, for its bytes between regions and one more hop,
# and for its bytes between availability zones.
FAR_LOSS = 0.03
OTHER_ZONE_LOSS = 0.02
# Loss for a sure failure, against the credit of a request.
FAILURE_LOSS = 1.5
# A share of failures so much above what is usual at the candidates says nothing of a server: it
# is of the last ten requests, and swings.
FAILURE_SWING = 0.15
# Engines are filled up to this part of their memory; beyond it, and beyond their slots, a
# request waits or makes another wait, and loses this.
MEMORY_FILL = 0.9
MEMORY_LOSS = 1.0
# Time of an exchange beside all waiting (ms).
EXCHANGE_MS = 8.0
# A reading delays all that comes until its engine is idle again. Where half of an engine's time is
# taken and a loss goes with the square of the time, the worth that comes in a reading's time loses
# so many times the square of the queue before it against the wanted time: where an engine ends and
# the rest is overloaded, long requests are refused first.
DISPLACED = 2.0
# Instances that place a start at the same moment, before any has told, agree on its owner:
# the advantage that it has then.
OWNER_GAIN = 0.05
# The same for a start that one engine of the whole fleet is to read: an owner in another region
# has to outweigh the way there (0.1 to 0.2), or each region reads it for itself.
FLEET_OWNER_GAIN = 0.2


@dataclass(frozen=True, slots=True)
class PlacementTables:
    """Hold what the choice is made from."""

    fleet: FleetState  # what is in force
    loads: LoadTable  # load of backend servers
    health: HealthTable  # what requests showed
    cold: ColdShares  # rates of cold servers
    limits: LimitShares  # request rate limits set by servers
    cache: PromptCache  # prompt parts at engines
    pace: PaceTable  # times of services and engines
    pauses: PauseTable  # which readings make pauses too long
    credit: CreditTable  # what requests usually earn
    demand: DemandTable  # what callers ask for lately
    sharing: Callable[[], int]  # instances whose callers share this region's engines
    peers: Callable[[RegionName], list[Member]]  # live instances of a region
    round_trip_ms: Callable[[RegionName], float]  # time to a region and back
    load_age_ms: Callable[[BackendServerId], float | None]  # age of what is known of its load
    # Whether instances of a server's region told that it failed lately.
    is_doubted_there: Callable[[BackendServerId], bool]


@dataclass(frozen=True, slots=True)
class OwnPlace:
    """Say where this instance stands."""

    region: RegionName  # region of its availability zone
    zone: ZoneName  # its availability zone


@dataclass(frozen=True, slots=True)
class CommonFacts:
    """Hold what is alike for all candidates of one request."""

    sound: frozenset[BackendServerId]  # those that nothing speaks against
    kept: KeptPrompt  # where the start of its prompt is kept
    usual_failing: float  # share of failures at the middle one of them
    credit: int  # what the request earns, in tokens of prompt
    usual_credit: float  # what the usual request of its service earns
    demand: float  # worth that comes each ms to an engine, against that of the request
    find_peers: Callable[[RegionName], list[Member]]  # instances of a region that take requests
    peers: dict[RegionName, list[Member]] = field(default_factory=dict)  # those found so far

    def peers_in(self, region: RegionName) -> list[Member]:
        """Return the instances of a region; all its servers are reached by the same ones."""
        found = self.peers.get(region)
        if found is None:
            found = self.peers[region] = self.find_peers(region)
        return found


@dataclass(frozen=True, slots=True)
class _Work:
    """Describe what an engine has to do for a request before its first event."""

    unread_tokens: int  # tokens that it reads
    effort_tokens: int  # the reading, as tokens at a prompt's start that take as long
    fetched_tokens: int  # tokens that another engine passes on to it
    source: BackendServer | None  # that engine
    reread_tokens: int  # tokens that it reads though some engine keeps them


NO_WORK = _Work(0, 0, 0, None, 0)


class PlaceJudge:
    """Judge places for the requests of one region."""

    def __init__(self, place: OwnPlace, tables: PlacementTables, chance: random.Random) -> None:
        """Judge by the tables of one instance."""
        self._place = place
        self._tables = tables
        self._chance = chance

    def judge(
        self,
        request: RoutedRequest,
        service: Service,
        server: BackendServer,
        common: CommonFacts,
    ) -> Placement | None:
        """Return what a request would lose at a server, None where no instance can send it."""
        peer = None
        way_ms = 0.0
        if server.region != self._place.region:
            peers = common.peers_in(server.region)
            if not peers:
                return None
            peer = self._chance.choice(peers)
            way_ms = self._tables.round_trip_ms(server.region)
        load = self._tables.loads.of(server)
        work = self._work(request, service, server, common.kept)
        pace = self._tables.pace.engine(service.name, server.id)
        expected_ms = way_ms + self._time_there_ms(request, service, server, load, work, pace)
        loss = (expected_ms / request.route.wanted_latency_ms) ** 2
        loss += self._server_loss(server, common)
        if request.prompt is not None and service.engine is not None:
            loss += self._prompt_loss(request, service.engine, load, work, pace, common)
            loss += _queue_loss(request, load, work, pace, common)
        return Placement(
            server=server,
            peer=peer,
            expected_ms=expected_ms,
            reading_ms=work.effort_tokens * pace.token_ms,
            unread_tokens=work.unread_tokens,
            effort_tokens=work.effort_tokens,
            source=work.source,
            loss=loss,
            load=load,
            load_age_ms=self._tables.load_age_ms(server.id),
            doubt=self._doubt(server, common),
            waits=service.engine is not None and load.running >= service.engine.slots,
        )

    def _doubt(self, server: BackendServer, common: CommonFacts) -> Doubt:
        if server.id not in common.sound:
            return Doubt.PASSED_OVER
        # A server that is down has no load and looks best from afar.
        far = server.region != self._place.region
        return Doubt.PASSED_OVER if far and self._tables.is_doubted_there(server.id) else Doubt.NONE

    def _server_loss(self, server: BackendServer, common: CommonFacts) -> float:
        """Return what is lost by failures and by the way, less what the owner of a start gains."""
        failing = self._tables.health.failing(server.id) - common.usual_failing
        loss = FAILURE_LOSS * max(failing - FAILURE_SWING, 0.0)
        if server.region != self._place.region:
            loss += FAR_LOSS
        elif server.zone != self._place.zone:
            loss += OTHER_ZONE_LOSS
        if server.id == common.kept.reader:
            loss -= FLEET_OWNER_GAIN if common.kept.fleet_wide else OWNER_GAIN
        return loss

    def _work(
        self, request: RoutedRequest, service: Service, server: BackendServer, kept: KeptPrompt
    ) -> _Work:
        """Return what an engine would have to do before the request's first event."""
        if request.prompt is None:
            return NO_WORK
        unread = max(request.prompt.tokens - kept.at(server), 0)
        fetched, source = 0, None
        if service.engine is not None and service.engine.fetches:
            source = kept.source_for(server)
        if source is not None:
            fetched = kept.at(source) - kept.at(server)
            unread = max(unread - fetched, 0)
        usual = self._tables.pace.service(service.name)
        return _Work(
            unread_tokens=unread,
            effort_tokens=usual.effort_tokens(unread, request.prompt.tokens - unread),
            fetched_tokens=fetched,
            source=source,
            reread_tokens=max(kept.most - kept.at(server) - fetched, 0),
        )

    def _time_there_ms(
        self,
        request: RoutedRequest,
        service: Service,
        server: BackendServer,
        load: ServerLoad,
        work: _Work,
        pace: EnginePace,
    ) -> float:
        """Return the time to the answer or to the first event, at the server."""
        usual_ms = self._tables.pace.answer_ms(service.name)
        if request.prompt is None or service.engine is None:
            work_ms = usual_ms * self._tables.health.pace(server.id)
            queued = max(load.running + 1 - server.slots, 0)
            return EXCHANGE_MS + work_ms * (1 + queued / max(server.slots, 1))
        queued = max(load.running + 1 - service.engine.slots, 0)
        queue_ms = queued / service.engine.slots * usual_ms
        fetch_ms = FETCH_TURNS * service.engine.fetch_ms(work.fetched_tokens)
        reading_ms = (load.unread_tokens + work.effort_tokens) * pace.token_ms
        return pace.base_ms + queue_ms + reading_ms + fetch_ms

    def _prompt_loss(
        self,
        request: RoutedRequest,
        engine: EngineFigures,
        load: ServerLoad,
        work: _Work,
        pace: EnginePace,
        common: CommonFacts,
    ) -> float:
        """Return what is lost by reading again, by delaying streams, and for want of room."""
        prompt = request.prompt
        assert prompt is not None, "only requests with a prompt are judged by it"
        credit = common.credit
        fetched_mb = work.fetched_tokens * engine.token_bytes / BYTES_A_MB
        loss = (REREAD_LOSS * work.reread_tokens + FETCH_MB_LOSS * fetched_mb) / credit
        pause_ms = request.route.pause_target_ms
        if pause_ms:
            late = self._tables.pauses.late_share
            before_ms = load.unread_tokens * pace.token_ms
            after_ms = before_ms + work.effort_tokens * pace.token_ms
            after = late(request.service, pause_ms, after_ms)
            added = after - late(request.service, pause_ms, before_ms)
            loss += load.running * added * common.usual_credit / credit
            loss += OWN_DELAY_LOSS * after
        if load.held_tokens + prompt.held_tokens > MEMORY_FILL * engine.cache_tokens:
            loss += MEMORY_LOSS
        if load.running >= engine.slots:
            loss += MEMORY_LOSS
        return loss


def _queue_loss(
    request: RoutedRequest, load: ServerLoad, work: _Work, pace: EnginePace, common: CommonFacts
) -> float:
    """Return what a reading loses for those that come behind it."""
    queue_ms = load.unread_tokens * pace.token_ms
    reading_ms = work.effort_tokens * pace.token_ms
    queue = queue_ms / request.route.wanted_latency_ms
    return DISPLACED * common.demand * reading_ms * queue**2
