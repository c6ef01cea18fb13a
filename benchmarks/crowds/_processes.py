"""Memory and open descriptors of instances, as the kernel counts them."""

import os
from dataclasses import dataclass, field
from pathlib import Path

import gevent

from benchmarks.gateway_fleet import GatewayFleet

POLL_S = 0.02
BYTES_PER_KIB = 1024
PEAK_FIELD = "VmHWM:"
PRESENT_FIELD = "VmRSS:"


@dataclass(slots=True)
class ProcessWatch:
    """Follow the processes of a fleet."""

    fleet: GatewayFleet
    most_descriptors: dict[str, int] = field(default_factory=dict)  # by instance
    peak_bytes: dict[str, int] = field(default_factory=dict)  # memory by instance
    _task: gevent.Greenlet | None = None

    def __enter__(self) -> "ProcessWatch":
        """Start to look."""
        self._task = gevent.spawn(self._look_on)
        return self

    def __exit__(self, *_exc: object) -> None:
        """Look no more."""
        self._task.kill()

    def _look_on(self) -> None:
        while True:
            self.look()
            gevent.sleep(POLL_S)

    def look(self) -> None:
        """Note descriptors and memory of the processes that live."""
        for name, gateway in self.fleet.gateways.items():
            try:
                count = len(os.listdir(f"/proc/{gateway.process.pid}/fd"))
                peak = self._memory(name, PEAK_FIELD)
            except (OSError, StopIteration):
                # The process has ended: the caller asks for that apart.
                continue
            self.most_descriptors[name] = max(self.most_descriptors.get(name, 0), count)
            self.peak_bytes[name] = max(self.peak_bytes.get(name, 0), peak)

    def ended(self) -> list[str]:
        """Return the names of the instances whose process does not live."""
        return [name for name, one in self.fleet.gateways.items() if not one.is_running()]

    def present_bytes(self) -> dict[str, int]:
        """Return the resident memory of each process that lives."""
        return {
            name: self._memory(name, PRESENT_FIELD)
            for name, one in self.fleet.gateways.items()
            if one.is_running()
        }

    def _memory(self, name: str, of: str) -> int:
        pid = self.fleet.gateways[name].process.pid
        status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
        line = next(one for one in status.splitlines() if one.startswith(of))
        return int(line.split()[1]) * BYTES_PER_KIB
