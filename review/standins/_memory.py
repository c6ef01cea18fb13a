"""The platform's limit on memory: a process that goes over it is killed, and started again."""

import signal
from pathlib import Path
from time import monotonic

import gevent

from review.standins._platform import Deployment, Gateway
from review.standins._record import Record

LOOK_EACH_S = 0.05
NOTE_EACH_S = 5.0
START_AFTER_S = 0.5


class MemoryLimit:
    """Watch what the gateways hold to themselves."""

    def __init__(self, deployment: Deployment, record: Record, memory_mb: int) -> None:
        """Kill above `memory_mb`."""
        self.kills = 0
        self.most_mb: dict[str, float] = {}
        self._deployment = deployment
        self._record = record
        self._memory_mb = memory_mb

    def run(self) -> None:
        """Look until this greenlet is killed."""
        noted_at_s = 0.0
        while True:
            gevent.sleep(LOOK_EACH_S)
            for one in self._deployment.gateways:
                self._look_at(one)
            if monotonic() - noted_at_s > NOTE_EACH_S:
                noted_at_s = monotonic()
                held = {one.place.name: anonymous_mb(one) for one in self._deployment.gateways}
                self._record.note("memory_mb", **held)

    def _look_at(self, gateway: Gateway) -> None:
        name = gateway.place.name
        held_mb = anonymous_mb(gateway)
        self.most_mb[name] = max(self.most_mb.get(name, 0.0), held_mb)
        if held_mb <= self._memory_mb:
            return
        self.kills += 1
        text = f"{name} holds {held_mb:.0f} MB of {self._memory_mb}: killed by the platform"
        self._record.say(text)
        gateway.signal(signal.SIGKILL)
        if gateway.process is not None:
            gateway.process.wait()
        gevent.spawn_later(START_AFTER_S, gateway.start)


def anonymous_mb(gateway: Gateway) -> float:
    """Return the memory that a process has to itself, 0 if it has ended."""
    if gateway.process is None:
        return 0.0
    try:
        text = Path(f"/proc/{gateway.process.pid}/status").read_text()
    except OSError:
        return 0.0
    found = [line for line in text.splitlines() if line.startswith("RssAnon")]
    return int(found[0].split()[1]) * 1024 / 1e6 if found else 0.0
