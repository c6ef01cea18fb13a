"""Admission coordinator of a region: controllers of the services whose capacity is scarce."""

import heapq
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from sparline._ids import RegionName
from sparline.decisions import (
    DEMAND_SMOOTHING_MS,
    OPEN_LEVEL,
    POSITIONS,
    LevelController,
    RoundReport,
    SmoothedRate,
)
from sparline.fleet._admission_table import AdmissionLevelTable, ServiceRanks, share_notes
from sparline.routes import ServiceName
from sparline.schema._gossip import AdmissionDemandNote, AdmissionLevelNote

# A controller without reports for this long is dropped: another instance coordinates (ms).
REPORTS_EXPIRY_MS = 1_000.0
# Maximum number of organisations in a report and in a level. The rest counts as one, with key 0.
MAX_ORGANISATIONS = 16
REST_KEY = 0
# Maximum number of organisations whose demand a controller remembers.
MAX_REMEMBERED_ORGANISATIONS = 256

# Returns, for each organisation that asks for more than its share, the fraction of its demand
# within it, from demands, weights and the capacity.
FairShares = Callable[[Mapping[int, float], Mapping[int, float], float], dict[int, float]]


@dataclass(frozen=True, slots=True)
class LevelChange:
    """Describe a change of a level, for the log."""

    service: ServiceName
    level: int  # new level
    before: int  # previous level
    budget_per_s: float  # cost per second that is to be admitted
    asked_per_s: float  # cost per second that is asked for
    missed_share: float  # part of the admitted cost that was missed


@dataclass(frozen=True, slots=True)
class AdmissionSources:
    """Hold the callbacks that supply the configuration and consume changes."""

    ranks_of: Callable[[ServiceName], ServiceRanks | None]  # None where no level applies
    services: Callable[[], list[ServiceName]]  # services to which levels apply
    regions: Callable[[], frozenset[RegionName]]  # all regions
    weights: Callable[[], Mapping[int, float]]  # weight of each organisation, by its key
    fair_shares: FairShares
    # Mean occupancy of the region's servers of a service, None if it is not known.
    occupancy: Callable[[ServiceName], float | None]
    note_change: Callable[[LevelChange], None]


# For an instance that applies no levels.
NO_ADMISSION = AdmissionSources(
    ranks_of=lambda _service: None,
    services=list,
    regions=frozenset,
    weights=dict,
    fair_shares=lambda _demands, _weights, _capacity: {},
    occupancy=lambda _service: None,
    note_change=lambda _change: None,
)


class _Coordinated:
    """Hold the controller of one service and the demand of its organisations."""

    def __init__(self, service: ServiceName, controller: LevelController) -> None:
        self.controller = controller
        self._service = service
        self.reported_at_ms = 0.0
        self.shares: dict[int, int] = {}
        self._demand: dict[int, SmoothedRate] = {}
        self._sum: dict[int, float] = {}
        self._stepped_at_ms: float | None = None

    def note(self, note: AdmissionDemandNote, now: float) -> None:
        self.reported_at_ms = now
        demand = {one.bucket: float(one.cost) for one in note.demand}
        self.controller.note(
            RoundReport(demand, note.admitted, note.missed, note.answered, note.refused)
        )
        for one in note.organisations:
            self._sum[one.key] = self._sum.get(one.key, 0.0) + max(one.cost, 0)

    def step(self, sources: AdmissionSources, now: float) -> None:
        self.controller.step(now, sources.occupancy(self._service))
        began_at_ms, self._stepped_at_ms = self._stepped_at_ms, now
        asked, self._sum = self._sum, {}
        if began_at_ms is None or now <= began_at_ms:
            return
        for key in asked:
            self._demand.setdefault(key, SmoothedRate(DEMAND_SMOOTHING_MS))
        for key, rate in self._demand.items():
            rate.add(asked.get(key, 0.0), now - began_at_ms)
        if len(self._demand) > MAX_REMEMBERED_ORGANISATIONS:
            largest = heapq.nlargest(
                MAX_REMEMBERED_ORGANISATIONS, self._demand.items(), key=lambda one: one[1].per_s
            )
            self._demand = dict(largest)
        self.shares = self._find_shares(sources)

    def _find_shares(self, sources: AdmissionSources) -> dict[int, int]:
        """Return the parts within the fair share, of the organisations with the largest excess."""
        demands = {key: rate.per_s for key, rate in self._demand.items() if rate.per_s > 0}
        if self.controller.level >= OPEN_LEVEL or not demands:
            return {}
        weights = dict(sources.weights())
        # The rest counts with the weights of all organisations that are not listed.
        weights[REST_KEY] = sum(one for key, one in weights.items() if key not in demands)
        listed = {key: weights.get(key, 1.0) for key in demands}
        within = sources.fair_shares(demands, listed, self.controller.budget_per_s or 0.0)
        within.pop(REST_KEY, None)
        largest = heapq.nlargest(
            MAX_ORGANISATIONS, within.items(), key=lambda one: demands[one[0]] * (1 - one[1])
        )
        return {key: min(int(part * POSITIONS), POSITIONS) for key, part in largest}


class AdmissionCoordinator:
    """Sets levels from the reports that an instance gets; the caller passes the time in (ms)."""

    def __init__(
        self, region: RegionName, sources: AdmissionSources, held: AdmissionLevelTable
    ) -> None:
        """Start without controllers; they continue from the levels in `held`."""
        self._region = region
        self._sources = sources
        self._held = held
        self._coordinated: dict[ServiceName, _Coordinated] = {}

    def __len__(self) -> int:
        """Return the number of services with a controller."""
        return len(self._coordinated)

    def take(self, notes: list[AdmissionDemandNote], now: float) -> bool:
        """Take a report; return whether it started a controller, which all are to be told."""
        has_started = False
        for note in notes:
            service = ServiceName(note.service)
            ranks = self._sources.ranks_of(service)
            if ranks is None:
                continue
            one = self._coordinated.get(service)
            if one is not None:
                one.note(note, now)
                continue
            held = self._held.get(service, self._region, ranks.count, now)
            if note.missed <= 0 and held.level >= OPEN_LEVEL:
                # Sent in reply to a level that has been dropped since.
                continue
            controller = LevelController(ranks.patience_ms, held.level, held.floor)
            one = self._coordinated[service] = _Coordinated(service, controller)
            one.shares = dict(held.shares)
            one.reported_at_ms = now
            one.step(self._sources, now)
            has_started = True
        return has_started

    def step(self, now: float) -> None:
        """End a round of all controllers; drop those that are open or get no reports."""
        for service, one in list(self._coordinated.items()):
            ranks = self._sources.ranks_of(service)
            if ranks is None or now - one.reported_at_ms > REPORTS_EXPIRY_MS:
                del self._coordinated[service]
                continue
            controller = one.controller
            controller.patience_ms = ranks.patience_ms
            before = controller.level
            one.step(self._sources, now)
            if controller.level != before:
                change = LevelChange(
                    service,
                    controller.level,
                    before,
                    controller.budget_per_s or 0.0,
                    controller.asked_per_s,
                    controller.missed_share,
                )
                self._sources.note_change(change)
            if controller.is_done():
                del self._coordinated[service]

    def notes(self, set_ms: int) -> list[AdmissionLevelNote]:
        """Return the levels to send; `set_ms` is the time of day."""
        return [
            AdmissionLevelNote(
                service,
                self._region,
                0,
                one.controller.level,
                one.controller.floor,
                share_notes(one.shares),
                set_ms,
            )
            for service, one in self._coordinated.items()
        ]
