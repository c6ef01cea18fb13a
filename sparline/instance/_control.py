"""Control traffic of one instance: heartbeats, loads, summaries, and what peers send."""

from collections.abc import Callable
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from sparline._clock import now_ms
from sparline._ids import InstanceId, ZoneName
from sparline._logging import log
from sparline._metrics import Metrics
from sparline.declarations import Catalog, RecordStore
from sparline.instance._load_reader import LoadReader
from sparline.instance._records_sync import RecordsSync
from sparline.limits import LimitExchange
from sparline.peers import (
    EncodedMessage,
    Membership,
    Message,
    PeerLink,
    Receiver,
    Scope,
    next_hops,
    scope_of,
)
from sparline.quarantine import CrashChange, CrashTable, FactSource, to_crash_fact, to_crash_note
from sparline.routing import (
    LoadTable,
    Reporter,
    SummaryTable,
    SummaryVerdict,
    build_zone_summary,
    with_added_age,
)
from sparline.schema._gossip import CrashNews
from sparline.schema._messages import (
    Heartbeat,
    LimitReport,
    LimitShares,
    Records,
    RecordsPull,
    ZoneLoad,
    ZoneSummary,
)
from sparline.schema._settings import Timing

if TYPE_CHECKING:
    from sparline.publication import PlatformReader

# Told in heartbeats by an instance that knows of no answer of the platform.
NEVER = -1
FOREVER_MS = 1e12
# A gap between heartbeats of this many intervals means that the process was frozen.
PAUSE_INTERVALS = 6
# Links outside the zone get every so many heartbeats.
FAR_EVERY = 4
# Suspects that a new peer is told of (count).
MOST_TOLD_TO_NEW = 24


@dataclass(frozen=True, slots=True)
class ControlParts:
    """Hold what control traffic reads and writes."""

    membership: Membership  # who lives
    store: RecordStore  # records
    loads: LoadTable  # load of this zone
    summaries: SummaryTable  # load of other zones
    sync: RecordsSync  # records between instances
    load_reader: LoadReader  # which reports fall to this instance
    metrics: Metrics  # counters
    timing: Timing  # intervals
    room_appeared: Callable[[], None]  # called when there may be room again
    crashes: CrashTable  # backend servers that ended under requests


class Control(Receiver):
    """Send and take control messages."""

    def __init__(self, parts: ControlParts) -> None:
        """Start without a peer."""
        self.catalog = Catalog()  # replaced when the files change
        self.limit_exchange: LimitExchange | None = None  # set once it is made
        self.reader: PlatformReader | None = None  # set once it is made
        self._parts = parts
        self._sequence = 0
        self._summary_sequence = 0
        self._next_summary_ms = 0.0
        self._last_beat_ms = now_ms()
        self._to_pass_on: dict[ZoneName, tuple[float, ZoneSummary, list[PeerLink]]] = {}
        self._beats = 0
        self._platform_heard: dict[InstanceId, float] = {}

    def beat(self) -> None:
        """Send heartbeats, loads to siblings, and a summary when one is due."""
        self._notice_pause()
        zone = self._parts.membership.self_hello.availability_zone
        self._parts.loads.sharers = max(len(self._parts.membership.live_in_zone(zone)), 1)
        links = self._parts.membership.links()
        own = self._parts.membership.self_hello
        siblings = [link for link in links if scope_of(own, link.peer) is Scope.SIBLING]
        self._beats += 1
        # Siblings need loads often; other links only have to show that they live.
        due = links if self._beats % FAR_EVERY == 0 else siblings
        heartbeat = EncodedMessage.of(self._heartbeat())
        for link in due:
            link.send(heartbeat)
        self._send_load(siblings)
        self._send_passed_on()
        self._send_summary()

    def tell_crash(self, change: CrashChange) -> None:
        """Tell the fleet of a backend server that ended under a request, seen here."""
        if change.learnt is FactSource.HERE:
            self._spread_crashes([change], Scope.SELF, None)

    def _spread_crashes(
        self, changes: list[CrashChange], came_from: Scope, link: PeerLink | None
    ) -> None:
        hops = next_hops(self._parts.membership, came_from, came_from is not Scope.REGION)
        news = EncodedMessage.of(
            CrashNews([to_crash_note(one.fact) for one in changes], pass_on=True)
        )
        for hop in hops:
            if hop is not link:
                hop.send(news)

    def announce(self) -> None:
        """Tell every peer at once what state this instance is in."""
        heartbeat = EncodedMessage.of(self._heartbeat())
        for link in self._parts.membership.links():
            link.send(heartbeat)

    def _notice_pause(self) -> None:
        """Drop what siblings told before a freeze: it is older than it seems."""
        now = now_ms()
        gap_ms = now - self._last_beat_ms
        self._last_beat_ms = now
        if gap_ms < PAUSE_INTERVALS * self._parts.timing.heartbeat_interval_ms:
            return
        log.warning("control: this process was paused for {} ms", int(gap_ms))
        self._parts.metrics.pauses.inc()
        for link in self._parts.membership.links():
            self._parts.loads.forget_sibling(InstanceId(link.peer.instance_id))
        self._next_summary_ms = now + 2 * self._parts.timing.heartbeat_interval_ms

    def _heartbeat(self) -> Heartbeat:
        age_ms = self.platform_age_ms()
        return Heartbeat(
            state=self._parts.membership.state,
            uptime_ms=self._parts.membership.uptime_ms(),
            complete_revision=self._parts.store.complete_revision,
            digest=self._parts.store.digest,
            platform_age_ms=NEVER if age_ms >= FOREVER_MS else int(age_ms),
            platform_cut=self._parts.membership.platform_cut(),
        )

    def platform_age_ms(self) -> float:
        """Return the time since the platform answered this instance or one it hears of."""
        answers = list(self._platform_heard.values())
        if self.reader is not None and self.reader.last_answer_ms is not None:
            answers.append(self.reader.last_answer_ms)
        return now_ms() - max(answers) if answers else FOREVER_MS

    def _send_load(self, siblings: list[PeerLink]) -> None:
        self._sequence += 1
        read_here = self._parts.load_reader.read_here()
        load = EncodedMessage.of(self._parts.loads.own_load(self._sequence, read_here))
        for link in siblings:
            link.send(load)

    def _send_summary(self) -> None:
        if now_ms() < self._next_summary_ms or not self._parts.membership.has_zone_duty("summary"):
            return
        self._next_summary_ms = now_ms() + self._parts.timing.summary_interval_ms
        self._summary_sequence += 1
        own = self._parts.membership.self_hello
        reporter = Reporter(
            InstanceId(own.instance_id), own.incarnation, own.region, own.availability_zone
        )
        members = self._parts.membership.zone_members()
        made = build_zone_summary(
            reporter, self._summary_sequence, members, self._parts.loads, self.catalog
        )
        summary = EncodedMessage.of(made)
        for link in next_hops(self._parts.membership, Scope.SELF, about_own_region=True):
            link.send(summary)

    def on_link(self, link: PeerLink) -> None:
        """Greet a new peer with a heartbeat and what is known of other zones."""
        link.send(self._heartbeat())
        # What was told while there was no link is made up for.
        suspects = self._parts.crashes.facts(MOST_TOLD_TO_NEW, 0.0, FOREVER_MS)
        if suspects:
            link.send(CrashNews([to_crash_note(one) for one in suspects], pass_on=True))
        if scope_of(self._parts.membership.self_hello, link.peer) is Scope.SIBLING:
            for held in self._parts.summaries.fresh():
                link.send(with_added_age(held.summary, now_ms() - held.received_at_ms))

    def on_link_lost(self, link: PeerLink) -> None:
        """Drop what a lost peer told."""
        peer_id = InstanceId(link.peer.instance_id)
        log.info("peers: lost the link to {}", peer_id)
        self._parts.loads.forget_sibling(peer_id)
        self._platform_heard.pop(peer_id, None)

    def on_message(self, link: PeerLink, message: Message) -> None:
        """Take a message."""
        self._take(message, link)

    @singledispatchmethod
    def _take(self, message: Any, link: PeerLink) -> None:
        """Drop a connection that brings what does not belong on it."""
        log.warning(
            "control: {} sent a {} on a control link", link.peer.instance_id, type(message).__name__
        )
        link.close()

    @_take.register
    def _(self, message: Heartbeat, link: PeerLink) -> None:
        if message.platform_age_ms != NEVER:
            heard_ms = now_ms() - message.platform_age_ms
            peer_id = InstanceId(link.peer.instance_id)
            self._platform_heard[peer_id] = max(heard_ms, self._platform_heard.get(peer_id, 0.0))
        self._parts.sync.compare(link, message)

    @_take.register
    def _(self, message: ZoneLoad, link: PeerLink) -> None:
        if scope_of(self._parts.membership.self_hello, link.peer) is Scope.SIBLING:
            self._parts.loads.note_sibling(InstanceId(link.peer.instance_id), message)
            self._parts.room_appeared()

    @_take.register
    def _(self, message: ZoneSummary, link: PeerLink) -> None:
        own = self._parts.membership.self_hello
        came_from = scope_of(own, link.peer)
        if message.availability_zone == own.availability_zone:
            # A sibling sums up this zone; this instance may be the one with the links to regions.
            if came_from is Scope.SIBLING:
                self._pass_on(message, link, came_from, message.region == own.region)
            return
        verdict = self._parts.summaries.offer(message)
        if verdict is not SummaryVerdict.NEWER:
            self._parts.metrics.stale_summaries.labels(verdict.value).inc()
            return
        self._pass_on(message, link, came_from, message.region == own.region)

    def _pass_on(
        self, summary: ZoneSummary, link: PeerLink, came_from: Scope, own_region: bool
    ) -> None:
        """Pass a summary on with the next heartbeat, so that many travel in one frame."""
        hops = next_hops(self._parts.membership, came_from, own_region)
        following = [one for one in hops if one is not link]
        if following:
            zone = ZoneName(summary.availability_zone)
            self._to_pass_on[zone] = (now_ms(), summary, following)

    def _send_passed_on(self) -> None:
        pending, self._to_pass_on = self._to_pass_on, {}
        for received_at_ms, summary, links in pending.values():
            encoded = EncodedMessage.of(with_added_age(summary, now_ms() - received_at_ms))
            for link in links:
                link.send(encoded)

    @_take.register
    def _(self, message: RecordsPull, link: PeerLink) -> None:
        self._parts.sync.answer_pull(link, message)

    @_take.register
    def _(self, message: Records, link: PeerLink) -> None:
        self._parts.sync.take(link, message)

    @_take.register
    def _(self, message: CrashNews, link: PeerLink) -> None:
        changes = self._parts.crashes.take(map(to_crash_fact, message.crashes))
        if changes:
            came_from = scope_of(self._parts.membership.self_hello, link.peer)
            self._spread_crashes(changes, came_from, link)

    @_take.register
    def _(self, message: LimitReport, link: PeerLink) -> None:
        if self.limit_exchange is not None:
            self.limit_exchange.take_report(link, message)

    @_take.register
    def _(self, message: LimitShares, link: PeerLink) -> None:
        if self.limit_exchange is not None:
            self.limit_exchange.take_shares(message)
