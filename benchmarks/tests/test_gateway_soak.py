import json
from types import SimpleNamespace
from unittest.mock import patch

import gevent
import pytest

from benchmarks.__main__ import main
from benchmarks.gateway_fleet import GatewayProcess
from benchmarks.gateway_soak._faults import SoakFaults
from benchmarks.gateway_soak._judge import (
    LONG_BYTES,
    REPEATS,
    Record,
    _broken,
    judge_repeats,
)
from benchmarks.gateway_soak._streams import event_ids, judge_versions, next_try
from standins import Got, SealedArrival, SealedRun, SealedServer, long_body

SEAL = {"response-seal": "s"}
WHOLE = b"".join(f"id: {number}\ndata: r1-{number}\n\n".encode() for number in range(1, 7))
EVENT = WHOLE[: WHOLE.index(b"\n\n") + 2]
PLAIN = b"r1 /unsafe/x 3"

JUDGED = [
    # target, answer, runs, what the judge must say
    ("/unsafe/x", Got(200, SEAL, PLAIN, True), ["pn1"], ""),
    ("/unsafe/x", None, ["pn1"], ""),
    ("/unsafe/x", Got(502, {}, b"", True), ["pn1"], ""),
    ("/unsafe/x", Got(502, {}, b"", True), ["pn1", "pn2"], "ran at"),
    ("/once/x", None, ["en1", "es1"], "ran at"),
    ("/safe/x", Got(200, SEAL, b"r1 /safe/x 3", True), ["pn1", "pn2"], ""),
    ("/unsafe/x", Got(503, {}, b"", True), [], ""),
    ("/unsafe/x", Got(503, {}, b"", True), ["pn1"], "called not run"),
    ("/unsafe/x", Got(200, SEAL, b"r2 /unsafe/x 3", True), ["pn1"], "got"),
    ("/unsafe/x", Got(200, {}, PLAIN, True), ["pn1"], "signature"),
    ("/stream/x", Got(200, SEAL, WHOLE, True), ["en1", "es1"], ""),
    ("/stream/x", Got(200, SEAL, WHOLE[:40], False), ["en1"], ""),
    ("/stream/x", Got(200, SEAL, WHOLE[:40], True), ["en1"], "got"),
    ("/stream/x", Got(200, SEAL, WHOLE[20:40], False), ["en1"], "wrong part"),
    ("/stream/x", Got(200, SEAL, WHOLE[:40], True, framed=False), ["en1"], "got"),
    ("/stream/x", Got(200, SEAL, EVENT, True, framed=False), ["en1"], ""),
    ("/stream/x", Got(200, SEAL, EVENT, True), ["en1"], "got"),
    ("/unsafe/x", Got(200, SEAL, PLAIN[:4], True, framed=False), ["pn1"], "got"),
    ("/safe/x", Got(200, SEAL, long_body("pn1", LONG_BYTES), True), ["pn1"], ""),
    ("/safe/x", Got(200, SEAL, long_body("pn1", 2_000_000), False), ["pn1"], ""),
    ("/safe/x", Got(200, SEAL, long_body("pn1", 2_000_000), True), ["pn1"], "got"),
    (
        "/safe/x",
        Got(200, SEAL, long_body("pn1", 2_000_000) + long_body("pn2", LONG_BYTES), True),
        ["pn1", "pn2"],
        "got",
    ),
    (
        "/safe/x",
        Got(200, SEAL, long_body("pn1", 2_000_000) + b"r1 /safe/x 3", False),
        ["pn1", "pn2"],
        "wrong part",
    ),
    ("/home/x", Got(200, SEAL, b"r1 /home/x 3", True), ["ps1"], ""),
    ("/home/x", Got(200, SEAL, b"r1 /home/x 3", True), ["pn1"], "outside its home"),
]


@pytest.mark.parametrize(("target", "got", "ran_at", "said"), JUDGED)
def test_the_judge_sees_what_is_broken(target, got, ran_at, said):
    broken = _broken(Record("r1", target, got=got), ran_at)
    assert bool(broken) is bool(said)
    assert said in " ".join(broken)


def test_the_judge_sees_what_cannot_be_read():
    broken = _broken(Record("r1", "/safe/x", malformed="a head within chunks"), ["pn1"])
    assert "a head within chunks" in " ".join(broken)


@pytest.mark.parametrize(("target", "server"), [("/safe/x", "pn1"), ("/stream/x", "en1")])
def test_the_judge_sees_too_many_repeats_of_a_service(target, server):
    records = [Record("r1", target, sent_at_ms=0.0)]
    most = int(REPEATS.slack + REPEATS.ratio)
    for repeats, is_broken in ((most, False), (most + 1, True)):
        arrivals = [SealedArrival("r1", 1.0)] * (1 + repeats)
        servers = {server: SealedServer("127.0.0.1", 1, server, arrivals=arrivals)}
        assert bool(judge_repeats(records, servers)) is is_broken


# Seeds of the run in CI, and each seed that ever failed with a line on its cause.
SEEDS = [
    (11, 8.0),
    # Failed 2 of 5 times: SIGHUP met a process that was starting and ended it. Later 2 of 4 times beside
    # busy processes: resets after crashes counted as further crashes under a request.
    (133, 10.0),
    # Failed 1 of 4 times, beside a hunt: a request that ran on each of three engines as another request
    # ended them is quarantined with it, and nothing excuses it for two minutes.
    (431, 8.0),
]


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_a_run_under_faults_breaks_no_promise(capsys, seed, seconds):
    code = main(["gateway-soak", "--seed", str(seed), "--seconds", str(seconds)])
    result = json.loads(capsys.readouterr().out.splitlines()[-1])
    assert result["broken"] == []
    assert code == 0


def test_an_instance_that_ended_is_started_once(tmp_path):
    # Two faults that wait for the same process to end both start it again.
    starts = []
    settings = tmp_path / "s"
    settings.write_text("{}")
    gateway = GatewayProcess("g0", "north-1", "127.0.2.1", settings, None, tmp_path / "log")

    class SlowProcess:
        def __init__(self, *_arguments, **_options) -> None:
            gevent.sleep(0.01)
            starts.append(self)

        def wait(self) -> None:
            gevent.sleep(0)

    with patch("benchmarks.gateway_fleet._fleet.subprocess.Popen", SlowProcess):
        gateway.start()
        chance = SimpleNamespace(uniform=lambda _least, _most: 0.0)
        faults = SoakFaults(None, *[chance] * 6, lambda _record, _at: None)
        gevent.joinall([gevent.spawn(faults._restart, gateway) for _ in range(3)], timeout=20)
    assert len(starts) == 2


def run_of(request_id: str, version: str, first_event: int = 1) -> SealedRun:
    headers = {"last-event-id": str(first_event - 1)}
    return SealedRun(request_id, headers, b"", "/stream/x", version, first_event)


def stream(request_id: str, first: int, last: int) -> bytes:
    numbers = range(first, last + 1)
    return b"".join(b"id: %d\ndata: %b-%d\n\n" % (one, request_id.encode(), one) for one in numbers)


BEGUN = Record("r1", "/stream/x", got=Got(200, SEAL, stream("r1", 1, 3), False))
RESUMED = Record(
    "r1-1",
    "/stream/x",
    got=Got(200, SEAL, stream("r1-1", 4, 6), True),
    resumes="r1",
    resume_after=3,
)
LEFT = Record("r1", "/stream/x", got=Got(200, SEAL, stream("r1", 1, 2), False))
STREAMS = [
    # runs, requests, whether the stream holds events of two versions
    ([run_of("r1", "v1")], [BEGUN], False),
    ([run_of("r1", "v1"), run_of("r1", "v2", 3)], [BEGUN], True),
    # Only the last of the events that arrived is of the second run, and has an even id.
    ([run_of("r1", "v1"), run_of("r1", "v2", 2)], [LEFT], True),
    # The second run wrote nothing that arrived.
    ([run_of("r1", "v1"), run_of("r1", "v2", 4)], [BEGUN], False),
    ([run_of("r1", "v1"), run_of("r1-1", "v1", 4)], [BEGUN, RESUMED], False),
    ([run_of("r1", "v1"), run_of("r1-1", "v2", 4)], [BEGUN, RESUMED], True),
    ([run_of("r1", "v1"), run_of("r2", "v2")], [BEGUN], False),
]


@pytest.mark.parametrize(("runs", "records", "is_mixed"), STREAMS)
def test_the_judge_sees_streams_of_two_software_versions(runs, records, is_mixed):
    servers = {"en1": SealedServer("127.0.0.1", 1, "en1", runs=runs)}
    assert bool(judge_versions(records, servers)) is is_mixed


def test_a_caller_takes_up_a_stream_after_its_last_event_under_the_first_request():
    second = next_try(BEGUN)
    assert (second.request_id, second.resumes, second.resume_after) == ("r1-1", "r1", 3)
    second.got = Got(200, SEAL, stream("r1-1", 4, 4), False)
    third = next_try(second)
    assert (third.request_id, third.resumes, third.resume_after) == ("r1-2", "r1", 4)
    assert next_try(RESUMED) is None


# Guards against: of two events in a row the judge and the callers see one only.
def test_a_caller_counts_each_of_its_events():
    assert event_ids(Got(200, SEAL, stream("r1", 1, 5), False)) == [1, 2, 3, 4, 5]
    assert next_try(LEFT).resume_after == 2
