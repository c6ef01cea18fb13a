"""Peers as relayed requests have met them: reachable or not, and how far away."""

from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet import Member, Members

# Before the first measurement, the way to another region and back takes this long (ms; the
# users' regions lie 55 ms apart).
FIRST_ROUND_TRIP_MS = 112.0
# Weight of one more measurement.
WEIGHT = 0.2
# A peer that could not be reached is passed over this long (ms).
PASS_OVER_MS = 1_500.0


class PeerTable:
    """Name the peers that may be relayed to."""

    def __init__(self, members: Members) -> None:
        """Start with no experience."""
        self._members = members
        self._pass_over_until_ms: dict[str, float] = {}
        self._round_trip_ms: dict[RegionName, float] = {}

    def usable(self, region: RegionName) -> list[Member]:
        """Return the live instances of a region that were not out of reach lately."""
        now = now_ms()
        live = self._members.live(region)
        return [one for one in live if self._pass_over_until_ms.get(one.note.ip, 0.0) <= now]

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
