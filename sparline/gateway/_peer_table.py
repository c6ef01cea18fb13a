"""Reachability of peers and round-trip times, as observed by relayed requests."""

from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet import Member, Members, PlannedStops

# Round-trip time to another region before the first measurement (ms): the first request has to be
# placed without one.
INITIAL_ROUND_TRIP_MS = 112.0
# The same to a sibling (ms).
INITIAL_SIBLING_ROUND_TRIP_MS = 4.0
# Weight of one more observed round-trip time.
ROUND_TRIP_WEIGHT = 0.2
# How long a peer that could not be reached is skipped (ms).
PEER_SKIP_MS = 1_500.0


class PeerTable:
    """Select the peers to which requests may be relayed."""

    def __init__(self, members: Members, last_instance_accept_ms: float) -> None:
        """Create an empty table.

        A leaving instance accepts requests for `last_instance_accept_ms` if no other instance of
        its region is live.
        """
        self._members = members
        self._stops = PlannedStops(members)
        self._last_instance_accept_ms = last_instance_accept_ms
        self._skip_until_ms: dict[str, float] = {}
        self._round_trip_ms: dict[RegionName, float] = {}

    def usable(self, region: RegionName) -> list[Member]:
        """Return the instances of a region that reach its servers and are not skipped.

        If none is live, returns the leaving ones that still accept requests, because no others
        can reach the backend servers there.
        """
        live = self._reachable(self._members.live(region))
        return live or self._reachable(self._stops.accepting(region, self._last_instance_accept_ms))

    def _reachable(self, members: list[Member]) -> list[Member]:
        now = now_ms()
        return [
            one
            for one in members
            if one.note.servers_reached and self._skip_until_ms.get(one.note.ip, 0.0) <= now
        ]

    def note_reachability(self, ip: str, reached: bool) -> None:
        """Record whether a peer was reachable."""
        if reached:
            self._skip_until_ms.pop(ip, None)
            return
        if self._skip_until_ms.get(ip, 0.0) <= now_ms():
            log.bind(peer=ip, for_ms=PEER_SKIP_MS).info("peer_passed_over")
        self._skip_until_ms[ip] = now_ms() + PEER_SKIP_MS

    def round_trip_ms(self, region: RegionName) -> float:
        """Return the estimated round-trip time to a region."""
        is_own = region == self._members.own.region
        initial_ms = INITIAL_SIBLING_ROUND_TRIP_MS if is_own else INITIAL_ROUND_TRIP_MS
        return self._round_trip_ms.get(region, initial_ms)

    def note_round_trip(self, region: RegionName, took_ms: float) -> None:
        """Update the estimate with the time that a connection took to open."""
        held = self.round_trip_ms(region)
        self._round_trip_ms[region] = held + ROUND_TRIP_WEIGHT * (took_ms - held)
