"""Which of the instances that leave a region takes its requests while none of it is live.

That is the last one to leave, and one of them if all leave at the same time. The others exit early, so
that they are back before the last one has to go.
"""

from collections.abc import Iterable

from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline.fleet._members import LIVENESS_TIMEOUT_MS, Member, Members, member_key
from sparline.schema._gossip import MemberPhase

# An instance leaves its work to a sibling whose stop began this much later (ms): the news of a stop
# may take three gossip rounds, and two instances must not each leave the work to the other.
LATER_STOP_MS = 750.0
# Stops that all began within this time of each other are taken for simultaneous (ms).
SIMULTANEOUS_STOPS_MS = 250.0
# Of stops that all began within this time of each other (ms), all instances know the news
# `LATER_STOP_MS` after the last one: one of them takes the requests from then on.
CLOSE_STOPS_MS = 500.0


class PlannedStops:
    """Tell which leaving instances of a region take its requests."""

    def __init__(self, members: Members) -> None:
        """Go by the members that this instance knows."""
        self._members = members
        self._own_key = member_key(members.own.ip)

    def accepting(self, region: RegionName, for_less_than_ms: float) -> list[Member]:
        """Return the other instances that take requests and left less than this time ago."""
        since_ms = now_ms() - for_less_than_ms
        keys = self._accepting_keys(region)
        return [
            one
            for one in self._heard_leaving(region)
            if one.phase_at_ms >= since_ms and one.key in keys
        ]

    def is_relieved(self) -> bool:
        """Tell whether this instance is leaving, and another leaving one takes its requests."""
        region = RegionName(self._members.own.region)
        return self._is_leaving(region) and self._own_key not in self._accepting_keys(region)

    def are_others_leaving(self) -> bool:
        """Tell whether other instances of this one's region are leaving."""
        return bool(self._heard_leaving(RegionName(self._members.own.region)))

    def _accepting_keys(self, region: RegionName) -> set[int]:
        """Return the keys of the leaving instances that take the requests of their region.

        Whether stops in another region are simultaneous is not known, because the news of several
        may come together.
        """
        began_at_ms = self._began_at_ms(region, True) or self._began_at_ms(region, False)
        if not began_at_ms:
            return set()
        last_at_ms = max(began_at_ms.values())
        spread_ms = last_at_ms - min(began_at_ms.values())
        if region == self._members.own.region:
            if spread_ms <= SIMULTANEOUS_STOPS_MS:
                return {max(began_at_ms)}
            is_known_to_all = now_ms() - last_at_ms >= LATER_STOP_MS
            still_heard = self._still_heard(began_at_ms)
            if spread_ms <= CLOSE_STOPS_MS and is_known_to_all and still_heard:
                return {max(still_heard)}
        return {key for key, at_ms in began_at_ms.items() if at_ms >= last_at_ms - LATER_STOP_MS}

    def _began_at_ms(self, region: RegionName, only_connected: bool) -> dict[int, float]:
        """Return when the leaving instances of a region began to leave, by key.

        With `only_connected`, leaves out those that reach no backend server of their region.
        """
        own = self._members.own
        began_at_ms = {
            one.key: one.phase_at_ms
            for one in self._heard_leaving(region)
            if one.note.servers_reached or not only_connected
        }
        if self._is_leaving(region) and (own.servers_reached or not only_connected):
            began_at_ms[self._own_key] = self._members.own_phase_at_ms
        return began_at_ms

    def _still_heard(self, keys: Iterable[int]) -> list[int]:
        """Return the keys of this instance and of those that run, or ended a moment ago."""
        since_ms = now_ms() - LATER_STOP_MS
        silent = {one.key for one in self._members.others() if one.heard_at_ms < since_ms}
        return [one for one in keys if one not in silent]

    def _is_leaving(self, region: RegionName) -> bool:
        own = self._members.own
        return own.region == region and own.phase is MemberPhase.leaving

    def _heard_leaving(self, region: RegionName) -> list[Member]:
        since_ms = now_ms() - LIVENESS_TIMEOUT_MS
        return [
            one
            for one in self._members.others()
            if one.heard_at_ms >= since_ms
            and one.note.phase is MemberPhase.leaving
            and one.note.region == region
        ]
