"""Tests of the choice of the peer from which an instance copies the store."""

import pytest

from sparline.fleet import Member
from sparline.gateway._store_sync import nearest_peers
from sparline.schema._gossip import MemberNote, MemberPhase

PLACES = {"own-zone": "north-1", "own-region": "north-2", "elsewhere": "south-1"}


def note(name: str, zone: str) -> MemberNote:
    return MemberNote(name, name, 1, 1, MemberPhase.live, zone.split("-")[0], zone)


NEAREST = [
    ("the own zone goes first", ("elsewhere", "own-region", "own-zone"), ["own-zone"]),
    ("then the own region", ("elsewhere", "own-region"), ["own-region"]),
    ("then any", ("elsewhere",), ["elsewhere"]),
    ("nobody", (), []),
]


@pytest.mark.parametrize(
    ("names", "expected"), [row[1:] for row in NEAREST], ids=[row[0] for row in NEAREST]
)
def test_nearest_peers_are_selected_for_a_copy(names, expected):
    peers = [Member(note(name, PLACES[name]), 0.0, 0.0) for name in names]
    assert [one.note.name for one in nearest_peers(peers, note("own", "north-1"))] == expected
