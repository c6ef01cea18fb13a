"""Verdicts on requests by the crashes recorded in a table."""

import pytest

from sparline.quarantine import (
    CrashFact,
    CrashTable,
    FactSource,
    RequestDigest,
    Verdict,
    _crash_table,
)

DIGEST = RequestDigest(b"1" * 16)
OTHER_DIGEST = RequestDigest(b"2" * 16)


@pytest.fixture
def clock(monkeypatch):
    time = [1_000_000.0]
    monkeypatch.setattr(_crash_table, "now_ms", lambda: time[0])
    return time


def record_ends(table: CrashTable, *servers: str, digest: RequestDigest = DIGEST) -> None:
    for server in servers:
        table.note_end(digest, server)


def fact(*servers: str, cleared: tuple[str, ...] = (), age_ms: float = 0.0) -> CrashFact:
    keys = frozenset(_crash_table.server_incarnation_key(one) for one in servers)
    return CrashFact(
        DIGEST, keys, frozenset(_crash_table.server_incarnation_key(one) for one in cleared), age_ms
    )


VERDICTS = [
    ("nothing", [], Verdict.CLEAR),
    ("one end", ["a"], Verdict.CLEAR),
    ("one end, reported repeatedly", ["a", "a", "a"], Verdict.CLEAR),
    ("two ends", ["a", "b"], Verdict.SUSPECT),
    ("two runs of one server", ["a@1", "a@2"], Verdict.SUSPECT),
    ("three ends", ["a", "b", "c"], Verdict.QUARANTINED),
    ("twenty ends", [f"s{number}" for number in range(20)], Verdict.QUARANTINED),
]


@pytest.mark.parametrize(
    ("servers", "verdict"), [row[1:] for row in VERDICTS], ids=[row[0] for row in VERDICTS]
)
def test_verdict_depends_on_number_of_servers(clock, servers, verdict):
    table = CrashTable()
    record_ends(table, *servers)
    assert table.verdict(DIGEST) is verdict
    assert table.verdict(OTHER_DIGEST) is Verdict.CLEAR


MERGES = [
    ("repeated facts", [["a", "b"], ["a", "b"]], 2),
    ("facts of two instances", [["a", "b"], ["b", "c"]], 3),
    ("one fact from each of three regions", [["a"], ["b"], ["c"]], 3),
    ("nothing new", [["a"], ["a"], []], 1),
]


@pytest.mark.parametrize(
    ("reports", "ends"), [row[1:] for row in MERGES], ids=[row[0] for row in MERGES]
)
def test_merge_is_independent_of_order(clock, reports, ends):
    for order in (reports, reports[::-1]):
        table = CrashTable()
        for servers in order:
            table.take([fact(*servers)])
        assert table.ends(DIGEST) == ends


def test_complete_answer_clears_earlier_ends(clock):
    table = CrashTable()
    record_ends(table, "a", "b")
    table.note_complete_answer(DIGEST)
    assert table.verdict(DIGEST) is Verdict.CLEAR
    # It also clears ends that an uninformed peer still reports.
    table.take([fact("a", "b")])
    assert table.verdict(DIGEST) is Verdict.CLEAR
    clock[0] += _crash_table.ANSWERED_TTL_MS + 1
    record_ends(table, "c")
    assert table.ends(DIGEST) == 1


def test_ends_cleared_by_a_peer_are_cleared(clock):
    table = CrashTable()
    record_ends(table, "a", "b", "c")
    assert table.take([fact("a", "b", "c", cleared=("a", "b", "c"))])
    assert table.verdict(DIGEST) is Verdict.CLEAR


def test_recently_answered_request_is_not_blamed_for_a_simultaneous_loss(clock):
    table = CrashTable()
    table.note_complete_answer(DIGEST)
    clock[0] += 100
    record_ends(table, "a", "b", "c")
    assert table.verdict(DIGEST) is Verdict.CLEAR
    # The change is passed to instances that have not answered it yet.
    (change,) = table.take([fact("a", "b", "c")])
    assert change.concerns_suspect
    assert change.fact.cleared == change.fact.ended


def test_complete_answer_expires(clock):
    table = CrashTable()
    table.note_complete_answer(DIGEST)
    clock[0] += _crash_table.ANSWERED_TTL_MS
    record_ends(table, "a", "b", "c")
    assert table.verdict(DIGEST) is Verdict.QUARANTINED


def test_quarantine_ends_as_suspect_and_doubles_with_each_further_end(clock):
    table = CrashTable()
    record_ends(table, "a", "b", "c")
    for number, times in enumerate((1, 2, 4)):
        clock[0] += times * _crash_table.QUARANTINE_MS - 1
        assert table.verdict(DIGEST) is Verdict.QUARANTINED
        clock[0] += 1
        assert table.verdict(DIGEST) is Verdict.SUSPECT
        record_ends(table, f"d{number}")
        assert table.verdict(DIGEST) is Verdict.QUARANTINED


def test_repeated_fact_does_not_extend_quarantine(clock):
    table = CrashTable()
    record_ends(table, "a", "b", "c")
    clock[0] += _crash_table.QUARANTINE_MS / 2
    table.take([fact("a", "b", "c", age_ms=_crash_table.QUARANTINE_MS / 2)])
    assert table.quarantine_left_ms(DIGEST) == _crash_table.QUARANTINE_MS / 2


def test_record_without_recent_end_is_dropped(clock):
    table = CrashTable()
    record_ends(table, "a", "b")
    clock[0] += _crash_table.RECORD_TTL_MS
    table.forget_old()
    assert table.is_empty


def test_many_single_ends_evict_no_suspect(clock):
    evicted = []
    table = CrashTable(on_evicted=lambda digest, ends: evicted.append((digest, ends)))
    record_ends(table, "a", "b", "c")
    for number in range(3 * _crash_table.MAX_RECORDS):
        clock[0] += 1
        record_ends(table, "x", digest=RequestDigest(number.to_bytes(16, "big")))
    assert table.verdict(DIGEST) is Verdict.QUARANTINED
    assert len(table._records) <= _crash_table.MAX_RECORDS
    assert evicted == []


def test_eviction_of_a_suspect_is_reported(clock, monkeypatch):
    monkeypatch.setattr(_crash_table, "MAX_RECORDS", 20)
    evicted = []
    table = CrashTable(on_evicted=lambda digest, ends: evicted.append((digest, ends)))
    for number in range(21):
        clock[0] += 1
        record_ends(table, "a", "b", digest=RequestDigest(number.to_bytes(16, "big")))
    assert evicted == [(RequestDigest(bytes(16)), 2), (RequestDigest(bytes(15) + b"\1"), 2)]


def test_facts_are_ordered_by_ends_and_limited_by_age(clock):
    table = CrashTable()
    record_ends(table, "a", "b", "c")
    clock[0] += 100
    record_ends(table, "a", digest=OTHER_DIGEST)
    assert [one.digest for one in table.facts(5, 50, 500)] == [DIGEST, OTHER_DIGEST]
    assert [one.digest for one in table.facts(1, 50, 500)] == [DIGEST]
    clock[0] += 100
    assert [one.digest for one in table.facts(5, 50, 500)] == [DIGEST]
    assert table.facts(5, 50, 150) == []


def test_each_change_is_reported_once_with_previous_ends(clock):
    changes = []
    table = CrashTable(
        lambda change: changes.append((change.ends_before, change.ends, change.learnt))
    )
    record_ends(table, "a", "a", "b")
    table.take([fact("a", "b", "c")])
    table.note_complete_answer(DIGEST)
    assert changes == [
        (0, 1, FactSource.HERE),
        (1, 2, FactSource.HERE),
        (2, 3, FactSource.PEER),
        (3, 0, FactSource.HERE),
    ]
