"""What the admission exchange reads of an instance, and how it logs changes of levels."""

from collections.abc import Callable

from sparline._logging import log
from sparline.decisions import fair_shares
from sparline.fleet import AdmissionSources, FleetState, LevelChange
from sparline.gateway._log_output import LineBudget
from sparline.gateway._rank_table import RankTable
from sparline.routes import ServiceName

# Log lines per second and instance about changes of levels.
LEVEL_CHANGE_LINES_PER_S = 10.0


def make_admission_sources(
    fleet: FleetState, ranks: RankTable, occupancy: Callable[[ServiceName], float | None]
) -> AdmissionSources:
    """Create the sources of the admission exchange; `occupancy` is that of the own region."""
    lines = LineBudget(LEVEL_CHANGE_LINES_PER_S)

    def note_change(change: LevelChange) -> None:
        if lines.take():
            log.bind(
                service=change.service,
                level=change.level,
                before=change.before,
                budget_per_s=round(change.budget_per_s),
                asked_per_s=round(change.asked_per_s),
                missed_share=round(change.missed_share, 3),
            ).info("admission_level_changed")

    regions = frozenset(fleet.zones.values())
    return AdmissionSources(
        ranks_of=ranks.ranks_of,
        services=ranks.services,
        regions=lambda: regions,
        weights=ranks.weights,
        fair_shares=fair_shares,
        occupancy=occupancy,
        note_change=note_change,
    )
