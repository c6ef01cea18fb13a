"""How instances tell each other of load: shares to whoever adds them up, readings to everyone.

An instance tells its share of a backend server to one instance of the region, which adds all
shares up and tells the sum as a reading with its age, and to a second, which stands in for a silent
first; whoever holds a newer reading passes it on.
So what an instance knows is as old in a region of 70 instances as in one of 5, and what it is told
grows with the servers of the region, not with them times the instances.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName
from sparline.fleet._load_board import LOAD_MS, LoadBoard, LoadReading
from sparline.fleet._load_shares import Aggregators, ShareTable
from sparline.fleet._loads import LoadOf, read_load, sum_loads, write_load
from sparline.fleet._members import Member, Members
from sparline.fleet._news_allowance import NewsAllowance
from sparline.schema._gossip import (
    LoadNews,
    LoadReadingNote,
    LoadShareNote,
    LoadShares,
    LoadWord,
)

# A change of so many unread tokens is told to the aggregator at once, as one of the running
# requests is (tokens): at 50 tokens a millisecond they take 4 ms.
SHARE_TOKENS = 200
# Reading at least so many tokens is told to all siblings at once (tokens): at 50 tokens a
# millisecond it takes 30 ms, a tenth of what delays other streams.
NEWS_TOKENS = 1_500
# So are readings of at least this many (tokens, 8 ms) while there are few of them, so that siblings
# don't send to the same engine; the rest is told in readings.
NEWS_LEAST_TOKENS = 400
# Whoever takes a server's running requests for this many more or fewer than they are, and by this part of
# them, is told at once (count): readings are told in rounds, and short requests come by the dozen between two.
# Without this all instances of a region send them to the same idle engine until the next round.
WRONG_BY = 4
WRONG_PART = 0.25
MILLI = 1_000
# Every so many rounds all shares are told again (rounds): a datagram may have been lost.
SHARES_AGAIN_ROUNDS = 4
# One that has only just become the aggregator of a server leaves what others know of it alone for
# this long (ms), until it was told every share. Without this each instance that starts would tell
# all others that every server is idle.
NEW_AGGREGATOR_MS = 1_300.0
# A reading this old shows that the first aggregator is silent, and the second stands in (ms).
STANDS_IN_MS = 600.0
# Readings are passed on while they are this fresh (ms): what is older has reached everyone.
PASS_ON_MS = 1_000.0
# Readings told in a datagram (count), the newest first: of the own region to siblings, of other
# regions to siblings, and of the own region to other regions. A datagram stays below 1,400 bytes.
MOST_NEAR_READINGS = 16
MOST_PASSED_FAR_READINGS = 5
MOST_FAR_READINGS = 36
# What an instance changed this long before a reading was added up may not be part of it yet (ms):
# the way to the aggregator, inside a region and from another one.
NEAR_WAY_MS = 3.0
FAR_WAY_MS = 120.0


@dataclass(frozen=True, slots=True)
class LoadSources:
    """Hold where this instance's own part comes from."""

    own_loads: Callable[[], dict[BackendServerId, LoadOf]]  # what it has at its region's servers
    own_load: Callable[[BackendServerId], LoadOf]  # what it has at one of them
    doubted: Callable[[], list[BackendServerId]]  # those of its region that failed it lately
    is_doubted: Callable[[BackendServerId], bool]  # whether one of them did
    region_servers: Callable[[], list[BackendServerId]]  # all of its region
    # Takes what a sibling's reading showed of a server: the logarithm of its factor.
    note_log_factor: Callable[[BackendServerId, float], None]


@dataclass(frozen=True, slots=True)
class Outgoing:
    """Hold a datagram to send."""

    peers: list[str]  # addresses
    message: LoadShares | LoadNews | LoadWord  # what it tells


class LoadExchange:
    """Decide what is told of loads, and keep what others tell; sends nothing itself."""

    def __init__(self, members: Members, sources: LoadSources) -> None:
        """Exchange with the members of a fleet."""
        self.board = LoadBoard()
        self._members = members
        self._sources = sources
        self._shares = ShareTable()
        self._short_news = NewsAllowance()
        self._aggregators = Aggregators()
        self._sequence = 0
        self._round = 0
        self._since_ms: dict[BackendServerId, float] = {}  # when it became the aggregator

    def note_change(
        self, server_id: BackendServerId, change: LoadOf, log_factor: float | None, is_near: bool
    ) -> list[Outgoing]:
        """Note what this instance has put on a server, and what a reading showed of it.

        Returns whom to tell at once.
        """
        self.board.note_change(server_id, change)
        if not is_near:
            # The instance there that takes the request tells of it.
            return []
        outgoing = []
        if change.running or abs(change.unread_tokens) >= SHARE_TOKENS:
            believed = self.board.load(server_id) if change.running > 0 else None
            running = None if believed is None else believed.running
            outgoing += self._shares_to(self._aggregators.of(server_id), [server_id], running)
        if abs(change.unread_tokens) >= NEWS_LEAST_TOKENS:
            outgoing += self._news(server_id, change, log_factor)
        return outgoing

    def _news(
        self, server_id: BackendServerId, change: LoadOf, log_factor: float | None
    ) -> list[Outgoing]:
        """Return what all siblings are to know at once of a reading that begins or is over."""
        siblings = [one.note.ip for one in self._siblings()]
        is_long = abs(change.unread_tokens) >= NEWS_TOKENS
        if not is_long and not self._short_news.take(len(siblings) + 1):
            return []
        slower_milli = round((log_factor or 0.0) * MILLI)
        return [Outgoing(siblings, LoadNews(write_load(server_id, change), slower_milli))]

    def _siblings(self) -> list[Member]:
        return self._members.live(RegionName(self._members.own.region))

    def _shares_to(
        self,
        ips: Iterable[str],
        servers: list[BackendServerId],
        believed_running: int | None = None,
    ) -> list[Outgoing]:
        own = self._members.own
        peers = [ip for ip in ips if ip != own.ip]
        if not peers or not servers:
            return []
        self._sequence += 1
        own_load, is_doubted = self._sources.own_load, self._sources.is_doubted
        notes = [LoadShareNote(write_load(one, own_load(one)), is_doubted(one)) for one in servers]
        shares = LoadShares(own.ip, own.incarnation, self._sequence, notes, believed_running)
        return [Outgoing(peers, shares)]

    def round(self) -> list[Outgoing]:
        """Add up what this instance is the aggregator of; return the shares to tell again."""
        self._round += 1
        own_ip = self._members.own.ip
        siblings = [one.note.ip for one in self._siblings()]
        self._aggregators.use(tuple(sorted([*siblings, own_ip])))
        self._add_up()
        if self._round % SHARES_AGAIN_ROUNDS:
            return []
        self._shares.forget_old()
        self.board.forget_old()
        by_peer: dict[str, list[BackendServerId]] = {}
        for server_id in {**self._sources.own_loads(), **dict.fromkeys(self._sources.doubted())}:
            for ip in self._aggregators.of(server_id):
                by_peer.setdefault(ip, []).append(server_id)
        return [one for ip, some in by_peer.items() for one in self._shares_to([ip], some)]

    def _add_up(self) -> None:
        now = now_ms()
        own_ip = self._members.own.ip
        was_known = self._is_known_here()
        mine: dict[BackendServerId, float] = {}
        for server_id in self._sources.region_servers():
            named = self._aggregators.of(server_id)
            if own_ip not in named:
                continue
            mine[server_id] = self._since_ms.get(server_id, now if was_known else 0.0)
            if not self._tells(server_id, named[0] == own_ip, now - mine[server_id]):
                continue
            self.board.take(server_id, self._reading(server_id, now))
        self._since_ms = mine
        self._aggregators.forget_all_but(set(self._sources.region_servers()))

    def _reading(self, server_id: BackendServerId, now: float) -> LoadReading:
        """Return what all of the region have at a server that this instance adds up."""
        others = self._shares.sum(server_id)
        load = sum_loads((self._sources.own_load(server_id), others.load))
        is_doubted = others.is_doubted or self._sources.is_doubted(server_id)
        return LoadReading(now, now, load, is_doubted)

    def _is_known_here(self) -> bool:
        """Tell whether others know of loads here, so that a newcomer has to be told all shares first.

        An instance that has heard siblings but no reading from them started together with them.
        """
        if self.board.newer_than(LOAD_MS):
            return True
        return not self._siblings()

    def _tells(self, server_id: BackendServerId, is_first: bool, for_ms: float) -> bool:
        """Tell whether this instance is to tell its sum of a server."""
        if for_ms < NEW_AGGREGATOR_MS:
            return False
        age_ms = self.board.age_ms(server_id)
        return is_first or age_ms is None or age_ms >= STANDS_IN_MS

    def readings_for(self, is_near: bool) -> list[LoadReadingNote]:
        """Return what to tell a peer of the own region, or of another."""
        here = set(self._sources.region_servers())
        fresh = self.board.newer_than(PASS_ON_MS)
        near = [pair for pair in fresh if pair[0] in here]
        if not is_near:
            return _notes(near[:MOST_FAR_READINGS])
        far = [pair for pair in fresh if pair[0] not in here]
        return _notes(near[:MOST_NEAR_READINGS] + far[:MOST_PASSED_FAR_READINGS])

    def take_readings(self, notes: list[LoadReadingNote]) -> None:
        """Take in what a peer told; the newest reading of each server stays."""
        now = now_ms()
        here = set(self._sources.region_servers()) if notes else set()
        for note in notes:
            server_id = BackendServerId(note.load.backend_server)
            way_ms = NEAR_WAY_MS if server_id in here else FAR_WAY_MS
            at_ms = now - max(note.age_ms, 0)
            reading = LoadReading(at_ms, at_ms - way_ms, read_load(note.load), note.doubted)
            self.board.take(server_id, reading)

    def take_shares(self, told: LoadShares) -> list[Outgoing]:
        """Take in what a sibling has at servers that this instance adds up.

        Returns the word that it is to have at once where it takes a server's load for another.
        """
        self._shares.take(told)
        if told.believed_running is None or len(told.shares) != 1:
            return []
        server_id = BackendServerId(told.shares[0].load.backend_server)
        if not self._adds_up(server_id):
            return []
        reading = self._reading(server_id, now_ms())
        wrong_by = abs(told.believed_running - reading.load.running)
        if wrong_by < max(WRONG_BY, WRONG_PART * reading.load.running):
            return []
        return [Outgoing([told.ip], LoadWord(_notes([(server_id, reading)])[0]))]

    def _adds_up(self, server_id: BackendServerId) -> bool:
        """Tell whether this instance is the first to add a server's load up, and was told all shares."""
        since_ms = self._since_ms.get(server_id)
        if since_ms is None or now_ms() - since_ms < NEW_AGGREGATOR_MS:
            return False
        return self._aggregators.of(server_id)[0] == self._members.own.ip

    def take_news(self, news: LoadNews) -> None:
        """Take in what a sibling has just put on a server, and what its reading showed."""
        server_id = BackendServerId(news.change.backend_server)
        self.board.note_change(server_id, read_load(news.change))
        if news.slower_milli:
            self._sources.note_log_factor(server_id, news.slower_milli / MILLI)


def _notes(readings: list[tuple[BackendServerId, LoadReading]]) -> list[LoadReadingNote]:
    now = now_ms()
    return [
        LoadReadingNote(round(now - one.at_ms), write_load(server_id, one.load), one.is_doubted)
        for server_id, one in readings
    ]
