"""Expected loss of a request at a backend server: latency, delay of others and repeated prefill."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline.fleet import BackendServer, FleetState, Member, ServerLoad
from sparline.placement._cached_prefix import CachedPrefix
from sparline.placement._credit import CreditTable
from sparline.placement._demand import DemandFacts, DemandTable
from sparline.placement._gap_table import GapTable, LateShares
from sparline.placement._health import HealthTable
from sparline.placement._loads import LoadTable
from sparline.placement._pace import EnginePace, PaceTable, ServicePace
from sparline.placement._placement import Doubt, Placement
from sparline.placement._prompt_cache import PromptCache
from sparline.placement.limits import ColdShares, RefusalLimitTable, ServerLimitShares
from sparline.requests import RoutedRequest
from sparline.routes import EngineSpec, Service

# Operating costs in units of the credit of one prompt token: for each token that is prefilled again
# although an engine has it cached, and for each MB that an engine transfers.
LOSS_PER_REPEATED_TOKEN = 0.36
LOSS_PER_FETCHED_MB = 0.11
BYTES_PER_MB = 1_000_000
# A fetch waits for others on the same link: factor on its own transfer time.
FETCH_QUEUE_FACTOR = 1.5
# Fraction of its own credit that a request loses if its own gaps become too long.
OWN_DELAY_LOSS = 0.5
# Loss relative to the credit of a request, for its bytes between regions and one more hop, and for
# its bytes between availability zones.
OTHER_REGION_LOSS = 0.03
OTHER_ZONE_LOSS = 0.02
# Loss at a failure probability of one, relative to the credit of a request.
FAILURE_LOSS = 1.5
# A failure share that exceeds the median of the candidates by up to this much is not significant:
# it covers the last ten requests only, and fluctuates.
FAILURE_TOLERANCE = 0.15
# Engines are filled up to this fraction of their cache; beyond it, and beyond their slots, a
# request waits or makes another wait, at this loss.
MAX_MEMORY_SHARE = 0.9
MEMORY_LOSS = 1.0
# Time of a request and its response apart from all waiting (ms).
EXCHANGE_MS = 8.0
# A prefill delays all arrivals until its engine is idle again. Their loss is the value that arrives
# during the prefill, times the square of the ratio of queueing time to target, times this weight,
# which holds for an engine that is half busy and a loss that grows with the square of the time. When
# an engine crashes and the rest are overloaded, long requests are thus rejected first.
DISPLACEMENT_WEIGHT = 2.0
# Loss reduction for the owner of a prefix, so that instances that place requests with it at the
# same moment, before any has reported, choose the same engine.
OWNER_GAIN = 0.05
# The same for a prefix that one engine of the whole fleet is to prefill: it has to outweigh the
# network round trip (0.1 to 0.2) to an owner in another region, or each region prefills it itself.
FLEET_OWNER_GAIN = 0.2


@dataclass(frozen=True, slots=True)
class PlacementTables:
    """State that the choice is based on."""

    fleet: FleetState  # configuration and servers in force
    loads: LoadTable  # load of backend servers
    health: HealthTable  # health of servers
    cold: ColdShares  # rates of cold servers
    limits: ServerLimitShares  # request rate limits set by servers
    cache: PromptCache  # prompt prefixes cached by engines
    pace: PaceTable  # times of services and engines
    gaps: GapTable  # which prefills make gaps too long
    credit: CreditTable  # usual credit of requests
    demand: DemandTable  # recent demand of callers
    sharing: Callable[[], int]  # number of instances whose callers share this region's engines
    peers: Callable[[RegionName], list[Member]]  # live instances of a region
    round_trip_ms: Callable[[RegionName], float]  # network round trip time to a region
    load_age_ms: Callable[[BackendServerId], float | None]  # age of the known load of a server
    # Whether instances of a server's region reported that it failed recently.
    is_doubted_by_region: Callable[[BackendServerId], bool]
    # Limits on refusals set by servers.
    refusal_limits: RefusalLimitTable = field(default_factory=lambda: RefusalLimitTable(lambda: 1))
    # How long a leaving server still gets streams that began at its software version (ms).
    leaving_use_ms: float = 0.0
    # Whether this instance reaches no server of its region.
    is_isolated: Callable[[], bool] = lambda: False


@dataclass(frozen=True, slots=True)
class InstanceLocation:
    """Region and availability zone of this instance."""

    region: RegionName  # region of its availability zone
    zone: ZoneName  # its availability zone


@dataclass(frozen=True, slots=True)
class _Way:
    """Way of a request to the servers of a region."""

    peer: Member | None  # instance there that takes it, None for this region
    network_ms: float  # round trip time


HERE = _Way(None, 0.0)


class Ways:
    """Ways of one request, through one random instance of each region that is not reached directly.

    An isolated instance uses its siblings like instances of other regions. Without one that reaches
    the servers it tries them itself.
    """

    def __init__(self, own_region: RegionName, tables: PlacementTables, rng: random.Random) -> None:
        """Find ways when they are asked for."""
        self._tables = tables
        self._rng = rng
        self._known: dict[RegionName, _Way | None] = {
            own_region: (self._through_peer(own_region) if tables.is_isolated() else None) or HERE
        }

    def to(self, region: RegionName) -> _Way | None:
        """Return the way to the servers of a region, None without a live instance there."""
        if region not in self._known:
            self._known[region] = self._through_peer(region)
        return self._known[region]

    def is_direct(self, region: RegionName) -> bool:
        """Tell whether this instance sends requests to the servers of a region itself."""
        return self.to(region) is HERE

    def _through_peer(self, region: RegionName) -> _Way | None:
        peers = self._tables.peers(region)
        if not peers:
            return None
        return _Way(self._rng.choice(peers), self._tables.round_trip_ms(region))


@dataclass(slots=True)
class CommonFacts:
    """Facts that are the same for all candidates of one request."""

    healthy: frozenset[BackendServerId]  # healthy candidates
    cached_prefix: CachedPrefix  # where the prefix of its prompt is cached
    usual_failing: float  # median failure share of the candidates
    credit: int  # credit of the request, in prompt tokens
    usual_credit: float  # usual credit of a request of its service
    demand: DemandFacts  # demand of the service at this instance
    demand_per_engine: float  # factor of it for one engine of the region
    now: float  # current time (ms)
    usual: ServicePace  # prefill speed of the service's usual engine
    answer_ms: float  # usual time of a complete answer
    late: LateShares | None  # streams that a prefill makes late, None without a gap target
    ways: Ways  # ways to the servers of each region


class _Work(msgspec.Struct, frozen=True):
    """Work of an engine before the first event of a request."""

    unread_tokens: int  # tokens that it prefills
    effort_tokens: int  # the same in effort tokens, which `_pace.py` defines
    fetched_tokens: int  # tokens that another engine transfers to it
    source: BackendServer | None  # that engine
    repeated_tokens: int  # tokens that it prefills although some engine has them cached


class Queue(msgspec.Struct, frozen=True):
    """What an engine has to do before it begins with a request."""

    slots_needed: int  # slots that have to be free before it gets one, 0 if one is free
    unread_tokens: int  # prefill before its own, in effort tokens
    overtaken: int = 0  # waiting requests that are less urgent
    overtaken_held_tokens: int = 0  # cache memory that these do not hold yet, at least
    last_unread_tokens: int = 0  # prefill until the last of these has ended, in effort tokens


NO_WORK = _Work(0, 0, 0, None, 0)
NO_QUEUE = Queue(0, 0)


class LossEstimator:
    """Estimates the loss of requests of one region at a server."""

    def __init__(self, location: InstanceLocation, tables: PlacementTables) -> None:
        """Estimate from the tables of one instance."""
        self._location = location
        self._tables = tables

    def estimate(
        self,
        request: RoutedRequest,
        service: Service,
        server: BackendServer,
        common: CommonFacts,
    ) -> Placement | None:
        """Return the placement at a server with its loss, None if no instance can send it there."""
        way = common.ways.to(server.region)
        if way is None:
            return None
        load = self._tables.loads.of(server)
        work = _work_of(request, service, server, common)
        factor = self._tables.pace.factor_at(server.id, common.now)
        usual = common.usual.engine
        pace = EnginePace(usual.base_ms * factor, usual.token_ms * factor)
        queue = NO_QUEUE
        if request.prompt is not None and service.engine is not None:
            queue = queue_before(request.priority, load, service.engine.slots)
        expected_ms = way.network_ms + self._server_time_ms(
            request, service, server, load, queue, work, pace, common
        )
        loss = (expected_ms / request.route.wanted_latency_ms) ** 2
        loss += self._server_loss(server, common)
        if request.prompt is not None and service.engine is not None:
            loss += self._prompt_loss(request, service.engine, load, queue, work, pace, common)
            loss += _queue_loss(queue, work, pace, common)
        return Placement(
            server=server,
            peer=way.peer,
            expected_ms=expected_ms,
            prefill_ms=work.effort_tokens * pace.token_ms,
            unread_tokens=work.unread_tokens,
            effort_tokens=work.effort_tokens,
            source=work.source,
            loss=loss,
            load=load,
            load_age_ms=None,
            doubt=Doubt.NONE if server.id in common.healthy else Doubt.PASSED_OVER,
            waits=service.engine is not None and load.running >= service.engine.slots,
        )

    def _server_loss(self, server: BackendServer, common: CommonFacts) -> float:
        """Return the loss from failures and network distance, less the gain of a prefix's owner."""
        failing = self._tables.health.failing(server.id) - common.usual_failing
        loss = FAILURE_LOSS * max(failing - FAILURE_TOLERANCE, 0.0)
        if server.region != self._location.region:
            loss += OTHER_REGION_LOSS
        elif server.zone != self._location.zone:
            loss += OTHER_ZONE_LOSS
        if server.id == common.cached_prefix.prefill_owner:
            loss -= FLEET_OWNER_GAIN if common.cached_prefix.fleet_wide else OWNER_GAIN
        return loss

    def _server_time_ms(
        self,
        request: RoutedRequest,
        service: Service,
        server: BackendServer,
        load: ServerLoad,
        queue: Queue,
        work: _Work,
        pace: EnginePace,
        common: CommonFacts,
    ) -> float:
        """Return the time to the answer or the first event, without the network round trip."""
        usual_ms = common.answer_ms
        if request.prompt is None or service.engine is None:
            work_ms = usual_ms * self._tables.health.time_factor(server.id)
            queued = max(load.running + 1 - server.slots, 0)
            return EXCHANGE_MS + work_ms * (1 + queued / max(server.slots, 1))
        queue_ms = queue.slots_needed / service.engine.slots * usual_ms
        fetch_ms = FETCH_QUEUE_FACTOR * service.engine.fetch_ms(work.fetched_tokens)
        prefill_ms = (queue.unread_tokens + work.effort_tokens) * pace.token_ms
        return pace.base_ms + queue_ms + prefill_ms + fetch_ms

    def _prompt_loss(
        self,
        request: RoutedRequest,
        engine: EngineSpec,
        load: ServerLoad,
        queue: Queue,
        work: _Work,
        pace: EnginePace,
        common: CommonFacts,
    ) -> float:
        """Return the loss from repeated prefill, delayed streams and lack of memory or slots."""
        prompt = request.prompt
        assert prompt is not None, "request has no prompt"
        credit = common.credit
        fetched_mb = work.fetched_tokens * engine.token_bytes / BYTES_PER_MB
        loss = (
            LOSS_PER_REPEATED_TOKEN * work.repeated_tokens + LOSS_PER_FETCHED_MB * fetched_mb
        ) / credit
        if common.late is not None:
            before_ms = load.unread_tokens * pace.token_ms
            after = common.late.at(before_ms + work.effort_tokens * pace.token_ms)
            added = after - common.late.at(before_ms)
            loss += load.running * added * common.usual_credit / credit
            loss += OWN_DELAY_LOSS * after
        held_tokens = load.held_tokens - queue.overtaken_held_tokens
        if held_tokens + prompt.held_tokens > MAX_MEMORY_SHARE * engine.cache_tokens:
            loss += MEMORY_LOSS
        if queue.slots_needed > 1:
            loss += MEMORY_LOSS
        elif queue.slots_needed:
            # It gets the next slot that is free, and less urgent requests wait for a later one.
            loss += MEMORY_LOSS * common.demand.urgent_share
        return loss


def queue_before(rank: int, load: ServerLoad, slots: int) -> Queue:
    """Return what an engine with `slots` slots does before it begins with a request of a rank.

    Engines admit requests of lower ranks first. Of the requests without a first event, the least
    urgent are those that wait for a slot; the others have one, and go first whatever their rank.
    """
    waiting = max(load.running - slots, 0)
    slots_needed = max(load.running + 1 - slots, 0)
    later = load.pending[2 * rank + 2 :] if waiting else ()
    later_count = sum(later[::2])
    if not later_count:
        return Queue(slots_needed, load.unread_tokens)
    overtaken = min(waiting, later_count)
    later_tokens = sum(later[1::2]) * overtaken // later_count
    return Queue(
        slots_needed=slots_needed - overtaken,
        unread_tokens=max(load.unread_tokens - later_tokens, 0),
        overtaken=overtaken,
        overtaken_held_tokens=min(later_tokens, load.held_tokens * overtaken // load.running),
        last_unread_tokens=load.unread_tokens,
    )


def _queue_loss(queue: Queue, work: _Work, pace: EnginePace, common: CommonFacts) -> float:
    """Return the loss of the requests that arrive behind a prefill, or that it overtakes."""
    queue_ms = queue.unread_tokens * pace.token_ms
    prefill_ms = work.effort_tokens * pace.token_ms
    demand = common.demand
    arriving = demand.per_ms3 * common.demand_per_engine
    loss = DISPLACEMENT_WEIGHT * arriving * prefill_ms * queue_ms**2
    if queue.overtaken:
        # A request that is already late cannot lose more.
        before = min(queue.last_unread_tokens * pace.token_ms / demand.later_target_ms, 1.0)
        after = min(before + prefill_ms / demand.later_target_ms, 1.0)
        loss += queue.overtaken * demand.later_value * (after**2 - before**2)
    return loss


def _work_of(
    request: RoutedRequest, service: Service, server: BackendServer, common: CommonFacts
) -> _Work:
    """Return the work of an engine before the request's first event."""
    prompt = request.prompt
    if prompt is None:
        return NO_WORK
    prefix = common.cached_prefix
    cached = prefix.tokens_at(server)
    unread = max(prompt.tokens - cached, 0)
    fetched, source = 0, None
    if service.engine is not None and service.engine.fetches:
        source = prefix.source_for(server)
    if source is not None:
        fetched = prefix.tokens_at(source) - cached
        unread = max(unread - fetched, 0)
    return _Work(
        unread_tokens=unread,
        effort_tokens=common.usual.effort_tokens(unread, prompt.tokens - unread),
        fetched_tokens=fetched,
        source=source,
        repeated_tokens=max(prefix.max_tokens - cached - fetched, 0),
    )
