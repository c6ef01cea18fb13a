"""The components of a gateway instance and their connections."""

import random
import time
from collections import OrderedDict

from sparline._clock import PauseWatch, now_ms
from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline._logging import log
from sparline.decisions import EndEvidence, Liveness, counted_exit
from sparline.fleet import (
    NO_POSITION,
    WATCHERS_PER_ZONE,
    AdmissionExchange,
    BackendServer,
    CrashExchange,
    FleetState,
    GossipPort,
    GossipSources,
    LoadExchange,
    LoadSources,
    Members,
    PartExchange,
    QuotaExchange,
    ServerLoad,
    StoreConfirmation,
    StoreCopyTable,
    StorePosition,
    StoreReader,
    is_first_watcher,
    is_store_watcher,
    make_member_note,
)
from sparline.forwarding import (
    RetryRule,
    RetryWindow,
)
from sparline.gateway._admission import AdmissionGate
from sparline.gateway._admission_sources import make_admission_sources
from sparline.gateway._configuration_check import ConfigurationCheck
from sparline.gateway._connection_bounds import BYTES_PER_MB, make_connection_bounds
from sparline.gateway._connection_table import ConnectionEnd
from sparline.gateway._directory import Directory
from sparline.gateway._leave_plan import LAST_INSTANCE_ACCEPT_FRACTION
from sparline.gateway._metrics import GatewayMetrics
from sparline.gateway._occupancy import RegionOccupancy
from sparline.gateway._peer_table import PeerTable
from sparline.gateway._quotas import QuotaParameterTable, Quotas
from sparline.gateway._rank_table import RankTable
from sparline.gateway._region_servers import RegionServers
from sparline.gateway._request_log import RequestLog, StoreContact
from sparline.gateway._server_connectivity import ConnectivitySources, ServerConnectivity
from sparline.gateway._service import Service
from sparline.gateway._settings import split_address
from sparline.gateway._store_sync import StoreSync
from sparline.gateway._stream_versions import FoundVersion, StreamVersions, StreamVersionSources
from sparline.http import ConnectionPool
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
    RefusalLimitTable,
    ServerLimitShares,
    ServerLimitTable,
)
from sparline.platform import (
    ItemReader,
    ServerWire,
    StoreHttpClient,
)
from sparline.quarantine import (
    CrashChange,
    CrashTable,
    PartChange,
    PartTable,
    ServerEndCallbacks,
    ServerEndDetector,
)
from sparline.quotas import NO_TOLERANCE, QuotaLimiter, QuotaTolerance
from sparline.requests import RoutedRequest
from sparline.schema._gateway import GatewaySettings

# Maximum number of remembered server starts that have ended. Requests sent to them end within
# seconds.
MAX_ENDED_STARTS = 4_096
# Fraction of the time for which a server that has announced that it leaves may get requests, from
# when this instance hears of it: it hears of it late.
LEAVING_USE_FRACTION = 1 / 3


class GatewayComponents:
    """Hold the components of an instance, connected by callbacks."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Create all components without opening any port."""
        self.settings = settings
        self.metrics = GatewayMetrics()
        self.metrics.memory_limit.set(settings.memory_mb * BYTES_PER_MB)
        self.metrics.descriptor_limit.set(settings.file_descriptors)
        self.request_log = RequestLog(self.metrics)
        self.pause_watch = PauseWatch(self._on_process_pause)
        region = RegionName(settings.region)
        zones = {ZoneName(one): RegionName(of) for one, of in settings.zone_regions.items()}
        started_ms = int(time.time() * 1000)
        self.members = Members(
            make_member_note(
                settings.ip, settings.name, region, settings.availability_zone, started_ms
            )
        )
        self.fleet = FleetState(
            ItemReader(zones),
            self.metrics.bad_items.inc,
            lambda: self.reader.outage.age_ms(),
            zones,
            self._on_server_restart,
            self._on_server_gone,
            self._peers_showed_ago_ms,
        )
        self.crashing_parts = PartTable(self._on_part_change, self.request_log.note_part_quarantine)
        self.crashes = CrashTable(
            self._on_crash_change,
            self.request_log.note_pushed_out,
            self.crashing_parts.explains,
        )
        self.ended_starts: OrderedDict[BackendServerId, None] = OrderedDict()
        self.copy = StoreCopyTable(self.fleet.take)
        store = split_address(settings.store)

        def count_call(call: str, result: str) -> None:
            self.metrics.store_calls.labels(call, result).inc()

        self.confirmation = StoreConfirmation(
            StoreHttpClient(store), self.copy, count_call, lambda: self.reader.outage.note_end()
        )
        self.reader = StoreReader(
            StoreHttpClient(store),
            self.copy,
            count_call,
            self._newest_peer_position,
            lambda: WATCHERS_PER_ZONE * len(zones),
            lambda: is_store_watcher(self.members),
            lambda: is_first_watcher(self.members),
            None if settings.first_start else self.fleet.note_past_evacuation,
        )
        self.relay_port = split_address(settings.listen.relay)[1]
        last_instance_accept_ms = LAST_INSTANCE_ACCEPT_FRACTION * settings.grace_s * 1000
        self.peers = PeerTable(self.members, last_instance_accept_ms)
        self.pool = ConnectionPool(lambda _address: self.metrics.connections.inc())
        self.connectivity = ServerConnectivity(
            ConnectivitySources(
                lambda count: self.region_servers.sample(count),
                lambda address, timeout_ms: self.region_servers.is_present(address, timeout_ms),
                self._on_connectivity_change,
            )
        )
        self.region_servers = RegionServers(
            region, self.fleet, self.pool, ServerWire(), self.connectivity.check
        )
        self._build_placement(region)
        self.end_detector = ServerEndDetector(
            ServerEndCallbacks(
                self.region_servers.probe,
                self.health.heard_at_ms,
                self.health.note_unreachable,
                self.request_log.note_server_end,
            )
        )
        quota_settings = settings.quotas
        tolerance = (
            QuotaTolerance(quota_settings.window_s, quota_settings.excess, quota_settings.slack)
            if quota_settings
            else NO_TOLERANCE
        )
        self.quota_exchange = QuotaExchange(
            self.members,
            QuotaLimiter(tolerance, random.Random()),
            QuotaParameterTable(self.fleet, tolerance).parameters_of,
        )
        self.quotas = Quotas(self.quota_exchange, lambda: self.gossip, self.metrics)
        ranks = RankTable(self.fleet, settings.admission is None or settings.admission.enabled)
        occupancy = RegionOccupancy(
            region, self.fleet, self.loads, self.pace, lambda one: not self._is_doubted(one)
        )
        sources = make_admission_sources(self.fleet, ranks, occupancy.of)
        self.admission_exchange = AdmissionExchange(self.members, sources)
        self.admission = AdmissionGate(
            region, self.fleet, ranks, self.admission_exchange, self.metrics
        )
        self.stream_versions = StreamVersions(
            self.members,
            self.fleet.software_versions,
            StreamVersionSources(
                lambda datagrams: self.gossip.send_immediately(datagrams),
                self.confirmation.request,
                self._may_store_answer,
                lambda: self.copy.skipped_at_ms,
                lambda: self.fleet.former_configurations.has_no_route_moved(
                    self.fleet.configuration
                ),
                self._note_resumption,
            ),
            settings.first_start,
        )
        self.service = Service(
            self.fleet,
            self.copy,
            self.request_log,
            self.pace,
            self.reader.outage.age_ms,
            ConfigurationCheck(self.confirmation.request, self._is_peer_ahead).is_current,
            self.quotas,
            self.admission,
            self.crashing_parts,
            make_connection_bounds(settings, self._on_connections_closed),
        )
        self.part_exchange = PartExchange(self.members, self.crashing_parts)
        gossip_port = split_address(settings.listen.gossip)[1]
        self.gossip = GossipPort(
            gossip_port,
            [split_address(seed)[0] for seed in settings.seeds],
            self.members,
            self.load_exchange,
            CrashExchange(self.crashes),
            self.part_exchange,
            self.quota_exchange,
            self.admission_exchange,
            self.stream_versions.exchange,
            GossipSources(
                self.cache.recent_prefix_uses,
                self.cache.merge_prefix_uses,
                self.server_limits.limits_to_send,
                self.server_limits.merge_limits,
                lambda: self.copy.position,
                self.reader.reached,
                lambda: self.fleet.configuration_version,
            ),
        )
        callers_port = split_address(settings.listen.callers)[1]
        self.directory = Directory(self.members, self.fleet, callers_port, last_instance_accept_ms)
        self.sync = StoreSync(
            self.members, self.copy, self.reader, self.fleet, self.metrics, self.relay_port
        )

    def _build_placement(self, region: RegionName) -> None:
        self.health = HealthTable(self.pause_watch.process_resumed_at_ms)
        self.load_exchange = LoadExchange(
            self.members,
            LoadSources(
                lambda: self.loads.own_in_region(),
                lambda server_id: self.loads.own(server_id),
                self._doubted_in_own_region,
                self.health.is_doubted,
                lambda: self.fleet.ids_in(region),
                lambda server_id, log_factor: self.pace.note_log_factor(server_id, log_factor),
            ),
        )
        load_table = self.load_exchange.load_table
        self.loads = LoadTable(region, load_table.load, self._on_load_change)
        self.server_limits = ServerLimitTable(self.request_log.note_server_limit)
        self.refusal_limits = RefusalLimitTable(
            lambda: len(self.members.sharers(region)), self.request_log.note_refusal_limit
        )
        self.cache = PromptCache(
            owners_have_cached=not self.settings.first_start,
            sharing=lambda: len(self.members.live(region)) + 1,
        )
        self.pace = PaceTable()
        self.gaps = GapTable()

        def sharers() -> list[str]:
            return self.members.sharers(region)

        def is_settled() -> bool:
            return self.members.are_sharers_settled(region)

        tables = PlacementTables(
            fleet=self.fleet,
            loads=self.loads,
            health=self.health,
            cold=ColdShares(self.settings.ip, sharers, is_settled, self.request_log.note_cold_use),
            limits=ServerLimitShares(
                self.server_limits, RateShares(self.settings.ip, sharers, is_settled)
            ),
            cache=self.cache,
            pace=self.pace,
            gaps=self.gaps,
            credit=CreditTable(),
            demand=DemandTable(),
            sharing=lambda: len(self.members.live(region)) + 1,
            peers=self.peers.usable,
            round_trip_ms=self.peers.round_trip_ms,
            load_age_ms=load_table.age_ms,
            is_doubted_by_region=load_table.is_doubted,
            refusal_limits=self.refusal_limits,
            is_isolated=lambda: self.connectivity.is_isolated,
            leaving_use_ms=LEAVING_USE_FRACTION * self.settings.server_drain_ms,
        )
        place = InstanceLocation(region, ZoneName(self.settings.availability_zone))
        self.chooser = Chooser(place, tables, random.Random())
        retries = self.settings.retries
        rule = RetryRule(retries.ratio, retries.slack, retries.window_s * 1000)
        self.retries = RetryWindow(
            rule,
            self.members.budget_sharer_count,
            self.members.are_sharers_settled,
            self.settings.first_start,
        )

    def _on_connectivity_change(self, is_isolated: bool) -> None:
        """Forget failures on the way to servers that is no longer used, and tell the other instances."""
        self.metrics.isolated.set(is_isolated)
        self.health.forget_failures(self.fleet.ids_in(self.members.own.region))
        self.gossip.announce_servers_reached(not is_isolated)

    def _on_load_change(
        self, server: BackendServer, change: ServerLoad, log_factor: float | None
    ) -> None:
        is_in_own_region = server.region == self.members.own.region
        self.gossip.send_immediately(
            self.load_exchange.note_change(server.id, change, log_factor, is_in_own_region)
        )

    def _is_doubted(self, server_id: BackendServerId) -> bool:
        """Tell whether a server has recently failed this instance or one of its region."""
        by_region = self.load_exchange.load_table.is_doubted(server_id)
        return by_region or self.health.is_doubted(server_id)

    def _doubted_in_own_region(self) -> list[str]:
        region = self.members.own.region
        return [one for one in self.fleet.ids_in(region) if self.health.is_doubted(one)]

    def _on_server_restart(self, server: BackendServer) -> None:
        """Close idle connections to a replaced start, and record the end for requests on it."""
        self.pool.forget(server.address)
        self.ended_starts[server.id] = None
        if len(self.ended_starts) > MAX_ENDED_STARTS:
            self.ended_starts.popitem(last=False)

    def _on_connections_closed(self, why: ConnectionEnd, count: int) -> None:
        self.metrics.closed_connections.labels(why.value).inc(count)
        self.service.memory_log.note_closed(why, count)

    def _on_process_pause(self, pause_ms: float) -> None:
        self.metrics.pauses.inc()
        log.bind(pause_ms=round(pause_ms)).warning("process_paused")

    def _on_server_gone(self, server: BackendServer) -> None:
        """Count the end of a removed server for the requests that were interrupted on it."""
        for liveness in Liveness:
            counted = counted_exit(server.id, EndEvidence.GONE, liveness)
            for request in self.end_detector.note_removed(server.id, liveness):
                self.crashes.note_end(request.digest, counted)
                self.crashing_parts.note_exit(request, counted)

    def _on_crash_change(self, change: CrashChange) -> None:
        self.request_log.note_crash(change, self.crashes.quarantine_left_ms(change.fact.digest))
        self.gossip.broadcast_crash(change)

    def _on_part_change(self, change: PartChange) -> None:
        self.request_log.note_part_change(change)
        self.gossip.send_immediately(self.part_exchange.urgent_news(change))

    def _may_store_answer(self) -> bool:
        """Return whether the store answers this instance, or others if this one does not watch it."""
        is_reached = self.reader.reached() or self.members.is_store_reached()
        return is_reached and not self.confirmation.has_failed

    def _note_resumption(
        self, request: RoutedRequest, found: FoundVersion, waited_ms: float
    ) -> None:
        answered_at_ms = self.reader.answered_at_ms
        contact = StoreContact(
            self.copy.revision,
            now_ms() - answered_at_ms if answered_at_ms else None,
            len(self.members.live()),
        )
        self.request_log.note_resumption(request, found, waited_ms, contact)

    def _newest_peer_position(self) -> StorePosition:
        return max((one.store_position for one in self.members.live()), default=NO_POSITION)

    def _peers_showed_ago_ms(self, revision: int) -> float:
        position = StorePosition(self.copy.position.era, revision)
        return self.members.peer_positions.shown_ago_ms(position)

    def _is_peer_ahead(self) -> bool:
        """Return whether a live instance follows a newer configuration than this one."""
        own_version = self.fleet.configuration_version
        return any(one.configuration_version > own_version for one in self.members.live())
