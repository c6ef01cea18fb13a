"""Choice of a backend server, in this region or another, by minimum loss."""

import random
from collections.abc import Sequence
from statistics import median_low

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName
from sparline.decisions import (
    AdmissionFacts,
    RefusalFacts,
    RegionRefusals,
    refusal_reason,
    refusal_retry_after_ms,
    unserved_retry_after_ms,
)
from sparline.fleet import BackendServer
from sparline.placement._credit import credit_of
from sparline.placement._kept_prompt import find_cached_prefix
from sparline.placement._place_judge import (
    CommonFacts,
    InstanceLocation,
    LossEstimator,
    PlacementTables,
)
from sparline.placement._placement import Placement, Refusal
from sparline.placement._shortlist import Shortlist
from sparline.requests import Origin, Reason, RoutedRequest
from sparline.routes import Service

# Servers whose loss differs by less than this count as equal; one is chosen at random, which
# spreads the load of several instances.
LOSS_TOLERANCE = 0.004


class Chooser:
    """Chooses a server for each request."""

    def __init__(
        self, location: InstanceLocation, tables: PlacementTables, rng: random.Random
    ) -> None:
        """Choose for the callers of an instance at a location."""
        self._region = location.region
        self._tables = tables
        self._rng = rng
        self._estimator = LossEstimator(location, tables, rng)
        self._refusals = RegionRefusals()
        self._shortlist = Shortlist(location.region, rng)

    def choose(
        self,
        request: RoutedRequest,
        excluded: frozenset[BackendServerId],
        has_begun: bool = False,
        prefer_few_running: bool = False,
        closed_regions: frozenset[RegionName] = frozenset(),
    ) -> Placement | Refusal:
        """Return the placement with the lowest loss.

        `excluded` are servers that were tried already; `has_begun` says that the caller has
        received part of the answer; `prefer_few_running` selects the server with the fewest running
        requests, because this request may crash it. Servers of `closed_regions` are not
        evaluated, because the admission level of these regions refuses the request.
        """
        service = self._tables.fleet.configuration.services.get(request.service)  # type: ignore[union-attr]
        if service is None:
            return Refusal(Reason.NO_BACKEND, unserved_retry_after_ms(request.left_ms()), 0)
        all_servers = self._tables.fleet.by_service.get(request.service, [])
        shortlisted = self._shortlist.of(request, all_servers)
        has_begun = has_begun or request.resume_after is not None
        servers = self._eligible_servers(request, service, shortlisted, excluded, closed_regions)
        if not has_begun:
            servers = self._without_full(request, servers)
        if not servers and len(shortlisted) < len(all_servers):
            # No server on the shortlist may be used: consider all of them.
            servers = self._eligible_servers(
                request, service, all_servers, excluded, closed_regions
            )
        if not servers:
            wait_ms = unserved_retry_after_ms(
                request.left_ms(), self._shortest_backoff_ms(request, all_servers)
            )
            return Refusal(Reason.NO_BACKEND, wait_ms, 0)
        if request.prompt is not None and request.origin is Origin.CALLER and not excluded:
            self._tables.demand.note(request, request.prompt)
        common = self._common(request, servers)
        estimated = [
            self._estimator.estimate(request, service, server, common) for server in servers
        ]
        placements = [one for one in estimated if one is not None]
        if not placements:
            return Refusal(
                Reason.NO_BACKEND, unserved_retry_after_ms(request.left_ms()), len(servers)
            )
        best = self._best(placements, prefer_few_running)
        if has_begun:
            # A delayed continuation is worth more to the caller than a broken stream.
            return best
        return self._refusal(request, best, len(servers)) or best

    def _common(self, request: RoutedRequest, servers: list[BackendServer]) -> CommonFacts:
        tables = self._tables
        prompt = request.prompt
        healthy = [one for one in servers if tables.health.usable(one.id)]
        return CommonFacts(
            healthy=frozenset(one.id for one in healthy),
            cached_prefix=find_cached_prefix(prompt, servers, healthy, self._region, tables.cache),
            usual_failing=median_low(tables.health.failing(one.id) for one in servers),
            credit=credit_of(prompt) if prompt else 0,
            usual_credit=tables.credit.usual(request.service, prompt) if prompt else 0.0,
            demand=self._demand(request, healthy),
            find_peers=tables.peers,
        )

    def _demand(self, request: RoutedRequest, healthy: list[BackendServer]) -> float:
        """Return the value arriving per ms at each engine here, relative to that of the request."""
        if request.prompt is None:
            return 0.0
        tables = self._tables
        here = [one for one in healthy if one.region == self._region] or healthy
        rate = tables.demand.rate(request.service, request.priority)
        request_value = tables.demand.request_value(request, request.prompt)
        return rate * tables.sharing() / max(len(here), 1) / request_value

    def _eligible_servers(
        self,
        request: RoutedRequest,
        service: Service,
        shortlisted: Sequence[BackendServer],
        excluded: frozenset[BackendServerId],
        closed_regions: frozenset[RegionName],
    ) -> list[BackendServer]:
        fleet = self._tables.fleet
        found = []
        limited_in_other_regions = []
        for server in shortlisted:
            if server.leaving or server.zone in fleet.evacuated or server.id in excluded:
                continue
            if server.region in closed_regions:
                continue
            if self._tables.health.is_misdirected(server.id):
                continue
            if self._tables.health.backoff_left_ms(server.id):
                continue
            if not request.allows(server.region):
                continue
            if request.origin is Origin.RELAY and server.region != self._region:
                continue
            if server.region == self._region:
                if not self._may_send(server, service):
                    continue
            elif self._tables.limits.is_limited(server.id):
                # A low load only reflects the limit; the rate is left to the server's own region.
                limited_in_other_regions.append(server)
                continue
            found.append(server)
        return found or limited_in_other_regions

    def _shortest_backoff_ms(
        self, request: RoutedRequest, servers: Sequence[BackendServer]
    ) -> float | None:
        """Return the time until the first backoff of a suitable server ends, None without one."""
        left = [
            self._tables.health.backoff_left_ms(one.id)
            for one in servers
            if _is_suitable(request, one) and one.zone not in self._tables.fleet.evacuated
        ]
        return min((one for one in left if one), default=None)

    def _may_send(self, server: BackendServer, service: Service) -> bool:
        """Tell whether the rates of a server of this region allow one more request now."""
        if not self._tables.limits.may_send(server.id):
            return False
        return self._tables.cold.may_send(server, service.cold_requests_per_s)

    def _without_full(
        self, request: RoutedRequest, servers: list[BackendServer]
    ) -> list[BackendServer]:
        """Leave out the servers of regions without room, unless there are no others."""
        others = {one.region for one in servers if one.region != self._region}
        now, tokens = now_ms(), _tokens(request)
        full = {
            one
            for one in others
            if self._refusals.is_full(one, request.service, request.priority, tokens, now)
        }
        if not full:
            return servers
        return [one for one in servers if one.region not in full] or servers

    def _best(self, placements: list[Placement], prefer_few_running: bool) -> Placement:
        min_doubt = min(one.doubt.value for one in placements)
        trusted = [one for one in placements if one.doubt.value == min_doubt]
        if prefer_few_running:
            return min(trusted, key=lambda one: (one.load.running, one.loss))
        min_loss = min(one.loss for one in trusted)
        tied = [one for one in trusted if one.loss <= min_loss + LOSS_TOLERANCE]
        return self._rng.choice(tied)

    def _refusal(self, request: RoutedRequest, best: Placement, candidates: int) -> Refusal | None:
        """Return a refusal for a request that would be too late or cost others too much."""
        why = refusal_reason(
            AdmissionFacts(
                target_ms=request.route.wanted_latency_ms,
                left_ms=request.left_ms(),
                expected_ms=best.expected_ms,
                prefill_ms=best.prefill_ms,
                loss=best.loss,
                is_idle=not best.load.running,
                is_relayed=request.origin is Origin.RELAY,
            )
        )
        if why is None:
            return None
        wait_ms = refusal_retry_after_ms(
            RefusalFacts(request.route.wanted_latency_ms, best.expected_ms, request.left_ms())
        )
        return Refusal(Reason.DEADLINE_UNREACHABLE, wait_ms, candidates, best, why)

    def note_region_full(
        self, request: RoutedRequest, placement: Placement
    ) -> list[BackendServerId]:
        """Record that no server in a placement's region accepted a request; return them."""
        region = placement.server.region
        tokens = _tokens(request)
        self._refusals.note(region, request.service, request.priority, tokens, now_ms())
        all_servers = self._tables.fleet.by_service.get(request.service, [])
        return [one.id for one in all_servers if one.region == region]

    def note_sent(self, request: RoutedRequest, placement: Placement) -> None:
        """Record that a request is sent according to a placement."""
        service = self._tables.fleet.configuration.services.get(request.service)  # type: ignore[union-attr]
        if service is None:
            return
        self._tables.health.note_placed(placement.server.id)
        if placement.peer is None:
            self._tables.cold.note_sent(placement.server, service.cold_requests_per_s)
            self._tables.limits.note_sent(placement.server.id)
        if request.prompt is not None and service.engine is not None:
            self._tables.credit.note(request.service, request.prompt)
            self._tables.cache.note(
                request.prompt, placement.server.id, service.engine.cache_tokens
            )


def _is_suitable(request: RoutedRequest, server: BackendServer) -> bool:
    return not server.leaving and request.allows(server.region)


def _tokens(request: RoutedRequest) -> int:
    return request.prompt.tokens if request.prompt else 0
