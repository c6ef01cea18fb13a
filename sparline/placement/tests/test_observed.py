"""What is learned from requests: times of engines, pauses beside readings, usual credit."""

import json
import math
import random

import pytest

from sparline._ids import RegionName
from sparline.fleet import ServerLoad
from sparline.placement import (
    CreditTable,
    Doubt,
    LoadTable,
    PaceTable,
    PauseTable,
    Placement,
    StreamWatch,
    WatchTables,
)
from sparline.placement._fit import Fit
from sparline.placement._pace import FirstEvent
from sparline.requests import Prompt
from sparline.tests.routed import ENGINES, make_request, make_route, make_server

N1, N2 = make_server("n1"), make_server("n2")
NORTH = RegionName("north")
PAUSE_MS = 400.0


@pytest.fixture
def clock(monkeypatch):
    at = [1_000.0]
    for name in ("_pace", "_loads", "_stream_watch"):
        monkeypatch.setattr(f"sparline.placement.{name}.now_ms", lambda: at[0])
    return at


FITS = [
    # what is measured, by its features; the weights that are found
    ("a straight line", lambda x: 10 + 3 * x, (10.0, 3.0)),
    ("nothing but a base", lambda _x: 25, (25.0, 0.0)),
]


@pytest.mark.parametrize(("name", "measured", "weights"), FITS, ids=[row[0] for row in FITS])
def test_a_fit_finds_what_explains_the_measurements(name, measured, weights):
    fit = Fit((1.0, 1.0), (1.0, 1.0), 0.995)
    for number in range(400):
        x = number % 7
        fit.note((1.0, x), measured(x))
    assert fit.weights == pytest.approx(weights, abs=0.5)


def test_a_fit_without_measurements_is_its_guess():
    assert Fit((5.0, 2.0), (1.0, 1.0), 0.9).weights == (5.0, 2.0)


def show_reading(pace: PaceTable, server_id, tokens_per_ms: float, times: int, base_ms=30.0):
    chance = random.Random(3)
    for _ in range(times):
        tokens = chance.choice((200, 2_000, 12_000))
        took_ms = base_ms + tokens / tokens_per_ms
        pace.note_first_event(ENGINES, server_id, FirstEvent(0, tokens, 0), took_ms)


PACES = [10.0, 22.0, 56.6, 200.0]


@pytest.mark.parametrize("tokens_per_ms", PACES)
def test_a_pace_is_learned_from_thirty_requests(clock, tokens_per_ms):
    pace = PaceTable()
    show_reading(pace, N1.id, tokens_per_ms, 30)
    found = pace.engine(ENGINES, N1.id)
    likely_ms = found.base_ms + 8_000 * found.token_ms
    assert likely_ms == pytest.approx(30 + 8_000 / tokens_per_ms, rel=0.2)


def test_a_slower_engine_is_told_from_its_service_and_is_forgiven(clock):
    pace = PaceTable()
    show_reading(pace, N1.id, 50.0, 60)
    usual = pace.engine(ENGINES, N2.id).token_ms
    for _ in range(15):
        # Readings that came first hide the service's pace, not the engine's own.
        pace.note_first_event(ENGINES, N2.id, FirstEvent(20_000, 2_000, 0), 1_500.0)
    slow = pace.engine(ENGINES, N2.id).token_ms
    assert slow > 2 * usual
    assert pace.engine(ENGINES, N1.id).token_ms == pytest.approx(usual, rel=0.25)
    clock[0] += 60_000
    assert pace.engine(ENGINES, N2.id).token_ms == pytest.approx(usual, rel=0.05)


def test_an_engine_is_known_as_slow_from_what_siblings_readings_showed(clock):
    mine, siblings = PaceTable(), PaceTable()
    for table in (mine, siblings):
        show_reading(table, N1.id, 50.0, 60)
    usual = mine.engine(ENGINES, N2.id).token_ms
    for _ in range(5):
        clock[0] += 200
        shown_log = siblings.note_first_event(ENGINES, N2.id, FirstEvent(0, 2_000, 0), 180.0)
        mine.note_shown(N2.id, shown_log)
    assert mine.engine(ENGINES, N2.id).token_ms > 1.5 * usual
    assert mine.engine(ENGINES, N1.id).token_ms == pytest.approx(usual, rel=0.05)


def test_a_word_beyond_all_bounds_moves_a_pace_no_further_than_one_reading_may(clock):
    told, told_more = PaceTable(), PaceTable()
    told.note_shown(N1.id, math.log(6.0))
    told_more.note_shown(N1.id, 50.0)
    assert told_more.engine(ENGINES, N1.id) == told.engine(ENGINES, N1.id)


def test_how_much_deep_readings_take_is_learned(clock):
    pace = PaceTable()
    chance = random.Random(4)
    for _ in range(80):
        unread, kept = chance.choice(((2_000, 0), (2_000, 12_000), (12_000, 0), (6_000, 9_000)))
        # 50 tokens a millisecond, and no more behind others.
        pace.note_first_event(ENGINES, N1.id, FirstEvent(0, unread, kept), 20 + unread / 50)
    assert pace.service(ENGINES).effort_tokens(10_000, 20_000) < 11_500
    assert PaceTable().service(ENGINES).effort_tokens(10_000, 20_000) > 16_000


def test_the_longest_usual_time_of_an_answers_token_is_learned():
    pace = PaceTable()
    assert pace.output_token_most_ms(ENGINES) == 15.0
    chance = random.Random(5)
    took = [100 * chance.uniform(20, 40) for _ in range(200)]
    for took_ms in took:
        pace.note_output(ENGINES, 100, took_ms)
    assert 40 <= pace.output_token_most_ms(ENGINES) <= 50
    pace.note_output(ENGINES, 5, 90_000.0)
    assert pace.output_token_most_ms(ENGINES) <= 50


# Pauses during which an engine read all along (ms); a reading (ms); the share it makes late.
PAUSES = [
    ("nothing seen yet, a long reading", [], 1_000.0, 0.9, 1.0),
    ("nothing seen yet, a short reading", [], 150.0, 0.0, 0.05),
    ("no reading", [], 0.0, 0.0, 0.0),
    ("readings that hurt nobody", [250.0], 1_000.0, 0.0, 0.05),
    ("readings that just hurt nobody", [370.0], 1_000.0, 0.03, 0.5),
    ("readings that hurt, and short last events", [90.0, 600.0, 600.0] * 40, 1_000.0, 0.9, 1.0),
    ("readings that hurt all", [600.0], 1_000.0, 0.9, 1.0),
    ("a fault that held one stream up", [250.0] * 30 + [9_000.0], 1_000.0, 0.0, 0.4),
]


@pytest.mark.parametrize(
    ("name", "covered", "reading_ms", "least", "most"), PAUSES, ids=[row[0] for row in PAUSES]
)
def test_the_share_of_late_pauses_is_as_seen(name, covered, reading_ms, least, most):
    pauses = PauseTable()
    for _ in range(100):
        pauses.note_quiet(ENGINES, PAUSE_MS, 20.0, 50.0)
    for pause_ms in covered * (1 if len(covered) > 1 else 100):
        pauses.note_covered(ENGINES, PAUSE_MS, pause_ms)
    assert least <= pauses.late_share(ENGINES, PAUSE_MS, reading_ms) <= most


def test_a_longer_reading_never_counts_for_less():
    pauses = PauseTable()
    pauses.note_covered(ENGINES, PAUSE_MS, 390.0)
    shares = [pauses.late_share(ENGINES, PAUSE_MS, 50.0 * step) for step in range(30)]
    assert shares == sorted(shares)


OUTCOMES = [
    # length of readings (ms) and how many of 100 were late; what is then expected at 350 ms
    ("nothing", [], 0.3, 0.7),
    ("harmful ones", [(350.0, 90)], 0.8, 0.95),
    ("harmless ones", [(350.0, 0)], 0.0, 0.05),
    ("shorter ones that are harmful", [(150.0, 90)], 0.5, 0.95),
    ("longer ones that are harmless", [(900.0, 0)], 0.0, 0.15),
]


@pytest.mark.parametrize(
    ("name", "seen", "least", "most"), OUTCOMES, ids=[row[0] for row in OUTCOMES]
)
def test_outcomes_outweigh_what_lengths_let_expect(name, seen, least, most):
    pauses = PauseTable()
    for reading_ms, late in seen:
        for number in range(100):
            pauses.note_outcome(ENGINES, PAUSE_MS, 10.0, False)
            pauses.note_outcome(ENGINES, PAUSE_MS, reading_ms, number < late)
    assert least <= pauses.late_share(ENGINES, PAUSE_MS, 350.0) <= most


def test_long_quiet_pauses_are_no_harm_of_a_reading():
    pauses = PauseTable()
    for _ in range(100):
        pauses.note_quiet(ENGINES, PAUSE_MS, 20.0, 390.0)
    assert pauses.late_share(ENGINES, PAUSE_MS, 0.0) == 0.0
    assert pauses.late_share(ENGINES, PAUSE_MS, 400.0) < 0.2


def test_the_usual_credit_follows_what_is_placed():
    credit = CreditTable()
    long, short = Prompt(12_000, 400, ()), Prompt(800, 50, ())
    assert credit.usual(ENGINES, long) == 16_000
    for _ in range(600):
        credit.note(ENGINES, short)
    assert credit.usual(ENGINES, long) == pytest.approx(1_300, rel=0.02)


def make_placement(load: ServerLoad | None = None, **changes) -> Placement:
    values = {
        "server": N1,
        "peer": None,
        "expected_ms": 100.0,
        "reading_ms": 80.0,
        "unread_tokens": 400,
        "effort_tokens": 400,
        "source": None,
        "loss": 0.1,
        "load": load or ServerLoad(),
        "load_age_ms": 0.0,
        "doubt": Doubt.NONE,
        "waits": False,
    }
    return Placement(**(values | changes))


class Watched:
    """Hold a stream at n1, and the tables that it teaches."""

    def __init__(self, thawed_at_ms=lambda: 0.0, **changes) -> None:
        self.loads = LoadTable(NORTH, lambda _one: None, lambda _one, _load, _shown: None)
        self.pauses = PauseTable()
        self.pace = PaceTable()
        reservation = self.loads.reserve(N1, 450, 400)
        request = make_request(make_route(pause_target_ms=PAUSE_MS))
        tables = WatchTables(self.pace, self.pauses, self.loads, thawed_at_ms)
        self.watch = StreamWatch(tables, request, make_placement(**changes), reservation)

        self.noted: list[tuple[str, int]] = []
        self.pauses.note_quiet = lambda _s, _w, _r, pause: self.noted.append(("quiet", pause))
        self.pauses.note_covered = lambda _s, _w, pause: self.noted.append(("covered", pause))
        self.pauses.note_outcome = lambda _s, _w, _r, late: self.noted.append(("late", late))


# Events of a stream at these times (ms); another prompt of so many tokens is given to the
# engine at that time (ms), behind so many; what is noted. By the first guess 1,000 take 20 ms.
EPISODES = [
    ("no reading", (100, 200, 300), None, 0, 0, []),
    ("a short one", (100, 200, 300, 400), 150, 500, 0, [("quiet", 100), ("late", False)]),
    (
        "a long one",
        (100, 200, 400, 500),
        150,
        30_000,
        0,
        [("quiet", 100), ("covered", 200), ("late", False)],
    ),
    (
        "one that surely ends before a late event",
        (100, 200, 900),
        150,
        30_000,
        0,
        [("quiet", 100), ("late", True)],
    ),
    (
        "behind one that may be read half",
        (100, 200, 400),
        150,
        30_000,
        20_000,
        [("covered", 200), ("late", False)],
    ),
    ("in the last pause", (100, 200), 150, 30_000, 0, [("quiet", 100)]),
]


@pytest.mark.parametrize("row", EPISODES, ids=[row[0] for row in EPISODES])
def test_a_stream_tells_of_its_pauses_beside_a_reading(clock, monkeypatch, row):
    _, events, reading_at, tokens, before, noted = row
    monkeypatch.setattr(PaceTable, "note_first_event", lambda *_: None)
    stream = Watched()
    given = False
    for at in events:
        if reading_at is not None and not given and reading_at < at:
            if before:
                stream.loads.reserve(N1, before, before)
            clock[0] = 1_000 + reading_at
            stream.loads.reserve(N1, tokens, tokens)
            given = True
        clock[0] = 1_000 + at
        stream.watch.note_event()
    assert stream.noted == noted


UNTOLD = [
    ("by way of a peer", {"peer": object()}),
    ("that waits for a place", {"waits": True}),
    ("whose start is fetched", {"source": N2}),
]


@pytest.mark.parametrize(("name", "changes"), UNTOLD, ids=[row[0] for row in UNTOLD])
def test_a_first_event_teaches_nothing_of_a_request(clock, name, changes):
    stream = Watched(**changes)
    clock[0] += 3_000
    stream.watch.note_event()
    assert stream.pace.engine(ENGINES, N1.id) == PaceTable().engine(ENGINES, N1.id)
    assert stream.loads.own(N1.id).unread_tokens == 0


# Each row: when events came, and when a pause of this process ended (ms).
OWN_PAUSES = [
    ("before the first event", (3_000,), 2_900),
    ("between events", (100, 3_100, 3_200), 3_000),
    ("before the end", (100, 3_200), 3_150),
]


@pytest.mark.parametrize(
    ("events", "thawed"), [row[1:] for row in OWN_PAUSES], ids=[row[0] for row in OWN_PAUSES]
)
def test_a_pause_of_this_process_teaches_nothing_of_an_engine(clock, monkeypatch, events, thawed):
    learned = []
    for name in ("note_first_event", "note_answer", "note_output"):
        monkeypatch.setattr(PaceTable, name, lambda *_, name=name: learned.append((clock[0], name)))
    stream = Watched(lambda: 1_000 + thawed if clock[0] >= 1_000 + thawed else 0.0)
    for at in events:
        if at > 100:
            stream.loads.reserve(N1, 500, 500)
        clock[0] = 1_000 + at
        stream.watch.note_event()
    stream.watch.note_end()
    assert [one for one in learned if one[0] >= 1_000 + thawed] == []
    assert [one for one in stream.noted if one[1] not in (100, False)] == []


def test_what_was_learned_can_be_logged():
    pace, pauses = PaceTable(), PauseTable()
    pace.note_first_event(ENGINES, N1.id, FirstEvent(0, 2_000, 0), 60.0)
    pauses.note_covered(ENGINES, PAUSE_MS, 120.0)
    logged = json.loads(json.dumps([pace.learned(), pauses.learned()]))
    assert len(logged[0][ENGINES]) == 3
    quiet_ms, deviation_ms, most_ms, *shares = logged[1]["engines/400"]
    assert (quiet_ms, deviation_ms, most_ms) == (60, 60, 116)
    assert shares == sorted(shares)
