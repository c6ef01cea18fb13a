"""Periodic work of a gateway instance."""

import gevent

from sparline._clock import now_ms
from sparline._logging import log
from sparline.gateway._components import GatewayComponents

HOUSEKEEPING_INTERVAL_MS = 500.0
# Interval at which expired entries are checked (ms): shorter, because a server that has left gets
# requests until then.
LAPSE_CHECK_INTERVAL_MS = 100.0
# Interval at which learned timings and the use of retry budgets are logged (ms).
SUMMARY_LOG_INTERVAL_MS = 10_000.0


def run_housekeeping(components: GatewayComponents) -> None:
    """Log summaries and remove expired state until the process ends."""
    logged_at_ms = now_ms()
    while True:
        components.pause_watch.tick()
        if now_ms() - logged_at_ms >= SUMMARY_LOG_INTERVAL_MS:
            logged_at_ms = now_ms()
            _log_summaries(components)
        is_store_unreachable = _is_store_unreachable(components)
        components.fleet.apply_unconfirmed(is_store_unreachable)
        components.fleet.forget_old_ids()
        server_ids = set(components.fleet.servers)
        components.health.forget_all_but(server_ids)
        components.cache.forget_all_but(server_ids)
        components.pace.forget_all_but(server_ids)
        components.loads.forget_old()
        components.server_limits.forget_old()
        components.refusal_limits.forget_all_but(server_ids)
        components.crashes.forget_old()
        components.crashing_parts.forget_old()
        components.stream_versions.exchange.forget_old()
        components.members.forget_old()
        components.service.run_times.forget_unused()
        components.pool.sweep()
        gevent.sleep(HOUSEKEEPING_INTERVAL_MS / 1000)


def remove_lapsed_servers(components: GatewayComponents) -> None:
    """Remove servers whose expired entries were not renewed until the process ends."""
    while True:
        if components.fleet.has_lapsed:
            components.fleet.remove_lapsed(_is_store_unreachable(components))
        gevent.sleep(LAPSE_CHECK_INTERVAL_MS / 1000)


def _log_summaries(components: GatewayComponents) -> None:
    log.bind(pace=components.pace.learned(), pauses=components.gaps.learned()).info("learned")
    for usage in components.retries.usage():
        log.bind(
            service=usage.service,
            requests=usage.requests,
            retries=usage.retries,
            allowed=round(usage.allowed, 1),
            instances=usage.instances,
            settled=usage.is_settled,
        ).info("retry_budget")


def _is_store_unreachable(components: GatewayComponents) -> bool:
    """Return whether the store answers neither this instance nor any known one."""
    if components.reader.reached():
        return False
    return not components.members.is_store_reached()
