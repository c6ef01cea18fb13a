"""Values learned from requests: engine times, gaps during prefill, usual credit."""

import json
import math
import random

import pytest

from sparline._ids import RegionName
from sparline.fleet import ServerLoad
from sparline.placement import (
    CreditTable,
    Doubt,
    GapTable,
    LoadTable,
    PaceTable,
    Placement,
    StreamWatch,
    WatchTables,
)
from sparline.placement._fit import Fit
from sparline.placement._pace import PrefillWork
from sparline.requests import Prompt
from sparline.tests.routed import ENGINES, make_request, make_route, make_server

N1, N2 = make_server("n1"), make_server("n2")
NORTH = RegionName("north")
GAP_TARGET_MS = 400.0


@pytest.fixture
def clock(monkeypatch):
    at = [1_000.0]
    for name in ("_pace", "_loads", "_stream_watch"):
        monkeypatch.setattr(f"sparline.placement.{name}.now_ms", lambda: at[0])
    return at


FITS = [
    # measured value as a function of the feature, and the fitted weights
    ("straight line", lambda x: 10 + 3 * x, (10.0, 3.0)),
    ("constant", lambda _x: 25, (25.0, 0.0)),
]


@pytest.mark.parametrize(("name", "measured", "weights"), FITS, ids=[row[0] for row in FITS])
def test_fit_recovers_weights_of_linear_model(name, measured, weights):
    fit = Fit((1.0, 1.0), (1.0, 1.0), 0.995)
    for number in range(400):
        x = number % 7
        fit.note((1.0, x), measured(x))
    assert fit.weights == pytest.approx(weights, abs=0.5)


def test_fit_without_measurements_returns_prior():
    assert Fit((5.0, 2.0), (1.0, 1.0), 0.9).weights == (5.0, 2.0)


def record_prefills(pace: PaceTable, server_id, tokens_per_ms: float, times: int, base_ms=30.0):
    chance = random.Random(3)
    for _ in range(times):
        tokens = chance.choice((200, 2_000, 12_000))
        took_ms = base_ms + tokens / tokens_per_ms
        pace.note_first_event(ENGINES, server_id, PrefillWork(0, tokens, 0), took_ms)


PACES = [10.0, 22.0, 56.6, 200.0]


@pytest.mark.parametrize("tokens_per_ms", PACES)
def test_pace_is_learned_from_thirty_requests(clock, tokens_per_ms):
    pace = PaceTable()
    record_prefills(pace, N1.id, tokens_per_ms, 30)
    found = pace.engine(ENGINES, N1.id)
    likely_ms = found.base_ms + 8_000 * found.token_ms
    assert likely_ms == pytest.approx(30 + 8_000 / tokens_per_ms, rel=0.2)


def test_slow_engine_is_detected_and_its_factor_decays(clock):
    pace = PaceTable()
    record_prefills(pace, N1.id, 50.0, 60)
    usual = pace.engine(ENGINES, N2.id).token_ms
    for _ in range(15):
        # Measurements behind queued prefills change the engine's factor, not the service's
        # estimate.
        pace.note_first_event(ENGINES, N2.id, PrefillWork(20_000, 2_000, 0), 1_500.0)
    slow = pace.engine(ENGINES, N2.id).token_ms
    assert slow > 2 * usual
    assert pace.engine(ENGINES, N1.id).token_ms == pytest.approx(usual, rel=0.25)
    clock[0] += 60_000
    assert pace.engine(ENGINES, N2.id).token_ms == pytest.approx(usual, rel=0.05)


def test_slow_engine_is_learned_from_reports_of_peers(clock):
    mine, siblings = PaceTable(), PaceTable()
    for table in (mine, siblings):
        record_prefills(table, N1.id, 50.0, 60)
    usual = mine.engine(ENGINES, N2.id).token_ms
    for _ in range(5):
        clock[0] += 200
        log_factor = siblings.note_first_event(ENGINES, N2.id, PrefillWork(0, 2_000, 0), 180.0)
        mine.note_log_factor(N2.id, log_factor)
    assert mine.engine(ENGINES, N2.id).token_ms > 1.5 * usual
    assert mine.engine(ENGINES, N1.id).token_ms == pytest.approx(usual, rel=0.05)


def test_out_of_range_report_counts_as_one_bounded_measurement(clock):
    bounded, out_of_range = PaceTable(), PaceTable()
    bounded.note_log_factor(N1.id, math.log(6.0))
    out_of_range.note_log_factor(N1.id, 50.0)
    assert out_of_range.engine(ENGINES, N1.id) == bounded.engine(ENGINES, N1.id)


def test_prefill_time_behind_a_prefix_is_learned(clock):
    pace = PaceTable()
    chance = random.Random(4)
    for _ in range(80):
        unread, cached = chance.choice(((2_000, 0), (2_000, 12_000), (12_000, 0), (6_000, 9_000)))
        # 50 tokens a millisecond, also behind a prefix.
        pace.note_first_event(ENGINES, N1.id, PrefillWork(0, unread, cached), 20 + unread / 50)
    assert pace.service(ENGINES).effort_tokens(10_000, 20_000) < 11_500
    assert PaceTable().service(ENGINES).effort_tokens(10_000, 20_000) > 16_000


def test_maximum_output_token_time_is_learned():
    pace = PaceTable()
    assert pace.max_output_token_ms(ENGINES) == 15.0
    chance = random.Random(5)
    took = [100 * chance.uniform(20, 40) for _ in range(200)]
    for took_ms in took:
        pace.note_output(ENGINES, 100, took_ms)
    assert 40 <= pace.max_output_token_ms(ENGINES) <= 50
    pace.note_output(ENGINES, 5, 90_000.0)
    assert pace.max_output_token_ms(ENGINES) <= 50


# Gaps during which an engine prefilled all the time (ms); a prefill (ms); bounds of the share of
# streams that it makes late.
LATE_SHARES = [
    ("no observations, long prefill", [], 1_000.0, 0.9, 1.0),
    ("no observations, short prefill", [], 150.0, 0.0, 0.05),
    ("no prefill", [], 0.0, 0.0, 0.0),
    ("harmless prefills", [250.0], 1_000.0, 0.0, 0.05),
    ("just harmless prefills", [370.0], 1_000.0, 0.03, 0.5),
    ("harmful prefills and short last events", [90.0, 600.0, 600.0] * 40, 1_000.0, 0.9, 1.0),
    ("prefills that delay all", [600.0], 1_000.0, 0.9, 1.0),
    ("one stream blocked by a fault", [250.0] * 30 + [9_000.0], 1_000.0, 0.0, 0.4),
]


@pytest.mark.parametrize(
    ("name", "gaps_ms", "prefill_ms", "least", "most"),
    LATE_SHARES,
    ids=[row[0] for row in LATE_SHARES],
)
def test_late_share_follows_observed_gaps(name, gaps_ms, prefill_ms, least, most):
    gaps = GapTable()
    for _ in range(100):
        gaps.note_base_gap(ENGINES, GAP_TARGET_MS, 20.0, 50.0)
    for gap_ms in gaps_ms * (1 if len(gaps_ms) > 1 else 100):
        gaps.note_gap_during_prefill(ENGINES, GAP_TARGET_MS, gap_ms)
    assert least <= gaps.late_share(ENGINES, GAP_TARGET_MS, prefill_ms) <= most


def test_late_share_does_not_fall_with_prefill_length():
    gaps = GapTable()
    gaps.note_gap_during_prefill(ENGINES, GAP_TARGET_MS, 390.0)
    shares = [gaps.late_share(ENGINES, GAP_TARGET_MS, 50.0 * step) for step in range(30)]
    assert shares == sorted(shares)


OUTCOMES = [
    # prefill times (ms) and how many of 100 were late; bounds of the share expected at 350 ms
    ("no outcomes", [], 0.3, 0.7),
    ("harmful prefills", [(350.0, 90)], 0.8, 0.95),
    ("harmless prefills", [(350.0, 0)], 0.0, 0.05),
    ("harmful shorter prefills", [(150.0, 90)], 0.5, 0.95),
    ("harmless longer prefills", [(900.0, 0)], 0.0, 0.15),
]


@pytest.mark.parametrize(
    ("name", "seen", "least", "most"), OUTCOMES, ids=[row[0] for row in OUTCOMES]
)
def test_outcomes_outweigh_prediction_from_gap_lengths(name, seen, least, most):
    gaps = GapTable()
    for prefill_ms, late in seen:
        for number in range(100):
            gaps.note_outcome(ENGINES, GAP_TARGET_MS, 10.0, False)
            gaps.note_outcome(ENGINES, GAP_TARGET_MS, prefill_ms, number < late)
    assert least <= gaps.late_share(ENGINES, GAP_TARGET_MS, 350.0) <= most


def test_long_gaps_without_prefill_are_not_blamed_on_prefill():
    gaps = GapTable()
    for _ in range(100):
        gaps.note_base_gap(ENGINES, GAP_TARGET_MS, 20.0, 390.0)
    assert gaps.late_share(ENGINES, GAP_TARGET_MS, 0.0) == 0.0
    assert gaps.late_share(ENGINES, GAP_TARGET_MS, 400.0) < 0.2


def test_usual_credit_follows_placed_requests():
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
        "prefill_ms": 80.0,
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


class WatchedStream:
    """A watched stream at n1, and the tables that it updates."""

    def __init__(self, process_resumed_at_ms=lambda: 0.0, **changes) -> None:
        self.loads = LoadTable(NORTH, lambda _one: None, lambda _one, _load, _log_factor: None)
        self.gaps = GapTable()
        self.pace = PaceTable()
        reservation = self.loads.reserve(N1, 450, 400)
        request = make_request(make_route(pause_target_ms=GAP_TARGET_MS))
        tables = WatchTables(self.pace, self.gaps, self.loads, process_resumed_at_ms)
        self.watch = StreamWatch(tables, request, make_placement(**changes), reservation)

        self.noted: list[tuple[str, int]] = []
        self.gaps.note_base_gap = lambda _service, _target, _prefill, gap: self.noted.append(
            ("base", gap)
        )
        self.gaps.note_gap_during_prefill = lambda _service, _target, gap: self.noted.append(
            ("during prefill", gap)
        )
        self.gaps.note_outcome = lambda _service, _target, _prefill, late: self.noted.append(
            ("late", late)
        )


# Times of a stream's events (ms); when another prompt is sent to the engine (ms), its tokens, and
# the tokens queued before it; the recorded calls, each with a gap (ms) or whether it was late. By
# the initial estimate 1,000 tokens take 20 ms.
GAP_CASES = [
    ("no prefill", (100, 200, 300), None, 0, 0, []),
    ("short prefill", (100, 200, 300, 400), 150, 500, 0, [("base", 100), ("late", False)]),
    (
        "long prefill",
        (100, 200, 400, 500),
        150,
        30_000,
        0,
        [("base", 100), ("during prefill", 200), ("late", False)],
    ),
    (
        "prefill that certainly ends before a late event",
        (100, 200, 900),
        150,
        30_000,
        0,
        [("base", 100), ("late", True)],
    ),
    (
        "queued behind a prefill of unknown progress",
        (100, 200, 400),
        150,
        30_000,
        20_000,
        [("during prefill", 200), ("late", False)],
    ),
    ("in the last gap", (100, 200), 150, 30_000, 0, [("base", 100)]),
]


@pytest.mark.parametrize("row", GAP_CASES, ids=[row[0] for row in GAP_CASES])
def test_stream_records_its_gaps_during_prefill(clock, monkeypatch, row):
    _, events, prefill_at, tokens, before, noted = row
    monkeypatch.setattr(PaceTable, "note_first_event", lambda *_: None)
    stream = WatchedStream()
    sent = False
    for at in events:
        if prefill_at is not None and not sent and prefill_at < at:
            if before:
                stream.loads.reserve(N1, before, before)
            clock[0] = 1_000 + prefill_at
            stream.loads.reserve(N1, tokens, tokens)
            sent = True
        clock[0] = 1_000 + at
        stream.watch.note_event()
    assert stream.noted == noted


UNMEASURED = [
    ("through a peer", {"peer": object()}),
    ("waiting for a slot", {"waits": True}),
    ("with a fetched prefix", {"source": N2}),
]


@pytest.mark.parametrize(("name", "changes"), UNMEASURED, ids=[row[0] for row in UNMEASURED])
def test_first_event_is_not_used_for_pace(clock, name, changes):
    stream = WatchedStream(**changes)
    clock[0] += 3_000
    stream.watch.note_event()
    assert stream.pace.engine(ENGINES, N1.id) == PaceTable().engine(ENGINES, N1.id)
    assert stream.loads.own(N1.id).unread_tokens == 0


# Times of events, and when this process resumed after a suspension (ms).
SUSPENSIONS = [
    ("before the first event", (3_000,), 2_900),
    ("between events", (100, 3_100, 3_200), 3_000),
    ("before the end", (100, 3_200), 3_150),
]


@pytest.mark.parametrize(
    ("events", "resumed_ms"), [row[1:] for row in SUSPENSIONS], ids=[row[0] for row in SUSPENSIONS]
)
def test_suspension_of_this_process_is_not_blamed_on_engine(clock, monkeypatch, events, resumed_ms):
    learned = []
    for name in ("note_first_event", "note_answer", "note_output"):
        monkeypatch.setattr(PaceTable, name, lambda *_, name=name: learned.append((clock[0], name)))
    stream = WatchedStream(lambda: 1_000 + resumed_ms if clock[0] >= 1_000 + resumed_ms else 0.0)
    for at in events:
        if at > 100:
            stream.loads.reserve(N1, 500, 500)
        clock[0] = 1_000 + at
        stream.watch.note_event()
    stream.watch.note_end()
    assert [one for one in learned if one[0] >= 1_000 + resumed_ms] == []
    assert [one for one in stream.noted if one[1] not in (100, False)] == []


def test_learned_values_can_be_logged():
    pace, gaps = PaceTable(), GapTable()
    pace.note_first_event(ENGINES, N1.id, PrefillWork(0, 2_000, 0), 60.0)
    gaps.note_gap_during_prefill(ENGINES, GAP_TARGET_MS, 120.0)
    logged = json.loads(json.dumps([pace.learned(), gaps.learned()]))
    assert len(logged[0][ENGINES]) == 3
    base_ms, deviation_ms, max_ms, *shares = logged[1]["engines/400"]
    assert (base_ms, deviation_ms, max_ms) == (60, 60, 116)
    assert shares == sorted(shares)
