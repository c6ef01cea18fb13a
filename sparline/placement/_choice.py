"""Choice of a backend server, in this region or another, by minimum loss."""

import random
from collections.abc import Callable, Sequence
from statistics import median_low

import msgspec

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, SoftwareVersion
from sparline.decisions import (
    AdmissionFacts,
    RefusalFacts,
    RegionRefusals,
    refusal_reason,
    refusal_retry_after_ms,
    unserved_retry_after_ms,
)
from sparline.fleet import BackendServer
from sparline.placement._cached_prefix import find_cached_prefix
from sparline.placement._credit import credit_of
from sparline.placement._demand import DemandFacts
from sparline.placement._engine_counts import EngineCounts
from sparline.placement._loss_estimator import (
    CommonFacts,
    InstanceLocation,
    LossEstimator,
    PlacementTables,
    Ways,
)
from sparline.placement._placement import Placement, Refusal
from sparline.placement._shortlist import Shortlist, Shortlisted, Standing
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
        self._estimator = LossEstimator(location, tables)
        self._refusals = RegionRefusals()
        self._shortlist = Shortlist(location.region, rng)
        self._engine_counts = EngineCounts(location.region, tables.health)

    def choose(
        self,
        request: RoutedRequest,
        excluded: frozenset[BackendServerId],
        has_begun: bool = False,
        prefer_few_running: bool = False,
        closed_regions: frozenset[RegionName] = frozenset(),
        software_version: SoftwareVersion | None = None,
    ) -> Placement | Refusal:
        """Return the placement with the lowest loss.

        `excluded` are servers that were tried already; `has_begun` says that the caller has
        received part of the answer; `prefer_few_running` selects the server with the fewest running
        requests, because this request may crash it. `closed_regions` are regions whose servers are not
        evaluated, because their admission level refuses the request. `software_version` is the only one
        at which a stream that has begun can go on, None for any.
        """
        service = self._tables.fleet.configuration.services.get(request.service)  # type: ignore[union-attr]
        if service is None:
            return Refusal(Reason.NO_BACKEND, unserved_retry_after_ms(request.left_ms()), 0)
        if request.origin is Origin.RELAY and self._tables.is_isolated():
            # The instance that relayed it can use another one of this region.
            return Refusal(Reason.ISOLATED, unserved_retry_after_ms(request.left_ms()), 0)
        all_servers = self._tables.fleet.by_service.get(request.service, [])
        has_begun = has_begun or request.resume_after is not None
        now = now_ms()
        if software_version is not None and not any(
            self._may_resume_at(one, software_version, excluded, now) for one in all_servers
        ):
            wait_ms = unserved_retry_after_ms(request.left_ms())
            return Refusal(Reason.SOFTWARE_VERSION_GONE, wait_ms, 0)
        ways = Ways(self._region, self._tables, self._rng)
        shortlisted = self._shortlist.select(
            request.service,
            all_servers,
            request.prompt,
            self._judge(
                request, service, excluded, closed_regions, has_begun, software_version, ways, now
            ),
            lambda: self._tables.cache.holders(request.prompt) if request.prompt else (),
            lambda server: self._tables.loads.of(server).unread_tokens,
        )
        servers = shortlisted.servers
        if not servers:
            wait_ms = unserved_retry_after_ms(
                request.left_ms(), self._shortest_backoff_ms(request, all_servers)
            )
            return Refusal(Reason.NO_BACKEND, wait_ms, 0)
        if request.prompt is not None and request.origin is Origin.CALLER and not excluded:
            self._tables.demand.note(request, request.prompt)
        common = self._common(request, service, shortlisted, all_servers, ways, now)
        estimated = [
            self._estimator.estimate(request, service, server, common) for server in servers
        ]
        placements = [one for one in estimated if one is not None]
        if not placements:
            return Refusal(
                Reason.NO_BACKEND, unserved_retry_after_ms(request.left_ms()), len(servers)
            )
        best = self._best(placements, prefer_few_running)
        best = msgspec.structs.replace(best, load_age_ms=self._tables.load_age_ms(best.server.id))
        if has_begun:
            # A delayed continuation is worth more to the caller than a broken stream.
            return best
        return self._refusal(request, best, len(servers)) or best

    def _common(
        self,
        request: RoutedRequest,
        service: Service,
        shortlisted: Shortlisted,
        all_servers: list[BackendServer],
        ways: Ways,
        now: float,
    ) -> CommonFacts:
        tables = self._tables
        prompt = request.prompt
        target_ms = request.route.pause_target_ms
        return CommonFacts(
            healthy=frozenset(one.id for one in shortlisted.healthy),
            cached_prefix=find_cached_prefix(
                prompt,
                shortlisted.servers,
                shortlisted.healthy,
                shortlisted.owner,
                tables.cache,
                service.engine is not None and service.engine.fetches,
            ),
            usual_failing=median_low(tables.health.failing(one.id) for one in shortlisted.servers),
            credit=credit_of(prompt) if prompt else 0,
            usual_credit=tables.credit.usual(request.service, prompt) if prompt else 0.0,
            demand=tables.demand.facts(request, prompt) if prompt else DemandFacts(),
            demand_per_engine=self._demand_per_engine(request, all_servers, now),
            now=now,
            ways=ways,
            usual=tables.pace.service(service.name),
            answer_ms=tables.pace.answer_ms(service.name),
            late=(
                tables.gaps.late_shares(request.service, target_ms)
                if prompt is not None and target_ms
                else None
            ),
        )

    def _demand_per_engine(
        self, request: RoutedRequest, all_servers: list[BackendServer], now: float
    ) -> float:
        """Return the demand for one engine of this region, relative to this instance's demand."""
        engines = self._engine_counts.count(request.service, all_servers, now)
        return self._tables.sharing() / engines

    def _judge(
        self,
        request: RoutedRequest,
        service: Service,
        excluded: frozenset[BackendServerId],
        closed_regions: frozenset[RegionName],
        has_begun: bool,
        software_version: SoftwareVersion | None,
        ways: Ways,
        now: float,
    ) -> Callable[[BackendServer], Standing]:
        """Return what judges whether a server may get the request."""
        tables, own_region = self._tables, self._region
        evacuated, health, limits = tables.fleet.evacuated, tables.health, tables.limits
        by_region: dict[RegionName, Standing] = {}

        def judge_region(region: RegionName) -> Standing:
            if region in closed_regions or not request.allows(region):
                return Standing.BARRED
            if region == own_region:
                return Standing.HEALTHY
            if request.origin is Origin.RELAY or ways.to(region) is None:
                return Standing.BARRED
            is_full = not has_begun and self._refusals.is_full(
                region, request.service, request.priority, _tokens(request), now
            )
            return Standing.REGION_FULL if is_full else Standing.HEALTHY

        def judge(server: BackendServer) -> Standing:
            region = server.region
            best = by_region.get(region)
            if best is None:
                best = by_region[region] = judge_region(region)
            if software_version is None:
                is_unfit = server.leaving
            else:
                is_unfit = not self._may_resume_at(server, software_version, excluded, now)
            if (
                best is Standing.BARRED
                or is_unfit
                or server.zone in evacuated
                or server.id in excluded
                or health.is_barred_at(server.id, now)
            ):
                return Standing.BARRED
            is_healthy = health.is_usable_at(server.id, now)
            standing = Standing.LAST_RESORT if server.leaving else best
            if ways.is_direct(region):
                if not self._may_send(server, service):
                    return Standing.BARRED
            else:
                if limits.is_limited(server.id):
                    # A low load only reflects the limit; the rate is left to its own region.
                    standing = Standing.LIMITED
                # A server that is down reports no load and looks best from another region.
                is_healthy = is_healthy and not tables.is_doubted_by_region(server.id)
            if is_healthy:
                return standing
            return Standing.DOUBTED if standing is Standing.HEALTHY else Standing.LAST_RESORT

        return judge

    def _may_resume_at(
        self,
        server: BackendServer,
        version: SoftwareVersion,
        excluded: frozenset[BackendServerId],
        now: float,
    ) -> bool:
        """Tell whether a stream that began at a software version may ever go on at a server.

        A leaving server may get it for a while, because servers of another version cannot resume it.
        """
        if server.software_version != version:
            return False
        if not server.leaving:
            return True
        is_recent = now - server.leaving_since_ms < self._tables.leaving_use_ms
        return is_recent and server.id not in excluded

    def _shortest_backoff_ms(
        self, request: RoutedRequest, servers: Sequence[BackendServer]
    ) -> float | None:
        """Return the time until a suitable server may take requests again, None if unknown."""
        left = [
            self._tables.health.backoff_left_ms(one.id)
            or self._tables.refusal_limits.retry_ms(one.id)
            for one in servers
            if _is_suitable(request, one) and one.zone not in self._tables.fleet.evacuated
        ]
        return min((one for one in left if one), default=None)

    def _may_send(self, server: BackendServer, service: Service) -> bool:
        """Tell whether the limits of a server of this region allow one more request now."""
        if not self._tables.limits.may_send(server.id):
            return False
        if not self._tables.refusal_limits.may_send(
            server.id, lambda: self._free_slots(server, service)
        ):
            return False
        return self._tables.cold.may_send(server, service.cold_requests_per_s)

    def _free_slots(self, server: BackendServer, service: Service) -> int:
        """Return the number of requests that a server could start at once, as far as is known."""
        slots = service.engine.slots if service.engine is not None else server.slots
        return max(slots - self._tables.loads.of(server).running, 0)

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
            self._tables.refusal_limits.note_sent(placement.server.id)
        if request.prompt is not None and service.engine is not None:
            self._tables.credit.note(request.service, request.prompt)
            self._tables.cache.note(
                request.prompt, placement.server.id, service.engine.cache_tokens
            )


def _is_suitable(request: RoutedRequest, server: BackendServer) -> bool:
    return not server.leaving and request.allows(server.region)


def _tokens(request: RoutedRequest) -> int:
    return request.prompt.tokens if request.prompt else 0
