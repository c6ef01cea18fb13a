"""Which instances callers are sent to."""

import random

from sparline._clock import now_ms
from sparline._ids import RegionName, ZoneName
from sparline.fleet import FleetState, Members
from sparline.platform import DirectoryQuery
from sparline.schema._gossip import MemberPhase

# Most instances named in one answer (count); callers take no more.
MOST_NAMED = 64
# Callers are sent to their own availability zone while so many instances there take work (count):
# bytes between zones are priced, and one alone would not bear the loss of another.
ZONE_LEAST = 2
# A new process that has heard of nobody waits this long (ms) before it names itself alone.
ALONE_AFTER_MS = 1_500.0
# Callers hold on to an answer for up to so long (ms): whoever is named still has to take requests then.
HELD_MS = 2_000.0
# An instance that leaves is named for so long at the most (ms), however long its stop may take: those
# whose stops overlap are back in 5 s.
LAST_NAMED_MS = 5_000.0
# An instance that began to leave less than this long ago (ms) still takes what callers send
# while they hold on to an answer. Where a region has no live one, these go before instances that
# may not run all of a caller's requests, and after them those that leave for longer.
JUST_LEAVING_MS = 2_000.0


class Directory:
    """Name instances near the caller; those of other regions only where there are none."""

    def __init__(
        self, members: Members, fleet: FleetState, callers_port: int, needed_until_ms: float
    ) -> None:
        """Name instances by the port at which all of them listen for callers.

        An instance that leaves takes requests for `needed_until_ms` where no other of its region
        does.
        """
        self._members = members
        self._fleet = fleet
        self._port = callers_port
        last_named_ms = min(needed_until_ms - HELD_MS, LAST_NAMED_MS)
        self._leaving_stages_ms = (JUST_LEAVING_MS, max(last_named_ms, JUST_LEAVING_MS))
        self._chance = random.Random()
        self._started_ms = now_ms()

    def find(self, question: DirectoryQuery) -> list[str]:
        """Return addresses for a caller, none where nothing is known yet."""
        if not any(True for _ in self._members.others()) and self._is_new():
            return []
        region = question.region or RegionName(self._members.own.region)
        found = self._in_zone(question.zone, region) or self._elsewhere(question, region)
        if len(found) > MOST_NAMED:
            found = self._chance.sample(found, MOST_NAMED)
        return [f"{ip}:{self._port}" for ip in found]

    def _is_new(self) -> bool:
        return now_ms() - self._started_ms < ALONE_AFTER_MS

    def _in_zone(self, zone: ZoneName, region: RegionName) -> list[str]:
        """Return the instances of a caller's zone, those of its region where they are few."""
        in_region = self._in_region(region)
        own = self._members.own
        zones = {one.note.ip: one.note.availability_zone for one in self._members.live(region)}
        zones[own.ip] = own.availability_zone
        in_zone = [ip for ip in in_region if zones[ip] == zone]
        return in_zone if len(in_zone) >= ZONE_LEAST else in_region

    def _in_region(self, region: RegionName) -> list[str]:
        found = [one.note.ip for one in self._members.live(region)]
        own = self._members.own
        if own.region == region and own.phase is MemberPhase.live:
            found.append(own.ip)
        return found

    def _elsewhere(self, question: DirectoryQuery, region: RegionName) -> list[str]:
        """Return instances of the regions that may run most of the caller's routes."""
        found: dict[RegionName, list[str]] = {}
        for other in dict.fromkeys(self._fleet.zones.values()):
            if other != region and (addresses := self._in_region(other)):
                found[other] = addresses
        allowed = {one: self._routes_allowed(question.host, one) for one in found}
        most = max(allowed.values(), default=0)
        if most < self._routes(question.host):
            for stage_ms in self._leaving_stages_ms:
                if leaving := self._leaving(region, stage_ms):
                    return leaving
        return [ip for one, of in found.items() if allowed[one] == most for ip in of]

    def _leaving(self, region: RegionName, for_less_than_ms: float) -> list[str]:
        """Return the instances of a region that began to leave so lately, this one too."""
        found = [one.note.ip for one in self._members.leaving(region, for_less_than_ms)]
        own = self._members.own
        is_young = now_ms() - self._members.own_phase_at_ms <= for_less_than_ms
        if own.region == region and own.phase is MemberPhase.leaving and is_young:
            found.append(own.ip)
        return found

    def _routes(self, host: str) -> int:
        """Count the routes of a host."""
        configuration = self._fleet.configuration
        return len(configuration.by_host.get(host, ())) if configuration else 0

    def _routes_allowed(self, host: str, region: RegionName) -> int:
        """Count the routes of a host that may run in a region."""
        configuration = self._fleet.configuration
        routes = configuration.by_host.get(host, ()) if configuration else ()
        return sum(route.allows(region) for route in routes)
