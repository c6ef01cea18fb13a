"""Copies the store from peers if this instance does not watch it or gets no answer from it."""

import random

import gevent
from result import Err, Ok

from sparline._cbor import unpack
from sparline._clock import now_ms
from sparline._logging import log
from sparline.fleet import (
    FleetState,
    Member,
    Members,
    StoreChange,
    StoreCopyTable,
    StoreReader,
)
from sparline.gateway._metrics import GatewayMetrics
from sparline.gateway._peer_answers import CONFIGURATION_TARGET, STORE_COPY_TARGET
from sparline.gateway._peer_calls import CallRefused, call_peer
from sparline.http import ConnectionBroken
from sparline.schema._gossip import MemberNote, StoreCopy

# Interval at which this instance compares its store copy with the positions of its peers (ms).
COMPARE_INTERVAL_MS = 400.0
# Timeout of a copy from a peer (ms): a round trip between regions and a transfer of one megabyte.
COPY_TIMEOUT_MS = 2_500.0
# Timeout of the first copy from a sibling after one that succeeded (ms), doubled with each that
# times out: most copies hold a few items, and a sibling that has just died must not delay them.
SIBLING_COPY_TIMEOUT_MS = 700.0
# Longest copy: a few times that of the largest store.
MAX_COPY_BYTES = 4_194_304
# How long a peer that gave no copy is avoided while others can give one (ms): until it has timed out
# as a member.
FAILED_PEER_MS = 3_000.0


class StoreSync:
    """Copy from peers with a newer position, unless the store itself answers."""

    def __init__(
        self,
        members: Members,
        copy: StoreCopyTable,
        reader: StoreReader,
        fleet: FleetState,
        metrics: GatewayMetrics,
        relay_port: int,
    ) -> None:
        """Create a synchronisation with the members of a fleet."""
        self._members = members
        self._copy = copy
        self._reader = reader
        self._fleet = fleet
        self._metrics = metrics
        self._relay_port = relay_port
        self._rng = random.Random()
        self._timeouts = 0  # copies in a row that timed out
        self._failed_at_ms: dict[str, float] = {}  # last failure of each peer, by address
        self._fetch_began_at_ms = 0.0  # when the latest request to a peer began

    def run(self) -> None:
        """Compare until the process ends."""
        while True:
            gevent.sleep(COMPARE_INTERVAL_MS / 1000)
            is_outdated = self._reader.interrupt_stale_watch()
            if is_outdated or self._reader.needs_peers():
                self._copy_from_peer()
            self._follow_newer_configuration()

    def _copy_from_peer(self) -> None:
        held = self._copy.position
        newer = [one for one in self._members.live() if one.store_position > held]
        if not newer:
            return
        peer = self._choose_peer(newer)
        target = STORE_COPY_TARGET + b"%d" % self._revision_to_follow(peer)
        copy = self._fetch(peer, target)
        if copy is not None:
            self._apply(peer, copy)

    def _revision_to_follow(self, peer: Member) -> int:
        """Return the revision after which changes are wanted, 0 for all items."""
        held = self._copy.position
        return held.revision if peer.store_position.era == held.era else 0

    def _follow_newer_configuration(self) -> None:
        """Copy the configuration of a peer if it is newer than that of a store not behind the peer.

        A store that came back from an older copy may have lost a version that peers follow.
        """
        version = self._fleet.configuration_version
        newer = [
            one
            for one in self._members.live()
            if one.configuration_version > version and one.store_position <= self._copy.position
        ]
        if not newer:
            return
        peer = self._choose_peer(newer)
        copy = self._fetch(peer, CONFIGURATION_TARGET)
        if copy is None:
            return
        for note in copy.items:
            self._fleet.take_configuration(StoreChange(note.key, note.revision, note.value))
        self._record_result(peer, "configuration", f"version {self._fleet.configuration_version}")

    def _choose_peer(self, newer: list[Member]) -> Member:
        """Return one of the nearest peers, avoiding those that have failed to give a copy."""
        since = now_ms() - FAILED_PEER_MS
        self._failed_at_ms = {ip: at for ip, at in self._failed_at_ms.items() if at >= since}
        reliable = [one for one in newer if one.note.ip not in self._failed_at_ms]
        return self._rng.choice(nearest_peers(reliable or newer, self._members.own))

    def _timeout_ms(self, peer: Member) -> float:
        if peer.note.region != self._members.own.region:
            return COPY_TIMEOUT_MS
        return min(SIBLING_COPY_TIMEOUT_MS * 2**self._timeouts, COPY_TIMEOUT_MS)

    def _fetch(self, peer: Member, target: bytes) -> StoreCopy | None:
        """Return a peer's answer, or None after recording why there is none."""
        self._fetch_began_at_ms = now_ms()
        limit = gevent.Timeout(self._timeout_ms(peer) / 1000)
        try:
            with limit:
                content = self._exchange(peer, target)
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            self._timeouts += 1
            self._failed_at_ms[peer.note.ip] = now_ms()
            self._record_result(peer, "silent")
            return None
        except (OSError, ConnectionBroken) as error:
            self._failed_at_ms[peer.note.ip] = now_ms()
            self._record_result(peer, "unreachable", str(error))
            return None
        except CallRefused as error:
            self._failed_at_ms[peer.note.ip] = now_ms()
            self._record_result(peer, "bad_answer", str(error))
            return None
        self._timeouts = 0
        match unpack(content, StoreCopy):
            case Ok(copy):
                return copy
            case Err(reason):
                self._record_result(peer, "bad_answer", reason)
                return None

    def _exchange(self, peer: Member, target: bytes) -> bytes:
        return call_peer(peer, self._relay_port, target, COPY_TIMEOUT_MS, MAX_COPY_BYTES)

    def _apply(self, peer: Member, copy: StoreCopy) -> None:
        if copy.disturbed_ago_ms is not None:
            # Recorded before the items are applied, so that entries that lapsed during the
            # store's outage are kept.
            self._reader.outage.note_end(copy.disturbed_ago_ms)
        is_taken = self._copy.take_copy(copy)
        text = f"era {copy.era}, revision {copy.revision}"
        self._record_result(peer, "taken" if is_taken else "ignored", text)

    def _record_result(self, peer: Member, result: str, text: str = "") -> None:
        self._metrics.store_copies.labels(result).inc()
        took_ms = round(now_ms() - self._fetch_began_at_ms)
        log.bind(peer=peer.note.name, result=result, text=text, took_ms=took_ms).info("store_copy")


def nearest_peers(peers: list[Member], own: MemberNote) -> list[Member]:
    """Return the peers of the own zone, else of the own region, else all.

    Traffic between zones and regions costs money, and a copy may be a megabyte.
    """
    zone = [one for one in peers if one.note.availability_zone == own.availability_zone]
    region = [one for one in peers if one.note.region == own.region]
    return zone or region or peers
