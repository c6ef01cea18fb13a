"""Detection of whether this instance has lost its way to all backend servers of its region."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult, Event

from sparline._clock import now_ms
from sparline._logging import log
from sparline.fleet import BackendServer
from sparline.http import Address

# Number of servers that one check asks: the first answer decides. With fewer, an instance that is
# cut off from some servers only may ask none of the others.
MAX_CHECKED_SERVERS = 6
# Servers of the own region answer within a few milliseconds (ms).
CHECK_TIMEOUT_MS = 300.0
# The result of a check is used for this long, and an isolated instance checks as often (ms).
CHECK_INTERVAL_MS = 500.0


@dataclass(frozen=True, slots=True)
class ConnectivitySources:
    """Hold the callbacks of the detection."""

    sample_servers: Callable[[int], Sequence[BackendServer]]  # some servers of the own region
    answers: Callable[[Address, float], bool]  # asks a server, with a timeout in milliseconds
    on_change: Callable[[bool], None]  # called with whether this instance is now isolated


class ServerConnectivity:
    """Ask some servers after a failure; this instance is isolated while none of them answers."""

    def __init__(self, sources: ConnectivitySources) -> None:
        """Start as connected."""
        self.is_isolated = False
        self._sources = sources
        self._suspected = Event()
        self._checked_at_ms = float("-inf")
        self._check: AsyncResult | None = None

    def note_failure(self) -> None:
        """Have the servers checked: one could not be reached, or broke off or fell silent."""
        self._suspected.set()

    def run(self) -> None:
        """Check after failures, and at intervals while isolated, for the lifetime of the process."""
        while True:
            if not self.is_isolated:
                self._suspected.wait()
            self._suspected.clear()
            self.check()
            gevent.sleep(CHECK_INTERVAL_MS / 1000)

    def check(self) -> bool:
        """Return whether this instance is isolated, by a check that is recent or made now."""
        if self._check is not None:
            return self._check.get()
        if now_ms() - self._checked_at_ms < CHECK_INTERVAL_MS:
            return self.is_isolated
        result = self._check = AsyncResult()
        try:
            self._set_isolated(not self._is_any_reached())
        finally:
            # Runs also when this greenlet is killed, since others wait for the result.
            self._checked_at_ms = now_ms()
            self._check = None
            result.set(self.is_isolated)
        return self.is_isolated

    def _is_any_reached(self) -> bool:
        servers = self._sources.sample_servers(MAX_CHECKED_SERVERS)
        if not servers:
            return True
        reached = Event()

        def ask(server: BackendServer) -> None:
            if self._sources.answers(server.address, CHECK_TIMEOUT_MS):
                reached.set()

        checks = [gevent.spawn(ask, one) for one in servers]
        everyone = gevent.spawn(gevent.joinall, checks)
        gevent.wait([reached, everyone], count=1)
        return reached.is_set()

    def _set_isolated(self, is_isolated: bool) -> None:
        if is_isolated is self.is_isolated:
            return
        self.is_isolated = is_isolated
        log.bind(isolated=is_isolated).warning("isolation_changed")
        self._sources.on_change(is_isolated)
