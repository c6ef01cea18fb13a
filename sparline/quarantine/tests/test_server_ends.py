"""Detection of server terminations by connections and the store."""

import gevent
import pytest

from sparline._ids import BackendServerId
from sparline.quarantine import (
    EndEvidence,
    ProbeResult,
    RequestDigest,
    ServerEndCallbacks,
    ServerEndDetector,
    _server_ends,
)

SERVER = BackendServerId("e1")
ADDRESS = ("127.0.0.1", 1)
ONE = RequestDigest(b"1" * 16)
ABORTED_AT_MS = 1_000_000.0


class FakeEnvironment:
    """Fake the network, the server's last activity and the log."""

    def __init__(self, reach: ProbeResult) -> None:
        self.reach = reach
        self.probes = 0
        self.heard_at_ms = 0.0
        self.unreachable: list[str] = []
        self.ends: list[tuple[str, EndEvidence]] = []

    def probe(self, _address: object, _timeout_s: float) -> ProbeResult:
        self.probes += 1
        gevent.sleep(0.01)
        return self.reach

    def callbacks(self) -> ServerEndCallbacks:
        return ServerEndCallbacks(
            self.probe,
            lambda _server_id: self.heard_at_ms,
            self.unreachable.append,
            lambda server_id, sign: self.ends.append((server_id, sign)),
        )


@pytest.fixture
def clock(monkeypatch):
    time = [ABORTED_AT_MS]
    monkeypatch.setattr(_server_ends, "now_ms", lambda: time[0])
    return time


REACHES = [
    ("connection refused", ProbeResult.REFUSED, ["e1"], [("e1", EndEvidence.REFUSED)]),
    ("connection accepted", ProbeResult.OPEN, [], []),
    ("no response", ProbeResult.UNKNOWN, [], []),
]


@pytest.mark.parametrize(
    ("reach", "unreachable", "ends"),
    [row[1:] for row in REACHES],
    ids=[row[0] for row in REACHES],
)
def test_probe_result_decides(clock, reach, unreachable, ends):
    environment = FakeEnvironment(reach)
    server_ends = ServerEndDetector(environment.callbacks())
    assert server_ends.reach(SERVER, ADDRESS) is reach
    assert environment.unreachable == unreachable
    assert environment.ends == ends


def test_concurrent_callers_share_one_probe(clock):
    environment = FakeEnvironment(ProbeResult.REFUSED)
    server_ends = ServerEndDetector(environment.callbacks())
    callers = [gevent.spawn(server_ends.reach, SERVER, ADDRESS) for _ in range(30)]
    gevent.joinall(callers, timeout=20)
    assert [one.value for one in callers] == [ProbeResult.REFUSED] * 30
    assert server_ends.reach(SERVER, ADDRESS) is ProbeResult.REFUSED
    assert environment.probes == 1
    assert len(environment.ends) == 1


def test_accepted_probe_is_not_reused(clock):
    environment = FakeEnvironment(ProbeResult.OPEN)
    server_ends = ServerEndDetector(environment.callbacks())
    server_ends.reach(SERVER, ADDRESS)
    environment.reach = ProbeResult.REFUSED
    assert server_ends.reach(SERVER, ADDRESS) is ProbeResult.REFUSED


def test_waiters_are_released_when_the_probing_greenlet_is_killed(clock):
    environment = FakeEnvironment(ProbeResult.REFUSED)
    server_ends = ServerEndDetector(environment.callbacks())
    prober = gevent.spawn(server_ends.reach, SERVER, ADDRESS)
    gevent.sleep(0)
    waiting = gevent.spawn(server_ends.reach, SERVER, ADDRESS)
    gevent.sleep(0)
    prober.kill()
    assert waiting.get(timeout=20) is ProbeResult.UNKNOWN


REMOVALS = [
    ("removed soon, never heard again", 3_000.0, 0.0, [ONE]),
    ("removed long after", _server_ends.MAX_REMOVAL_DELAY_MS + 1, 0.0, []),
    ("heard after the abort", 3_000.0, ABORTED_AT_MS + 1, []),
    ("heard before the abort", 3_000.0, ABORTED_AT_MS - 1, [ONE]),
]


@pytest.mark.parametrize(
    ("after_ms", "heard_at_ms", "ended"),
    [row[1:] for row in REMOVALS],
    ids=[row[0] for row in REMOVALS],
)
def test_store_removal_explains_aborted_answers(clock, after_ms, heard_at_ms, ended):
    environment = FakeEnvironment(ProbeResult.UNKNOWN)
    server_ends = ServerEndDetector(environment.callbacks())
    server_ends.note_aborted_answer(ONE, SERVER)
    clock[0] += after_ms
    environment.heard_at_ms = heard_at_ms
    assert server_ends.note_removed(BackendServerId("another")) == []
    assert server_ends.note_removed(SERVER) == ended
    assert server_ends.note_removed(SERVER) == []
    assert environment.ends == ([("e1", EndEvidence.GONE)] if ended else [])


def test_unexplained_aborts_are_bounded(clock):
    server_ends = ServerEndDetector(FakeEnvironment(ProbeResult.UNKNOWN).callbacks())
    for number in range(2 * _server_ends.MAX_UNEXPLAINED):
        clock[0] += 0.001
        server_ends.note_aborted_answer(ONE, BackendServerId(f"s{number}"))
    assert len(server_ends._unexplained) == _server_ends.MAX_UNEXPLAINED


class Connection:
    """Fake another connection to a server."""

    def __init__(self, lost: bool) -> None:
        self.lost = lost

    def is_lost(self) -> bool:
        return self.lost


WITNESSES = [
    ("no connection", (), False),
    ("single connection lost", (True,), True),
    ("all connections lost", (True, True, True), True),
    ("one connection survives", (True, False, True), False),
    ("all connections survive", (False, False), False),
]


@pytest.mark.parametrize(
    ("lost", "has_ended"), [row[1:] for row in WITNESSES], ids=[row[0] for row in WITNESSES]
)
def test_server_that_loses_every_connection_has_ended(clock, lost, has_ended):
    environment = FakeEnvironment(ProbeResult.OPEN)
    server_ends = ServerEndDetector(environment.callbacks())
    found = server_ends.witnessed_end(SERVER, [Connection(one) for one in lost])
    assert (found is not None) is has_ended
    assert environment.ends == ([(SERVER, EndEvidence.WITNESSED)] if has_ended else [])


def test_two_ends_under_one_server_id_are_distinct(clock):
    server_ends = ServerEndDetector(FakeEnvironment(ProbeResult.OPEN).callbacks())
    first = server_ends.witnessed_end(SERVER, [Connection(True)])
    clock[0] += 200
    assert server_ends.witnessed_end(SERVER, [Connection(True)]) != first


def test_request_is_watched_after_an_unexplained_abort(clock):
    server_ends = ServerEndDetector(FakeEnvironment(ProbeResult.OPEN).callbacks())
    assert not server_ends.has_watched_requests
    server_ends.note_aborted_answer(ONE, SERVER)
    assert server_ends.has_watched_requests
    assert server_ends.has_unexplained_abort(ONE)
    assert not server_ends.has_unexplained_abort(RequestDigest(b"2" * 16))
    clock[0] += _server_ends.WATCH_MS + 1
    assert not server_ends.has_unexplained_abort(ONE)
    assert not server_ends.has_watched_requests


def test_watched_requests_are_bounded(clock):
    server_ends = ServerEndDetector(FakeEnvironment(ProbeResult.OPEN).callbacks())
    for number in range(2 * _server_ends.MAX_WATCHED):
        server_ends.note_aborted_answer(RequestDigest(b"%d" % number), SERVER)
    assert not server_ends.has_unexplained_abort(RequestDigest(b"0"))
    assert len(server_ends._watched) == _server_ends.MAX_WATCHED
