"""A newer version wins, an older one never comes back, and order of arrival does not matter."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sparline._ids import RecordName, Revision
from sparline.declarations import Record, RecordStore, RecordVerdict

GOOD = json.dumps({"kind": "service", "name": "s"})
OTHER = json.dumps({"kind": "service", "name": "t"})
BAD = json.dumps({"kind": "service"})


def record(revision: int, body: str | None = GOOD, name: str = "a") -> Record:
    return Record(RecordName(name), Revision(revision), body)


CASES = [
    # name, records offered, verdicts, revision in force, refused revision
    ("first", [record(1)], "in_force", 1, None),
    ("newer wins", [record(1), record(2)], "in_force in_force", 2, None),
    ("older is left", [record(2), record(1)], "in_force older", 2, None),
    ("same again", [record(1), record(1)], "in_force same", 1, None),
    ("same version, other content", [record(1), record(1, OTHER)], "in_force conflict", 1, None),
    ("refused keeps the last", [record(1), record(2, BAD)], "in_force refused", 1, 2),
    ("refused first, older later", [record(2, BAD), record(1)], "refused in_force", 1, 2),
    ("a newer good one mends", [record(1, BAD), record(2)], "refused in_force", 2, None),
    ("removed", [record(1), record(2, None)], "in_force removed", 2, None),
    ("removed does not come back", [record(2, None), record(1)], "removed older", 2, None),
]


@pytest.mark.parametrize(
    ("name", "offered", "verdicts", "in_force", "refused"), CASES, ids=[row[0] for row in CASES]
)
def test_versions(
    name: str, offered: list[Record], verdicts: str, in_force: int, refused: int | None
) -> None:
    store = RecordStore()
    assert [store.offer(one).value for one in offered] == verdicts.split()
    assert store._in_force[RecordName("a")].record.revision == in_force
    assert [one.record.revision for one in store.refused()] == ([refused] if refused else [])


HISTORY = st.lists(st.sampled_from([GOOD, OTHER, BAD, None]), min_size=1, max_size=6)


def in_force(store: RecordStore) -> dict[str, tuple[int, str | None]]:
    return {name: (one.record.revision, one.record.body) for name, one in store._in_force.items()}


@given(bodies=HISTORY, data=st.data())
@settings(derandomize=True, max_examples=150, deadline=None)
def test_all_orders_of_arrival_end_alike(bodies: list[str | None], data: st.DataObject) -> None:
    history = [record(number + 1, body) for number, body in enumerate(bodies)]
    straight = RecordStore()
    for one in history:
        straight.offer(one)
    shuffled = RecordStore()
    for one in data.draw(st.permutations(history + history)):
        shuffled.offer(one)
    assert in_force(shuffled) == in_force(straight)
    assert shuffled.digest == straight.digest


def test_pull_brings_a_fresh_store_to_the_same_state() -> None:
    held = RecordStore()
    for one in (record(1), record(2, BAD), record(3, OTHER, "b"), record(4, None, "b")):
        held.offer(one)
    fresh = RecordStore()
    for one in held.newer_than(Revision(0)):
        fresh.offer(one)
    assert in_force(fresh) == in_force(held)
    assert fresh.digest == held.digest


def test_conflict_is_told_and_changes_nothing() -> None:
    store = RecordStore()
    store.offer(record(5))
    before = in_force(store), store.digest
    assert store.offer(record(5, OTHER)) is RecordVerdict.CONFLICT
    assert (in_force(store), store.digest) == before
