"""Tests of the peers to which requests may be relayed."""

import msgspec
import pytest

from sparline._ids import RegionName
from sparline.fleet import Members
from sparline.gateway._peer_table import PEER_SKIP_MS, PeerTable
from sparline.schema._gossip import Gossip, MemberNote, MemberPhase

NORTH, SOUTH = RegionName("north"), RegionName("south")
ACCEPT_MS = 4_000.0


def note(ip: str, phase: MemberPhase, region: RegionName = SOUTH) -> MemberNote:
    return MemberNote(ip, ip, 1, 1, phase, region, f"{region}-1")


LIVE_1, LIVE_2 = (note(ip, MemberPhase.live) for ip in ("s1", "s2"))
LEAVING_1, LEAVING_2 = (note(ip, MemberPhase.leaving) for ip in ("s1", "s2"))
ISOLATED_2 = msgspec.structs.replace(LIVE_2, servers_reached=False)

# Known instances of region south, addresses that could not be reached, time since then (ms), and
# peers to which a request may be relayed.
ROWS = [
    ("all that live", [LIVE_1, LIVE_2], (), 0, {"s1", "s2"}),
    ("not those that leave, beside a live one", [LIVE_1, LEAVING_2], (), 0, {"s1"}),
    ("those that leave, where none is live", [LEAVING_1, LEAVING_2], (), 0, {"s1", "s2"}),
    ("not those that take nothing new any more", [LEAVING_1], (), 4_100, set()),
    ("not one out of reach", [LIVE_1, LIVE_2], ("s1",), 0, {"s2"}),
    ("one that leaves, where the live one is out of reach", [LIVE_1, LEAVING_2], ("s1",), 0, {"s2"}),
    ("one that was out of reach long ago", [LIVE_1], ("s1",), PEER_SKIP_MS + 1, {"s1"}),
    ("not one that reaches no server", [LIVE_1, ISOLATED_2], (), 0, {"s1"}),
    ("nobody, where none reaches a server", [ISOLATED_2], (), 0, set()),
    ("nobody", [], (), 0, set()),
]  # fmt: skip


@pytest.mark.parametrize("row", ROWS, ids=[row[0] for row in ROWS])
def test_usable_peers(monkeypatch, row):
    _, heard, missed, ago_ms, usable = row
    at = [1_000.0]
    for module in (
        "sparline.gateway._peer_table",
        "sparline.fleet._members",
        "sparline.fleet._planned_stops",
    ):
        monkeypatch.setattr(f"{module}.now_ms", lambda: at[0])
    members = Members(note("n1", MemberPhase.live, NORTH))
    for one in heard:
        members.take(Gossip(one, 1, True, [], [], [], [], False))
    peers = PeerTable(members, ACCEPT_MS)
    for ip in missed:
        peers.note_reachability(ip, False)
    at[0] += ago_ms
    if ago_ms > ACCEPT_MS:
        # A leaving instance continues to send heartbeats.
        for one in heard:
            heartbeat = MemberNote(
                one.ip, one.name, 1, 2, one.phase, one.region, one.availability_zone
            )
            members.take(Gossip(heartbeat, 1, True, [], [], [], [], False))
    assert {one.note.ip for one in peers.usable(SOUTH)} == usable
