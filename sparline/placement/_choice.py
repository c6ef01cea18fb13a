"""The choice of a backend server, here or in another region, by what each would lose."""

import random
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sparline._ids import BackendServerId, RegionName
from sparline.fleet import BackendServer, FleetState, LoadOf, Member
from sparline.placement._cold_shares import ColdShares
from sparline.placement._health import HealthTable
from sparline.placement._loads import LoadTable
from sparline.placement._pace import PaceTable
from sparline.placement._prompt_cache import FLEET_WIDE_TOKENS, PromptCache, owner_of
from sparline.requests import Origin, Reason, RoutedRequest
from sparline.routes import EngineFigures, Service

# Credit lost by a token that is read again, against what a token of prompt earns; from the
# users' prices (0.72 per 1,000) and the worth of their kinds of request (about 2 per 1,000).
REREAD_LOSS = 0.36
# A token of answer earns as much as ten of prompt (the users' weights).
OUTPUT_WEIGHT = 10
# Credit of the usual request, in tokens of prompt and ten times those of answer (the users' mix:
# 96 in 100 are short, of about 860, the others of about 18,200); what a delayed stream loses.
USUAL_CREDIT = 1_500
# Streams begin to miss their pause when prefill goes on for this part of it, and all do at
# the second: a step reads about 64 ms long between two tokens, an event holds five or six.
DELAY_FROM = 0.6
DELAY_ALL = 1.3
# Part of its own credit that a request loses where its own pauses become too long.
OWN_DELAY_LOSS = 0.5
# What a request to another region loses beside its time (bytes between regions, another hop).
FAR_LOSS = 0.01
# Loss for a sure failure, against the credit of a request.
FAILURE_LOSS = 1.5
# A share of failures up to this says nothing of a server: some kinds of request fail 14% of
# the time wherever they run, and a share of the last ten swings.
FAILURE_USUAL = 0.25
# Engines are filled up to this part of their memory; beyond it, and beyond their slots, a
# request waits or makes another wait, and loses this.
MEMORY_FILL = 0.9
MEMORY_LOSS = 1.0
# Time of an exchange beside all waiting (ms).
EXCHANGE_MS = 8.0
# A request whose estimated time is above this many times the wanted one is refused: it would
# earn next to nothing and delay all behind it.
REFUSE_ABOVE = 1.25
# A request that would cost more than this many times its own credit is refused: it is late
# itself, or makes others late.
REFUSE_LOSS = 1.5
# A prompt whose own reading takes more than this part of the wanted time is long: no place could
# answer it as quickly as a usual one, and the longest tenth is to be served like the others.
LONG_READING = 0.55
REFUSE_LONG_LOSS = 2.5
# A relayed request is refused above this many times the wanted time: its first instance may
# know a better place, and this region's load better than anyone is known here.
REFUSE_RELAYED_ABOVE = 0.5
# Instances that place a start at the same moment, before any has told, agree on its owner:
# the advantage that it has then.
OWNER_GAIN = 0.05
# When a refused caller is told to come back, by how late it would have been (ms): callers heed
# up to a third of the time they have left.
RETRY_AFTER_LEAST_MS = 150.0
RETRY_AFTER_MOST_MS = 1_500.0
# Servers whose loss differs by less are equal; chance then spreads instances over them.
EQUAL_LOSS = 0.004
# Told to callers where nothing can run the request now.
RETRY_AFTER_NONE_MS = 500.0


class Doubt(Enum):
    """Rank candidates by how far they can be trusted; lower goes first."""

    NONE = 0  # nothing speaks against it
    PASSED_OVER = 1  # failed or fell silent lately


@dataclass(frozen=True, slots=True)
class Placement:
    """Send the request to a backend server, by way of a peer where it is elsewhere."""

    server: BackendServer  # where to
    peer: Member | None  # instance in the server's region, None for this region
    expected_ms: float  # estimated time to the first event or answer
    reading_ms: float  # part of it in which its own prompt is read
    unread_tokens: int  # prompt tokens that are probably not cached there
    loss: float  # what decided, against the credit of the request
    load: LoadOf  # load of the server when this was decided
    load_age_ms: float | None  # how old what others told of it was, None where they told nothing
    doubt: Doubt  # how far it is trusted


@dataclass(frozen=True, slots=True)
class Refusal:
    """Run the request nowhere."""

    reason: Reason  # why
    retry_after_ms: float  # when to come back
    candidates: int  # backend servers that were looked at
    best: Placement | None = None  # place that would have lost least, None without any


@dataclass(frozen=True, slots=True)
class PlacementTables:
    """Hold what the choice is made from."""

    fleet: FleetState  # what is in force
    loads: LoadTable  # load of backend servers
    health: HealthTable  # what requests showed
    cold: ColdShares  # rates of cold servers
    cache: PromptCache  # prompt parts at engines
    pace: PaceTable  # times of services
    peers: Callable[[RegionName], list[Member]]  # live instances of a region
    round_trip_ms: Callable[[RegionName], float]  # time to a region and back
    load_age_ms: Callable[[RegionName], float | None]  # age of what others told of a region


class Chooser:
    """Choose a place for each request."""

    def __init__(self, region: RegionName, tables: PlacementTables, chance: random.Random) -> None:
        """Choose for callers of one region."""
        self._region = region
        self._tables = tables
        self._chance = chance

    def choose(
        self, request: RoutedRequest, excluded: frozenset[BackendServerId]
    ) -> Placement | Refusal:
        """Return the place that loses least; `excluded` were tried already."""
        service = self._tables.fleet.configuration.services.get(request.service)  # type: ignore[union-attr]
        if service is None:
            return Refusal(Reason.NO_BACKEND, RETRY_AFTER_NONE_MS, 0)
        servers = self._servers(request, service, excluded)
        if not servers:
            return Refusal(Reason.NO_BACKEND, RETRY_AFTER_NONE_MS, 0)
        owner = self._owner(request, servers)
        cached = self._cached(request, servers, owner)
        most_cached = max(cached.values(), default=0)
        placements = [
            placement
            for server in servers
            if (
                placement := self._judge(
                    request, service, server, cached.get(server.id, 0), most_cached, owner
                )
            )
        ]
        if not placements:
            return Refusal(Reason.NO_BACKEND, RETRY_AFTER_NONE_MS, len(servers))
        best = self._best(placements)
        return self._refusal(request, best, len(servers)) or best

    def _servers(
        self, request: RoutedRequest, service: Service, excluded: frozenset[BackendServerId]
    ) -> list[BackendServer]:
        fleet = self._tables.fleet
        found = []
        for server in fleet.by_service.get(request.service, ()):
            if server.leaving or server.zone in fleet.evacuated or server.id in excluded:
                continue
            if self._tables.health.is_elsewhere(server.id):
                continue
            if not request.route.allows(server.region):
                continue
            if request.origin is Origin.RELAY and server.region != self._region:
                continue
            if server.region == self._region and not self._tables.cold.may_use(
                server, service.cold_requests_per_s
            ):
                continue
            found.append(server)
        return found

    def _owner(
        self, request: RoutedRequest, servers: list[BackendServer]
    ) -> BackendServerId | None:
        """Return the engine that is to keep the prompt's start."""
        prompt = request.prompt
        if prompt is None:
            return None
        near = [one for one in servers if one.region == self._region]
        pool = servers if prompt.shared_tokens >= FLEET_WIDE_TOKENS or not near else near
        sound = [one for one in pool if self._tables.health.usable(one.id)]
        return owner_of(prompt, [one.id for one in sound or pool])

    def _cached(
        self, request: RoutedRequest, servers: list[BackendServer], owner: BackendServerId | None
    ) -> dict[BackendServerId, int]:
        prompt = request.prompt
        if prompt is None:
            return {}
        cache = self._tables.cache
        cached = {one.id: cache.cached_tokens(prompt, one.id) for one in servers}
        if owner is not None and cache.owner_has_read(prompt):
            cached[owner] = prompt.shared_tokens
        return cached

    def _judge(
        self,
        request: RoutedRequest,
        service: Service,
        server: BackendServer,
        cached: int,
        most_cached: int,
        owner: BackendServerId | None,
    ) -> Placement | None:
        peer, way_ms = None, 0.0
        if server.region != self._region:
            peers = self._tables.peers(server.region)
            if not peers:
                return None
            peer = self._chance.choice(peers)
            way_ms = self._tables.round_trip_ms(server.region)
        load = self._tables.loads.of(server)
        unread = max(request.prompt.tokens - cached, 0) if request.prompt else 0
        expected_ms = way_ms + self._time_there_ms(request, service, server, load, unread)
        reading_ms = unread * self._tables.pace.token_ms(service.name)
        loss = (expected_ms / request.route.wanted_latency_ms) ** 2
        loss += FAILURE_LOSS * max(self._tables.health.failing(server.id) - FAILURE_USUAL, 0.0)
        if peer is not None:
            loss += FAR_LOSS
        if server.id == owner:
            loss -= OWNER_GAIN
        if request.prompt is not None and service.engine is not None:
            reread = most_cached - cached
            loss += self._prompt_loss(request, service.engine, load, unread, reread)
        usable = self._tables.health.usable(server.id)
        doubt = Doubt.NONE if usable else Doubt.PASSED_OVER
        age_ms = self._tables.load_age_ms(server.region)
        return Placement(server, peer, expected_ms, reading_ms, unread, loss, load, age_ms, doubt)

    def _time_there_ms(
        self,
        request: RoutedRequest,
        service: Service,
        server: BackendServer,
        load: LoadOf,
        unread: int,
    ) -> float:
        pace = self._tables.health.pace(server.id)
        if request.prompt is None or service.engine is None:
            work_ms = self._tables.pace.answer_ms(service.name) * pace
            queued = max(load.running + 1 - server.slots, 0)
            return EXCHANGE_MS + work_ms * (1 + queued / max(server.slots, 1))
        token_ms = self._tables.pace.token_ms(service.name) * pace
        queued = max(load.running + 1 - service.engine.slots, 0)
        queue_ms = queued / service.engine.slots * self._tables.pace.answer_ms(service.name)
        return EXCHANGE_MS + queue_ms + (load.unread_tokens + unread) * token_ms

    def _prompt_loss(
        self, request: RoutedRequest, engine: EngineFigures, load: LoadOf, unread: int, reread: int
    ) -> float:
        prompt = request.prompt
        assert prompt is not None, "only requests with a prompt are judged by it"
        earned = max(prompt.tokens + OUTPUT_WEIGHT * prompt.most_output_tokens, 1)
        loss = REREAD_LOSS * max(reread, 0) / earned
        pause_ms = request.route.pause_target_ms
        if pause_ms:
            token_ms = self._tables.pace.token_ms(request.service)
            before = _late_share(load.unread_tokens * token_ms / pause_ms)
            after = _late_share((load.unread_tokens + unread) * token_ms / pause_ms)
            loss += load.running * (after - before) * USUAL_CREDIT / earned
            loss += OWN_DELAY_LOSS * after
        if load.held_tokens + prompt.held_tokens > MEMORY_FILL * engine.cache_tokens:
            loss += MEMORY_LOSS
        if load.running >= engine.slots:
            loss += MEMORY_LOSS
        return loss

    def _best(self, placements: list[Placement]) -> Placement:
        least_doubt = min(one.doubt.value for one in placements)
        trusted = [one for one in placements if one.doubt.value == least_doubt]
        least = min(one.loss for one in trusted)
        near = [one for one in trusted if one.loss <= least + EQUAL_LOSS]
        return self._chance.choice(near)

    def _refusal(self, request: RoutedRequest, best: Placement, candidates: int) -> Refusal | None:
        """Refuse what would come too late, early enough for a second try to pay."""
        relayed = request.origin is Origin.RELAY
        targets = REFUSE_RELAYED_ABOVE if relayed else REFUSE_ABOVE
        wanted_ms = request.route.wanted_latency_ms
        if best.reading_ms > LONG_READING * wanted_ms:
            # Its length is no reason to turn it away, only the wait before it is.
            in_time = best.expected_ms - best.reading_ms <= targets * wanted_ms
            in_time = in_time and best.loss <= REFUSE_LONG_LOSS
        else:
            in_time = best.expected_ms <= targets * wanted_ms and best.loss <= REFUSE_LOSS
        if not best.load.running or (in_time and best.expected_ms <= request.left_ms()):
            return None
        late_ms = best.expected_ms - request.route.wanted_latency_ms
        wait_ms = min(max(late_ms, RETRY_AFTER_LEAST_MS), RETRY_AFTER_MOST_MS)
        return Refusal(Reason.DEADLINE_UNREACHABLE, wait_ms, candidates, best)

    def note_sent(self, request: RoutedRequest, placement: Placement) -> None:
        """Note that a request goes to its place."""
        service = self._tables.fleet.configuration.services.get(request.service)  # type: ignore[union-attr]
        if service is None:
            return
        if placement.peer is None:
            self._tables.cold.note_sent(placement.server, service.cold_requests_per_s)
        if request.prompt is not None and service.engine is not None:
            self._tables.cache.note(
                request.prompt, placement.server.id, service.engine.cache_tokens
            )


def _late_share(prefill_pauses: float) -> float:
    """Return the share of streams that miss their pause after prefill of so many pauses."""
    return min(max((prefill_pauses - DELAY_FROM) / (DELAY_ALL - DELAY_FROM), 0.0), 1.0)
