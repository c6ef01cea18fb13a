"""What callers got and servers ran in a soak, held against what is promised."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from benchmarks.bounds import RepeatRule, SeenArrival, SentRequest, worst_repeat_window
from benchmarks.gateway_fleet import RETRIES, SERVERS
from sparline._clock import now_ms
from standins import SEAL, Got, SealedServer, long_body

# A request with this body ends each engine that runs it.
CRASHING = b"whoever runs this ends"
# Once three engines have ended under it and an operator's time to hear of that is over (ms), so many
# more may be sent it.
MOST_ENDS = 3
CONTACT_MS = 5_000.0
MOST_LATER_SENDS = 3
# Length of a long answer: it exceeds what instances hold until it is whole.
LONG_BYTES = 2_500_000
ONCE = ("/unsafe/x", "/once/x")
EVENT_END = b"\n\n"
# Longest body that is shown whole (bytes).
MOST_SHOWN = 300
ENGINE_TARGETS = ("/stream/x", "/once/x")
REPEATS = RepeatRule(RETRIES.ratio, RETRIES.slack, RETRIES.window_s * 1000.0)


@dataclass(slots=True)
class Record:
    """Hold one request and what its caller got."""

    request_id: str
    target: str
    body: bytes = b"abc"
    got: Got | None = None  # None where no connection came up or it broke before the head
    malformed: str = ""  # why what its caller got can't be read, empty if it can
    resumes: str | None = None  # request that began the stream, None if this one does
    resume_after: int = 0  # last event that its caller has
    resumptions: int = 0  # how often its caller has taken the stream up
    sent_at_ms: float = field(default_factory=now_ms)

    def went_on(self) -> bool:
        """Tell whether a stream that its caller took up went on."""
        return self.resumes is not None and self.got is not None and self.got.status == 200


def judge_records(records: Iterable[Record], servers: Mapping[str, SealedServer]) -> list[str]:
    """Return every promise to a caller that was broken."""
    runs: dict[str, list[str]] = {}
    for name, server in servers.items():
        for run in server.runs:
            runs.setdefault(run.request_id, []).append(name)
    return [text for record in records for text in _broken(record, runs.get(record.request_id, []))]


def judge_repeats(records: Iterable[Record], servers: Mapping[str, SealedServer]) -> list[str]:
    """Return the services that got more repeats in some window than are allowed."""
    sent: dict[str, list[SentRequest]] = {}
    for record in records:
        service = "engines" if record.target in ENGINE_TARGETS else "plain"
        sent.setdefault(service, []).append(SentRequest(record.request_id, record.sent_at_ms))
    broken = []
    for service, requests in sent.items():
        arrivals = [
            SeenArrival(one.request_id, name, one.at_ms)
            for name, server in servers.items()
            if SERVERS[name][1] == service
            for one in server.arrivals
        ]
        worst = worst_repeat_window(requests, arrivals, REPEATS)
        if worst.repeats > worst.allowed:
            broken.append(f"{service} got {worst.repeats} repeats, {worst.allowed:.1f} are allowed")
    return broken


def crashes_ms(servers: Mapping[str, SealedServer]) -> list[float]:
    """Return when engines ran the request that ends them, in order."""
    runs = [run for one in servers.values() for run in one.runs]
    return sorted(run.at_ms for run in runs if run.body == CRASHING)


def judge_crashes(servers: Mapping[str, SealedServer]) -> list[str]:
    """Return what was sent on although it had ended the engines that ran it."""
    at_ms = crashes_ms(servers)
    known_ms = at_ms[MOST_ENDS - 1] + CONTACT_MS if len(at_ms) >= MOST_ENDS else 0.0
    later = [one for one in at_ms if known_ms and one > known_ms]
    if len(later) <= MOST_LATER_SENDS:
        return []
    return [f"{len(at_ms)} engines ended under one request, {len(later)} of them late"]


def _broken(record: Record, ran_at: list[str]) -> list[str]:
    broken = []
    got = record.got
    if record.target in ONCE and len(ran_at) > 1:
        broken.append(f"{record.request_id} {record.target} ran at {ran_at}")
    if record.target == "/home/x" and any(SERVERS[one][0] != "south-1" for one in ran_at):
        broken.append(f"{record.request_id} ran outside its home at {ran_at}")
    if record.malformed:
        broken.append(f"{record.request_id} got no answer in the protocol: {record.malformed}")
    if got is None or not got.status:
        return broken
    if got.status in (429, 503) and ran_at:
        broken.append(f"{record.request_id} was called not run and ran at {ran_at}")
    if got.status == 200 and got.whole and not _may_be_whole(record, got):
        broken.append(f"{record.request_id} got {_shown(got.body)}")
    if got.status == 200 and not _expected(record, got).startswith(got.body):
        broken.append(f"{record.request_id} got a wrong part: {_shown(got.body)}")
    if got.status == 200 and SEAL not in got.headers:
        broken.append(f"{record.request_id} got a success without its signature")
    return broken


def _may_be_whole(record: Record, got: Got) -> bool:
    """Tell whether an answer may look complete.

    Nothing shows that a stream without framing was cut between two events, unless its server exits.
    """
    if not got.framed and record.target in ENGINE_TARGETS:
        return got.body.endswith(EVENT_END) and _expected(record, got).startswith(got.body)
    return got.body == _expected(record, got)


def _shown(body: bytes) -> str:
    """Return the ends of a body, and its length."""
    return repr(body) if len(body) <= MOST_SHOWN else f"{body[:40]!r}..{body[-40:]!r} ({len(body)})"


def _expected(record: Record, got: Got) -> bytes:
    """Return the whole answer, that of the server that began it where it is a long one."""
    if record.target in ENGINE_TARGETS:
        events = range(record.resume_after + 1, SERVERS["en1"][2] + 1)
        return b"".join(
            f"id: {number}\ndata: {record.request_id}-{number}\n\n".encode() for number in events
        )
    began_by = got.body.partition(b"\n")[0].decode()
    if began_by in SERVERS:
        return long_body(began_by, LONG_BYTES)
    return f"{record.request_id} {record.target} 3".encode()
