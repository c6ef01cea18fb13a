"""Both machines of a region are stopped in turn; the first long requests in a while come to the last."""

import json
import os
import random
import signal
import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

from time import monotonic  # noqa: E402

import gevent  # noqa: E402

from review.standins import Answer, Client, Deployment, Gateway, Place, Record, Replica  # noqa: E402

HERE = Path(__file__).resolve().parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "permits.example"
ZONE, REGION, SERVICE = "porto-hall-b", "porto", "core-registry"
PLACES = [
    Place("g0", "127.0.12.1", ZONE, REGION),
    Place("g1", "127.0.12.2", ZONE, REGION),
    Place("g2", "127.0.12.3", "lisboa-hall-a", "lisboa"),
]
TIMEOUT_MS, DEADLINE_MS = 8_000, 7_500
USUAL_S, LONG_S = 0.06, 4.6
CLIENTS, PAUSE_S = 10, 0.15
# Seconds between the stops of the two machines, and until a process is started again.
GAP_S, START_AFTER_S = 1.0, 0.5
GRACE_S = 8.0
# The clients of the long requests ask the directory so long after the second SIGTERM, and hold its answer
# for three times as long as it says, as some do. They send later: by 3 s after it would not count.
RESOLVED_AFTER_S, HELD_TIMES = 0.5, 3
LONG_AFTER_S, LONG_SPREAD_S, LONG_REQUESTS = 3.1, 0.08, 4
CONFIGURATION = {
    "version": 3,
    "routes": [
        {
            "name": "permits",
            "host": HOST,
            "path_prefix": "/permits/",
            "kind": "unsafe",
            "timeout_ms": TIMEOUT_MS,
            "target_latency_ms": 1_000,
            "priority": 0,
            "service": SERVICE,
            "max_attempts": 1,
            "home_regions": [REGION],
        }
    ],
    "services": [{"name": SERVICE, "health_path": "/health", "connection_limit": 110}],
    "limits": {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4_194_304,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
}


class Clients:
    """Clients of the region, by the page's section on ingress."""

    def __init__(self, deployment: Deployment, record: Record) -> None:
        self._deployment = deployment
        self._record = record
        self._rng = random.Random(3)
        self.is_over = False
        self.answers: list[tuple[float, str, bool, Answer]] = []

    def _resolve(self) -> tuple[list[str], float]:
        near = self._deployment.gateways[:2]
        self._rng.shuffle(near)
        for one in [*near, self._deployment.gateways[2]]:
            client = Client((one.place.ip, one.ports["directory"]))
            path = f"/v1/resolve?name={HOST}&region={REGION}&zone={ZONE}"
            got = client.send("x", path, 1_000, method="GET")
            client.close()
            if got.status == 200 and got.message is not None:
                found = json.loads(got.message.body)
                return found["addresses"], found["ttl_s"]
        return [], 0.0

    def run(self) -> None:
        """Send usual requests, each on a new connection."""
        held: list[str] = []
        until_s = 0.0
        while not self.is_over:
            if monotonic() >= until_s:
                found, ttl_s = self._resolve()
                held = found or held
                until_s = monotonic() + ttl_s
            if held:
                self._send(self._rng.choice(held), is_long=False)
            gevent.sleep(self._rng.uniform(0.5, 1.5) * PAUSE_S)

    def send_long(self, wait_s: float) -> None:
        """Send one long request to where the directory has led, if its answer still holds by then."""
        gevent.sleep(RESOLVED_AFTER_S)
        held, ttl_s = self._resolve()
        gevent.sleep(wait_s)
        if wait_s > HELD_TIMES * ttl_s:
            held, _ = self._resolve()
        if held:
            self._send(self._rng.choice(held), is_long=True)

    def _send(self, address: str, is_long: bool) -> None:
        ip, _, port = address.rpartition(":")
        client = Client((ip, int(port)))
        body = b"long" if is_long else b"usual"
        sent_at_s = monotonic()
        got = client.send(HOST, "/permits/new", DEADLINE_MS, body)
        client.close()
        self.answers.append((sent_at_s, ip, is_long, got))
        took_s = round(monotonic() - sent_at_s, 3)
        self._record.note(
            "answer",
            id=got.request_id,
            gateway=ip,
            long=is_long,
            status=got.status,
            text=got.text,
            took_s=took_s,
        )


def stop_and_start(gateway: Gateway, record: Record, stopped_at_s: dict[str, float]) -> None:
    """Stop a process as planned, and start it again."""
    stopped_at_s[gateway.place.ip] = monotonic()
    record.note("sigterm", gateway=gateway.place.ip)
    gateway.signal(signal.SIGTERM)
    with gevent.Timeout(GRACE_S, False):
        while gateway.is_running():
            gevent.sleep(0.02)
    if gateway.is_running():
        gateway.signal(signal.SIGKILL)
    after_s = round(monotonic() - stopped_at_s[gateway.place.ip], 2)
    record.note("ended", gateway=gateway.place.ip, after_s=after_s)
    gevent.sleep(START_AFTER_S)
    gateway.start()


def play(record: Record) -> int:
    """Play the case; return the exit code."""
    deployment = Deployment(PLACES)
    record.note("deployment", trouble=TROUBLE, ports=deployment.ports)
    deployment.store.start()
    deployment.store.put("op/config", CONFIGURATION)
    replicas = [
        Replica(
            f"i-{n:08x}",
            SERVICE,
            ZONE,
            ("127.0.13.1", deployment.free_port()),
            deployment.store,
            slots=6,
            work_s=USUAL_S,
            work_s_by_body={b"long": LONG_S},
        )
        for n in range(3)
    ]
    for one in replicas:
        one.start()
    clients = Clients(deployment, record)
    stopped_at_s: dict[str, float] = {}
    try:
        deployment.start()
        gevent.sleep(5.0)
        senders = [gevent.spawn(clients.run) for _ in range(CLIENTS)]
        gevent.sleep(10.0)
        stops = []
        for number, one in enumerate(deployment.gateways[:2]):
            gevent.sleep(GAP_S * number)
            if TROUBLE:
                stops.append(gevent.spawn(stop_and_start, one, record, stopped_at_s))
        wait_s = LONG_AFTER_S - RESOLVED_AFTER_S
        long_senders = [
            gevent.spawn(clients.send_long, wait_s + LONG_SPREAD_S * n / LONG_REQUESTS)
            for n in range(LONG_REQUESTS)
        ]
        gevent.joinall([*long_senders, *stops], timeout=DEADLINE_MS / 1000 + 2)
        clients.is_over = True
        gevent.joinall(senders, timeout=9)
        return judge(record, clients, replicas, stopped_at_s)
    finally:
        for one in replicas:
            one.stop()
        deployment.stop()


def judge(
    record: Record, clients: Clients, replicas: list[Replica], stopped_at_s: dict[str, float]
) -> int:
    """Record what ran and what was answered; return the exit code."""
    arrived = set()
    for replica in replicas:
        for one in replica.arrivals:
            arrived.add(one.request_id)
            record.note("run", id=one.request_id, replica=replica.server_id, outcome=one.outcome)
    lost = []
    for sent_at_s, ip, is_long, got in clients.answers:
        is_cut = got.status == 0 and "ended" in got.text and got.request_id in arrived
        if is_cut and ip in stopped_at_s:
            after_s = round(sent_at_s - stopped_at_s[ip], 2)
            record.note("lost", id=got.request_id, long=is_long, after_sigterm_s=after_s)
            # A request that its replica still ran in the last sixth of the grace isn't counted if it
            # was sent by 3 s after the SIGTERM.
            if after_s > 3.0:
                lost.append(after_s)
    served = sum(got.is_served for *_, got in clients.answers)
    long_served = sum(is_long and got.is_served for _, _, is_long, got in clients.answers)
    record.say(
        f"{len(clients.answers)} requests, {served} served, {long_served} of {LONG_REQUESTS} long "
        f"ones among them; {len(lost)} accepted, passed on and cut, sent {lost} s after the SIGTERM"
    )
    if served < 100:
        record.say("the case could not run")
        return 2
    record.say("LOST is broken" if lost else "LOST holds")
    return 1 if lost else 0


if __name__ == "__main__":
    try:
        sys.exit(play(Record(HERE / "record.txt")))
    except TimeoutError as error:
        print(error)
        sys.exit(2)
