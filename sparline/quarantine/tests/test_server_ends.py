"""Detection of server exits by connections and the store."""

import gevent
import pytest

from sparline._ids import BackendServerId, PartDigest, RequestId
from sparline.quarantine import (
    CrashTable,
    EndEvidence,
    InterruptedRequest,
    ProbeResult,
    RequestDigest,
    ServerEndCallbacks,
    ServerEndDetector,
    ServerKind,
    _server_ends,
)

SERVER = BackendServerId("e1")
ADDRESS = ("127.0.0.1", 1)
DIGEST = RequestDigest(b"1" * 16)
INTERRUPTED_AT_MS = 1_000_000.0


def request_of(digest: RequestDigest = DIGEST) -> InterruptedRequest:
    kind = ServerKind("engines", None)
    return InterruptedRequest(digest, RequestId("r1"), (PartDigest(b"p"),), kind, 0.0)


class FakeEnvironment:
    """Fake the network, the server's last activity and the log."""

    def __init__(self, probe_result: ProbeResult) -> None:
        self.probe_result = probe_result
        self.probes = 0
        self.heard_at_ms = 0.0
        self.unreachable: list[str] = []
        self.ends: list[tuple[str, EndEvidence]] = []

    def probe(self, _address: object, _timeout_s: float) -> ProbeResult:
        self.probes += 1
        gevent.sleep(0.01)
        return self.probe_result

    def callbacks(self) -> ServerEndCallbacks:
        return ServerEndCallbacks(
            self.probe,
            lambda _server_id: self.heard_at_ms,
            self.unreachable.append,
            lambda server_id, evidence: self.ends.append((server_id, evidence)),
        )


@pytest.fixture
def clock(monkeypatch):
    time = [INTERRUPTED_AT_MS]
    monkeypatch.setattr(_server_ends, "now_ms", lambda: time[0])
    return time


PROBES = [
    ("connection refused", ProbeResult.REFUSED, ["e1"], [("e1", EndEvidence.REFUSED)]),
    ("connection accepted", ProbeResult.OPEN, [], []),
    ("no response", ProbeResult.UNKNOWN, [], []),
]


@pytest.mark.parametrize(
    ("probe_result", "unreachable", "ends"),
    [row[1:] for row in PROBES],
    ids=[row[0] for row in PROBES],
)
def test_refused_probe_reports_an_exit(clock, probe_result, unreachable, ends):
    environment = FakeEnvironment(probe_result)
    detector = ServerEndDetector(environment.callbacks())
    assert detector.probe(SERVER, ADDRESS) is probe_result
    assert environment.unreachable == unreachable
    assert environment.ends == ends


def test_concurrent_callers_share_one_probe(clock):
    environment = FakeEnvironment(ProbeResult.REFUSED)
    detector = ServerEndDetector(environment.callbacks())
    callers = [gevent.spawn(detector.probe, SERVER, ADDRESS) for _ in range(30)]
    gevent.joinall(callers, timeout=20)
    assert [one.value for one in callers] == [ProbeResult.REFUSED] * 30
    assert detector.probe(SERVER, ADDRESS) is ProbeResult.REFUSED
    assert environment.probes == 1
    assert len(environment.ends) == 1


def test_accepted_probe_is_not_reused(clock):
    environment = FakeEnvironment(ProbeResult.OPEN)
    detector = ServerEndDetector(environment.callbacks())
    detector.probe(SERVER, ADDRESS)
    environment.probe_result = ProbeResult.REFUSED
    assert detector.probe(SERVER, ADDRESS) is ProbeResult.REFUSED


def test_waiters_are_released_when_the_probing_greenlet_is_killed(clock):
    environment = FakeEnvironment(ProbeResult.REFUSED)
    detector = ServerEndDetector(environment.callbacks())
    prober = gevent.spawn(detector.probe, SERVER, ADDRESS)
    gevent.sleep(0)
    waiting = gevent.spawn(detector.probe, SERVER, ADDRESS)
    gevent.sleep(0)
    prober.kill()
    assert waiting.get(timeout=20) is ProbeResult.UNKNOWN


REMOVALS = [
    ("removed soon, never heard again", 3_000.0, 0.0, [request_of()]),
    ("removed long after", _server_ends.MAX_REMOVAL_DELAY_MS + 1, 0.0, []),
    ("heard after the interruption", 3_000.0, INTERRUPTED_AT_MS + 1, []),
    ("heard before the interruption", 3_000.0, INTERRUPTED_AT_MS - 1, [request_of()]),
]


@pytest.mark.parametrize(
    ("after_ms", "heard_at_ms", "ended"),
    [row[1:] for row in REMOVALS],
    ids=[row[0] for row in REMOVALS],
)
def test_store_removal_explains_interrupted_answers(clock, after_ms, heard_at_ms, ended):
    environment = FakeEnvironment(ProbeResult.UNKNOWN)
    detector = ServerEndDetector(environment.callbacks())
    detector.note_interrupted_answer(request_of(), SERVER)
    clock[0] += after_ms
    environment.heard_at_ms = heard_at_ms
    assert detector.note_removed(BackendServerId("another")) == []
    assert detector.note_removed(SERVER) == ended
    assert detector.note_removed(SERVER) == []
    assert environment.ends == ([("e1", EndEvidence.GONE)] if ended else [])


def test_unexplained_interruptions_are_bounded(clock):
    detector = ServerEndDetector(FakeEnvironment(ProbeResult.UNKNOWN).callbacks())
    for number in range(2 * _server_ends.MAX_UNEXPLAINED):
        clock[0] += 0.001
        detector.note_interrupted_answer(request_of(), BackendServerId(f"s{number}"))
    assert len(detector._unexplained) == _server_ends.MAX_UNEXPLAINED


class FakeConnection:
    """Fake another connection to a server."""

    def __init__(self, lost: bool) -> None:
        self.lost = lost

    def is_lost(self) -> bool:
        return self.lost


CONNECTIONS = [
    ("no connection", (), False),
    ("single connection lost", (True,), True),
    ("all connections lost", (True, True, True), True),
    ("one connection survives", (True, False, True), False),
    ("all connections survive", (False, False), False),
]


@pytest.mark.parametrize(
    ("lost", "has_ended"), [row[1:] for row in CONNECTIONS], ids=[row[0] for row in CONNECTIONS]
)
def test_server_that_loses_every_connection_has_ended(clock, lost, has_ended):
    environment = FakeEnvironment(ProbeResult.OPEN)
    detector = ServerEndDetector(environment.callbacks())
    found = detector.witnessed_end(SERVER, [FakeConnection(one) for one in lost])
    assert (found is not None) is has_ended
    assert environment.ends == ([(SERVER, EndEvidence.WITNESSED)] if has_ended else [])


def test_two_ends_under_one_server_id_are_distinct(clock):
    # A supervisor restarts the server under its id, and the request is sent again.
    table = CrashTable()
    for number in range(4):
        detector = ServerEndDetector(FakeEnvironment(ProbeResult.OPEN).callbacks())
        earlier_exits = table.earlier_exits(DIGEST, SERVER)
        table.note_end(
            DIGEST, detector.witnessed_end(SERVER, [FakeConnection(True)], earlier_exits)
        )
        assert table.ends(DIGEST) == number + 1


def test_one_end_found_by_several_instances_counts_once(clock):
    # Each instance gave the exit an id of its own, so that one exit was counted three times.
    table = CrashTable()
    for _ in range(3):
        detector = ServerEndDetector(FakeEnvironment(ProbeResult.OPEN).callbacks())
        table.note_end(DIGEST, detector.witnessed_end(SERVER, [FakeConnection(True)]))
        table.note_end(DIGEST, SERVER)  # as the removal of the store entry shows it
        clock[0] += 200
    assert table.ends(DIGEST) == 1


def test_request_is_watched_after_an_unexplained_interruption(clock):
    detector = ServerEndDetector(FakeEnvironment(ProbeResult.OPEN).callbacks())
    assert not detector.has_watched_requests
    detector.note_interrupted_answer(request_of(), SERVER)
    assert detector.has_watched_requests
    assert detector.has_unexplained_interruption(DIGEST)
    assert not detector.has_unexplained_interruption(RequestDigest(b"2" * 16))
    clock[0] += _server_ends.WATCH_MS + 1
    assert not detector.has_unexplained_interruption(DIGEST)
    assert not detector.has_watched_requests
    detector.note_interrupted_answer(request_of(), SERVER)
    detector.note_complete_answer(DIGEST)
    assert not detector.has_watched_requests


def test_watched_requests_are_bounded(clock):
    detector = ServerEndDetector(FakeEnvironment(ProbeResult.OPEN).callbacks())
    for number in range(2 * _server_ends.MAX_WATCHED):
        detector.note_interrupted_answer(request_of(RequestDigest(b"%d" % number)), SERVER)
    assert not detector.has_unexplained_interruption(RequestDigest(b"0"))
    assert len(detector._watched) == _server_ends.MAX_WATCHED
