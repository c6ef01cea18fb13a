"""Pending requests by rank in loads: sums, bounded messages and builds without them."""

import random

import msgspec
import pytest

from sparline._cbor import pack, unpack
from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.fleet import ServerLoad, pending_of, sum_loads
from sparline.fleet._load_board import LoadReading, ServerLoadTable
from sparline.fleet._loads import MAX_RANK, read_load, write_load
from sparline.fleet.exchanges._load_exchange import (
    MAX_CROSS_REGION_READINGS,
    _fitting,
    _reading_notes,
)
from sparline.schema._gossip import BackendLoadNote, LoadNews

SERVER = BackendServerId("engine-of-some-zone-17")


class OldLoadNote(msgspec.Struct, frozen=True, array_like=True):
    """A load as builds without ranks know it."""

    backend_server: str
    running: int
    held_tokens: int
    unread_tokens: int


class OldLoadNews(msgspec.Struct, frozen=True, array_like=True, tag="LoadNews"):
    """News as builds without ranks know them."""

    change: OldLoadNote
    slower_milli: int = 0


def test_older_build_reads_loads_with_ranks_and_the_other_way_round():
    """Guards against lost loads while builds with and without ranks run side by side."""
    load = ServerLoad(3, 900, 700, pending_of(2, 1, 700))
    sent = pack(LoadNews(write_load(SERVER, load), 5))
    assert unpack(sent, OldLoadNews).unwrap() == OldLoadNews(OldLoadNote(SERVER, 3, 900, 700), 5)
    old = pack(OldLoadNews(OldLoadNote(SERVER, 3, 900, 700), 5))
    assert read_load(unpack(old, LoadNews).unwrap().change) == ServerLoad(3, 900, 700)
    assert read_load(unpack(sent, LoadNews).unwrap().change) == load


@pytest.mark.parametrize(("rank", "kept"), [(0, 0), (9, 9), (10, 9), (255, 9), (-3, 0)])
def test_ranks_are_bounded(rank, kept):
    assert pending_of(rank, 1, 50) == (0, 0) * kept + (1, 50)


def test_longer_list_of_a_peer_is_cut():
    """Guards against a peer's message that makes every later sum as long as it is."""
    note = BackendLoadNote(SERVER, 1, 1, 1, [1] * 500)
    assert len(read_load(note).pending) == 2 * (MAX_RANK + 1)


@pytest.mark.parametrize("seed", range(5))
def test_changes_in_any_order_add_up_to_nothing(seed):
    """Guards against pending requests that stay counted after they have ended."""
    rng, table = random.Random(seed), ServerLoadTable()
    added = [pending_of(rng.randrange(10), 1, rng.randrange(3) * 500) for _ in range(40)]
    removed = [tuple(-one for one in pending) for pending in added]
    changes = [ServerLoad(0, 0, 0, one) for one in (*added, *removed)]
    rng.shuffle(changes)
    for change in changes:
        table.note_change(SERVER, change)
        assert min(table.load(SERVER).pending, default=0) >= 0
    assert table.load(SERVER).pending == ()
    assert sum_loads(changes).pending == ()


def test_readings_with_ranks_stay_below_the_size_of_a_datagram():
    """Guards against readings that are lost because their datagram is fragmented."""
    load = ServerLoad(22, 210_000, 72_000, (2, 1_400, 3, 5_400, 5, 60_000))
    now = now_ms()
    some = [
        (BackendServerId(f"engine-{n:04}"), LoadReading(now, now, load, True)) for n in range(99)
    ]
    plain = [(one, LoadReading(now, now, ServerLoad(22, 210_000, 72_000), True)) for one, _ in some]
    sent = [_reading_notes(_fitting(pairs, MAX_CROSS_REGION_READINGS)) for pairs in (some, plain)]
    sizes = [sum(len(pack(one)) for one in notes) for notes in sent]
    assert len(sent[1]) == MAX_CROSS_REGION_READINGS
    assert sizes[0] <= sizes[1] * 1.02
