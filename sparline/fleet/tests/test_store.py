import pytest
from result import Err, Ok

from sparline.fleet import (
    BackendServerItem,
    BadItem,
    ConfigurationItem,
    EvacuationItem,
    FleetState,
    StoreAnswer,
    StoreChange,
    StoreCopyTable,
    StoreFault,
    StoreFaultKind,
    StorePosition,
    StoreReader,
    UnknownItem,
    _fleet_state,
    _store_reader,
)
from sparline.tests.routed import make_route, make_rules, make_server

A1, A3, B2 = StoreChange("a", 1, b"1"), StoreChange("a", 3, b"3"), StoreChange("b", 2, b"2")
A_GONE = StoreChange("a", 4, None)


def at(revision: int, era: int = 0) -> StorePosition:
    return StorePosition(era, revision)


ORDERS = [
    ("in order", [([A1], 1), ([B2, A3], 3)], {"a": b"3", "b": b"2"}, 3),
    ("in reverse order", [([A3], 3), ([B2, A1], 2)], {"a": b"3", "b": b"2"}, 3),
    ("repeated", [([A1, B2], 2), ([A1, B2], 2)], {"a": b"1", "b": b"2"}, 2),
    ("deleted", [([A1, B2], 2), ([A_GONE], 4)], {"b": b"2"}, 4),
    ("deletion before the item arrives", [([A_GONE], 4), ([A1], 1)], {}, 4),
]


def copy_of(state: dict[str, bytes]) -> StoreCopyTable:
    def note(change: StoreChange) -> None:
        state.pop(change.key, None)
        if change.value is not None:
            state[change.key] = change.value

    return StoreCopyTable(note)


@pytest.mark.parametrize(
    ("steps", "held", "revision"), [row[1:] for row in ORDERS], ids=[row[0] for row in ORDERS]
)
def test_changes_converge_in_any_order(steps, held, revision):
    state: dict[str, bytes] = {}
    copy = copy_of(state)
    for changes, up_to in steps:
        copy.apply(changes, at(up_to))
    assert (state, copy.revision) == (held, revision)


def test_complete_list_deletes_missing_items_but_never_reverts():
    state: dict[str, bytes] = {}
    copy = copy_of(state)
    copy.apply([A1, B2], at(2))
    copy.replace([A3], at(3))
    assert state == {"a": b"3"}
    copy.replace([A1, B2], at(2))
    assert state == {"a": b"3"}


@pytest.mark.parametrize("since", [0, 1, 2, 3, 4])
def test_peer_that_applies_a_copy_has_the_same_items(since):
    state: dict[str, bytes] = {}
    copy = copy_of(state)
    steps = [([A1], 1), ([B2], 2), ([A3], 3), ([A_GONE], 4)]
    for changes, up_to in steps:
        copy.apply(changes, at(up_to))
    theirs: dict[str, bytes] = {}
    peer = copy_of(theirs)
    for changes, up_to in steps[:since]:
        peer.apply(changes, at(up_to))
    peer.take_copy(copy.since(peer.revision))
    assert theirs == state == {"b": b"2"}
    assert peer.revision == 4


# Positions and items of a copy before and after a list: position, items, whether the list is taken.
RESTORED = [
    ("a newer era at a lower revision", at(2, era=2), [B2], True, {"b": b"2"}),
    ("a newer era without items", at(1, era=2), [], True, {}),
    ("an older era at a higher revision", at(9, era=0), [B2], False, {"a": b"3"}),
    ("the same era at a lower revision", at(2, era=1), [B2], False, {"a": b"3"}),
    ("the same era at a higher revision", at(4, era=1), [B2], True, {"b": b"2"}),
]


@pytest.mark.parametrize(
    ("position", "changes", "is_taken", "held"),
    [row[1:] for row in RESTORED],
    ids=[row[0] for row in RESTORED],
)
def test_list_of_a_newer_era_replaces_all_items(position, changes, is_taken, held):
    state: dict[str, bytes] = {}
    copy = copy_of(state)
    copy.replace([A3], at(3, era=1))
    assert copy.replace(changes, position) is is_taken
    assert state == held
    assert copy.position == (position if is_taken else at(3, era=1))


def test_item_at_a_reissued_revision_replaces_the_one_of_the_earlier_era():
    state: dict[str, bytes] = {}
    copy = copy_of(state)
    copy.replace([A3], at(3, era=1))
    copy.replace([], at(1, era=2))
    copy.apply([StoreChange("a", 2, b"new")], at(2, era=2))
    assert state == {"a": b"new"}


def test_changes_of_another_era_are_not_applied():
    state: dict[str, bytes] = {}
    copy = copy_of(state)
    copy.replace([A3], at(3, era=1))
    assert not copy.apply([B2], at(4, era=2))
    assert state == {"a": b"3"}


def test_peer_behind_a_restoration_needs_a_complete_copy():
    state: dict[str, bytes] = {}
    copy = copy_of(state)
    copy.replace([A1], at(1, era=2))
    copy.apply([B2], at(2, era=2))
    peer = copy_of(theirs := {})
    peer.replace([A3], at(3, era=1))
    assert not peer.take_copy(copy.since(1))
    assert peer.take_copy(copy.since(0))
    assert theirs == state == {"a": b"1", "b": b"2"}
    assert peer.position == at(2, era=2)


def test_copy_from_before_the_first_read_is_complete():
    copy = copy_of({})
    copy.replace([B2], at(9))
    assert copy.since(5).whole
    assert not copy.since(9).whole


ZONES = {"north-1": "north"}
SERVER = make_server("s1")
ITEMS = {
    b"new": ConfigurationItem(make_rules(version=5)),
    b"old": ConfigurationItem(make_rules(make_route(path_start="/old/"), version=3)),
    b"bad": BadItem("wrong"),
    b"server": BackendServerItem(SERVER),
    b"leaving server": BackendServerItem(make_server("s1", leaving=True)),
    b"start 1": BackendServerItem(make_server("s1@1", born_ms=1)),
    b"start 2": BackendServerItem(make_server("s1@2", born_ms=2)),
    b"zone": EvacuationItem(SERVER.zone),
    b"other": UnknownItem(),
}


class LastFault:
    """Stub for the time since the store's last fault."""

    ago_ms = 1e9

    def __call__(self) -> float:
        return self.ago_ms


@pytest.fixture
def state():
    bad: list[int] = []
    one = FleetState(lambda change: ITEMS[change.value], lambda: bad.append(1), LastFault(), ZONES)
    one.bad = bad
    return one


def put(state: FleetState, *values: bytes | None, key: str = "k") -> None:
    for revision, value in enumerate(values, 1):
        state.take(StoreChange(key, revision, value))


CONFIGURATIONS = [
    ("first", [b"new"], 5),
    ("an older version later", [b"new", b"old"], 5),
    ("a newer version later", [b"old", b"new"], 5),
    ("an unreadable item later", [b"new", b"bad"], 5),
    ("deleted", [b"new", None], 5),
    ("unknown item", [b"new", b"other"], 5),
]


@pytest.mark.parametrize(
    ("values", "version"),
    [row[1:] for row in CONFIGURATIONS],
    ids=[row[0] for row in CONFIGURATIONS],
)
def test_newest_configuration_stays_in_force(state, values, version):
    put(state, *values)
    assert state.configuration.version == version


def test_evacuation_lasts_until_its_item_is_deleted(state):
    put(state, b"zone")
    assert state.evacuated == {SERVER.zone}
    put(state, None)
    assert state.evacuated == set()


LAPSES = [
    # time since the last store fault (ms), store still away, server kept at once, server kept after
    # the grace
    ("no recent fault", 1e9, False, False, False),
    ("store recovered, entry not renewed in time", 100.0, False, True, False),
    ("store still away", 100.0, True, True, True),
    ("deleted as soon as the store counts as stable again", 5_000.0, False, False, False),
]


@pytest.mark.parametrize(
    ("ago_ms", "away", "at_once", "after"),
    [row[1:] for row in LAPSES],
    ids=[row[0] for row in LAPSES],
)
def test_expired_entry_is_kept_for_the_grace_period(
    state, monkeypatch, ago_ms, away, at_once, after
):
    clock = [0.0]
    monkeypatch.setattr(_fleet_state, "now_ms", lambda: clock[0])
    put(state, b"server", key="servers/s1")
    state._fault_age_ms.ago_ms = ago_ms
    state.take(StoreChange("servers/s1", 9, None))
    assert (SERVER.id in state.servers) is at_once
    clock[0] += _fleet_state.LAPSE_GRACE_MS + 1
    state.remove_lapsed(away)
    assert (SERVER.id in state.servers) is after


def test_entry_renewed_within_the_grace_period_stays(state, monkeypatch):
    clock = [0.0]
    monkeypatch.setattr(_fleet_state, "now_ms", lambda: clock[0])
    put(state, b"server", key="servers/s1")
    state._fault_age_ms.ago_ms = 0.0
    state.take(StoreChange("servers/s1", 9, None))
    state.take(StoreChange("servers/s1", 10, b"server"))
    clock[0] += _fleet_state.LAPSE_GRACE_MS + 1
    state.remove_lapsed(False)
    assert SERVER.id in state.servers


def restore(state: FleetState, key: str, value: bytes | None) -> None:
    state.take(StoreChange(key, 1, value, after_restoration=True))


@pytest.fixture
def clock(monkeypatch):
    at_ms = [100_000.0]
    monkeypatch.setattr(_fleet_state, "now_ms", lambda: at_ms[0])
    return at_ms


def test_server_that_leaves_stays_so_when_an_older_copy_says_otherwise(state, clock):
    put(state, b"server", b"leaving server", key="servers/s1")
    restore(state, "servers/s1", b"server")
    assert state.servers[SERVER.id].leaving


def test_server_that_an_older_copy_lacks_is_kept_for_the_grace_period(state, clock):
    put(state, b"server", key="servers/s1")
    restore(state, "servers/s1", None)
    assert SERVER.id in state.servers
    clock[0] += _fleet_state.LAPSE_GRACE_MS + 1
    state.remove_lapsed(False)
    assert SERVER.id not in state.servers


REAPPEARANCES = [
    # change of the reappeared entry, time since then (ms), store unreachable, server used
    ("nothing is written", [], 5_000.0, False, False),
    ("nothing is written for long", [], 6_001.0, False, True),
    ("nothing can be written", [], 6_001.0, True, False),
    ("it is written", [b"server"], 0.0, False, True),
    ("it expires", [None], 6_001.0, False, False),
]


@pytest.mark.parametrize(
    ("written", "later_ms", "is_unreachable", "is_used"),
    [row[1:] for row in REAPPEARANCES],
    ids=[row[0] for row in REAPPEARANCES],
)
def test_removed_server_in_an_older_copy_is_used_once_it_is_confirmed(
    state, clock, written, later_ms, is_unreachable, is_used
):
    put(state, b"server", None, key="servers/s1")
    restore(state, "servers/s1", b"server")
    assert SERVER.id not in state.servers
    put(state, *written, key="servers/s1")
    clock[0] += later_ms
    state.apply_unconfirmed(is_unreachable)
    assert (SERVER.id in state.servers) is is_used


def test_unknown_server_in_an_older_copy_is_used(state, clock):
    restore(state, "servers/s1", b"server")
    assert SERVER.id in state.servers


EVACUATIONS = [
    # changes before the restoration, value in the older copy, change after it, evacuated at once, and
    # after a time (ms) without further changes
    ("an older copy lacks it", [b"zone"], None, [], True, 2_201.0, False),
    ("an older copy lacks it, written again", [b"zone"], None, [b"zone"], True, 9_000.0, True),
    ("taken back, in an older copy", [b"zone", None], b"zone", [], False, 5_000.0, False),
    ("taken back, still there long after", [b"zone", None], b"zone", [], False, 6_001.0, True),
    ("taken back once more", [b"zone", None], b"zone", [None], False, 9_000.0, False),
    ("never known", [], b"zone", [], True, 9_000.0, True),
]


@pytest.mark.parametrize(
    ("before", "restored", "written", "at_once", "later_ms", "later"),
    [row[1:] for row in EVACUATIONS],
    ids=[row[0] for row in EVACUATIONS],
)
def test_evacuation_that_an_older_copy_contradicts_holds_until_confirmed(
    state, clock, before, restored, written, at_once, later_ms, later
):
    put(state, *before)
    restore(state, "k", restored)
    assert bool(state.evacuated) is at_once
    put(state, *written)
    clock[0] += later_ms
    state.apply_unconfirmed(False)
    assert bool(state.evacuated) is later


class ScriptedStore:
    """Stub store client that returns scripted answers."""

    def __init__(self, *answers: object) -> None:
        self.answers = list(answers)
        self.calls: list[str] = []
        self.waits: list[int] = []

    def _next(self, call: str):
        self.calls.append(call)
        return self.answers.pop(0)

    def read_all(self, timeout_ms: float):
        return self._next("read")

    def watch(self, after: int, wait_ms: int, timeout_ms: float):
        assert wait_ms < timeout_ms
        self.waits.append(wait_ms)
        return self._next(f"watch {after}")

    def interrupt(self) -> None:
        self.calls.append("interrupt")


def fault(kind: StoreFaultKind) -> Err:
    return Err(StoreFault(kind, "text"))


READS = [
    ("read, then watch", [Ok(StoreAnswer([A1], at(1))), Ok(StoreAnswer([B2], at(2)))], ["read", "watch 1"]),
    ("a failed read is retried", [fault(StoreFaultKind.REFUSED), Ok(StoreAnswer([], at(1)))], ["read", "read"]),
    ("a failed watch resumes at its revision", [Ok(StoreAnswer([A1], at(1))), fault(StoreFaultKind.SILENT), Ok(StoreAnswer([], at(1)))], ["read", "watch 1", "watch 1"]),
    ("a watch of a newer era is dropped for a full read", [Ok(StoreAnswer([A1], at(1))), Ok(StoreAnswer([B2], at(1, era=1))), Ok(StoreAnswer([], at(1, era=1))), Ok(StoreAnswer([], at(1, era=1)))], ["read", "watch 1", "read", "watch 1"]),
    ("a watch of an older era is dropped for a full read", [Ok(StoreAnswer([A1], at(1, era=1))), Ok(StoreAnswer([B2], at(2))), Ok(StoreAnswer([], at(1))), Ok(StoreAnswer([], at(1, era=1)))], ["read", "watch 1", "read", "read"]),
    ("lost history causes a full read", [Ok(StoreAnswer([A1], at(1))), fault(StoreFaultKind.HISTORY_GONE), Ok(StoreAnswer([], at(7))), Ok(StoreAnswer([], at(8)))], ["read", "watch 1", "read", "watch 7"]),
]  # fmt: skip


@pytest.mark.parametrize(
    ("answers", "calls"), [row[1:] for row in READS], ids=[row[0] for row in READS]
)
def test_store_calls_follow_the_results(monkeypatch, answers, calls):
    store = ScriptedStore(*answers)
    monkeypatch.setattr(_store_reader.gevent, "sleep", lambda _s: None)
    reader = StoreReader(store, copy_of({}), lambda _call, _result: None, lambda: at(0))
    with pytest.raises(IndexError):
        reader.run()
    assert store.calls[: len(calls)] == calls


def test_watch_that_stays_behind_peers_is_interrupted(monkeypatch):
    clock = [10_000.0]
    monkeypatch.setattr(_store_reader, "now_ms", lambda: clock[0])
    store = ScriptedStore()
    newest = [5]
    reader = StoreReader(store, copy_of({}), lambda _call, _result: None, lambda: at(newest[0]))
    assert not reader.interrupt_stale_watch()
    clock[0] += _store_reader.STALE_WATCH_MS + _store_reader.MIN_WATCH_DELAY_MS + 1
    assert reader.interrupt_stale_watch()
    assert store.calls == ["interrupt"]
    newest[0] = 0
    clock[0] += _store_reader.STALE_WATCH_MS + _store_reader.MIN_WATCH_DELAY_MS + 1
    assert not reader.interrupt_stale_watch()


def test_watches_that_start_together_time_out_at_different_times(monkeypatch):
    monkeypatch.setattr(_store_reader.gevent, "sleep", lambda _s: None)
    waits = []
    for _ in range(50):
        store = ScriptedStore(Ok(StoreAnswer([A1], at(1))), Ok(StoreAnswer([], at(1))))
        reader = StoreReader(store, copy_of({}), lambda _call, _result: None, lambda: at(0))
        with pytest.raises(IndexError):
            reader.run()
        waits.append(store.waits[0])
    assert all(4_000 <= one <= 10_000 for one in waits)
    assert max(waits) - min(waits) > 2_000


def test_first_watch_after_a_fault_does_not_wait(monkeypatch):
    # A watch after a revision that a restored store has given out again would only wait.
    monkeypatch.setattr(_store_reader.gevent, "sleep", lambda _s: None)
    unreachable = fault(StoreFaultKind.UNREACHABLE)
    store = ScriptedStore(Ok(StoreAnswer([A1], at(1))), unreachable, unreachable, Ok(StoreAnswer([], at(1))), Ok(StoreAnswer([], at(1))))  # fmt: skip
    reader = StoreReader(store, copy_of({}), lambda _call, _result: None, lambda: at(0))
    with pytest.raises(IndexError):
        reader.run()
    assert [wait_ms > 0 for wait_ms in store.waits] == [True, False, False, True, True]


WATCH_DELAYS = [
    # number of watchers, time since the last fault (ms), delay after a response (ms)
    (9, 1e9, 400.0),
    (80, 1e9, 1_120.0),
    (340, 1e9, 1_500.0),
    (340, 1_000.0, 400.0),
]


@pytest.mark.parametrize(("instances", "since_fault_ms", "wait_ms"), WATCH_DELAYS)
def test_delay_after_a_response_grows_with_the_number_of_watchers(
    monkeypatch, instances, since_fault_ms, wait_ms
):
    waits: list[float] = []
    monkeypatch.setattr(_store_reader, "now_ms", lambda: 2e9)
    monkeypatch.setattr(_store_reader.gevent, "sleep", lambda s: waits.append(s * 1000))
    store = ScriptedStore(Ok(StoreAnswer([A1], at(1))))
    reader = StoreReader(
        store, copy_of({}), lambda _call, _result: None, lambda: at(0), lambda: instances
    )
    reader.last_fault_at_ms = 2e9 - since_fault_ms
    with pytest.raises(IndexError):
        reader.run()
    assert waits == [wait_ms]


STARTS = [
    ("one after the other", [b"start 1", b"start 2"], {"s1@2"}, ["s1@1"]),
    ("an entry of an earlier start", [b"start 2", b"start 1"], {"s1@2"}, []),
    ("an entry without a start time", [b"start 2", b"server"], {"s1@2"}, []),
    ("the same start again", [b"start 1", b"start 1"], {"s1@1"}, []),
    ("deleted and started again", [b"start 1", None, b"start 2"], {"s1@2"}, []),
    ("an unreadable entry", [b"start 1", b"bad"], set(), []),
    ("readable again", [b"start 1", b"bad", b"start 1"], {"s1@1"}, []),
]


@pytest.mark.parametrize(
    ("values", "held", "replaced"), [row[1:] for row in STARTS], ids=[row[0] for row in STARTS]
)
def test_key_refers_to_the_newest_start_of_its_server(values, held, replaced):
    restarted: list[str] = []
    one = FleetState(
        lambda change: ITEMS[change.value],
        lambda: None,
        LastFault(),
        ZONES,
        lambda server: restarted.append(server.id),
    )
    put(one, *values, key="servers/s1")
    assert set(one.servers) == held
    assert restarted == replaced


def test_new_start_replaces_an_expired_earlier_start(state):
    put(state, b"start 1", key="servers/s1")
    state._fault_age_ms.ago_ms = 0.0
    state.take(StoreChange("servers/s1", 2, None))
    state.take(StoreChange("servers/s1", 3, b"start 2"))
    assert set(state.servers) == {"s1@2"}


class FakeSleep:
    """Stub for sleep that advances the clock and ends the loop after a number of calls."""

    def __init__(self, clock: list[float], count: int) -> None:
        self._clock = clock
        self._count = count

    def __call__(self, time_s: float) -> None:
        self._clock[0] += time_s * 1000
        self._count -= 1
        if not self._count:
            raise StopIteration


FOLLOWING = [
    ("rare queries", lambda _now: False, 500, ["read", "watch 1", "watch 1", "watch 1"]),
    ("becomes a watcher", lambda now: now > 1_500.0, 500, ["read", "watch 1"]),
    ("no early queries", lambda _now: False, 70, ["read"]),
]


@pytest.mark.parametrize(
    ("watches", "steps", "calls"), [row[1:] for row in FOLLOWING], ids=[row[0] for row in FOLLOWING]
)
def test_non_watcher_rarely_calls_the_store(monkeypatch, watches, steps, calls):
    clock = [1_000.0]
    monkeypatch.setattr(_store_reader, "now_ms", lambda: clock[0])
    monkeypatch.setattr(_store_reader.gevent, "sleep", FakeSleep(clock, steps))
    store = ScriptedStore(
        Ok(StoreAnswer([], at(1))), *[Ok(StoreAnswer([], at(1)))] * (len(calls) - 1)
    )
    reader = StoreReader(
        store,
        copy_of({}),
        lambda _call, _result: None,
        lambda: at(0),
        is_watcher=lambda: watches(clock[0]),
    )
    with pytest.raises((StopIteration, IndexError)):
        reader.run()
    assert store.calls[: len(calls)] == calls
    assert len(store.calls) <= len(calls) + 1


def test_fault_seen_by_a_peer_keeps_expired_entries(state, monkeypatch):
    clock = [100_000.0]
    for module in (_fleet_state, _store_reader):
        monkeypatch.setattr(module, "now_ms", lambda: clock[0])
    reader = StoreReader(ScriptedStore(), copy_of({}), lambda _call, _result: None, lambda: at(0))
    state._fault_age_ms = lambda: clock[0] - reader.last_fault_at_ms
    put(state, b"server", key="servers/s1")
    reader.record_peer_fault(1_000.0)
    state.take(StoreChange("servers/s1", 9, None))
    assert SERVER.id in state.servers
