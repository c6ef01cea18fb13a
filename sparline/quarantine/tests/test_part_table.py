"""Quarantine of parts of prompts by the exits recorded in a table."""

import pytest

from sparline._ids import BackendServerId, PartDigest, RequestId, SoftwareVersion
from sparline.quarantine import (
    CrashTable,
    FactSource,
    InterruptedRequest,
    PartTable,
    RequestDigest,
    ServerKind,
    Verdict,
    _crash_table,
    _part_table,
)

BAD, SOUND, FIRST = PartDigest(b"bad"), PartDigest(b"sound"), PartDigest(b"first")
ENGINES = ServerKind("engines", SoftwareVersion("v1"))
DIGEST = RequestDigest(b"1" * 16)
START_MS = 1_000_000.0


@pytest.fixture
def clock(monkeypatch):
    time = [START_MS]
    for module in (_part_table, _crash_table):
        monkeypatch.setattr(module, "now_ms", lambda: time[0])
    return time


def note_exits(
    table: PartTable,
    servers: str,
    *parts: PartDigest,
    kind: ServerKind = ENGINES,
    sent_at_ms: float = START_MS,
    learnt: FactSource = FactSource.HERE,
) -> None:
    """Let servers exit under a request of their own with some parts."""
    for server in servers:
        request_id = RequestId(f"{server}/{parts}")
        request = InterruptedRequest(DIGEST, request_id, parts, kind, sent_at_ms)
        table.note_exit(request, BackendServerId(server), learnt)


def crash(table: PartTable, servers: str = "abcd") -> None:
    """Let servers exit under the bad part, each beside sound requests."""
    for server in servers:
        note_exits(table, server, FIRST, BAD)
        for number in range(9):
            note_exits(table, server, FIRST, PartDigest(b"%d" % number))
        table.note_answered([FIRST, *(PartDigest(b"%d" % one) for one in range(9))], ENGINES)


def quarantined(table: PartTable) -> set[PartDigest]:
    return {one.part for one in table.quarantined()}


def test_part_under_all_exits_is_quarantined_and_those_beside_are_not(clock):
    table = PartTable()
    crash(table, "abc")
    assert quarantined(table) == set()
    assert table.is_suspect([BAD])
    assert not table.is_suspect([FIRST, PartDigest(b"1")])
    crash(table, "d")
    assert quarantined(table) == {BAD}
    assert table.quarantined_among([FIRST, BAD]) == BAD
    assert table.quarantined_among([FIRST, SOUND]) is None


@pytest.mark.parametrize(
    ("kind", "is_excused"),
    [
        (ENGINES, True),
        (ServerKind("engines", SoftwareVersion("v2")), False),
        (ServerKind("others", SoftwareVersion("v1")), False),
    ],
)
def test_an_answer_excuses_for_servers_of_its_kind_alone(clock, kind, is_excused):
    table = PartTable()
    crash(table)
    table.note_answered([BAD], kind)
    assert quarantined(table) == (set() if is_excused else {BAD})


def test_servers_lost_together_count_once_against_a_part_that_is_usually_answered(clock):
    table = PartTable()
    table.note_answered([SOUND], ENGINES)
    note_exits(table, "abcdefgh", SOUND)
    assert (table.exits(SOUND), quarantined(table)) == (1, set())
    # Each later request was sent after the exits before it.
    for server in "mnopqrst":
        clock[0] += 1_000.0
        note_exits(table, server, SOUND, sent_at_ms=clock[0] - 500.0)
    assert quarantined(table) == {SOUND}


def test_a_request_that_is_moved_from_exit_to_exit_counts_once_against_a_usual_part(clock):
    table = PartTable()
    table.note_answered([SOUND], ENGINES)
    for server in "abcdef":
        clock[0] += 1_000.0
        moved = InterruptedRequest(DIGEST, RequestId("r1"), (SOUND,), ENGINES, clock[0] - 500.0)
        table.note_exit(moved, BackendServerId(server))
    assert table.exits(SOUND) == 1


def test_facts_of_three_instances_add_up_in_any_order(clock):
    for order in ("abc", "cba"):
        tables = {"a": PartTable(), "b": PartTable(), "c": PartTable()}
        for name, servers in zip("abc", ("12", "23", "345"), strict=True):
            crash(tables[name], servers)
        heard = PartTable()
        for name in order * 2:
            heard.take(tables[name].facts(20, 1_000.0))
        assert (heard.exits(BAD), quarantined(heard)) == (5, {BAD})


def test_quarantine_lasts_while_the_part_is_asked_for(clock):
    changes: list[tuple[PartDigest, bool]] = []
    table = PartTable(on_quarantine=lambda part, is_new: changes.append((part.part, is_new)))
    crash(table)
    for _ in range(3):
        clock[0] += _part_table.QUARANTINED_RECORD_TTL_MS - 1
        table.forget_old()
        assert table.quarantined_among([BAD]) == BAD
    clock[0] += _part_table.QUARANTINED_RECORD_TTL_MS + 1
    table.forget_old()
    assert table.is_empty
    assert changes == [(BAD, True), (BAD, False)]


def test_release_reaches_peers_and_new_exits_count_from_the_start(clock):
    table, peer = PartTable(), PartTable()
    crash(table)
    peer.take(table.facts(20, 1_000.0))
    assert table.release(BAD)
    assert not table.release(BAD)
    peer.take(table.facts(20, 1_000.0))
    assert quarantined(table) == quarantined(peer) == set()
    crash(peer, "vwx")
    assert quarantined(peer) == set()
    crash(peer, "yz")
    assert quarantined(peer) == {BAD}


def test_exits_under_a_quarantined_part_count_against_no_request(clock):
    table = PartTable()
    contents = CrashTable(is_explained=table.explains)
    for server in "abc":
        contents.note_end(DIGEST, BackendServerId(server))
    assert contents.verdict(DIGEST) is Verdict.QUARANTINED
    crash(table)
    assert contents.verdict(DIGEST) is Verdict.CLEAR
    contents.note_end(DIGEST, BackendServerId("x"))
    contents.note_end(DIGEST, BackendServerId("y"))
    assert contents.verdict(DIGEST) is Verdict.SUSPECT


def test_records_are_bounded_and_quarantined_parts_stay(clock):
    table = PartTable()
    crash(table)
    for number in range(2 * _part_table.MAX_RECORDS):
        note_exits(table, "x", PartDigest(b"n%d" % number))
    assert len(table._records) <= _part_table.MAX_RECORDS
    assert quarantined(table) == {BAD}
