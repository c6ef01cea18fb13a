"""The life cycle of a gateway instance: ports, tasks, reload and stop."""

from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from sparline._ids import RegionName
from sparline._logging import log
from sparline._wsgi import make_server
from sparline.gateway._components import GatewayComponents
from sparline.gateway._forwarders import FOR_CALLERS, FOR_PEERS, make_forwarder
from sparline.gateway._housekeeping import remove_lapsed_servers, run_housekeeping
from sparline.gateway._operator_app import make_operator_app
from sparline.gateway._planned_stop import make_leave_plan, wait_until_closed, wait_until_done
from sparline.gateway._run_time_collection import RunTimeCollection
from sparline.gateway._settings import split_address
from sparline.platform import (
    make_directory_app,
    make_readiness_app,
)
from sparline.requests import Origin
from sparline.schema._gateway import GatewaySettings
from sparline.schema._gossip import MemberPhase

# Maximum number of connections waiting to be accepted: many callers may connect at once.
LISTEN_BACKLOG = 1_024
# Interval at which a starting instance checks for a configuration (ms). It is short because callers
# wait meanwhile.
CONFIGURATION_POLL_INTERVAL_MS = 10.0


class Gateway(GatewayComponents):
    """Serve callers, peers and the platform's requests for readiness, directory and metrics."""

    def __init__(self, settings: GatewaySettings) -> None:
        """Create all components without opening any port."""
        super().__init__(settings)
        self.service.set_forwarders(
            make_forwarder(self, FOR_CALLERS), make_forwarder(self, FOR_PEERS)
        )
        self._stopped = Event()
        self._servers: list[StreamServer] = []
        self._apps: list[WSGIServer] = []
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Open the ports and start the background tasks; raise `OSError` if a port is in use."""
        listen = self.settings.listen
        self._listen(listen.callers, self.service.serve_caller)
        self._listen(listen.relay, self.service.serve_peer)
        self._serve_app(listen.readiness, make_readiness_app(self.is_ready))
        self._serve_app(listen.directory, make_directory_app(self.directory.find))
        operator_app = make_operator_app(self._render_metrics, self.crashing_parts)
        self._serve_app(listen.metrics, operator_app)
        tasks = (
            self._go_live,
            self.gossip.read,
            self.gossip.run,
            self.reader.run,
            self.sync.run,
            self.connectivity.run,
            lambda: run_housekeeping(self),
            lambda: remove_lapsed_servers(self),
        )
        self._tasks += [gevent.spawn(task) for task in tasks]

    def _listen(self, address: str, handle: Callable) -> None:
        server = StreamServer(split_address(address), handle, backlog=LISTEN_BACKLOG)
        server.start()
        self._servers.append(server)

    def _serve_app(self, address: str, app: Callable) -> None:
        ip, port = split_address(address)
        server = make_server(ip, port, app)
        server.start()
        self._apps.append(server)

    def _render_metrics(self) -> bytes:
        self.metrics.in_flight.set(len(self.service.in_flight))
        self.admission.update_metrics()
        self.metrics.quotas_kept.set(len(self.quota_exchange.quota_coordinator))
        self.metrics.quarantined.set(self.crashes.quarantined())
        self.metrics.quarantined_parts.set(len(self.crashing_parts.quarantined()))
        self.metrics.limited_servers.set(self.server_limits.limited_count())
        self.metrics.refusal_limited.set(self.refusal_limits.limited_count())
        self.metrics.members.set(len(self.members.live()))
        own_region = RegionName(self.settings.region)
        self.metrics.region_sharers.set(len(self.members.sharers(own_region)))
        self.metrics.region_settled.set(self.members.are_sharers_settled(own_region))
        self.metrics.store_revision.set(self.copy.revision)
        self.metrics.store_era.set(self.copy.position.era)
        lines_left_out = self.request_log.left_out() + self.service.memory_log.left_out()
        self.metrics.lines_left_out.set(lines_left_out)
        self.metrics.held_bytes.set(self.service.held.total_bytes)
        self.metrics.callers_connections.set(self.service.connection_count(Origin.CALLER))
        self.metrics.unfinished_bodies.set(self.service.held.unfinished_count)
        configuration = self.fleet.configuration
        self.metrics.configuration_version.set(configuration.version if configuration else 0)
        return self.metrics.render()

    def is_ready(self) -> bool:
        """Return whether callers should use this instance."""
        return self.members.own.phase is MemberPhase.live

    def _go_live(self) -> None:
        """Announce that this instance is live once it has a configuration."""
        while self.fleet.configuration is None:
            gevent.sleep(CONFIGURATION_POLL_INTERVAL_MS / 1000)
        self.fleet.started = True
        # What came and went before this is asked of other instances, as for any restart.
        self.copy.skipped_at_ms = 0.0
        if self.members.own.phase is MemberPhase.starting:
            self.gossip.announce(MemberPhase.live)
            log.bind(
                version=self.fleet.configuration.version, servers=len(self.fleet.servers)
            ).info("instance_live")
        self.stream_versions.catch_up(lambda: list(self.fleet.by_service))

    def reload(self, settings: GatewaySettings) -> list[str]:
        """Apply changed settings; return the names of those that need a restart."""
        self.gossip.seeds = [split_address(seed)[0] for seed in settings.seeds]
        changed = [
            name
            for name in settings.__struct_fields__
            if getattr(settings, name) != getattr(self.settings, name)
        ]
        self.settings = settings
        reloadable = ("seeds", "log_level", "grace_s")
        return [name for name in changed if name not in reloadable]

    def leave(self) -> None:
        """Stop as planned: announce it, serve late requests, and complete those in flight."""
        if self.service.leave_plan is not None:
            return
        plan = make_leave_plan(self.members, self.service, self.settings.grace_s * 1000)
        self.service.leave_plan = plan
        self.gossip.announce(MemberPhase.leaving)
        RunTimeCollection(self.members, self.service.run_times, self.relay_port).start()
        in_flight = len(self.service.in_flight)
        log.bind(in_flight=in_flight, grace_ms=plan.grace_ms).info("instance_leaving")
        wait_until_closed(plan, self.service)
        for server in self._servers:
            server.close()
        wait_until_done(plan, self.service)
        self.request_log.note_cut_by_exit(self.service.in_flight)
        log.bind(in_flight=len(self.service.in_flight)).info("instance_stopped")
        self._stopped.set()

    def wait(self) -> None:
        """Wait until the instance has stopped."""
        self._stopped.wait()

    def stop(self) -> None:
        """Stop at once, as if the process had crashed."""
        gevent.killall(self._tasks, block=False)
        for server in (*self._servers, *self._apps):
            server.stop(timeout=0)
        self.service.close_all()
        self.gossip.close()
        self._stopped.set()
