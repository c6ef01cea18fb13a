"""Exchange of backend server loads: per-instance shares go to aggregators, sums to all instances.

An instance sends its share of a backend server's load to the server's aggregator, an instance of
the region that sums all shares and publishes the sum as a reading with its age, and to a second
instance, which takes over if the first falls silent. Instances relay the newest reading that they
hold.
Readings are therefore as fresh in a region of 70 instances as in one of 5, and the data that an
instance receives grows with the number of servers in the region, not with servers times instances.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName
from sparline.fleet._load_board import LOAD_MAX_AGE_MS, LoadReading, ServerLoadTable
from sparline.fleet._load_shares import Aggregators, ShareTable
from sparline.fleet._loads import ServerLoad, read_load, sum_loads, write_load
from sparline.fleet._members import Member, Members
from sparline.fleet._news_allowance import BroadcastAllowance
from sparline.schema._gossip import (
    LoadNews,
    LoadReadingNote,
    LoadShareNote,
    LoadShares,
    LoadWord,
)

# A change of at least this many unread tokens is reported to the aggregators immediately, as is any
# change in running requests: at 50 tokens per millisecond, 200 tokens take 4 ms of prefill.
IMMEDIATE_SHARE_TOKENS = 200
# A prefill of at least this many tokens is broadcast to all siblings immediately: at 50 tokens per
# millisecond, 1,500 tokens take 30 ms, a tenth of what noticeably delays other streams.
ALWAYS_BROADCAST_TOKENS = 1_500
# Prefills of at least this many tokens (8 ms) are also broadcast, subject to a rate limit, so that
# siblings don't choose the same engine. Smaller ones are only included in the readings.
MIN_BROADCAST_TOKENS = 400
# Minimum error of an instance's estimate of a server's running requests, as a count and as a
# fraction of them, that the aggregator corrects immediately. Readings are sent in rounds, and
# dozens of short requests arrive between two rounds: without the correction, all instances of a
# region send them to the same idle engine until the next round.
CORRECTION_MIN_COUNT = 4
CORRECTION_MIN_FRACTION = 0.25
# Scale of the slowdown in messages, which hold thousandths of its natural logarithm.
MILLI = 1_000
# Number of rounds after which all shares are sent again, since a datagram may have been lost.
SHARE_REFRESH_ROUNDS = 4
# A new aggregator of a server publishes no readings for this long (ms), until it has received every
# share. Without the delay, each starting instance would report every server as idle.
AGGREGATOR_WARM_UP_MS = 1_300.0
# Age of a reading at which the second aggregator takes over from the first as silent (ms).
TAKEOVER_AGE_MS = 600.0
# Maximum age of a reading that is relayed (ms): older ones have already reached all instances.
RELAY_MAX_AGE_MS = 1_000.0
# Maximum number of readings in a datagram, newest first, which keeps it below 1,400 bytes: own
# region's readings to a sibling, other regions' readings to a sibling, and own region's readings to
# another region.
MAX_SIBLING_READINGS = 16
MAX_RELAYED_READINGS = 5
MAX_CROSS_REGION_READINGS = 36
# Pending requests of one rank take up to this part of the bytes of a reading without any: four
# bytes, of some 28.
PENDING_RANK_SIZE = 0.15
# A local change made less than this long before a reading was computed may not be included in it
# (ms): the transit time to the aggregator, within a region and from another region.
REGION_TRANSIT_MS = 3.0
CROSS_REGION_TRANSIT_MS = 120.0


@dataclass(frozen=True, slots=True)
class LoadSources:
    """Hold the callbacks that supply this instance's own load and consume measurements."""

    # Own load on each server of the region.
    own_loads: Callable[[], dict[BackendServerId, ServerLoad]]
    own_load: Callable[[BackendServerId], ServerLoad]  # own load on one server
    doubted: Callable[[], list[BackendServerId]]  # region's servers that failed it recently
    is_doubted: Callable[[BackendServerId], bool]  # whether a server failed it recently
    region_servers: Callable[[], list[BackendServerId]]  # all servers of the region
    # Records the logarithm of the slowdown factor that a sibling observed in a server's prefill.
    note_log_factor: Callable[[BackendServerId, float], None]


@dataclass(frozen=True, slots=True)
class LoadDatagram:
    """Hold a datagram to send and its recipients."""

    peers: list[str]  # recipient addresses
    message: LoadShares | LoadNews | LoadWord  # content


class LoadExchange:
    """Select the load reports to send and record those received; sends nothing itself."""

    def __init__(self, members: Members, sources: LoadSources) -> None:
        """Create an exchange with the members of a fleet."""
        self.load_table = ServerLoadTable()
        self._members = members
        self._sources = sources
        self._shares = ShareTable()
        self._broadcast_allowance = BroadcastAllowance()
        self._aggregators = Aggregators()
        self._sequence = 0
        self._round = 0
        self._aggregator_since_ms: dict[BackendServerId, float] = {}

    def note_change(
        self,
        server_id: BackendServerId,
        change: ServerLoad,
        log_factor: float | None,
        is_same_region: bool,
    ) -> list[LoadDatagram]:
        """Record a change of this instance's load on a server.

        `log_factor` is the logarithm of the slowdown factor measured in a prefill, if any. Returns
        the datagrams to send immediately.
        """
        self.load_table.note_change(server_id, change)
        if not is_same_region:
            # The instance of that region that receives the request reports it.
            return []
        outgoing = []
        if change.running or abs(change.unread_tokens) >= IMMEDIATE_SHARE_TOKENS:
            believed = self.load_table.load(server_id) if change.running > 0 else None
            running = None if believed is None else believed.running
            outgoing += self._share_datagrams(self._aggregators.of(server_id), [server_id], running)
        if abs(change.unread_tokens) >= MIN_BROADCAST_TOKENS:
            outgoing += self._broadcast_change(server_id, change, log_factor)
        return outgoing

    def _broadcast_change(
        self, server_id: BackendServerId, change: ServerLoad, log_factor: float | None
    ) -> list[LoadDatagram]:
        """Return the broadcast to siblings about a prefill that starts or ends, if any."""
        siblings = [one.note.ip for one in self._siblings()]
        is_long = abs(change.unread_tokens) >= ALWAYS_BROADCAST_TOKENS
        if not is_long and not self._broadcast_allowance.take(len(siblings) + 1):
            return []
        slower_milli = round((log_factor or 0.0) * MILLI)
        return [LoadDatagram(siblings, LoadNews(write_load(server_id, change), slower_milli))]

    def _siblings(self) -> list[Member]:
        return self._members.live(RegionName(self._members.own.region))

    def _share_datagrams(
        self,
        ips: Iterable[str],
        servers: list[BackendServerId],
        believed_running: int | None = None,
    ) -> list[LoadDatagram]:
        own = self._members.own
        peers = [ip for ip in ips if ip != own.ip]
        if not peers or not servers:
            return []
        self._sequence += 1
        own_load, is_doubted = self._sources.own_load, self._sources.is_doubted
        notes = [LoadShareNote(write_load(one, own_load(one)), is_doubted(one)) for one in servers]
        shares = LoadShares(own.ip, own.incarnation, self._sequence, notes, believed_running)
        return [LoadDatagram(peers, shares)]

    def round(self) -> list[LoadDatagram]:
        """Update the readings that this instance aggregates; return the shares due again."""
        self._round += 1
        own_ip = self._members.own.ip
        siblings = [one.note.ip for one in self._siblings()]
        self._aggregators.set_candidates(tuple(sorted([*siblings, own_ip])))
        self._update_readings()
        if self._round % SHARE_REFRESH_ROUNDS:
            return []
        self._shares.forget_old()
        self.load_table.forget_old()
        by_peer: dict[str, list[BackendServerId]] = {}
        for server_id in {**self._sources.own_loads(), **dict.fromkeys(self._sources.doubted())}:
            for ip in self._aggregators.of(server_id):
                by_peer.setdefault(ip, []).append(server_id)
        return [one for ip, some in by_peer.items() for one in self._share_datagrams([ip], some)]

    def _update_readings(self) -> None:
        now = now_ms()
        own_ip = self._members.own.ip
        were_loads_known = self._are_loads_known()
        aggregated: dict[BackendServerId, float] = {}
        for server_id in self._sources.region_servers():
            aggregators = self._aggregators.of(server_id)
            if own_ip not in aggregators:
                continue
            aggregated[server_id] = self._aggregator_since_ms.get(
                server_id, now if were_loads_known else 0.0
            )
            if not self._should_publish(
                server_id, aggregators[0] == own_ip, now - aggregated[server_id]
            ):
                continue
            self.load_table.take(server_id, self._aggregate(server_id, now))
        self._aggregator_since_ms = aggregated
        self._aggregators.retain(set(self._sources.region_servers()))

    def _aggregate(self, server_id: BackendServerId, now: float) -> LoadReading:
        """Return the region's total load on a server that this instance aggregates."""
        others = self._shares.sum(server_id)
        load = sum_loads((self._sources.own_load(server_id), others.load))
        is_doubted = others.is_doubted or self._sources.is_doubted(server_id)
        return LoadReading(now, now, load, is_doubted)

    def _are_loads_known(self) -> bool:
        """Return whether loads may be known in the region, so that a new aggregator has to wait.

        An instance that has heard siblings but received no reading from them started together with
        them.
        """
        if self.load_table.newer_than(LOAD_MAX_AGE_MS):
            return True
        return not self._siblings()

    def _should_publish(
        self, server_id: BackendServerId, is_first: bool, role_age_ms: float
    ) -> bool:
        """Return whether this instance should publish its sum for a server."""
        if role_age_ms < AGGREGATOR_WARM_UP_MS:
            return False
        age_ms = self.load_table.age_ms(server_id)
        return is_first or age_ms is None or age_ms >= TAKEOVER_AGE_MS

    def readings_for(self, is_same_region: bool) -> list[LoadReadingNote]:
        """Return the readings to send to a peer of the own region, or of another."""
        own_servers = set(self._sources.region_servers())
        fresh = self.load_table.newer_than(RELAY_MAX_AGE_MS)
        own_region = [pair for pair in fresh if pair[0] in own_servers]
        if not is_same_region:
            return _reading_notes(_fitting(own_region, MAX_CROSS_REGION_READINGS))
        other_regions = [pair for pair in fresh if pair[0] not in own_servers]
        return _reading_notes(
            _fitting(own_region, MAX_SIBLING_READINGS)
            + _fitting(other_regions, MAX_RELAYED_READINGS)
        )

    def take_readings(self, notes: list[LoadReadingNote]) -> None:
        """Merge a peer's readings; the newest reading of each server is kept."""
        now = now_ms()
        own_servers: set[BackendServerId] | None = None
        for note in notes:
            server_id = BackendServerId(note.load.backend_server)
            at_ms = now - max(note.age_ms, 0)
            # Most readings have come by another way before.
            if not self.load_table.is_newer(server_id, at_ms):
                continue
            if own_servers is None:
                own_servers = set(self._sources.region_servers())
            transit_ms = REGION_TRANSIT_MS if server_id in own_servers else CROSS_REGION_TRANSIT_MS
            reading = LoadReading(at_ms, at_ms - transit_ms, read_load(note.load), note.doubted)
            self.load_table.replace(server_id, reading)

    def take_shares(self, message: LoadShares) -> list[LoadDatagram]:
        """Record a sibling's shares of servers that this instance aggregates.

        Returns an immediate correction if the sibling's estimate of a server's load is far off.
        """
        self._shares.take(message)
        if message.believed_running is None or len(message.shares) != 1:
            return []
        server_id = BackendServerId(message.shares[0].load.backend_server)
        if not self._is_established_aggregator(server_id):
            return []
        reading = self._aggregate(server_id, now_ms())
        deviation = abs(message.believed_running - reading.load.running)
        if deviation < max(CORRECTION_MIN_COUNT, CORRECTION_MIN_FRACTION * reading.load.running):
            return []
        return [LoadDatagram([message.ip], LoadWord(_reading_notes([(server_id, reading)])[0]))]

    def _is_established_aggregator(self, server_id: BackendServerId) -> bool:
        """Return whether this instance is a server's first aggregator, with all shares received."""
        since_ms = self._aggregator_since_ms.get(server_id)
        if since_ms is None or now_ms() - since_ms < AGGREGATOR_WARM_UP_MS:
            return False
        return self._aggregators.of(server_id)[0] == self._members.own.ip

    def take_news(self, news: LoadNews) -> None:
        """Record a sibling's change of a server's load and the slowdown measured, if any."""
        server_id = BackendServerId(news.change.backend_server)
        self.load_table.note_change(server_id, read_load(news.change))
        if news.slower_milli:
            self._sources.note_log_factor(server_id, news.slower_milli / MILLI)


def _reading_notes(readings: list[tuple[BackendServerId, LoadReading]]) -> list[LoadReadingNote]:
    now = now_ms()
    return [
        LoadReadingNote(round(now - one.at_ms), write_load(server_id, one.load), one.is_doubted)
        for server_id, one in readings
    ]


def _fitting(
    readings: list[tuple[BackendServerId, LoadReading]], count: int
) -> list[tuple[BackendServerId, LoadReading]]:
    """Return the first readings that take as many bytes as `count` without pending requests."""
    size = 0.0
    for index, (_, reading) in enumerate(readings):
        size += 1 + PENDING_RANK_SIZE * (len(reading.load.pending) // 2)
        if size > count:
            return readings[:index]
    return readings
