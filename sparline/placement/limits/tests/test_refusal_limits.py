import pytest

from sparline._ids import BackendServerId
from sparline.placement.limits import RefusalLimitTable
from sparline.placement.limits import _refusal_limits as module

SERVER = BackendServerId("s1")
SHARERS = 4


@pytest.fixture
def at(monkeypatch):
    now = [1_000.0]
    monkeypatch.setattr(module, "now_ms", lambda: now[0])
    return now


# What the latest answers stated, time since then (ms), free slots, and the requests that this
# instance may send at once.
ROWS = [
    ("no limit", [None], 0, 0, 100),
    ("a limit that was lifted", [5.0, None], 0, 0, 100),
    ("a limit that nobody has repeated", [5.0], module.REFUSAL_LIMIT_TTL_MS + 1, 0, 100),
    ("a part of the free slots", [5.0], 0, 8, 2),
    ("no free slot", [5.0], 0, 0, 0),
]


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_instance_takes_its_part_of_the_free_slots(at, row):
    _, stated, ago_ms, free, may_send = row
    table = RefusalLimitTable(lambda: SHARERS)
    for per_s in stated:
        table.note_answer(SERVER, per_s)
    at[0] += ago_ms
    sent = []
    while len(sent) < 100 and table.may_send(SERVER, lambda: free - len(sent)):
        table.note_sent(SERVER)
        sent.append(SERVER)
    assert len(sent) == may_send


def test_others_have_heard_of_earlier_requests(at):
    table = RefusalLimitTable(lambda: SHARERS)
    table.note_answer(SERVER, 5.0)
    table.note_sent(SERVER)
    assert not table.may_send(SERVER, lambda: 3)
    at[0] += module.LOAD_DELAY_MS + 1
    assert table.may_send(SERVER, lambda: 4)


@pytest.mark.parametrize(("per_s", "pause_ms"), [(8.0, 1_000.0), (2.0, 4_000.0), (0.0, 80_000.0)])
def test_pauses_of_all_instances_keep_to_half_the_limit(at, per_s, pause_ms):
    table = RefusalLimitTable(lambda: SHARERS)
    assert table.pause_ms(SERVER) == 0.0
    table.note_answer(SERVER, per_s)
    assert table.pause_ms(SERVER) == pytest.approx(pause_ms)
