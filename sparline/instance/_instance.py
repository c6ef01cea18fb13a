"""One instance: all parts put together, its tasks, its start and its planned stop."""

import contextlib
import random
import uuid
from collections.abc import Callable

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from websockets.exceptions import ConnectionClosed
from websockets.sync.connection import Connection
from websockets.sync.server import Server
from websockets.sync.server import serve as serve_websockets

from sparline._clock import now_ms
from sparline._ids import Incarnation, InstanceId
from sparline._logging import log
from sparline._metrics import Metrics
from sparline._wsgi import make_server
from sparline.backends import probe
from sparline.declarations import RecordStore, build_catalog
from sparline.dispatch import Dispatcher, DispatcherDependencies
from sparline.entry import EntryApp, EntryParts, Locator
from sparline.instance._control import Control, ControlParts
from sparline.instance._load_reader import LoadReader
from sparline.instance._records_sync import RecordsSync
from sparline.limits import LimitEnforcer, LimitExchange
from sparline.operations import Explainer, OperationsApp, StatusBoard
from sparline.orders import OrderHooks, OrderRunner
from sparline.peers import MAX_MESSAGE_BYTES, Dialer, Membership, Mesh, read_hello, stop_serving
from sparline.publication import PlatformClient, PlatformReader, ReaderHooks
from sparline.quarantine import (
    MIN_QUARANTINE_ENDS,
    CrashChange,
    CrashTable,
    RequestDigest,
    ServerEndCallbacks,
    ServerEndDetector,
    short_hex,
)
from sparline.relay import RelayReceiver, RelaySender
from sparline.requests import RequestLedger
from sparline.routing import (
    CandidateFinder,
    LoadTable,
    Policy,
    PrefixMap,
    SpareCapacity,
    SummaryTable,
)
from sparline.schema._messages import Hello, InstanceState, LinkPurpose
from sparline.schema._settings import Settings

# A start does not wait longer than this for a first configuration.
START_WAIT_MS = 10_000.0
START_STEP_MS = 50.0
DRAIN_STEP_MS = 50.0
# Callers and peers hear of a planned stop before the last port closes.
LEAVING_NOTICE_MS = 300.0
# A peer that does not answer a close is not waited for.
CLOSE_TIMEOUT_S = 0.5


class Instance:
    """Serve callers, peers and operators at one place."""

    def __init__(self, settings: Settings, policy: Policy) -> None:
        """Put the parts together; no port opens before `start`."""
        self.settings = settings
        self.incarnation = Incarnation(uuid.uuid4().hex[:12])
        self.metrics = Metrics()
        self.store = RecordStore()
        self._chance = random.Random()  # noqa: S311
        self._tasks: list[gevent.Greenlet] = []
        self._stopped = Event()
        hello = Hello(
            settings.instance_id,
            self.incarnation,
            settings.region,
            settings.availability_zone,
            LinkPurpose.control,
        )
        self.summaries = SummaryTable()
        self.loads = LoadTable(settings.availability_zone)
        self.membership = Membership(hello, self.summaries)
        self.ledger = RequestLedger(InstanceId(settings.instance_id), self.incarnation)
        self.membership.uptime_ms = self.ledger.uptime_ms
        self.dialer = Dialer(settings.listen.peers.ip, settings.timing.connect_timeout_ms)
        self._make_quarantine()
        self._make_routing(policy)
        self._make_control()
        self._make_servers()

    def _make_quarantine(self) -> None:
        self.crashes = CrashTable(self._note_crash, self._note_pushed_out)
        self.ends = ServerEndDetector(
            ServerEndCallbacks(
                probe=probe,
                heard_at_ms=lambda _server_id: 0.0,
                note_unreachable=lambda _server_id: None,
                on_end=lambda _server_id, sign: self.metrics.server_ends.labels(sign.value).inc(),
            )
        )

    def _note_crash(self, change: CrashChange) -> None:
        self.metrics.crashes.labels(
            change.learnt.value, str(min(change.ends, MIN_QUARANTINE_ENDS))
        ).inc()
        if change.concerns_suspect:
            log.warning(
                "quarantine: {} backend servers ended under request {}, told by {}",
                change.ends,
                short_hex(change.fact.digest),
                change.learnt.value,
            )
        self.control.tell_crash(change)

    def _note_pushed_out(self, digest: RequestDigest, ends: int) -> None:
        log.warning("quarantine: no room for request {} with {} ends", short_hex(digest), ends)

    def _make_routing(self, policy: Policy) -> None:
        settings = self.settings
        prefixes = PrefixMap()
        spare = SpareCapacity(self._chance)
        self.finder = CandidateFinder(
            settings.region, settings.availability_zone, self.loads, self.summaries, prefixes, spare
        )
        self.finder.reachable = self.membership.reachable
        self.relay_sender = RelaySender(self.membership, spare, self.metrics, self.dialer)
        self.relay_sender.is_region_allowed = lambda rule, region: (
            region in self.finder.catalog.allowed_regions(rule)
        )
        self.dispatcher = Dispatcher(
            DispatcherDependencies(
                finder=self.finder,
                policy=policy,
                loads=self.loads,
                prefixes=prefixes,
                metrics=self.metrics,
                relay=self.relay_sender.send,
                connect_timeout_ms=settings.timing.connect_timeout_ms,
                crashes=self.crashes,
                ends=self.ends,
            )
        )
        self.relay_receiver = RelayReceiver(self.membership, self.dispatcher, self.metrics)
        self.explainer = Explainer(self.finder, policy, settings.region)

    def _make_control(self) -> None:
        timing = self.settings.timing
        self.limits = LimitEnforcer()
        self.sync = RecordsSync(
            self.store, self.membership, self.metrics, self.dialer, self._records_changed
        )
        self.load_reader = LoadReader(self.membership, self.loads)
        self.control = Control(
            ControlParts(
                membership=self.membership,
                store=self.store,
                loads=self.loads,
                summaries=self.summaries,
                sync=self.sync,
                load_reader=self.load_reader,
                metrics=self.metrics,
                timing=timing,
                room_appeared=self.dispatcher.wait_queue.place_waiting,
                crashes=self.crashes,
            )
        )
        self.mesh = Mesh(
            self.membership,
            self.control,
            self.metrics,
            self.dialer,
            timing.peer_timeout_ms,
        )
        self.limit_exchange = LimitExchange(
            self.limits, self.membership, self.mesh, self.metrics, 3 * timing.limit_interval_ms
        )
        self.control.limit_exchange = self.limit_exchange
        hooks = OrderHooks(self.load_reader.read, timing.order_takeover_ms)
        self.orders = OrderRunner(self.membership, self.loads, self.summaries, hooks, self.metrics)
        client = PlatformClient(
            self.settings.platform_urls, self.settings.instance_id, self.settings.availability_zone
        )
        reader_hooks = ReaderHooks(
            has_duty=self.membership.has_platform_duty,
            freshness_ms=self.control.platform_age_ms,
            take=self.sync.take_from_platform,
        )
        self.reader = PlatformReader(
            client, self.store, reader_hooks, self.metrics, timing.platform_wait_ms, self._chance
        )
        self.control.reader = self.reader
        self.membership.platform_cut = self.reader.is_cut

    def _make_servers(self) -> None:
        self.status_board = StatusBoard(
            self.store, self.membership, self.loads, self.summaries, self.limits
        )
        self.locator = Locator(self.membership, self.loads, self.summaries)
        self.entry = EntryApp(
            EntryParts(
                self.dispatcher,
                self.ledger,
                self.limits,
                self.locator,
                self.membership,
                self.metrics,
            )
        )
        operations = OperationsApp(self.status_board, self.explainer, self.membership, self.metrics)
        listen = self.settings.listen
        self._callers: WSGIServer = make_server(listen.callers.ip, listen.callers.port, self.entry)
        self._operators: WSGIServer = make_server(
            listen.operators.ip, listen.operators.port, operations
        )
        self._peers: Server | None = None

    def _records_changed(self) -> None:
        catalog = build_catalog(self.store)
        holders = (self.finder, self.membership, self.relay_receiver, self.entry, self.locator)
        for holder in (*holders, self.explainer, self.limit_exchange, self.orders):
            holder.catalog = catalog
        self.control.catalog = catalog
        self.loads.refresh(catalog)
        self.load_reader.forget_gone()
        self.status_board.note_records()

    def start(self) -> None:
        """Open the ports, read the first configuration, and go live."""
        listen = self.settings.listen
        self._peers = serve_websockets(
            self._serve_peer,
            listen.peers.ip,
            listen.peers.port,
            compression=None,
            ping_interval=None,
            close_timeout=CLOSE_TIMEOUT_S,
            max_size=MAX_MESSAGE_BYTES,
        )
        self._operators.start()
        self._callers.start()
        self._spawn(self._peers.serve_forever)
        self._first_records()
        timing = self.settings.timing
        self._spawn(self.reader.run)
        self._every(timing.heartbeat_interval_ms, self._beat)
        self._every(timing.load_poll_interval_ms, self.load_reader.read_due)
        self._every(timing.limit_interval_ms, self.limit_exchange.report)
        self._every(timing.order_interval_ms, self.orders.tick)
        self.load_reader.read_first()
        self.membership.state = InstanceState.live
        log.info(
            "instance: live with {} records up to revision {}",
            len(self.store.in_force()),
            self.store.complete_revision,
        )

    def _spawn(self, task: Callable[[], None]) -> None:
        self._tasks.append(gevent.spawn(task))

    def _every(self, interval_ms: float, work: Callable[[], object]) -> None:
        def repeat() -> None:
            while True:
                began_ms = now_ms()
                work()
                gevent.sleep(max(interval_ms - (now_ms() - began_ms), interval_ms / 10) / 1000)

        self._spawn(repeat)

    def _first_records(self) -> None:
        """Ask peers before the platform: a stale replica must not come first."""
        self.sync.pull_from_seeds(self.settings.seed_peers)
        give_up_ms = now_ms() + START_WAIT_MS
        while now_ms() < give_up_ms:
            if self.reader.read_once(0) or self.store.in_force():
                return
            self.sync.pull_from_seeds(self.settings.seed_peers)
            gevent.sleep(START_STEP_MS / 1000)
        log.warning("instance: no configuration from platform or peers yet")

    def _beat(self) -> None:
        self.mesh.maintain()
        self.crashes.forget_old()
        self.control.beat()
        self.metrics.peers.set(len(self.membership.links()))
        self.metrics.waiting.set(len(self.dispatcher.wait_queue))

    def _serve_peer(self, connection: Connection) -> None:
        with contextlib.suppress(ConnectionClosed, OSError):
            self._serve_connection(connection)

    def _serve_connection(self, connection: Connection) -> None:
        hello = read_hello(connection)
        if hello.is_err():
            self.metrics.peer_events.labels("bad_hello").inc()
            return
        peer = hello.unwrap()
        match peer.purpose:
            case LinkPurpose.relay:
                self.relay_receiver.serve(connection, peer)
            case LinkPurpose.records:
                self.sync.serve(connection)
            case LinkPurpose.control:
                self.mesh.accept(connection, peer)

    def in_flight(self) -> int:
        """Return the requests that a planned stop must wait for."""
        return self.entry.in_flight + self.relay_receiver.in_flight

    def drain(self) -> None:
        """Take nothing new, tell everybody, and wait until nothing is in flight."""
        log.info("instance: leaving with {} requests in flight", self.in_flight())
        self.membership.state = InstanceState.leaving
        self.control.announce()
        began_ms = now_ms()
        while now_ms() - began_ms < self.settings.timing.drain_limit_ms:
            if not self.in_flight() and now_ms() - began_ms >= LEAVING_NOTICE_MS:
                break
            gevent.sleep(DRAIN_STEP_MS / 1000)
        log.info("instance: left with {} requests in flight", self.in_flight())

    def stop(self) -> None:
        """Close every port and link at once."""
        self._callers.stop(timeout=0.2)
        self._operators.stop(timeout=0.2)
        if self._peers is not None:
            stop_serving(self._peers)
        self.mesh.close()
        self.relay_sender.close()
        gevent.killall(self._tasks, block=False)
        self._stopped.set()

    def wait(self) -> None:
        """Wait until the instance has stopped."""
        self._stopped.wait()
