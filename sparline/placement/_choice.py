"""The choice of a backend server, here or in another region, by what each would lose."""

import random
from statistics import median_low

from sparline._ids import BackendServerId
from sparline.fleet import BackendServer
from sparline.placement._credit import credit_of
from sparline.placement._kept_prompt import find_kept
from sparline.placement._place_judge import CommonFacts, OwnPlace, PlaceJudge, PlacementTables
from sparline.placement._placement import Placement, Refusal
from sparline.requests import Origin, Reason, RoutedRequest
from sparline.routes import Service

# A request whose estimated time is above this many times the wanted one is refused: it would
# earn next to nothing and delay all behind it.
REFUSE_ABOVE = 1.25
# A request that would cost more than this many times its own credit is refused: it is late
# itself, or makes others late.
REFUSE_LOSS = 1.5
# A prompt whose own reading takes more than this part of the wanted time is long: no place could
# answer it as quickly as a usual one, and the longest tenth is to be served like the others.
LONG_READING = 0.55
# A relayed request is refused above this many times the wanted time: the way takes the rest, and
# its first instance may know a better place.
REFUSE_RELAYED_ABOVE = 1.0
# When a refused caller is told to come back, by how late it would have been (ms): callers heed
# up to a third of the time they have left.
RETRY_AFTER_LEAST_MS = 150.0
RETRY_AFTER_MOST_MS = 1_500.0
# Servers whose loss differs by less are equal; chance then spreads instances over them.
EQUAL_LOSS = 0.004
# Where nothing can run a request, callers are told to come back after this part of the time that
# they have left, the longest that they heed, but within these bounds (ms): such a state lasts for
# seconds, and a caller that comes back into it has used its last try up.
WAIT_SHARE = 1 / 3
WAIT_LEAST_MS = 500.0
WAIT_MOST_MS = 5_000.0


def unserved_wait_ms(left_ms: float) -> float:
    """Return when a caller with so much time left is to come back where nothing can serve it."""
    return min(max(WAIT_SHARE * left_ms, WAIT_LEAST_MS), WAIT_MOST_MS)


class Chooser:
    """Choose a place for each request."""

    def __init__(self, place: OwnPlace, tables: PlacementTables, chance: random.Random) -> None:
        """Choose for callers of an instance that stands at a place."""
        self._region = place.region
        self._tables = tables
        self._chance = chance
        self._judge = PlaceJudge(place, tables, chance)

    def choose(
        self,
        request: RoutedRequest,
        excluded: frozenset[BackendServerId],
        has_begun: bool = False,
    ) -> Placement | Refusal:
        """Return the place that loses least.

        `excluded` were tried already; `has_begun` says that the caller has a part of the answer.
        """
        service = self._tables.fleet.configuration.services.get(request.service)  # type: ignore[union-attr]
        if service is None:
            return Refusal(Reason.NO_BACKEND, unserved_wait_ms(request.left_ms()), 0)
        servers = self._servers(request, service, excluded)
        if not servers:
            return Refusal(Reason.NO_BACKEND, unserved_wait_ms(request.left_ms()), 0)
        if request.prompt is not None and request.origin is Origin.CALLER and not excluded:
            self._tables.demand.note(request, request.prompt)
        common = self._common(request, servers)
        judged = [self._judge.judge(request, service, server, common) for server in servers]
        placements = [one for one in judged if one is not None]
        if not placements:
            return Refusal(Reason.NO_BACKEND, unserved_wait_ms(request.left_ms()), len(servers))
        best = self._best(placements)
        if has_begun or request.resume_after is not None:
            # A late rest is worth more to the caller than a stream that is cut off.
            return best
        return self._refusal(request, best, len(servers)) or best

    def _common(self, request: RoutedRequest, servers: list[BackendServer]) -> CommonFacts:
        tables = self._tables
        prompt = request.prompt
        sound = [one for one in servers if tables.health.usable(one.id)]
        return CommonFacts(
            sound=frozenset(one.id for one in sound),
            kept=find_kept(prompt, servers, sound, self._region, tables.cache),
            usual_failing=median_low(tables.health.failing(one.id) for one in servers),
            credit=credit_of(prompt) if prompt else 0,
            usual_credit=tables.credit.usual(request.service, prompt) if prompt else 0.0,
            demand=self._demand(request, sound),
        )

    def _demand(self, request: RoutedRequest, sound: list[BackendServer]) -> float:
        """Return what comes to each engine here, against the worth of the request."""
        if request.prompt is None:
            return 0.0
        tables = self._tables
        here = [one for one in sound if one.region == self._region] or sound
        rate = tables.demand.rate(request.service, request.route.priority)
        worth = tables.demand.worth(request, request.prompt)
        return rate * tables.sharing() / max(len(here), 1) / worth

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
            own_loss = (best.reading_ms / wanted_ms) ** 2
            in_time = in_time and best.loss - own_loss <= REFUSE_LOSS
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
        self._tables.health.note_placed(placement.server.id)
        if placement.peer is None:
            self._tables.cold.note_sent(placement.server, service.cold_requests_per_s)
        if request.prompt is not None and service.engine is not None:
            self._tables.credit.note(request.service, request.prompt)
            self._tables.cache.note(
                request.prompt, placement.server.id, service.engine.cache_tokens
            )
