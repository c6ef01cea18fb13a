"""Directory of the instances that callers should use."""

import random

from sparline._clock import now_ms
from sparline._ids import RegionName, ZoneName
from sparline.fleet import FleetState, Members, PlannedStops
from sparline.platform import DirectoryQuery
from sparline.schema._gossip import MemberPhase

# Maximum number of instances in one answer; callers accept no more.
MAX_NAMED_INSTANCES = 64
# Callers are directed to their own availability zone if it has at least this many live instances.
# Traffic between zones costs money, but one instance alone could not absorb the loss of another.
MIN_ZONE_INSTANCES = 2
# How long a new process without known members waits before it names itself alone (ms).
DISCOVERY_TIMEOUT_MS = 1_500.0
# How long callers may use an answer (ms). Named instances have to accept requests for that long.
ANSWER_LIFETIME_MS = 2_000.0
# Maximum time for which a leaving instance is named (ms), however long its stop takes: instances
# whose stops overlap are back within 5 s.
MAX_LEAVING_NAMED_MS = 5_000.0
# An instance that began to leave less than this long ago (ms) accepts requests for as long as
# callers use an answer. If a region has no live instance, these are preferred to instances of other
# regions that may not run all of a caller's requests, and instances that have been leaving for
# longer come next.
RECENTLY_LEAVING_MS = 2_000.0


class Directory:
    """Select instances near a caller, or in other regions if there are none."""

    def __init__(
        self, members: Members, fleet: FleetState, callers_port: int, last_instance_accept_ms: float
    ) -> None:
        """Create a directory; all instances listen for callers on `callers_port`.

        A leaving instance accepts requests for `last_instance_accept_ms` if no other instance of
        its region is live.
        """
        self._members = members
        self._stops = PlannedStops(members)
        self._fleet = fleet
        self._port = callers_port
        max_named_ms = min(last_instance_accept_ms - ANSWER_LIFETIME_MS, MAX_LEAVING_NAMED_MS)
        self._leaving_stages_ms = (RECENTLY_LEAVING_MS, max(max_named_ms, RECENTLY_LEAVING_MS))
        self._rng = random.Random()
        self._started_ms = now_ms()

    def find(self, question: DirectoryQuery) -> list[str]:
        """Return addresses for a caller; none while the members are still unknown."""
        if not any(True for _ in self._members.others()) and self._is_discovering():
            return []
        region = question.region or RegionName(self._members.own.region)
        found = self._in_zone(question.zone, region) or self._in_other_regions(question, region)
        if len(found) > MAX_NAMED_INSTANCES:
            found = self._rng.sample(found, MAX_NAMED_INSTANCES)
        return [f"{ip}:{self._port}" for ip in found]

    def _is_discovering(self) -> bool:
        return now_ms() - self._started_ms < DISCOVERY_TIMEOUT_MS

    def _in_zone(self, zone: ZoneName, region: RegionName) -> list[str]:
        """Return the instances of a zone, or those of its region if the zone has too few."""
        in_region = self._in_region(region)
        own = self._members.own
        zones = {one.note.ip: one.note.availability_zone for one in self._members.live(region)}
        zones[own.ip] = own.availability_zone
        in_zone = [ip for ip in in_region if zones[ip] == zone]
        return in_zone if len(in_zone) >= MIN_ZONE_INSTANCES else in_region

    def _in_region(self, region: RegionName) -> list[str]:
        """Return the live instances of a region, those that reach its servers if there are any."""
        found = [one.note for one in self._members.live(region)]
        own = self._members.own
        if own.region == region and own.phase is MemberPhase.live:
            found.append(own)
        connected = [one.ip for one in found if one.servers_reached]
        return connected or [one.ip for one in found]

    def _in_other_regions(self, question: DirectoryQuery, region: RegionName) -> list[str]:
        """Return instances of the other regions that may run most routes of the caller's host.

        Leaving instances of the caller's region are preferred if no other region may run all.
        """
        found: dict[RegionName, list[str]] = {}
        for other in dict.fromkeys(self._fleet.zones.values()):
            if other != region and (addresses := self._in_region(other)):
                found[other] = addresses
        allowed = {name: self._count_allowed_routes(question.host, name) for name in found}
        max_allowed = max(allowed.values(), default=0)
        if max_allowed < self._count_routes(question.host):
            for stage_ms in self._leaving_stages_ms:
                if leaving := self._leaving_for_less_than(region, stage_ms):
                    return leaving
        return [ip for name, ips in found.items() if allowed[name] == max_allowed for ip in ips]

    def _leaving_for_less_than(self, region: RegionName, limit_ms: float) -> list[str]:
        """Return the instances of a region, including this one, that began to leave recently."""
        found = [one.note.ip for one in self._stops.accepting(region, limit_ms)]
        own = self._members.own
        has_recently_begun = now_ms() - self._members.own_phase_at_ms <= limit_ms
        is_leaving = own.region == region and own.phase is MemberPhase.leaving
        if is_leaving and has_recently_begun and not self._stops.is_relieved():
            found.append(own.ip)
        return found

    def _count_routes(self, host: str) -> int:
        """Count the routes of a host."""
        configuration = self._fleet.configuration
        return len(configuration.by_host.get(host, ())) if configuration else 0

    def _count_allowed_routes(self, host: str, region: RegionName) -> int:
        """Count the routes of a host that may run in a region."""
        configuration = self._fleet.configuration
        routes = configuration.by_host.get(host, ()) if configuration else ()
        return sum(route.allows(region) for route in routes)
