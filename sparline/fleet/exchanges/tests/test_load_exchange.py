import random

import msgspec
import pytest

from sparline.fleet import (
    LoadExchange,
    LoadReading,
    LoadSources,
    Members,
    ServerLoad,
    _load_board,
    _load_shares,
    _members,
    _news_allowance,
)
from sparline.fleet._load_shares import Aggregators
from sparline.fleet._loads import write_load
from sparline.fleet._news_allowance import BURST_SIZE
from sparline.fleet.exchanges import _load_exchange
from sparline.schema._gossip import (
    Gossip,
    LoadNews,
    LoadReadingNote,
    LoadShareNote,
    LoadShares,
    LoadWord,
    MemberNote,
    MemberPhase,
)

OWN, SIBLINGS = "own", ("a", "b", "c")


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 1_000_000.0

    for module in (_load_board, _load_exchange, _load_shares, _members, _news_allowance):
        monkeypatch.setattr(module, "now_ms", lambda: Clock.now)
    return Clock


class Exchange:
    """Set up one instance's exchange, with three siblings and one instance in another region."""

    def __init__(self, siblings: tuple[str, ...] = SIBLINGS) -> None:
        self.own_loads: dict[str, ServerLoad] = {}
        self.doubted: list[str] = []
        self.shown: list[tuple[str, float]] = []  # slowdowns reported by siblings
        self.siblings = siblings
        self.members = Members(MemberNote(OWN, OWN, 1, 1, MemberPhase.live, "north", "north-1"))
        for ip in siblings:
            self.hear(ip)
        self.hear("f", "south")
        servers = [f"e{number}" for number in range(40)]
        self.loads = LoadExchange(
            self.members,
            LoadSources(
                lambda: self.own_loads,
                lambda server: self.own_loads.get(server, ServerLoad()),
                lambda: self.doubted,
                lambda server: server in self.doubted,
                lambda: servers,
                lambda server, log_factor: self.shown.append((server, log_factor)),
            ),
        )
        self.loads.round()
        aggregators = Aggregators()
        aggregators.set_candidates(tuple(sorted([OWN, *SIBLINGS])))
        named = {one: aggregators.of(one) for one in servers}
        self.mine = next(one for one, ips in named.items() if ips[0] == OWN)
        self.second = next(one for one, ips in named.items() if ips[1] == OWN)
        self.others = next(one for one, ips in named.items() if OWN not in ips)

    def hear(self, ip: str, region: str = "north") -> None:
        known = {one.note.ip: one.note.counter for one in self.members.others()}
        note = MemberNote(ip, ip, 1, known.get(ip, 0) + 1, MemberPhase.live, region, f"{region}-1")
        self.members.take(Gossip(note, 1, True, [], [], [], [], False))

    def pass_ms(self, clock, time_ms: float) -> None:
        for _ in range(round(time_ms / 250)):
            clock.now += 250
            for ip in self.siblings:
                self.hear(ip)
            self.loads.round()

    def known_load(self, server: str) -> ServerLoad | None:
        return self.loads.load_table.load(server)


@pytest.fixture
def one(clock):
    return Exchange()


def shares(
    server: str,
    load: ServerLoad,
    ip: str = "a",
    sequence: int = 1,
    incarnation: int = 1,
    believed_running: int | None = None,
):
    note = LoadShareNote(write_load(server, load), False)
    return LoadShares(ip, incarnation, sequence, [note], believed_running)


LONG, SHORT = ServerLoad(1, 10_000, 9_000), ServerLoad(1, 400, 300)
IMMEDIATE_MESSAGES = [
    # change, same region, share datagrams to the aggregators, broadcasts to all siblings
    ("a long prompt", LONG, True, 1, 1),
    ("a long prompt after prefill", ServerLoad(0, 0, -9_000), True, 1, 1),
    ("a medium prompt", ServerLoad(1, 600, 500), True, 1, 1),
    ("a short prompt", SHORT, True, 1, 0),
    ("a short prompt after prefill", ServerLoad(0, 0, -150), True, 0, 0),
    ("a finished request", ServerLoad(-1, -400, 0), True, 1, 0),
    ("a long prompt of another region", LONG, False, 0, 0),
]


@pytest.mark.parametrize(
    ("change", "is_same_region", "to_aggregator", "to_all"),
    [row[1:] for row in IMMEDIATE_MESSAGES],
    ids=[row[0] for row in IMMEDIATE_MESSAGES],
)
def test_which_changes_are_sent_immediately(one, change, is_same_region, to_aggregator, to_all):
    sent = one.loads.note_change(one.others, change, None, is_same_region)
    sent_shares = [each for each in sent if isinstance(each.message, LoadShares)]
    news = [each for each in sent if isinstance(each.message, LoadNews)]
    named = list(one.loads._aggregators.of(one.others))
    assert [each.peers for each in sent_shares] == [named] * to_aggregator
    assert [set(each.peers) for each in news] == [set(SIBLINGS)] * to_all


def test_broadcasts_of_medium_prefills_are_rate_limited(one, clock):
    def told() -> int:
        change = ServerLoad(1, 600, 500)
        sent = [one.loads.note_change(one.others, change, None, True) for _ in range(50)]
        return sum(isinstance(each.message, LoadNews) for some in sent for each in some)

    assert told() == BURST_SIZE
    clock.now += 100
    # Four instances share the rate of 100 broadcasts per second.
    assert told() == 100 * 0.1 / 4 // 1
    # Long prefills are exempt from the limit.
    long = one.loads.note_change(one.others, LONG, None, True)
    assert any(isinstance(each.message, LoadNews) for each in long)


def test_measured_slowdown_is_sent_at_the_end_of_a_prefill(one):
    sent = one.loads.note_change(one.others, ServerLoad(0, 0, -9_000), 0.75, True)
    news = next(each.message for each in sent if isinstance(each.message, LoadNews))
    one.loads.take_news(news)
    one.loads.take_news(LoadNews(write_load(one.others, LONG)))
    assert one.shown == [(one.others, 0.75)]


SHARE_SUMS = [
    (
        "two",
        [("a", 1, ServerLoad(2, 200, 20)), ("b", 1, ServerLoad(3, 300, 30))],
        ServerLoad(6, 510, 55),
    ),
    (
        "resent",
        [("a", 1, ServerLoad(2, 200, 20)), ("a", 2, ServerLoad(1, 100, 10))],
        ServerLoad(2, 110, 15),
    ),
    (
        "reordered",
        [("a", 2, ServerLoad(2, 200, 20)), ("a", 1, ServerLoad(9, 900, 90))],
        ServerLoad(3, 210, 25),
    ),
    ("ended", [("a", 1, ServerLoad(2, 200, 20)), ("a", 2, ServerLoad())], ServerLoad(1, 10, 5)),
]


@pytest.mark.parametrize(
    ("told", "total"), [row[1:] for row in SHARE_SUMS], ids=[row[0] for row in SHARE_SUMS]
)
def test_aggregator_sums_the_newest_shares_and_its_own(one, clock, told, total):
    one.own_loads[one.mine] = ServerLoad(1, 10, 5)
    for ip, sequence, load in told:
        one.loads.take_shares(shares(one.mine, load, ip, sequence))
    one.pass_ms(clock, 1_500)
    for ip, sequence, load in told:
        one.loads.take_shares(shares(one.mine, load, ip, sequence))
    one.pass_ms(clock, 250)
    assert one.known_load(one.mine) == total


def test_sequence_numbers_restart_with_a_siblings_incarnation(one, clock):
    one.loads.take_shares(shares(one.mine, ServerLoad(9, 900, 90), sequence=50))
    one.loads.take_shares(shares(one.mine, ServerLoad(1, 100, 10), sequence=1, incarnation=2))
    assert one.loads._shares.sum(one.mine).load == ServerLoad(1, 100, 10)


def test_share_expires_if_not_sent_again(one, clock):
    one.loads.take_shares(shares(one.mine, ServerLoad(2, 200, 20)))
    clock.now += _load_shares.SHARE_LIFETIME_MS + 1
    assert one.loads._shares.sum(one.mine).load == ServerLoad()


READING = ServerLoad(5, 500, 50)


def receive_reading(
    one: Exchange, server: str, age_ms: int, load: ServerLoad = READING, doubted: bool = False
) -> None:
    one.loads.take_readings([LoadReadingNote(age_ms, write_load(server, load), doubted)])


def test_newest_reading_is_kept_whatever_the_order_of_arrival(one):
    receive_reading(one, one.others, 300)
    receive_reading(one, one.others, 800, ServerLoad(9, 900, 90))
    assert one.known_load(one.others) == READING
    receive_reading(one, one.others, 100, ServerLoad(4, 400, 40))
    assert one.known_load(one.others) == ServerLoad(4, 400, 40)


def test_changes_after_a_reading_are_added_to_it(one, clock):
    one.loads.note_change(one.others, ServerLoad(1, 100, 10), None, True)
    clock.now += 500
    receive_reading(one, one.others, 200)
    assert one.known_load(one.others) == READING
    one.loads.take_news(LoadNews(write_load(one.others, ServerLoad(1, 0, 2_000))))
    one.loads.note_change(one.others, ServerLoad(-1, -100, 0), None, True)
    assert one.known_load(one.others) == ServerLoad(5, 400, 2_050)
    receive_reading(one, one.others, 100)
    assert one.known_load(one.others) == ServerLoad(5, 400, 2_050)
    clock.now += 50
    receive_reading(one, one.others, 0)
    assert one.known_load(one.others) == READING


AGES = [(3_900, READING), (4_100, None)]


@pytest.mark.parametrize(("age_ms", "told"), AGES)
def test_reading_expires(one, clock, age_ms, told):
    receive_reading(one, one.others, 0)
    clock.now += age_ms
    assert one.known_load(one.others) == told


DOUBTS = [
    ("not doubted", False, 0, False),
    ("doubted", True, 0, True),
    ("doubted but expired", True, 4_100, False),
]


@pytest.mark.parametrize(
    ("doubted", "later_ms", "is_doubted"),
    [row[1:] for row in DOUBTS],
    ids=[row[0] for row in DOUBTS],
)
def test_server_is_doubted_if_its_newest_reading_says_so(one, clock, doubted, later_ms, is_doubted):
    receive_reading(one, one.others, 0, doubted=doubted)
    clock.now += later_ms
    assert one.loads.load_table.is_doubted(one.others) is is_doubted


def test_doubt_of_one_sibling_is_in_the_reading_until_withdrawn(one, clock):
    doubting = shares(one.mine, ServerLoad())
    doubting = msgspec.structs.replace(
        doubting, shares=[msgspec.structs.replace(doubting.shares[0], doubted=True)]
    )
    one.pass_ms(clock, 1_500)
    one.loads.take_shares(doubting)
    one.pass_ms(clock, 250)
    assert one.loads.load_table.is_doubted(one.mine)
    one.loads.take_shares(shares(one.mine, ServerLoad(), sequence=2))
    one.pass_ms(clock, 250)
    assert not one.loads.load_table.is_doubted(one.mine)


def test_instance_without_known_siblings_publishes_no_loads(clock):
    # Otherwise it would report every server as idle, and this newest reading would replace all
    # others.
    one = Exchange(siblings=())
    assert one.loads.readings_for(True) == []
    one.siblings = SIBLINGS
    receive_reading(one, one.mine, 0)
    one.pass_ms(clock, 1_000)
    assert one.known_load(one.mine) == READING
    one.pass_ms(clock, 500)
    assert one.known_load(one.mine) == ServerLoad()


def test_single_instance_publishes_loads_after_a_delay(clock):
    one = Exchange(siblings=())
    one.pass_ms(clock, 1_500)
    assert one.known_load(one.mine) == ServerLoad()


def test_instances_that_start_together_publish_loads_immediately(one):
    assert one.known_load(one.mine) == ServerLoad()


def test_new_aggregator_keeps_the_existing_reading_at_first(one, clock):
    one.loads._aggregator_since_ms.clear()
    one.loads.load_table.take(one.mine, LoadReading(clock.now + 1, clock.now + 1, READING, False))
    one.pass_ms(clock, 1_000)
    assert one.known_load(one.mine) == READING
    one.pass_ms(clock, 750)
    assert one.known_load(one.mine) == ServerLoad()


def test_broadcast_change_counts_before_any_reading(one):
    one.loads.take_news(LoadNews(write_load(one.others, LONG)))
    assert one.known_load(one.others) == LONG


def test_second_aggregator_takes_over_from_a_silent_first(one, clock):
    one.loads.take_shares(shares(one.second, ServerLoad(2, 200, 20)))
    clock.now += 1
    receive_reading(one, one.second, 0)
    one.pass_ms(clock, 500)
    assert one.known_load(one.second) == READING
    one.loads.take_shares(shares(one.second, ServerLoad(2, 200, 20), sequence=2))
    one.pass_ms(clock, 1_000)
    assert one.known_load(one.second) == ServerLoad(2, 200, 20)


def test_shares_and_doubts_are_resent_to_both_aggregators(one, clock):
    one.own_loads[one.others] = SHORT
    one.doubted.append(one.mine)
    told: dict[str, set[str]] = {}
    for _ in range(_load_exchange.SHARE_REFRESH_ROUNDS):
        for each in one.loads.round():
            names = {note.load.backend_server for note in each.message.shares}
            told.setdefault(each.peers[0], set()).update(names)
    expected = set(one.loads._aggregators.of(one.others))
    assert {ip for ip, names in told.items() if one.others in names} == expected
    assert sum(one.mine in names for names in told.values()) == 1


def test_only_readings_of_the_own_region_are_sent_to_other_regions(one, clock):
    receive_reading(one, one.others, 0)
    receive_reading(one, "far", 0)
    names = {
        near: {note.load.backend_server for note in one.loads.readings_for(near)}
        for near in (True, False)
    }
    assert "far" in names[True] and "far" not in names[False]
    assert one.others in names[False]


@pytest.mark.parametrize("seed", range(10))
def test_aggregators_do_not_depend_on_the_order_of_membership_changes(seed):
    chance = random.Random(seed)
    ips = [f"10.0.0.{number}" for number in range(40)]
    servers = [f"e{number}" for number in range(30)]
    grown = Aggregators()
    held: set[str] = set()
    for _ in range(60):
        held.symmetric_difference_update(chance.sample(ips, 3))
        grown.set_candidates(tuple(sorted(held)))
        fresh = Aggregators()
        fresh.set_candidates(tuple(sorted(held)))
        assert [grown.of(one) for one in servers] == [fresh.of(one) for one in servers]


# Requests running at a server, the sender's estimate of them, and whether it is corrected
# immediately.
ESTIMATES = [
    ("correct", 12, 12, False),
    ("slightly off", 12, 9, False),
    ("far too few", 12, 4, True),
    ("far too many", 2, 12, True),
    ("less than a quarter of many", 40, 31, False),
    ("more than a quarter of many", 40, 29, True),
    ("no estimate sent", 12, None, False),
]


@pytest.mark.parametrize(
    ("running", "believed", "told"),
    [row[1:] for row in ESTIMATES],
    ids=[row[0] for row in ESTIMATES],
)
def test_wrong_load_estimate_is_corrected_immediately(one, clock, running, believed, told):
    one.pass_ms(clock, 2_000)
    one.loads.take_shares(shares(one.mine, ServerLoad(running - 1, 0, 0), "b"))
    share = shares(one.mine, ServerLoad(1, 0, 0), "a", believed_running=believed)
    answers = one.loads.take_shares(share)
    words = [answer.message.reading.load.running for answer in answers if answer.peers == ["a"]]
    assert words == ([running] if told else [])


def test_load_correction_is_used_as_the_newest_reading(one, clock):
    one.loads.take_news(LoadNews(write_load(one.others, ServerLoad(1, 500, 500))))
    clock.now += 20
    word = LoadWord(LoadReadingNote(0, write_load(one.others, ServerLoad(14, 9_000, 700)), False))
    one.loads.take_readings([word.reading])
    assert one.known_load(one.others) == ServerLoad(14, 9_000, 700)


def test_only_the_established_first_aggregator_sends_corrections(one, clock):
    wrong = shares(one.mine, ServerLoad(20, 0, 0), believed_running=1)
    one.pass_ms(clock, 2_000)
    assert one.loads.take_shares(wrong)
    assert not one.loads.take_shares(shares(one.second, ServerLoad(20, 0, 0), believed_running=1))
    assert not one.loads.take_shares(shares(one.others, ServerLoad(20, 0, 0), believed_running=1))


def test_estimate_is_sent_when_a_request_starts_but_not_when_it_ends(one, clock):
    one.pass_ms(clock, 2_000)
    one.loads.load_table.take(
        one.others, LoadReading(clock.now, clock.now, ServerLoad(7, 0, 0), False)
    )
    clock.now += 10
    (came,) = one.loads.note_change(one.others, SHORT, None, True)
    (went,) = one.loads.note_change(one.others, ServerLoad(-1, -400, -300), None, True)
    assert (came.message.believed_running, went.message.believed_running) == (8, None)
