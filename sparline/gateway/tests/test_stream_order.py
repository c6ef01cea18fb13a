"""Tests of the order of events that a caller gets within one answer and over its tries."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import pytest

from sparline.fleet import FleetState
from sparline.forwarding import RetryWindow
from sparline.http import HttpRequest
from sparline.tests.routed_fleet import RoutedFleet
from standins import PROMPT, Got, SealedFaults, SealedRun, SealedServer, publish, resumption
from standins._publisher import ROUTES
from standins._sealed_framing import LAST_CHUNK

EVENTS = 6
ONE_REGION = ("north-1",)
TWO_REGIONS = ("north-1", "south-1")
MICROSECONDS = 1_764_957_600_000_000


def event(number: int, line_end: str = "\n") -> bytes:
    return line_end.join((f"id: {number}", f"data: {number}", "", "")).encode()


def events(first: int, last: int = EVENTS, line_end: str = "\n") -> bytes:
    return b"".join(event(number, line_end) for number in range(first, last + 1))


class End(Enum):
    """Name how a run ends the connection of its answer."""

    CHUNK = "chunk"  # the end of the stream
    CLOSE = "close"  # the end of the connection in its place
    UNFRAMED = "unframed"  # the end of the connection, without any framing
    SHORT = "short"  # the end of the connection before the length that was stated


@dataclass(frozen=True, slots=True)
class Script:
    """Hold what one run sends."""

    data: bytes  # its events
    end: End = End.CLOSE  # how it ends


PROPER = None  # a run that goes on behind `Last-Event-Id`, to the end


def framed(script: Script) -> tuple[str, bytes]:
    match script.end:
        case End.UNFRAMED:
            return "", script.data
        case End.SHORT:
            return f"Content-Length: {len(script.data) + 9}\r\n", script.data
    chunk = b"%x\r\n%b\r\n" % (len(script.data), script.data) if script.data else b""
    end = LAST_CHUNK if script.end is End.CHUNK else b""
    return "Transfer-Encoding: chunked\r\n", chunk + end


@pytest.fixture
def scripts(monkeypatch) -> list[Script | None]:
    """Return the scripts of the next runs at all servers; runs beyond them are proper."""
    left: list[Script | None] = []

    def play(server, connection, request: HttpRequest, run: SealedRun, _faults: SealedFaults):
        first = run.first_event
        script = (left.pop(0) if left else PROPER) or Script(events(first), End.CHUNK)
        framing, data = framed(script)
        head = (
            f"HTTP/1.1 200 OK\r\nAttempt-Id: {run.request_id}\r\n{framing}"
            f"Response-Seal: seal-of-{server.server_id}\r\n\r\n"
        )
        connection.sendall(head.encode() + data)
        run.finished = True
        return script.end is End.CHUNK

    monkeypatch.setattr(SealedServer, "_stream", play)
    # An instance that has just started may retry a few requests only.
    monkeypatch.setattr(RetryWindow, "spend", lambda _self, _service: True)
    return left


@contextmanager
def engines_behind(*places: str) -> Iterator[RoutedFleet]:
    with RoutedFleet(places) as fleet:
        for name in ("a1", "a2", "a3"):
            fleet.add_server(name, "engines", places[-1], events=EVENTS)
        yield fleet.ready()


@pytest.fixture(params=[ONE_REGION, TWO_REGIONS], ids=["directly", "relayed"])
def fleet(request, scripts):
    with engines_behind(*request.param) as one:
        yield one


def ask(fleet: RoutedFleet, target: str, request_id: str = "r1", **headers: str) -> Got:
    return fleet.ask(target, request_id, body=b"abc", **(PROMPT | headers))


def ids_of(body: bytes) -> list[int]:
    """Return the ids of the events in a body, 0 for an event without one."""
    blocks = body.removeprefix(BOM).replace(b"\r\n", b"\n").split(b"\n\n")
    found = [one for one in blocks if b"data:" in one]
    return [
        next((int(line[3:]) for line in one.split(b"\n") if line.startswith(b"id:")), 0)
        for one in found
    ]


WHOLE = list(range(1, EVENTS + 1))
LONG = [MICROSECONDS + number for number in range(1, EVENTS + 1)]
BEGUN = Script(events(1, 3))
BOM = b"\xef\xbb\xbf"
DONE = b"data: [DONE]\n\n"
COMMENT = b": waiting\n\n"
LINES = b"event: token\nid: 3\ndata: 3\ndata: more\nretry: 100\n\n"

# What the first and the second run send, the ids that the caller gets, whether the answer is whole.
ANSWERS = {
    "within an event": (Script(events(1, 3) + event(4)[:-4]), PROPER, WHOLE, True),
    "within a line": (Script(events(1, 3) + b"id"), PROPER, WHOLE, True),
    "between id and data": (Script(events(1, 3) + b"id: 4\n"), PROPER, WHOLE, True),
    "before the blank line": (Script(events(1, 3) + event(4)[:-1]), PROPER, WHOLE, True),
    "before the end of the stream": (Script(events(1)), PROPER, WHOLE, True),
    "behind a length too short": (Script(events(1, 3), End.SHORT), PROPER, WHOLE, True),
    "as complete within an event": (
        Script(events(1, 3) + b"id: 4", End.CHUNK),
        PROPER,
        WHOLE,
        True,
    ),
    "unframed within an event": (Script(events(1, 3) + b"id", End.UNFRAMED), PROPER, WHOLE, True),
    "as complete without the last blank line": (
        Script(events(1)[:-1], End.CHUNK),
        PROPER,
        WHOLE,
        True,
    ),
    "before any event": (Script(b"id: 1\nda"), PROPER, WHOLE, True),
    "CRLF": (Script(events(1, 3, "\r\n") + b"id: 4\r\n"), PROPER, WHOLE, True),
    "events of many lines": (Script(events(1, 2) + LINES), PROPER, WHOLE, True),
    "BOM": (Script(BOM + event(1)), PROPER, WHOLE, True),
    "a BOM in the second run": (
        BEGUN,
        Script(BOM + events(4), End.CHUNK),
        WHOLE,
        True,
    ),
    "behind a comment": (Script(events(1, 3) + COMMENT), PROPER, WHOLE, True),
    "behind a comment before any event": (Script(COMMENT), PROPER, WHOLE, True),
    "behind empty lines": (Script(events(1, 3) + b"\n\n"), PROPER, WHOLE, True),
    "behind a retry field": (Script(events(1, 3) + b"retry: 9\n\n"), PROPER, WHOLE, True),
    "ids with gaps": (
        Script(event(1) + event(4)),
        Script(event(7) + event(9), End.CHUNK),
        [1, 4, 7, 9],
        True,
    ),
    "ids that go back": (Script(event(1) + event(5) + event(2)), PROPER, [1, 5, 2], False),
    "ids that repeat": (Script(events(1, 2) + event(2)), PROPER, [1, 2, 2], False),
    "no ids": (Script(b"data: x\n\n"), PROPER, [0], False),
    "an id that is no number": (Script(event(1) + b"id: 2-7\ndata: x\n\n"), PROPER, None, False),
    "an id and letters": (Script(event(1) + b"id: 2x\ndata: x\n\n"), PROPER, None, False),
    "an id too long": (
        Script(event(1) + b"id: " + b"9" * 5_000 + b"\ndata: x\n\n"),
        PROPER,
        None,
        False,
    ),
    "ids of 16 digits": (
        Script(event(LONG[0]) + event(LONG[1])),
        Script(b"".join(map(event, LONG[2:])), End.CHUNK),
        LONG,
        True,
    ),
    "resumed from the start": (BEGUN, Script(events(1), End.CHUNK), [1, 2, 3], False),
    "resumed an event too early": (BEGUN, Script(events(3), End.CHUNK), [1, 2, 3], False),
    "resumed by an event without an id, then from the start": (
        BEGUN,
        Script(b"data: x\n\n" + events(1), End.CHUNK),
        [1, 2, 3],
        False,
    ),
    "resumed at an end without an id": (
        Script(events(1)),
        Script(DONE, End.CHUNK),
        [*WHOLE, 0],
        True,
    ),
    "resumed by a comment": (BEGUN, Script(COMMENT + events(4), End.CHUNK), WHOLE, True),
    "resumed at the end": (Script(events(1)), Script(COMMENT, End.CHUNK), WHOLE, True),
    "resumed twice": (BEGUN, Script(event(4) + b"id: 5"), WHOLE, None),
}


# Events that the second run of such a row is asked to go on behind.
ASKED = {
    "ids with gaps": 4,
    "ids of 16 digits": LONG[1],
}


@pytest.mark.parametrize("row", ANSWERS)
def test_events_of_one_answer_come_in_order(fleet, scripts, row):
    first, second, ids, is_whole = ANSWERS[row]
    scripts += [first, second]
    got = ask(fleet, "/stream/x")
    assert got.status == 200
    if is_whole is not None:
        assert got.whole is is_whole
    found = None if ids is None else ids_of(got.body)
    if got.whole or is_whole is not None:
        assert found == ids
    else:
        assert found == ids[: len(found)]
    if ids is None:
        assert got.body == first.data
    assert got.body.count(BOM) == got.body.startswith(BOM)
    if row in ASKED:
        runs = [run for one in fleet.servers.values() for run in one.runs]
        assert max(run.first_event - 1 for run in runs) == ASKED[row]


# Runs of a stream that may not be resumed, each cut: what its caller gets.
CUT_ONCE = {
    "within the first event": Script(b"id: 1\nda"),
    "behind the first event": Script(event(1)),
    "behind a comment": Script(COMMENT),
    "behind empty lines": Script(b"\n\n"),
    "as complete within an event": Script(events(1, 3) + b"id", End.CHUNK),
    "as complete without the last blank line": Script(events(1)[:-1], End.CHUNK),
    "unframed within an event": Script(events(1, 3) + b"id: 4", End.UNFRAMED),
    "behind a length too short": Script(events(1, 3), End.SHORT),
}


@pytest.mark.parametrize("row", CUT_ONCE)
def test_stream_that_may_not_be_resumed_is_of_one_run(fleet, scripts, row):
    scripts.append(CUT_ONCE[row])
    got = ask(fleet, "/once/x")
    # A status above 499 stands for a stream of which no event was passed on.
    assert not got.whole or got.status in (502, 504)
    assert got.status != 200 or CUT_ONCE[row].data.startswith(got.body)
    assert fleet.runs() == ["r1"]


# What a caller names that takes a stream up, what the run sends, status, ids that it gets.
TAKEN_UP = {
    "behind its last event": (resumption("r1", 3), PROPER, 200, [4, 5, 6]),
    "before its last event": (resumption("r1", 2), PROPER, 200, [3, 4, 5, 6]),
    "beyond its last event": (resumption("r1", 4), PROPER, 200, [5, 6]),
    "beyond the stream": (resumption("r1", 9), PROPER, 200, []),
    "without Resumes": ({"Last-Event-Id": "3"}, PROPER, 200, [4, 5, 6]),
    "from the start": ({"Resumes": "r1"}, PROPER, 200, WHOLE),
    "a server that begins anew": (resumption("r1", 3), Script(events(1), End.CHUNK), 502, []),
    "an end without an id": (resumption("r1", 6), Script(DONE, End.CHUNK), 200, [0]),
    "an event that is no number": ({"Resumes": "r1", "Last-Event-Id": "3-7"}, PROPER, 400, []),
    "an event below 0": ({"Resumes": "r1", "Last-Event-Id": "-3"}, PROPER, 400, []),
    "no event": ({"Resumes": "r1", "Last-Event-Id": ""}, PROPER, 200, WHOLE),
    "an event of 16 digits": (
        resumption("r1", LONG[0]),
        Script(event(LONG[1]), End.CHUNK),
        200,
        LONG[1:2],
    ),
}


@pytest.mark.parametrize("row", TAKEN_UP)
def test_caller_that_takes_a_stream_up_gets_what_follows(fleet, scripts, row):
    headers, second, status, ids = TAKEN_UP[row]
    scripts += [BEGUN]
    ask(fleet, "/stream/x")
    for server in fleet.servers.values():
        server.runs.clear()
    scripts[:] = [second] * 3
    got = ask(fleet, "/stream/x", "t1", **headers)
    assert (got.status, ids_of(got.body)) == (status, ids)
    if status == 400:
        assert fleet.runs() == []
    elif "Last-Event-Id" in headers and headers["Last-Event-Id"]:
        sent = {run.headers.get("last-event-id") for s in fleet.servers.values() for run in s.runs}
        assert sent == {headers["Last-Event-Id"]}


# Guards against: a whole stream behind the events that its caller has, on a route that isn't resumed.
def test_rest_of_a_stream_that_may_not_be_resumed_is_not_its_start(fleet):
    got = ask(fleet, "/once/x", "t1", **resumption("r1", 3))
    assert (got.status, fleet.runs()) == (503, [])


@pytest.fixture
def fleet_between_configurations(scripts, monkeypatch):
    """Yield two instances of which only the first knows that a stream may be resumed."""
    with engines_behind(*TWO_REGIONS) as one:
        g0, g1 = (one.gateways[name].fleet for name in ("g0", "g1"))
        apply = FleetState._apply_configuration
        monkeypatch.setattr(
            FleetState,
            "_apply_configuration",
            lambda state, *change: None if state is g1 else apply(state, *change),
        )
        resumable = {"allow_resume": True, "max_attempts": 2}
        # Its caller is patient for two seconds.
        quick = {"target_latency_ms": 500, "gap_target_ms": 250}
        publish(one.store, 2, ROUTES | {"/once/": ROUTES["/once/"] | resumable | quick})
        one.until(lambda: g0.configuration.version == 2, "the first has the configuration")
        assert g1.configuration.version == 1
        yield one


# Guards against: a peer with another configuration sends the start of a stream instead of its rest.
def test_stream_is_not_begun_anew_behind_an_older_configuration(
    fleet_between_configurations, scripts
):
    scripts.append(BEGUN)
    got = ask(fleet_between_configurations, "/once/x")
    assert (ids_of(got.body), got.whole) == ([1, 2, 3], False)


def test_stream_that_a_caller_takes_up_is_not_begun_behind_an_older_configuration(
    fleet_between_configurations,
):
    got = ask(fleet_between_configurations, "/once/x", "t1", **resumption("r1", 3))
    assert (got.status, fleet_between_configurations.runs()) == (503, [])


# How a caller takes up a stream whose route has moved to another service.
MOVED = {"names the stream": resumption("r1", 3), "names no stream": {"Last-Event-Id": "3"}}


# Guards against: a stream that may have begun at one service goes on at another.
@pytest.mark.parametrize("row", MOVED)
def test_stream_does_not_follow_its_route_to_another_service(scripts, row):
    with engines_behind(*ONE_REGION) as fleet:
        fleet.add_server("b1", "others", events=EVENTS)
        scripts += [Script(events(1, 3)), Script(b""), Script(b"")]
        assert ids_of(ask(fleet, "/stream/x").body) == [1, 2, 3]
        scripts.clear()
        moved = ROUTES["/stream/"] | {"service": "others"}
        publish(fleet.store, 2, ROUTES | {"/stream/": moved}, ("others",))
        g0 = fleet.gateways["g0"].fleet
        fleet.until(lambda: g0.configuration.version == 2, "the route has moved")
        got = ask(fleet, "/stream/x", "t1", **MOVED[row])
        assert (got.status, ids_of(got.body)) == (503, [])


# Guards against: a copy of another run's memory that a caller names.
def test_caller_does_not_choose_the_memory_that_a_run_goes_on_from(fleet):
    headers = resumption("r1", 3) | {"Kv-From": "127.0.0.1:1/other", "Hold": "h"}
    assert ids_of(ask(fleet, "/stream/x", **headers).body) == [4, 5, 6]
    runs = [run for one in fleet.servers.values() for run in one.runs]
    assert not [run for run in runs if {"kv-from", "hold"} & run.headers.keys()]
