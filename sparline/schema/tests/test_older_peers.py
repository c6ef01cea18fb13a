"""Messages of instances of an older version: fields that they do not know have their defaults."""

import cbor2
import pytest

from sparline._cbor import unpack
from sparline.schema._gossip import Gossip, StoreCopy

NOTE = ["10.0.0.1", "g1", 1, 1, "live", "north", "north-1"]
# What an older version sends, and a field that it does not know with its default.
OLDER = [
    ("a copy of the store", StoreCopy, ["StoreCopy", 7, True, []], "disturbed_ago_ms", None),
    ("a copy of the store, by revision alone", StoreCopy, ["StoreCopy", 7, True, []], "era", 0),
    (
        "a datagram, by revision alone",
        Gossip,
        ["Gossip", NOTE, 1, True, [], [], [], [], False],
        "store_era",
        0,
    ),
    (
        "a datagram",
        Gossip,
        ["Gossip", NOTE, 1, True, [], [], [], [], False],
        "crashes",
        [],
    ),
]


@pytest.mark.parametrize(
    ("kind", "sent", "field", "default"), [row[1:] for row in OLDER], ids=[row[0] for row in OLDER]
)
def test_a_field_that_an_older_peer_leaves_out_has_its_default(kind, sent, field, default):
    assert getattr(unpack(cbor2.dumps(sent), kind).unwrap(), field) == default
