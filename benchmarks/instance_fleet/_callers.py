"""Callers: they locate, call, check every token, and come back when told to."""

import hashlib
import json
import random
import re
import uuid
from collections.abc import Iterator
from dataclasses import dataclass, field

import gevent
from result import Err, Ok

from benchmarks.instance_fleet._shapes import OrganisationShape
from sparline._clock import now_ms
from sparline.backends import BackendAddress, Exchange, call_json
from sparline.http import HttpAnswer

# Time beyond the deadline after which a request without an outcome is lost.
DEADLINE_SLACK_MS = 5_000.0
MAX_TRIES = 6
_TOKEN = re.compile(r"^([0-9a-f]{8})\.([0-9]+) $")


@dataclass(frozen=True, slots=True)
class Job:
    """Describe one request of the load."""

    organisation: OrganisationShape  # who asks
    kind: str  # label in reports
    target: str  # model, or path of a plain service
    prompt: str = ""  # prompt of a model's request
    output_tokens: int = 0  # answer's length, 0 for a plain service
    method: str = "POST"  # method of a plain service's call
    repeatable: bool = True  # whether it may run twice
    deadline_ms: int = 10_000  # time for the whole answer
    tries: int = MAX_TRIES  # how often the caller comes back
    adapter: str = ""  # adapter of the model


@dataclass(slots=True)
class Report:
    """Hold what the caller saw of one request."""

    job: Job  # what was asked
    outcome: str = "lost"  # complete, not_run, unknown, or lost
    reason: str = ""  # why, as told
    request_ids: list[str] = field(default_factory=list)  # every id that it used
    not_run_ids: list[str] = field(default_factory=list)  # ids that were called not run
    ttft_ms: float | None = None  # time to the first token of the last try
    total_ms: float = 0.0  # time to the end, all tries
    faults: list[str] = field(default_factory=list)  # tokens missing, doubled or of others
    tries: int = 0  # tries made
    began_ms: float = 0.0  # when the first try began


@dataclass(frozen=True, slots=True)
class _Seen:
    """Hold what one try brought."""

    outcome: str  # as told, or unknown
    reason: str  # as told
    retry_after_ms: float  # when to come back
    ttft_ms: float | None  # time to the first token
    faults: tuple[str, ...]  # what was wrong with the tokens


class Caller:
    """Make requests of one region's callers."""

    def __init__(self, entries: list[BackendAddress], chance: random.Random) -> None:
        """Know some entry instances of the home region, as the directory tells them."""
        self._entries = entries
        self._chance = chance

    def run(self, job: Job) -> Report:
        """Make one request, with all its tries."""
        report = Report(job, began_ms=now_ms())
        give_up_ms = report.began_ms + job.deadline_ms
        while report.tries < job.tries:
            report.tries += 1
            seen = self._try(job, report, give_up_ms)
            report.outcome, report.reason = seen.outcome, seen.reason
            report.faults += seen.faults
            report.ttft_ms = seen.ttft_ms
            if not self._tries_again(job, seen, give_up_ms):
                break
            gevent.sleep(max(seen.retry_after_ms, 20) / 1000)
        report.total_ms = now_ms() - report.began_ms
        return report

    def _tries_again(self, job: Job, seen: _Seen, give_up_ms: float) -> bool:
        if now_ms() + seen.retry_after_ms >= give_up_ms:
            return False
        return seen.outcome == "not_run" or (seen.outcome == "unknown" and job.repeatable)

    def _try(self, job: Job, report: Report, give_up_ms: float) -> _Seen:
        located = self._locate(job)
        if located is None:
            return _Seen("not_run", "no_instance", 100, None, ())
        address, ticket = located
        request_id = ticket or uuid.uuid4().hex
        report.request_ids.append(request_id)
        seen = self._call(job, address, ticket, request_id, give_up_ms)
        if seen.outcome == "not_run":
            report.not_run_ids.append(request_id)
        return seen

    def _locate(self, job: Job) -> tuple[BackendAddress, str | None] | None:
        target = job.target if job.output_tokens else job.target.split("/")[2]
        headers = {"Authorization": f"Bearer {job.organisation.key}"}
        for entry in self._chance.sample(self._entries, len(self._entries)):
            match call_json(entry, "GET", f"/locate?target={target}", b"", 1000, headers):
                case Ok((200, content)):
                    found = json.loads(content)
                    if found["instances"]:
                        best = found["instances"][0]
                        return BackendAddress(best["ip"], best["port"]), found["ticket"]
        return None

    def _call(
        self,
        job: Job,
        address: BackendAddress,
        ticket: str | None,
        request_id: str,
        give_up_ms: float,
    ) -> _Seen:
        exchange = Exchange(give_up_ms + DEADLINE_SLACK_MS, lambda: True)
        began_ms = now_ms()
        try:
            if exchange.connect(address, 1000).is_err():
                return _Seen("not_run", "connect_failed", 50, None, ())
            body = _body(job)
            headers = _headers(job, ticket, request_id, give_up_ms)
            path = "/v1/completions" if job.output_tokens else job.target
            sent = exchange.send(job.method, path, headers, [body] if body else [], len(body))
            head = sent.and_then(lambda _: exchange.read_head())
            if head.is_err():
                return _Seen("unknown", "connection_broken", 50, None, ())
            told = _field(head.unwrap(), b"sparline-outcome")
            if told in ("not_run", "unknown"):
                return _refused(head.unwrap(), told)
            if job.output_tokens:
                return _read_stream(exchange, job, request_id, began_ms)
            return _read_plain(exchange, request_id, began_ms, head.unwrap().status)
        finally:
            exchange.close()


def _body(job: Job) -> bytes:
    if not job.output_tokens:
        return job.prompt.encode()
    wanted = {
        "model": job.target,
        "prompt": job.prompt,
        "max_tokens": job.output_tokens,
        "stream": True,
    }
    return json.dumps(wanted | ({"adapter": job.adapter} if job.adapter else {})).encode()


def _headers(job: Job, ticket: str | None, request_id: str, give_up_ms: float) -> dict[str, str]:
    headers = {
        "Authorization": f"Bearer {job.organisation.key}",
        "Sparline-Deadline-Ms": str(max(int(give_up_ms - now_ms()), 1)),
        "Content-Type": "application/json",
    }
    headers |= {"Sparline-Ticket": ticket} if ticket else {"Sparline-Request-Id": request_id}
    if not job.repeatable:
        headers["Sparline-Not-Repeatable"] = "1"
    return headers


def _refused(head: HttpAnswer, outcome: str) -> _Seen:
    retry_after = _field(head, b"sparline-retry-after-ms") or "100"
    return _Seen(outcome, _field(head, b"sparline-reason"), float(retry_after), None, ())


def _field(head: HttpAnswer, name: bytes) -> str:
    return (head.header(name) or b"").decode("latin-1")


def _events(exchange: Exchange) -> Iterator[str | None]:
    """Yield events, None where the connection broke."""
    pending = b""
    for part in exchange.read_body():
        match part:
            case Err(_):
                yield None
                return
            case Ok(data):
                *events, pending = (pending + data).split(b"\n\n")
                yield from (event.decode() for event in events)


def _read_stream(exchange: Exchange, job: Job, request_id: str, began_ms: float) -> _Seen:
    tag = hashlib.sha256(request_id.encode()).hexdigest()[:8]
    ttft_ms: float | None = None
    count = 0
    outcome, reason, retry_after_ms = "unknown", "no_end", 50.0
    faults: list[str] = []
    for event in _events(exchange):
        if event is None:
            break
        if event.startswith("event: outcome"):
            told = json.loads(event.partition("data: ")[2])
            outcome, reason = told["outcome"], told["reason"]
            continue
        if not event.startswith("data: {"):
            continue
        ttft_ms = now_ms() - began_ms if ttft_ms is None else ttft_ms
        faults += _check_token(event, tag, count)
        count += 1
    if outcome == "complete" and count != job.output_tokens:
        faults.append(f"complete with {count} of {job.output_tokens} tokens")
    return _Seen(outcome, reason, retry_after_ms, ttft_ms, tuple(faults))


def _check_token(event: str, tag: str, count: int) -> list[str]:
    text = json.loads(event.removeprefix("data: "))["choices"][0]["text"]
    match = _TOKEN.match(text)
    if match is None or match[1] != tag:
        return ["token of another request"]
    return [] if int(match[2]) == count else [f"token {match[2]} where {count} was due"]


def _read_plain(exchange: Exchange, request_id: str, began_ms: float, status: int) -> _Seen:
    content = b""
    for part in exchange.read_body():
        match part:
            case Err(_):
                return _Seen("unknown", "cut", 50, None, ())
            case Ok(data):
                content += data
    if status != 200:
        return _Seen("unknown", f"status {status}", 50, None, ())
    faults = () if f"id={request_id} ".encode() in content else ("answer of another request",)
    return _Seen("complete", "none", 0, now_ms() - began_ms, faults)
