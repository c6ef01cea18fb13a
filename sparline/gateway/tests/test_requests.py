"""Tests of one gateway before backend servers: responses to callers and runs on servers."""

import gevent
import pytest

from sparline.forwarding import _resume_wait
from sparline.tests.routed_fleet import PATIENCE_MS, RoutedFleet
from standins import HOST, PROMPT, SealedFaults

EVENTS = 6


def stream_of(request_id: str) -> bytes:
    return b"".join(
        f"id: {number}\ndata: {request_id}-{number}\n\n".encode() for number in range(1, EVENTS + 1)
    )


@pytest.fixture
def fleet():
    with RoutedFleet() as one:
        one.add_server("p1")
        one.add_server("p2")
        one.add_server("e1", "engines", events=EVENTS)
        one.add_server("e2", "engines", events=EVENTS)
        yield one.ready()


def set_all_faults(fleet: RoutedFleet, **faults: object) -> None:
    for server in fleet.servers.values():
        server.faults = SealedFaults(**faults)


ANSWERS = [
    ("safe", "/safe/x?y=%2f", {}, 200, b"r1 /safe/x?y=%2f 0", 1),
    ("unsafe with a body", "/unsafe/x", {"body": b"abc"}, 200, b"r1 /unsafe/x 3", 1),
    ("a stream", "/stream/x", {"body": b"abc", **PROMPT}, 200, stream_of("r1"), 1),
    ("a stream that runs once", "/once/x", {"body": b"abc", **PROMPT}, 200, stream_of("r1"), 1),
    ("no route", "/nowhere/x", {}, 404, None, 0),
    ("no id", "/safe/x", {"Attempt_Id": ""}, 400, None, 0),
    ("token counts that are none", "/stream/x", {"Token_Counts": "many"}, 400, None, 0),
    ("a body over the limit", "/unsafe/x", {"body": b"x" * 100_001}, 413, None, 0),
    ("headers over the limit", "/safe/x", {"X-Long": "x" * 5_000}, 431, None, 0),
    (
        "a prompt for a plain service",
        "/unsafe/x",
        {"Token_Counts": "400,50"},
        200,
        b"r1 /unsafe/x 0",
        1,
    ),
    (
        "a number of 5,000 digits",
        "/safe/x",
        {"Deadline_Milliseconds": "9" * 2_000, "Token_Counts": "9" * 1_000 + ",1"},
        400,
        None,
        0,
    ),
    (
        "a last event that is none",
        "/stream/x",
        {"Last_Event_Id": "x", "body": b"abc", **PROMPT},
        200,
        stream_of("r1"),
        1,
    ),
    ("a prompt without parts", "/stream/x", {"Token_Counts": "4,5"}, 200, stream_of("r1"), 1),
]


@pytest.mark.parametrize(
    ("target", "request_", "status", "body", "runs"),
    [row[1:] for row in ANSWERS],
    ids=[row[0] for row in ANSWERS],
)
def test_request_gets_the_expected_answer(fleet, target, request_, status, body, runs):
    got = fleet.ask(target, **request_)
    assert got.status == status
    assert got.whole
    if body is not None:
        assert got.body == body
        assert got.headers["response-seal"].startswith("seal-of-")
    else:
        assert "response-seal" not in got.headers
    assert len(fleet.runs()) == runs


FAULTS = [
    # fault of all servers, target, status, maximum number of runs
    ("refused everywhere", {"refuse": True}, "/unsafe/x", 503, 0),
    ("refused everywhere, safe", {"refuse": True}, "/safe/x", 503, 0),
    ("lost answer, runs once", {"close_after_run": True}, "/unsafe/x", 502, 1),
    ("lost answer, runs again", {"close_after_run": True}, "/safe/x", 502, 2),
    ("lost stream, runs once", {"close_after_run": True}, "/once/x", 502, 1),
    ("failed, runs once", {"fail": True}, "/unsafe/x", 500, 1),
    ("failed, runs again", {"fail": True}, "/safe/x", 500, 2),
    ("no signature", {"without_seal": True}, "/unsafe/x", 502, 1),
    ("no answer in time", {"hang": True}, "/unsafe/x", 504, 1),
    ("bytes after the answer", {"garbage": b"junk"}, "/unsafe/x", 200, 1),
    ("bytes before the answer", {"surplus_answer": b"junk\r\n\r\n"}, "/unsafe/x", 502, 1),
    ("no length", {"unframed": True}, "/unsafe/x", 200, 1),
]


@pytest.mark.parametrize(
    ("faults", "target", "status", "runs"),
    [row[1:] for row in FAULTS],
    ids=[row[0] for row in FAULTS],
)
def test_fault_leads_to_a_truthful_answer(fleet, faults, target, status, runs):
    set_all_faults(fleet, **faults)
    got = fleet.ask(target, Deadline_Milliseconds="1500")
    assert got.status == status
    assert got.whole
    assert len(fleet.runs()) <= runs
    if status == 503:
        assert float(got.headers["retry-after"]) > 0
    if status in (502, 504):
        assert "response-seal" not in got.headers
    if status == 500:
        assert got.headers["response-seal"].startswith("seal-of-")


def test_refused_request_is_sent_to_another_server(fleet):
    fleet.servers["p1"].faults = SealedFaults(refuse=True)
    for number in range(10):
        assert fleet.ask("/unsafe/x", f"r{number}").status == 200
    assert len(fleet.runs()) == 10


BREAKS = [
    ("within an event", {"break_within_event": 3}),
    ("within the first event", {"break_within_event": 1}),
    ("by silence", {"stop_after_event": 3}),
    ("before the head", {"close_after_run": True}),
]


@pytest.mark.parametrize("faults", [row[1] for row in BREAKS], ids=[row[0] for row in BREAKS])
def test_interrupted_stream_resumes_on_another_server(fleet, faults):
    shared = SealedFaults(**faults, remaining=1)
    fleet.servers["e1"].faults = fleet.servers["e2"].faults = shared
    got = fleet.ask("/stream/x", body=b"abc", **PROMPT)
    assert got.whole
    assert got.body == stream_of("r1")
    assert len(fleet.runs()) == 2


def test_interrupted_stream_waits_for_a_server_that_can_resume_it(monkeypatch):
    monkeypatch.setattr(_resume_wait, "MIN_CALLER_PATIENCE_MS", PATIENCE_MS)
    with RoutedFleet() as fleet:
        fleet.add_server("p1")
        fleet.add_server("e1", "engines", events=EVENTS)
        fleet.ready()
        fleet.servers["e1"].faults = SealedFaults(break_within_event=3)
        gevent.spawn_later(0.3, fleet.add_server, "e2", "engines", events=EVENTS)
        got = fleet.ask("/stream/x", body=b"abc", **PROMPT)
    assert got.whole
    assert got.body == stream_of("r1")


def test_stream_that_runs_once_is_cut_at_the_interruption(fleet):
    set_all_faults(fleet, break_within_event=3)
    got = fleet.ask("/once/x", body=b"abc", **PROMPT)
    assert not got.whole
    assert got.body == stream_of("r1")[: len(got.body)]
    assert len(fleet.runs()) == 1


@pytest.mark.parametrize("target", ["/stream/x", "/unsafe/x"])
def test_caller_that_disconnects_ends_the_run(fleet, target):
    set_all_faults(fleet, hang=True)
    caller = fleet.caller()
    caller.send(target, "r1")
    fleet.until(lambda: fleet.runs() == ["r1"], "the request runs")
    caller.close()
    runs = [run for server in fleet.servers.values() for run in server.runs]
    fleet.until(lambda: runs[0].abandoned, "the server sees that nobody waits")
    assert len(fleet.gateways["g0"].service.in_flight) == 0


def test_headers_reserved_for_the_gateway_are_not_forwarded(fleet):
    got = fleet.ask(
        "/unsafe/x",
        Hold="h1",
        Kv_From="10.0.0.1:1/x",
        Request_Priority="0",
        Expected_Instance="other",
        Sparline_Service="engines",
        Last_Event_Id="7",
        Length_Hint="12",
        Connection="X-Private",
        X_Private="1",
    )
    assert got.status == 200
    (run,) = [run for server in fleet.servers.values() for run in server.runs]
    for name in ("hold", "kv-from", "request-priority", "last-event-id", "x-private"):
        assert name not in run.headers
    assert not [name for name in run.headers if name.startswith("sparline-")]
    assert run.headers["length-hint"] == "12"
    assert run.headers["host"] == HOST
    assert 0 < int(run.headers["deadline-milliseconds"]) <= 8_000


def test_chunked_body_arrives_completely(fleet):
    caller = fleet.caller()
    fields = {"Host": HOST, "Attempt-Id": "r1", "Transfer-Encoding": "chunked"}
    caller.send_raw("POST", "/unsafe/x", fields, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
    assert caller.read().status == 200
    (run,) = [run for server in fleet.servers.values() for run in server.runs]
    assert run.body == b"abcde"


SMUGGLED = [
    ("two framings", {"Transfer-Encoding": "chunked", "Content-Length": "5"}, b"0\r\n\r\nGET /x"),
    ("two lengths", {"Content-Length": "3", "content-length": "4"}, b"abcd"),
    ("a length that is none", {"Content-Length": "+3"}, b"abc"),
]


@pytest.mark.parametrize(
    ("fields", "body"), [row[1:] for row in SMUGGLED], ids=[row[0] for row in SMUGGLED]
)
def test_ambiguous_framing_is_refused(fleet, fields, body):
    caller = fleet.caller()
    caller.send_raw("POST", "/unsafe/x", {"Host": HOST, "Attempt-Id": "r1"} | fields, body)
    assert caller.read().status == 400
    assert fleet.runs() == []


def test_connections_are_reused(fleet):
    caller = fleet.caller()
    for number in range(5):
        caller.send("/safe/x", f"r{number}")
        assert caller.read().body == f"r{number} /safe/x 0".encode()
    opened = fleet.servers["p1"].connections + fleet.servers["p2"].connections
    assert opened <= 2


def test_answer_before_the_end_of_the_body_closes_the_connection(fleet):
    set_all_faults(fleet, early=True)
    fleet.ask("/unsafe/x", body=b"x" * 90_000)
    set_all_faults(fleet)
    assert fleet.ask("/unsafe/x", "r2", body=b"abc").body == b"r2 /unsafe/x 3"


def test_callers_get_retry_after_without_a_configuration():
    with RoutedFleet() as fleet:
        got = fleet.ask("/safe/x")
        assert got.status == 503
        assert float(got.headers["retry-after"]) > 0
        assert not fleet.gateways["g0"].is_ready()


def test_restart_of_a_server_under_its_id_aborts_its_streams():
    # The old process keeps the connection open silently, as one behind a network partition does.
    with RoutedFleet() as fleet:
        engine = fleet.add_server("e1", "engines", events=EVENTS)
        engine.faults = SealedFaults(stop_after_event=2, remaining=1)
        fleet.list_server("e1", "engines", born=1_000)
        fleet.ready()
        caller = fleet.caller()
        caller.send("/once/x", "r1", body=b"abc", **PROMPT)
        gateway = fleet.gateways["g0"]
        fleet.until(lambda: engine.runs, "the stream has begun")
        revision = fleet.list_server("e1", "engines", born=2_000)
        fleet.until(lambda: gateway.copy.revision == revision, "the second start is held")
        with gevent.Timeout(PATIENCE_MS / 1000):
            fleet.until(lambda: engine.runs[0].abandoned, "the first start's stream is given up")
        assert set(gateway.fleet.servers) == {"e1@7d0"}
        assert fleet.ask("/once/x", "r2", body=b"abc", **PROMPT).body == stream_of("r2")
        assert fleet.runs() == ["r1", "r2"]
