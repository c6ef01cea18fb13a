"""A replica is lost while it writes a long answer to a safe request."""

import os
import signal
import sys
import threading
import time
import traceback
from pathlib import Path

from review.client import Answer, Connection
from review.fleet import CaseFailed, Fleet
from review.replica import seal_of

RECORD = Path(__file__).with_name("record.txt")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUTE = {
    "name": "reports",
    "path_prefix": "/reports/",
    "kind": "safe",
    "service": "reports",
    "timeout_ms": 8_000,
    "target_latency_ms": 2_000,
    "max_attempts": 2,
}
SERVICE = {"name": "reports", "cold_start_s": 0.0, "cold_per_s": 0.0}
REPLICAS = 6
ANSWER_BYTES = 3_000_000
REQUESTS = 12
KILLED_IN = 5  # number of the request during whose answer its replica is killed
KILLED_AFTER_BYTES = 1_600_000


def wrong(answer: Answer) -> str:
    """Return how an answer breaks MIXED, empty if it doesn't."""
    if answer.malformed:
        return f"no answer in the protocol: {answer.malformed}"
    if not 200 <= answer.status < 300 or not answer.whole:
        return ""
    seal = answer.headers.get("response-seal")
    if seal is None:
        return "a success without a seal"
    if seal != seal_of(answer.body):
        replicas = {line.split()[1] for line in answer.body.split(b"\n") if line.count(b" ") == 2}
        by = ", ".join(sorted(one.decode() for one in replicas))
        return (
            f"a success that looks complete, with {len(answer.body)} bytes by {by}, "
            f"where the seal is of {seal.partition('.')[0]} bytes"
        )
    return ""


def play(fleet: Fleet) -> list[str]:
    """Send the requests; return what is wrong with the answers."""
    for number in range(1, REPLICAS + 1):
        fleet.add_replica(f"rep-{number}", "reports", "lisboa-hall-a")
    fleet.publish(1, [ROUTE], [SERVICE])
    fleet.add_gateway("gw-1", "lisboa-hall-a")
    fleet.add_gateway("gw-2", "lisboa-hall-a")
    fleet.until_ready()
    time.sleep(3)
    faults = []
    for number in range(1, REQUESTS + 1):
        attempt = f"a-{number:04d}"
        killed = threading.Event()

        def watch(count: int, attempt: str = attempt, killed: threading.Event = killed) -> None:
            if count < KILLED_AFTER_BYTES or killed.is_set():
                return
            killed.set()
            name = next(
                one["replica"] for one in reversed(fleet.runs()) if one.get("attempt") == attempt
            )
            fleet.signal("replica", name, signal.SIGKILL)

        is_hit = HAS_TROUBLE and number == KILLED_IN
        connection = Connection(fleet.address("gw-1"))
        target = f"/reports/core-{number}?bytes={ANSWER_BYTES}&over_ms=400"
        fleet.note(f"client: GET {target} as {attempt}")
        answer = connection.ask(
            "GET", target, attempt, 7_000, on_bytes=watch if is_hit else lambda _count: None
        )
        connection.close()
        fault = wrong(answer)
        fleet.note(
            f"client: {attempt} got {answer.status}, {len(answer.body)} bytes, "
            f"{'whole' if answer.whole else 'cut'}, seal {answer.headers.get('response-seal')}"
            + (f": MIXED, {fault}" if fault else "")
        )
        if fault:
            faults.append(f"{attempt}: {fault}")
        if not HAS_TROUBLE and not (answer.status == 200 and answer.whole):
            faults.append(f"{attempt}: not served, though nothing was disturbed")
        if is_hit and killed.is_set():
            gone = next(
                one for one, of in fleet.replicas.items() if of["process"].poll() is not None
            )
            time.sleep(3.6)
            # Three missed heartbeats.
            fleet.store.delete(f"servers/{gone}")
            fleet.add_replica(f"rep-{REPLICAS + 1}", "reports", "lisboa-hall-a")
            time.sleep(1)
        if is_hit and not killed.is_set():
            raise CaseFailed("the replica was not killed in time")
    return faults


def main() -> int:
    """Play the case; return the exit code."""
    fleet = Fleet({"lisboa-hall-a": "lisboa"}, RECORD)
    try:
        faults = play(fleet)
    except Exception:
        fleet.note(traceback.format_exc())
        traceback.print_exc()
        return 2
    finally:
        fleet.stop()
    for fault in faults:
        print(fault)
    print("broken" if faults else "held")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
