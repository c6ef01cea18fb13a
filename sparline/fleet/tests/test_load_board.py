"""The incremental sum of a server's changes equals the sum of the changes in effect."""

import random

import pytest

from sparline._ids import BackendServerId
from sparline.fleet import LoadReading, ServerLoad, ServerLoadTable, _load_board, sum_loads

SERVER = BackendServerId("e1")


@pytest.mark.parametrize("seed", range(20))
def test_load_is_the_reading_plus_all_later_changes(monkeypatch, seed):
    chance = random.Random(seed)
    now = [1_000_000.0]
    monkeypatch.setattr(_load_board, "now_ms", lambda: now[0])
    load_table = ServerLoadTable()
    changes: list[tuple[float, ServerLoad]] = []
    reading = None
    covers = 0.0
    for _ in range(300):
        now[0] += chance.choice((1.0, 20.0, 900.0))
        if chance.random() < 0.1:
            # The time that readings cover never decreases.
            covers = max(covers, now[0] - chance.uniform(0, 300))
            reading = LoadReading(now[0], covers, ServerLoad(500, 90_000, 9_000), False)
            load_table.take(SERVER, reading)
        else:
            sign = chance.choice((1, -1))
            change = ServerLoad(sign, sign * chance.randrange(500), sign * chance.randrange(50))
            load_table.note_change(SERVER, change)
            changes.append((now[0], change))
        if reading is None or reading.at_ms < now[0] - _load_board.LOAD_MAX_AGE_MS:
            continue
        since = max(now[0] - _load_board.LOAD_MAX_AGE_MS, reading.covers_until_ms)
        load_table.forget_old()
        counted = [load for at_ms, load in changes if at_ms > since]
        assert load_table.load(SERVER) == sum_loads((reading.load, *counted))
