"""The machines of a region are stopped in turn, and started again, while clients ask on."""

import os
import random
import signal
import sys
import threading
import time
import traceback
from collections import Counter
from pathlib import Path

from review.client import Connection, resolve
from review.fleet import GRACE_S, Fleet

RECORD = Path(__file__).with_name("record.txt")
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
REGIONS = {"lisboa-hall-a": "lisboa", "porto-hall-b": "porto"}
ZONE = "porto-hall-b"
TIMEOUT_MS = 8_000
ROUTES = [
    {
        "name": "permits",
        "path_prefix": "/permits/",
        "kind": "unsafe",
        "service": "permits",
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": 1_000,
        "max_attempts": 1,
        "home_regions": ["porto"],
    }
]
SERVICE = {"name": "permits", "cold_start_s": 0.0, "cold_per_s": 0.0}
CLIENTS = 40
# Of these, so many hold a directory's answer for three times as long as it says.
LONG_HOLDERS = 12
# Times that the replicas need (ms): the usual ones, and that of one request in so many. All lie far
# below the route's timeout.
USUAL_MS = (60, 200)
LONG_MS = 3_000
LONG_EACH = 14
THINK_S = (0.05, 0.25)  # between two requests of a client
GAP_S = 1.0  # between the stops of two machines
STARTS_AGAIN_S = 0.5  # after its process has ended
PLAY_S = 24.0
STOPS_AT_S = 4.0
# A request that its replica still runs in the last sixth of the grace period is not LOST if it was
# sent by then (s after SIGTERM).
EXCUSED_UNTIL_S = 3.0


class Play:
    """Hold what the clients saw and when machines were stopped."""

    def __init__(self, fleet: Fleet) -> None:
        """Start with nothing."""
        self.fleet = fleet
        self.stopped_at: dict[str, float] = {}  # SIGTERM, by address of the gateway
        self.answers: Counter[int] = Counter()
        self.cut: list[dict] = []
        self.end_at = time.monotonic() + PLAY_S
        self._lock = threading.Lock()

    def client(self, number: int) -> None:
        """Be one client by the page's section "Ingress"; `number` says how it differs."""
        rng = random.Random(number)
        near = ["gw-3", "gw-4"]
        held: list[str] = []
        held_until = 0.0
        failed: set[str] = set()
        count = 0
        while time.monotonic() < self.end_at:
            if time.monotonic() >= held_until:
                rng.shuffle(near)
                for name in [*near, "gw-1"]:
                    try:
                        found, ttl_s = resolve(
                            self.fleet.address(name, "directory"), REGIONS[ZONE], ZONE
                        )
                    except (OSError, ValueError):
                        continue
                    if found:
                        held, failed = found, set()
                        times = 3 if number < LONG_HOLDERS else 1
                        held_until = time.monotonic() + ttl_s * times
                        break
            usable = [one for one in held if one not in failed] or held
            if not usable:
                time.sleep(0.2)
                continue
            ip, _, port = rng.choice(usable).rpartition(":")
            count += 1
            attempt = f"c-{number:02d}-{count:04d}"
            work_ms = LONG_MS if rng.random() < 1 / LONG_EACH else rng.randint(*USUAL_MS)
            try:
                connection = Connection((ip, int(port)))
            except OSError:
                failed.add(f"{ip}:{port}")
                time.sleep(0.1)
                continue
            target = f"/permits/new?ms={work_ms}"
            answer = connection.ask("POST", target, attempt, TIMEOUT_MS - 500, attempt.encode())
            connection.close()
            self._note(attempt, ip, work_ms, answer.sent_at, answer.status, answer.whole)
            # Clients heed `Retry-After`, up to a third of the time that they have left.
            wait_s = min(float(answer.headers.get("retry-after", "0")), TIMEOUT_MS / 3000)
            time.sleep(wait_s + rng.uniform(*THINK_S))

    def _note(
        self, attempt: str, ip: str, work_ms: int, sent_at: float, status: int, whole: bool
    ) -> None:
        stopped_at = self.stopped_at.get(ip)
        after = "" if stopped_at is None else f", {sent_at - stopped_at:.2f} s after its SIGTERM"
        took_s = time.monotonic() - sent_at
        self.fleet.note(
            f"client: {attempt} to {ip}{after}: {status if whole else 'connection closed'} "
            f"after {took_s:.2f} s"
        )
        with self._lock:
            self.answers[status if whole else 0] += 1
            if not whole:
                one = {"attempt": attempt, "sent_at": sent_at, "stopped_at": stopped_at}
                self.cut.append(one | {"took_s": took_s, "work_ms": work_ms})

    def stop_in_turn(self) -> None:
        """Stop both machines of the region, one after the other, and start them again."""
        for name in ("gw-3", "gw-4"):
            self.stopped_at[self.fleet.gateways[name]["ip"]] = time.monotonic()
            self.fleet.signal("gateway", name, signal.SIGTERM)
            threading.Thread(target=self._start_again, args=(name,)).start()
            time.sleep(GAP_S)

    def _start_again(self, name: str) -> None:
        process = self.fleet.gateways[name]["process"]
        try:
            process.wait(GRACE_S)
        except Exception:
            self.fleet.signal("gateway", name, signal.SIGKILL)
            process.wait()
        self.fleet.note(f"gateway {name}: ended with {process.returncode}")
        time.sleep(STARTS_AGAIN_S)
        self.fleet.start_gateway(name)

    def lost(self) -> list[str]:
        """Return the requests that are LOST."""
        runs = {one["attempt"] for one in self.fleet.runs() if one["event"] == "run"}
        found = []
        for one in self.cut:
            if one["attempt"] not in runs or one["took_s"] * 1000 >= TIMEOUT_MS - 500:
                continue
            if one["stopped_at"] is None:
                found.append(f"{one['attempt']}: cut, though nothing was disturbed")
                continue
            after_s = one["sent_at"] - one["stopped_at"]
            if EXCUSED_UNTIL_S < after_s < GRACE_S + 1:
                found.append(
                    f"LOST: {one['attempt']}, sent {after_s:.2f} s after SIGTERM, was passed on "
                    f"and cut after {one['took_s']:.2f} s; its replica needs {one['work_ms']} ms"
                )
        return found


def play(fleet: Fleet) -> list[str]:
    """Send requests around the stops; return what broke the rule."""
    for number, zone in enumerate(["porto-hall-b", "porto-hall-b", "lisboa-hall-a"], 1):
        fleet.add_replica(f"per-{number}", "permits", zone)
    fleet.publish(1, ROUTES, [SERVICE])
    for number, zone in enumerate(["lisboa-hall-a", "lisboa-hall-a", ZONE, ZONE], 1):
        fleet.add_gateway(f"gw-{number}", zone)
    fleet.until_ready()
    time.sleep(3)
    one = Play(fleet)
    threads = [threading.Thread(target=one.client, args=(number,)) for number in range(CLIENTS)]
    for thread in threads:
        thread.start()
    time.sleep(STOPS_AT_S)
    if HAS_TROUBLE:
        one.stop_in_turn()
    for thread in threads:
        thread.join()
    faults = one.lost()
    for status, count in sorted(one.answers.items()):
        text = f"{count} requests got {status or 'a closed connection'}"
        print(text)
        fleet.note(text)
    for fault in faults:
        fleet.note(fault)
    return faults


def main() -> int:
    """Play the case; return the exit code."""
    fleet = Fleet(REGIONS, RECORD)
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
