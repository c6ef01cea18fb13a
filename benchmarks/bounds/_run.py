"""Requests at a steady rate to gateway processes, and what reached the backend servers."""

import random
import signal
from collections import Counter
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from benchmarks.bounds._rules import SeenArrival, SentRequest
from benchmarks.gateway_fleet import GatewayFleet
from sparline._clock import now_ms

NORTH, SOUTH = "north-1", "south-1"
# Plain servers: three in the north, three in the south.
SERVERS = {
    f"p{zone[0]}{number}": (zone, "plain", 0) for zone in (NORTH, SOUTH) for number in range(3)
}
TARGET = "/safe/x"
CALLER_TIMEOUT_S = 8.0


@dataclass(slots=True)
class BoundsRun:
    """Send requests at a steady rate and hold what reached the servers."""

    fleet: GatewayFleet
    rng: random.Random
    rate_per_s: float
    zones: tuple[str, ...] = (NORTH, SOUTH)  # where callers are
    target: str = TARGET  # of all requests
    sent: list[SentRequest] = field(default_factory=list)
    statuses: Counter = field(default_factory=Counter)
    status_of: dict[str, int] = field(default_factory=dict)  # by request, 0 without an answer
    _callers: Pool = field(default_factory=lambda: Pool(400))
    _sender: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start to send."""
        self._sender = gevent.spawn(self._send_on)

    def stop(self) -> None:
        """Send no more and wait for all answers."""
        if self._sender is not None:
            self._sender.kill()
        self._callers.join(CALLER_TIMEOUT_S)

    def _send_on(self) -> None:
        next_at_ms = now_ms()
        while True:
            next_at_ms += self.rng.expovariate(self.rate_per_s) * 1000
            gevent.sleep(max(next_at_ms - now_ms(), 0) / 1000)
            names = [one.name for one in self.fleet.gateways.values() if one.zone in self.zones]
            request = SentRequest(f"r{len(self.sent)}", now_ms())
            self.sent.append(request)
            self._callers.spawn(self._ask, request, self.rng.choice(names))

    def _ask(self, request: SentRequest, at: str) -> None:
        caller = None
        status = 0
        try:
            with gevent.Timeout(CALLER_TIMEOUT_S, False):
                caller = self.fleet.caller(at)
                caller.send(self.target, request.request_id, b"abc")
                status = caller.read().status
        except OSError:
            # The instance is down: nothing was promised.
            status = 0
        finally:
            self.statuses[status] += 1
            self.status_of[request.request_id] = status
            if caller is not None:
                caller.close()

    def arrivals(self) -> list[SeenArrival]:
        """Return all that reached the servers."""
        return [
            SeenArrival(one.request_id, name, one.at_ms)
            for name, server in self.fleet.servers.items()
            for one in server.arrivals
        ]

    def runs(self) -> Counter:
        """Return how often each request ran."""
        return Counter(
            one.request_id for server in self.fleet.servers.values() for one in server.runs
        )

    def times_at(self, server: str) -> list[float]:
        """Return when requests reached a server."""
        return [one.at_ms for one in self.fleet.servers[server].arrivals]

    def restart_all(self) -> None:
        """Kill all instances at once and start them again."""
        for one in self.fleet.gateways.values():
            one.signal(signal.SIGKILL)
        for one in self.fleet.gateways.values():
            one.process.wait()
            one.start()
