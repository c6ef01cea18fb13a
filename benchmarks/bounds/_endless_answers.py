"""A backend server whose answers never come to an end, at one place of them after the other."""

from pathlib import Path

import gevent

from benchmarks.bounds._rules import Finding
from benchmarks.bounds._run import BoundsRun
from standins import SealedFaults, endless_answers

ENDLESS_SERVER = "pn0"
# Time for which its answers go on at one place (s).
PLACE_S = 1.5
# Memory that the users' platform allows a process (bytes).
MAX_PROCESS_BYTES = 300_000_000
PEAK_FIELD = "VmHWM:"
OK_STATUS = 200


def endless_answers_come(run: BoundsRun) -> list[Finding]:
    """Send usual requests while one server answers without an end."""
    run.start()
    for place in endless_answers(b"", b""):
        run.fleet.servers[ENDLESS_SERVER].faults = SealedFaults(endless=place)
        gevent.sleep(PLACE_S)
    run.stop()
    met = {one.request_id for one in run.arrivals() if one.server == ENDLESS_SERVER}
    assert met, "expected requests at the server, found none"
    unserved = [
        one for one, status in run.status_of.items() if one not in met and status != OK_STATUS
    ]
    most_bytes = max(peak_bytes(one.process.pid) for one in run.fleet.gateways.values())
    return [
        Finding("sound requests that were not served", len(unserved), 0),
        Finding("bytes of memory of an instance at its peak", most_bytes, MAX_PROCESS_BYTES),
    ]


def peak_bytes(pid: int) -> int:
    """Return the largest resident memory of a process so far."""
    status = Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    line = next(one for one in status.splitlines() if one.startswith(PEAK_FIELD))
    return int(line.split()[1]) * 1024
