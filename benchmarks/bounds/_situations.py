"""Situations that the operators bound, and the figures seen in them."""

import signal
from collections.abc import Callable

import gevent

from benchmarks.bounds._calm_stops import calm_stop
from benchmarks.bounds._copied_refusals import copied_refusals
from benchmarks.bounds._endless_answers import endless_answers_come
from benchmarks.bounds._endless_requests import endless_requests_come
from benchmarks.bounds._planned_stops import planned_stops
from benchmarks.bounds._region_stops import REGION_STOPS
from benchmarks.bounds._rules import (
    ColdRule,
    Finding,
    RepeatRule,
    latest_after_ms,
    most_in_a_second,
    worst_repeat_window,
)
from benchmarks.bounds._run import NORTH, SOUTH, BoundsRun
from benchmarks.bounds._silent_engines import silent_engines
from benchmarks.gateway_fleet import RETRIES
from sparline._clock import now_ms
from standins import SealedFaults, evacuate, take_back

REPEATS = RepeatRule(RETRIES.ratio, RETRIES.slack, RETRIES.window_s * 1000.0)
COLD = ColdRule(per_s=4.0, excess=1.5, slack=3.0)
# Time for which a server is cold after a start, or without requests (s).
COLD_START_S = 6.0
# Time that a leaving server may still get requests after the store has taken its word (ms).
DRAIN_MS = 3_000.0
# Time without a fault after which an instance is bound by that (s).
CONTACT_S = 5.0
SILENT_ENGINES = "silent-engines"
# Time in which instances come to know and to serve each other after their start (s).
SETTLE_S = 4.0


def _repeats(run: BoundsRun) -> Finding:
    worst = worst_repeat_window(run.sent, run.arrivals(), REPEATS)
    assert worst.repeats, "expected repeats, found none"
    return Finding("arrivals beyond the first in 10 s", worst.repeats, round(worst.allowed, 1))


def _passed_on(run: BoundsRun) -> list[Finding]:
    """All callers are in the north, whose servers are evacuated; the south's turn work away."""
    run.zones = (NORTH,)
    evacuate(run.fleet.store, NORTH)
    gevent.sleep(SETTLE_S)
    for name, (zone, _, _) in run.fleet.shape.servers.items():
        if zone == SOUTH:
            run.fleet.servers[name].faults = SealedFaults(refuse=True)
    run.start()
    gevent.sleep(2.2 * REPEATS.window_ms / 1000)
    run.stop()
    return [_repeats(run)]


def _restarted(run: BoundsRun) -> list[Finding]:
    """All servers turn work away; twice in a window all instances are killed and start again."""
    for server in run.fleet.servers.values():
        server.faults = SealedFaults(refuse=True)
    run.start()
    gevent.sleep(0.6 * REPEATS.window_ms / 1000)
    for _ in range(2):
        run.restart_all()
        gevent.sleep(0.4 * REPEATS.window_ms / 1000)
    run.stop()
    return [_repeats(run)]


def _leave(
    run: BoundsRun, leave: Callable[[str], None], before: Callable[[], None]
) -> list[Finding]:
    """Let a server in use leave, after what happens before that."""
    run.start()
    gevent.sleep(SETTLE_S)
    before()
    at_ms = now_ms()
    assert run.times_at("pn0"), "expected requests to the server before it leaves, found none"
    leave("pn0")
    gevent.sleep(2.5 * DRAIN_MS / 1000)
    run.stop()
    late_ms = latest_after_ms(run.times_at("pn0"), at_ms)
    return [Finding("ms from a server's leaving to its last request", round(late_ms), DRAIN_MS)]


def _says_draining(run: BoundsRun) -> Callable[[str], None]:
    return lambda name: run.fleet.list_server(name, state="draining")


def _entry_goes(run: BoundsRun) -> Callable[[str], None]:
    return lambda name: run.fleet.store.delete(f"servers/{name}")


def _draining(run: BoundsRun) -> list[Finding]:
    """A server says that it leaves."""
    return _leave(run, _says_draining(run), lambda: None)


def _gone(run: BoundsRun) -> list[Finding]:
    """A server's entry goes, without a word."""
    return _leave(run, _entry_goes(run), lambda: None)


def _gone_after_cut(run: BoundsRun) -> list[Finding]:
    """The store cuts the waiting watches, as it may; soon one entry changes and another one goes."""

    def cut() -> None:
        run.fleet.store.cut_watches()
        gevent.sleep(run.rng.uniform(0.3, 2.0))
        run.fleet.list_server("pn1", sequence=2)
        gevent.sleep(0.05)

    return _leave(run, _entry_goes(run), cut)


def _silent_watches(run: BoundsRun) -> list[Finding]:
    """All connections to the store go silent; when that is over for the rules, an entry goes."""

    def silence() -> None:
        for gateway in run.fleet.gateways.values():
            gateway.store_proxy.silence_open()
        gevent.sleep(CONTACT_S)

    return _leave(run, _entry_goes(run), silence)


def _frozen_sibling(run: BoundsRun) -> list[Finding]:
    """Half of the instances freeze just as a server's leaving is told to the others."""
    frozen = run.rng.sample(sorted(run.fleet.gateways), len(run.fleet.gateways) // 2)

    def leave(name: str) -> None:
        run.fleet.list_server(name, state="draining")
        gevent.spawn_later(run.rng.uniform(0.02, 0.6), freeze)

    def freeze() -> None:
        for one in frozen:
            run.fleet.gateways[one].signal(signal.SIGSTOP)

    try:
        return _leave(run, leave, lambda: None)
    finally:
        for one in frozen:
            run.fleet.gateways[one].signal(signal.SIGCONT)


def _cold_finding(run: BoundsRun, names: list[str], since_ms: float, until_ms: float) -> Finding:
    most = max(most_in_a_second(run.times_at(one), since_ms, until_ms) for one in names)
    return Finding("requests to a cold server in a second", most, COLD.most_in_a_second)


def _zone_returns(run: BoundsRun) -> list[Finding]:
    """An evacuated zone is taken back; its servers have turned cold and not said so."""
    names = [name for name, (zone, _, _) in run.fleet.shape.servers.items() if zone == NORTH]
    evacuate(run.fleet.store, NORTH)
    run.start()
    gevent.sleep(SETTLE_S)
    cold_since_ms = now_ms()
    gevent.sleep(1.0)
    take_back(run.fleet.store, NORTH)
    gevent.sleep(COLD_START_S)
    run.stop()
    return [_cold_finding(run, names, cold_since_ms, cold_since_ms + COLD_START_S * 1000)]


def _return_and_restart(run: BoundsRun) -> list[Finding]:
    """All instances are killed as an evacuated zone is taken back, and start again."""
    names = [name for name, (zone, _, _) in run.fleet.shape.servers.items() if zone == NORTH]
    evacuate(run.fleet.store, NORTH)
    run.start()
    gevent.sleep(SETTLE_S)
    take_back(run.fleet.store, NORTH)
    cold_since_ms = now_ms()
    run.restart_all()
    gevent.sleep(COLD_START_S)
    run.stop()
    return [_cold_finding(run, names, cold_since_ms, cold_since_ms + COLD_START_S * 1000)]


def _cold_restart(run: BoundsRun) -> list[Finding]:
    """Servers say that they are cold; all instances are killed and start again at once."""
    run.start()
    gevent.sleep(SETTLE_S)
    for one in run.fleet.gateways.values():
        one.signal(signal.SIGKILL)
    since_ms = now_ms()
    cold_ms = 1.5 * COLD_START_S * 1000
    for name in run.fleet.shape.servers:
        run.fleet.list_server(name, cold_remaining_ms=cold_ms)
    run.restart_all()
    gevent.sleep(cold_ms / 1000)
    run.stop()
    return [_cold_finding(run, sorted(run.fleet.servers), since_ms, since_ms + cold_ms)]


SITUATIONS: dict[str, Callable[[BoundsRun], list[Finding]]] = {
    "passed-on": _passed_on,
    "restarted": _restarted,
    "draining": _draining,
    "gone": _gone,
    "gone-after-cut": _gone_after_cut,
    "silent-watches": _silent_watches,
    "frozen-sibling": _frozen_sibling,
    "zone-returns": _zone_returns,
    "return-and-restart": _return_and_restart,
    "cold-restart": _cold_restart,
    "planned-stops": planned_stops,
    "calm-stop": calm_stop,
    **REGION_STOPS,
    "endless-answers": endless_answers_come,
    "copied-refusals": copied_refusals,
    "endless-requests": endless_requests_come,
    SILENT_ENGINES: silent_engines,
}
