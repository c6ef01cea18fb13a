"""A planned stop of this instance: from its announcement until the process may exit."""

import gevent

from sparline._clock import now_ms
from sparline._ids import RegionName
from sparline._logging import log
from sparline.fleet import Members, PlannedStops
from sparline.gateway._leave_plan import LeavePlan, StopSources
from sparline.gateway._service import Service

# Interval at which a planned stop checks whether it is complete (ms).
STOP_POLL_INTERVAL_MS = 50.0


def make_leave_plan(members: Members, service: Service, grace_ms: float) -> LeavePlan:
    """Return the plan of a stop that begins now."""
    region = RegionName(members.own.region)
    stops = PlannedStops(members)
    sources = StopSources(
        is_last_in_region=lambda: not members.live(region),
        # One that was heard in the last 20 s: a restart takes less.
        is_return_expected=lambda: len(members.sharers(region)) > 1,
        is_relieved=stops.is_relieved,
        are_others_leaving=stops.are_others_leaving,
        shortest_ms=service.run_times.shortest_ms,
        remaining_ms=service.run_times.remaining_ms,
    )
    return LeavePlan(now_ms(), grace_ms, sources)


def wait_until_closed(plan: LeavePlan, service: Service) -> None:
    """Serve late requests until the plan accepts no more."""
    while (left_ms := plan.accepts_until_ms() - now_ms()) > 0:
        if plan.may_close_early(service.in_flight.oldest_arrived_at_ms()):
            # The sooner it exits, the sooner it is back.
            break
        gevent.sleep(min(left_ms, STOP_POLL_INTERVAL_MS) / 1000)
    log.bind(
        in_flight=len(service.in_flight),
        accepted_for_ms=round(now_ms() - plan.began_at_ms),
        phase=plan.phase().value,
    ).info("instance_closed")


def wait_until_done(plan: LeavePlan, service: Service) -> None:
    """Complete the requests in flight until the process has to exit."""
    while service.in_flight and now_ms() < plan.exits_at_ms():
        service.close_idle()
        gevent.sleep(STOP_POLL_INTERVAL_MS / 1000)
