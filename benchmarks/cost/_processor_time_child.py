"""Measure imports and log lines within a process of its own, for the tree that PYTHONPATH names.

Written to standard error as JSON, in microseconds; standard output takes the log lines.
"""

import time

began_s = time.process_time()
from gevent import events, monkey  # noqa: E402

events.notify_and_call_entry_points = events.notify
monkey.patch_all()
patched_s = time.process_time()

import sparline.gateway  # noqa: E402, F401

imported_s = time.process_time()

import json  # noqa: E402
import sys  # noqa: E402
from collections.abc import Callable  # noqa: E402
from itertools import count  # noqa: E402
from types import SimpleNamespace  # noqa: E402

from gevent import socket  # noqa: E402

from sparline._cbor import pack, unpack  # noqa: E402
from sparline._clock import now_ms  # noqa: E402
from sparline._ids import RegionName  # noqa: E402
from sparline._logging import log  # noqa: E402
from sparline.fleet import Members, make_member_note  # noqa: E402
from sparline.fleet import _gossip as _gossip_port  # noqa: E402
from sparline.fleet._gossip import Datagram  # noqa: E402
from sparline.gateway import _request_log  # noqa: E402
from sparline.gateway._log_output import LogOutput, configure  # noqa: E402
from sparline.gateway._metrics import GatewayMetrics  # noqa: E402
from sparline.http import BackendConnection, HttpRequest  # noqa: E402
from sparline.platform import parse_request_head  # noqa: E402
from sparline.requests import Reason  # noqa: E402
from sparline.schema._gossip import (  # noqa: E402
    BackendLoadNote,
    Gossip,
    LoadNews,
    LoadReadingNote,
    MemberBeat,
    MemberNote,
    MemberPhase,
)

US = 1e6
ROUNDS = 20
FLEET = 40
HEADERS = [
    (b"host", b"host.example"),
    (b"user-agent", b"caller/1.0"),
    (b"accept", b"*/*"),
    (b"attempt-id", b"id-0123456789"),
    (b"authorization", b"Bearer 0123456789abcdef"),
    (b"deadline-milliseconds", b"2500"),
    (b"token-counts", b"400,50"),
    (b"prompt-prefix", b"aa:100,bb:50,cc:250"),
    (b"content-type", b"application/json"),
    (b"content-length", b"1200"),
]
# Calls in a round; as many log lines may wait.
CALLS = 50


def _gossip(number: int, counter: int) -> Gossip:
    region = "north" if number % 2 else "south"
    ip = f"127.0.5.{number + 1}"
    sender = MemberNote(ip, ip, 1, counter, MemberPhase.live, region, f"{region}-1")
    loads = [
        LoadReadingNote(200, BackendLoadNote(f"s{one}", 3, 4_000, 500), False) for one in range(20)
    ]
    beats = [MemberBeat(one, 1, counter, MemberPhase.live) for one in range(14)]
    return Gossip(sender, 1, True, loads, [], beats, [], False)


def _named(value: str) -> SimpleNamespace:
    return SimpleNamespace(value=value, name=value)


def _end() -> tuple:
    server = SimpleNamespace(id="server-12@3", software_version="v1", cold_until_ms=0.0)
    place = SimpleNamespace(
        server=server,
        peer=None,
        expected_ms=12.3,
        unread_tokens=250,
        source=None,
        loss=0.0123,
        load=SimpleNamespace(running=3, unread_tokens=400),
        load_age_ms=120.4,
        doubt=_named("NONE"),
    )
    request = SimpleNamespace(
        request_id="id-0123456789",
        arrived_at_ms=now_ms(),
        route=SimpleNamespace(kind=_named("safe"), name="r0"),
        origin=_named("caller"),
        is_resumption=False,
        left_ms=lambda: 900.0,
        prompt=SimpleNamespace(
            tokens=400, shared_tokens=150, shared_prefixes=(SimpleNamespace(key="/aa/bb"),)
        ),
    )
    origin = SimpleNamespace(
        id_match=_named("same"),
        after_ms=10.5,
        use=SimpleNamespace(requests=4, is_id_repeated=False, dropped_answers=0, dropped_bytes=0),
    )
    progress = SimpleNamespace(
        sends=1,
        answer_origin=origin,
        first_at_ms=now_ms(),
        longest_pause_ms=2.0,
        caller_answer=SimpleNamespace(begun_by=server.id, sent_bytes=1_200),
    )
    end = SimpleNamespace(
        status=200,
        reason=Reason.NONE,
        ran=True,
        progress=progress,
        placement=place,
        refusal=None,
        is_cut=False,
    )
    return request, end, 7


def _least_us(call: Callable[[], None], at_end: Callable[[], None] = lambda: None) -> float:
    least_s = float("inf")
    for _ in range(ROUNDS):
        start_s = time.process_time()
        for _ in range(CALLS):
            call()
        at_end()
        least_s = min(least_s, time.process_time() - start_s)
    return least_s / CALLS * US


def main() -> None:
    """Write the figures."""
    _request_log.ANSWERED_LINES_PER_S = _request_log.OTHER_LINES_PER_S = 1e9
    lines = _request_log.RequestLog(GatewayMetrics())
    output = LogOutput("instance-1")
    ended = _end()
    calls = {
        "log line, request rejected": lambda: lines.note_rejected(
            "id-0123456789", 404, Reason.NO_ROUTE, "expected a route"
        ),
        "log line, request ended": lambda: lines.note_end(*ended),
        "log line, other": lambda: log.bind(peer="127.0.0.1", for_ms=1500).info("peer"),
    }
    found = {
        "import of gevent and patching": (patched_s - began_s) * US,
        "import of sparline.gateway": (imported_s - patched_s) * US,
    }
    for level, suffix in (("INFO", ""), ("ERROR", ", level off")):
        configure(output, level)
        for name, call in calls.items():
            found[name + suffix] = _least_us(call, output.flush)
    members = Members(make_member_note("127.0.5.0", "g", RegionName("north"), "north-1", 1))
    for number in range(FLEET):
        members.take(_gossip(number, 1))
    found["live instances of a region"] = _least_us(lambda: members.live(RegionName("north")))
    counter = count(2)
    data = pack(_gossip(0, 1))
    # Trees from before the reader decode with the union.
    read = _gossip_port.__dict__.get("DATAGRAM_READER")
    decode = read.read if read else lambda content: unpack(content, Datagram)
    found["gossip decoded"] = _least_us(lambda: decode(data))
    news = pack(LoadNews(BackendLoadNote("s", 1, 2, 3)))
    found["load news decoded"] = _least_us(lambda: decode(news))
    head = HttpRequest(b"GET", b"/x", HEADERS)
    found["head of a request read"] = _least_us(lambda: parse_request_head(head))
    found["gossip merged into members"] = _least_us(lambda: members.take(_gossip(0, next(counter))))
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(ROUNDS * CALLS)
        address = listener.getsockname()
        found["connection opened and closed"] = _least_us(
            lambda: BackendConnection(address, 1.0).close()
        )
    json.dump(found, sys.stderr)


if __name__ == "__main__":
    main()
