"""Instances that gossip over a network in memory, on a clock of their own."""

import heapq
import random
from dataclasses import dataclass, field
from itertools import count

from sparline._cbor import unpack
from sparline._hashing import hash64
from sparline._ids import RegionName
from sparline.fleet import (
    NO_ADMISSION,
    AdmissionExchange,
    AdmissionSources,
    CrashExchange,
    Datagram,
    GossipPort,
    GossipSources,
    LoadExchange,
    LoadSources,
    Members,
    PartExchange,
    QuotaExchange,
    ServerLoad,
    StorePosition,
    StreamVersionCallbacks,
    StreamVersionExchange,
    _gossip,
    _gossip_peers,
    _load_board,
    _load_shares,
    _members,
    _news_allowance,
    _stream_versions,
    sum_loads,
)
from sparline.fleet.exchanges import (
    _admission_exchange,
    _load_exchange,
    _quota_exchange,
    _stream_version_exchange,
)
from sparline.forwarding import RetryRule, RetryWindow, _retry_window
from sparline.placement import ColdShares, RateShares, ServerLimitShares, ServerLimitTable
from sparline.placement.limits import _cold_shares, _rate_shares, _server_limits
from sparline.quarantine import CrashTable, PartTable, _crash_table, _part_table
from sparline.quotas import (
    NO_TOLERANCE,
    QuotaLimiter,
    QuotaParameters,
    QuotaTolerance,
    make_quota_parameters,
    quota_key,
)
from sparline.routes import Organisation
from sparline.schema._gossip import MemberNote, MemberPhase, StreamVersionReply

STEP_MS = 5.0
NEAR_MS = 1.0
FAR_MS = 55.0
PORT = 7660
# Repeats beyond a fifth of the requests that the whole fleet may send in ten seconds.
RETRY_RULE = RetryRule(ratio=0.2, slack=198, window_ms=10_000)


@dataclass(slots=True)
class FakeInstance:
    """Run one instance's gossip and its shares of what is bounded for all."""

    members: Members
    gossip: GossipPort
    loads: LoadExchange
    crashes: CrashTable
    parts: PartTable
    own_loads: dict[str, ServerLoad]  # what it has at each server of its region
    cold: ColdShares
    server_limits: ServerLimitTable
    limits: ServerLimitShares
    retries: RetryWindow
    quotas: QuotaExchange
    admission: AdmissionExchange
    streams: StreamVersionExchange
    region: RegionName
    next_round_ms: float
    live_at_ms: float


@dataclass(slots=True)
class FakeVersions:
    """Hold the software versions that each instance takes all services to have."""

    versions: frozenset[str] = frozenset(("v1",))

    def known(self, _service: str) -> frozenset[str]:
        """Return the versions of any service."""
        return self.versions

    def note_former(self, _service: str, versions: set[str]) -> None:
        """Add versions to those of any service."""
        self.versions |= versions

    def only(self, _service: str) -> str | None:
        """Return the only version of any service, None if there are several or none."""
        return min(self.versions) if len(self.versions) == 1 else None


@dataclass(slots=True)
class FakeFleet:
    """Let instances start, end and hear each other; each step takes `STEP_MS`."""

    chance: random.Random
    seeds: list[str]
    lossy: float = 0.0  # share of datagrams that are lost
    far_side: frozenset[str] = frozenset()  # addresses that are cut off from all others
    starting_ms: float = 0.0  # time from an instance's start until it is live
    now_ms: float = 1_000_000.0
    instances: dict[str, FakeInstance] = field(default_factory=dict)
    servers: dict[str, list[str]] = field(default_factory=dict)  # by region
    quota_bounds: QuotaTolerance = NO_TOLERANCE  # what is borne over a quota
    organisations: dict[str, Organisation] = field(default_factory=dict)  # by name
    quota_bytes: int = 0  # of datagrams about quotas
    admission: AdmissionSources = NO_ADMISSION
    versions: "FakeVersions" = field(default_factory=lambda: FakeVersions())
    replies: list[StreamVersionReply] = field(default_factory=list)  # to queries about streams
    stream_bytes: int = 0  # of datagrams about streams
    admission_bytes: dict[str, int] = field(default_factory=dict)  # by sender
    admission_datagrams: dict[str, int] = field(default_factory=dict)  # by sender
    _starts: list[tuple[float, str, RegionName]] = field(default_factory=list)
    _queue: list[tuple[float, int, str, bytes]] = field(default_factory=list)
    _number: count = field(default_factory=count)

    def install(self, monkeypatch) -> None:
        """Put this fleet's clock and network in the place of the real ones, and log nothing."""
        for module in (
            _gossip,
            _gossip_peers,
            _members,
            _load_board,
            _load_exchange,
            _load_shares,
            _cold_shares,
            _rate_shares,
            _server_limits,
            _retry_window,
            _news_allowance,
            _crash_table,
            _part_table,
            _quota_exchange,
            _admission_exchange,
            _stream_version_exchange,
            _stream_versions,
        ):
            monkeypatch.setattr(module, "now_ms", lambda: self.now_ms)
        monkeypatch.setattr(_gossip_peers, "hash", hash64, raising=False)
        monkeypatch.setattr(_gossip, "log", _SilentLog())
        monkeypatch.setattr(_gossip.socket, "socket", lambda *_kind: _FakeSocket(self))

    def start(self, ip: str, region: str, after_ms: float = 0.0) -> None:
        """Let an instance start, with an empty memory, after a time."""
        self._starts.append((self.now_ms + after_ms, ip, RegionName(region)))

    def lose(self, ip: str) -> None:
        """End an instance without a word."""
        del self.instances[ip]

    def change_load(self, ip: str, server_id: str, change: ServerLoad) -> None:
        """Let an instance put something on a server of its region, or take it back."""
        one = self.instances[ip]
        held = one.own_loads.get(server_id, ServerLoad())
        one.own_loads[server_id] = sum_loads((held, change))
        if one.own_loads[server_id] == ServerLoad():
            del one.own_loads[server_id]
        one.gossip.send_immediately(one.loads.note_change(server_id, change, None, True))

    def ask(self, ip: str, name: str, cost: float) -> float | None:
        """Let a caller ask an instance; return None where it is let in, else when to come back."""
        one = self.instances[ip]
        wait_ms = one.quotas.admit(self.organisations[name], cost)
        one.gossip.send_immediately(one.quotas.due())
        return wait_ms

    def quota_terms(self, key: int) -> QuotaParameters | None:
        """Return the terms of an organisation's quota."""
        for one in self.organisations.values():
            if quota_key(one.id) == key and one.quota is not None:
                return make_quota_parameters(one.quota, self.quota_bounds)
        return None

    def step(self) -> None:
        """Let `STEP_MS` pass."""
        self.now_ms += STEP_MS
        for due in [one for one in self._starts if one[0] <= self.now_ms]:
            self._starts.remove(due)
            self._begin(due[1], due[2])
        while self._queue and self._queue[0][0] <= self.now_ms:
            _, _, ip, data = heapq.heappop(self._queue)
            if ip in self.instances:
                _deliver(self.instances[ip], data)
        for one in self.instances.values():
            if one.members.own.phase is MemberPhase.starting and one.live_at_ms <= self.now_ms:
                one.gossip.announce(MemberPhase.live)
            if one.next_round_ms <= self.now_ms:
                one.next_round_ms = self.now_ms + _gossip.ROUND_MS
                one.gossip.round()

    def pass_ms(self, time_ms: float) -> None:
        """Let some time pass."""
        for _ in range(round(time_ms / STEP_MS)):
            self.step()

    def _begin(self, ip: str, region: RegionName) -> None:
        phase = MemberPhase.starting if self.starting_ms else MemberPhase.live
        note = MemberNote(ip, ip, int(self.now_ms), 0, phase, region, zone_of(ip))
        members = Members(note)
        own_loads: dict[str, ServerLoad] = {}
        loads = LoadExchange(
            members,
            LoadSources(
                lambda: own_loads,
                lambda server_id: own_loads.get(server_id, ServerLoad()),
                list,
                lambda _server_id: False,
                lambda: self.servers.get(region, []),
                lambda _server_id, _shown_log: None,
            ),
        )
        quotas = QuotaExchange(
            members, QuotaLimiter(self.quota_bounds, self.chance), self.quota_terms
        )
        admission = AdmissionExchange(members, self.admission)
        streams = StreamVersionExchange(
            members,
            self.versions,
            StreamVersionCallbacks(self.replies.append, lambda _query: None),
        )
        server_limits = ServerLimitTable()
        server_limits._rng = random.Random(ip)
        sources = GossipSources(
            recent_prefix_uses=list,
            merge_prefix_uses=lambda _reads: None,
            server_limits=server_limits.limits_to_send,
            take_server_limits=server_limits.merge_limits,
            store_position=lambda: StorePosition(0, 1),
            store_reached=lambda: True,
            configuration_version=lambda: 1,
        )
        crashes = CrashTable(lambda change: gossip.broadcast_crash(change))
        parts = PartTable(lambda change: gossip.send_immediately(part_exchange.urgent_news(change)))
        part_exchange = PartExchange(members, parts)
        part_exchange._rng = random.Random(ip)
        gossip = GossipPort(
            PORT,
            self.seeds,
            members,
            loads,
            CrashExchange(crashes),
            part_exchange,
            quotas,
            admission,
            streams,
            sources,
        )
        gossip._rng = random.Random(self.chance.random())

        def sharers() -> list[str]:
            return members.sharers(region)

        def is_settled() -> bool:
            return members.are_sharers_settled(region)

        cold = ColdShares(ip, sharers, is_settled)
        limits = ServerLimitShares(server_limits, RateShares(ip, sharers, is_settled))
        retries = RetryWindow(RETRY_RULE, members.budget_sharer_count, members.are_sharers_settled)
        self.instances[ip] = FakeInstance(
            members,
            gossip,
            loads,
            crashes,
            parts,
            own_loads,
            cold,
            server_limits,
            limits,
            retries,
            quotas,
            admission,
            streams,
            region,
            self.now_ms,
            self.now_ms + self.starting_ms,
        )

    def send(self, sender: str, receiver: str, data: bytes) -> None:
        """Carry a datagram."""
        if b"Quota" in data:
            # The tag of a message names its type.
            self.quota_bytes += len(data)
        if b"StreamVersion" in data:
            self.stream_bytes += len(data)
        if b"Admission" in data:
            self.admission_bytes[sender] = self.admission_bytes.get(sender, 0) + len(data)
            self.admission_datagrams[sender] = self.admission_datagrams.get(sender, 0) + 1
        is_cut = (sender in self.far_side) != (receiver in self.far_side)
        if is_cut or self.chance.random() < self.lossy:
            return
        near = region_of(sender) == region_of(receiver)
        at_ms = self.now_ms + (NEAR_MS if near else FAR_MS) * self.chance.uniform(0.8, 1.5)
        heapq.heappush(self._queue, (at_ms, next(self._number), receiver, data))


class _FakeSocket:
    """Stand for the socket of one instance."""

    def __init__(self, fleet: FakeFleet) -> None:
        self._fleet = fleet
        self._ip = ""

    def bind(self, address: tuple[str, int]) -> None:
        self._ip = address[0]

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self._fleet.send(self._ip, address[0], data)


class _SilentLog:
    """Take thousands of lines that no test looks at."""

    def bind(self, **_fields: object) -> "_SilentLog":
        return self

    def info(self, *_text: object) -> None:
        """Write nothing."""


def gossiping_fleet(
    monkeypatch, instances: int, regions: int, lossy: float = 0.0, seed: int = 5
) -> FakeFleet:
    """Return a fleet with so many instances in each region, which know each other."""
    seeds = [f"10.{region}.0.1" for region in range(1, min(regions, 3) + 1)]
    fleet = FakeFleet(random.Random(seed), seeds=seeds)
    fleet.install(monkeypatch)
    for region in range(1, regions + 1):
        for number in range(1, instances + 1):
            fleet.start(f"10.{region}.0.{number}", str(region))
    fleet.pass_ms(6_000)
    fleet.lossy = lossy
    return fleet


def region_of(ip: str) -> str:
    """Return the region that an address says."""
    return ip.split(".")[1]


def zone_of(ip: str) -> str:
    """Return the availability zone of an address, one of two in each region."""
    return f"{region_of(ip)}-{int(ip.rpartition('.')[2]) % 2}"


def _deliver(receiver: FakeInstance, data: bytes) -> None:
    receiver.gossip.take(unpack(data, Datagram).unwrap())
