"""Tests of the choice of the peer from which an instance copies the store."""

from types import SimpleNamespace

import gevent
import pytest

from sparline._cbor import pack
from sparline.fleet import Member
from sparline.gateway._metrics import GatewayMetrics
from sparline.gateway._store_sync import COPY_TIMEOUT_MS, StoreSync, nearest_peers
from sparline.schema._gossip import MemberNote, MemberPhase, StoreCopy

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


class SilentPeers:
    """Stub for exchanges with peers, of which some never answer."""

    def __init__(self, *silent: str) -> None:
        self.silent = silent
        self.asked: list[str] = []

    def exchange(self, peer: Member, _target: bytes) -> bytes:
        self.asked.append(peer.note.name)
        if peer.note.name in self.silent:
            gevent.sleep(60)
        return pack(StoreCopy(1, True, []))


def make_sync(monkeypatch, peers: SilentPeers) -> StoreSync:
    members = SimpleNamespace(own=note("own", "north-1"))
    sync = StoreSync(members, None, None, None, GatewayMetrics(), 1)
    monkeypatch.setattr(sync, "_exchange", peers.exchange)
    return sync


@pytest.mark.parametrize("silent", ["a", "b"])
def test_silent_sibling_delays_a_copy_once_only(monkeypatch, silent):
    # Which one was asked was left to chance each time, and each time waited for 2.5 s.
    peers = SilentPeers(silent)
    sync = make_sync(monkeypatch, peers)
    siblings = [Member(note(name, "north-1"), 0.0, 0.0) for name in ("a", "b")]
    copies = [sync._fetch(sync._choose_peer(siblings), b"/") for _ in range(8)]
    assert peers.asked.count(silent) <= 1
    assert sum(one is None for one in copies) <= 1


def test_timeout_of_a_sibling_grows_until_a_large_copy_can_arrive(monkeypatch):
    sync = make_sync(monkeypatch, SilentPeers("a"))
    sibling = Member(note("a", "north-1"), 0.0, 0.0)
    elsewhere = Member(note("b", "south-1"), 0.0, 0.0)
    assert sync._timeout_ms(sibling) <= COPY_TIMEOUT_MS / 3
    assert sync._timeout_ms(elsewhere) == COPY_TIMEOUT_MS
    for _ in range(3):
        sync._fetch(sibling, b"/")
    assert sync._timeout_ms(sibling) == COPY_TIMEOUT_MS
