"""The reader of tagged messages takes and refuses the same bytes as msgspec's union does."""

import cbor2
import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sparline._cbor import pack, unpack
from sparline.fleet._gossip import DATAGRAM_READER, Datagram
from sparline.schema._gossip import (
    BackendLoadNote,
    CrashNews,
    CrashNote,
    Gossip,
    LoadNews,
    LoadReadingNote,
    LoadShareNote,
    LoadShares,
    LoadWord,
    MemberNote,
    MemberPhase,
    QuotaReport,
    QuotaTotals,
    QuotaWord,
)

LOAD = BackendLoadNote("s", 1, 2, 3)
MESSAGES = (
    Gossip(MemberNote("10.0.0.1", "g", 1, 1, MemberPhase.live, "north", "n-1"), 1, True, [], [], [], [], False),
    LoadShares("10.0.0.1", 1, 1, [LoadShareNote(LOAD, False)], None),
    LoadNews(LOAD),
    LoadWord(LoadReadingNote(1, LOAD, True)),
    CrashNews([CrashNote(b"x", [1], [], 2)], True),
    QuotaReport("10.0.0.1", 1, 1, []),
    QuotaWord(1, []),
    QuotaTotals("10.0.0.1", 1, "north", []),
)  # fmt: skip
OTHERS = (b"", b"\xff", *(cbor2.dumps(one) for one in ([], {}, "Gossip", ["Gossip"], ["None", 1], [1], [["Gossip"]], None)))  # fmt: skip


@pytest.mark.parametrize("message", MESSAGES, ids=lambda one: type(one).__name__)
def test_every_kind_is_read(message):
    assert DATAGRAM_READER.read(pack(message)).unwrap() == message
    assert type(DATAGRAM_READER.read(pack(message)).unwrap()) is type(message)


@pytest.mark.parametrize("data", OTHERS)
def test_what_is_no_message_is_refused_in_the_same_words(data):
    # The words go to the log.
    assert DATAGRAM_READER.read(data).is_err()
    assert DATAGRAM_READER.read(data) == unpack(data, Datagram)


@settings(max_examples=300, deadline=None)
@given(
    message=st.sampled_from(MESSAGES),
    place=st.integers(0, 12),
    value=st.sampled_from((None, "x", 1, -1.5, [], b"y", "LoadNews")),
)
def test_changed_messages_are_read_alike(message, place, value):
    items = msgspec.to_builtins(message, builtin_types=(bytes,))
    items[place : place + 1] = [value]
    data = cbor2.dumps(items)
    assert DATAGRAM_READER.read(data) == unpack(data, Datagram)
