"""Peers as relayed requests have met them: reachable or not, and how far away."""

from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet import Member, Members

# Before the first measurement, the way to another region and back takes this long (ms): the
# first request that goes there has to be placed.
FIRST_ROUND_TRIP_MS = 112.0
# Weight of one more measurement.
WEIGHT = 0.2
# A peer that could not be reached is passed over this long (ms).
PASS_OVER_MS = 1_500.0


class PeerTable:
    """Name the peers that may be relayed to."""

    def __init__(self, members: Members, takes_new_ms: float) -> None:
        """Start with no experience; a leaving instance takes new requests for `takes_new_ms`."""
        self._members = members
        self._takes_new_ms = takes_new_ms
        self._pass_over_until_ms: dict[str, float] = {}
        self._round_trip_ms: dict[RegionName, float] = {}

    def usable(self, region: RegionName) -> list[Member]:
        """Return the instances of a region that were not out of reach lately.

        Where none is live, those that leave but still take requests: nobody else reaches the
        backend servers there.
        """
        live = self._reachable(self._members.live(region))
        return live or self._reachable(self._members.leaving(region, self._takes_new_ms))

    def _reachable(self, members: list[Member]) -> list[Member]:
        now = now_ms()
        return [one for one in members if self._pass_over_until_ms.get(one.note.ip, 0.0) <= now]

    def note(self, ip: str, reached: bool) -> None:
        """Note whether a peer answered."""
        if reached:
            self._pass_over_until_ms.pop(ip, None)
            return
        if self._pass_over_until_ms.get(ip, 0.0) <= now_ms():
            log.bind(peer=ip, for_ms=PASS_OVER_MS).info("peer_passed_over")
        self._pass_over_until_ms[ip] = now_ms() + PASS_OVER_MS

    def round_trip_ms(self, region: RegionName) -> float:
        """Return the time to a region and back."""
        return self._round_trip_ms.get(region, FIRST_ROUND_TRIP_MS)

    def note_round_trip(self, region: RegionName, took_ms: float) -> None:
        """Learn from the time that a connection took to open."""
        held = self.round_trip_ms(region)
        self._round_trip_ms[region] = held + WEIGHT * (took_ms - held)
