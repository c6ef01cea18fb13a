"""Callers that leave streams and resume them elsewhere, and what is held against their pieces."""

import random
import re
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool

from benchmarks.bounds._rules import Finding
from benchmarks.gateway_fleet import EventWriters, GatewayFleet, event_ids
from sparline._clock import now_ms
from standins import PROMPT, Got, resumption

EVENTS = 6
TARGET = "/stream/x"
CALLER_TIMEOUT_S = 8.0
# Share of the callers that leave a stream, and after how many events.
LEAVING_SHARE = 2 / 3
LEAVE_AFTER_EVENTS = 2
# Within what time callers are back (s), and the share of those that take the long one.
AWAY_S = 0.05
LONG_AWAY_S = 3.0
LONG_AWAY_SHARE = 0.3
# A caller resumes one stream at most so often (count).
MAX_RESUMPTIONS = 3
# Share of the resumptions that go to an instance out of step.
OUT_OF_STEP_SHARE = 0.7
CONFIRMING_CALLS = 'sparline_store_calls_total{call="confirm"'
DATA = re.compile(rb"data: ([^\n]*)\n\n")


@dataclass(frozen=True, slots=True)
class StreamRequest:
    """Hold one request for a stream."""

    request_id: str
    at: str  # instance that it is sent to
    resume_after: int  # last event that the caller has, 0 for a stream that begins
    is_out_of_step: bool  # whether the instance was chosen as one that is out of step


@dataclass(frozen=True, slots=True)
class StreamTry:
    """Hold what a caller got for one request."""

    request: StreamRequest
    got: Got | None  # None where nothing could be read, or not in time
    first_event_ms: float  # time to the first event, 0 if none came

    @property
    def status(self) -> int:
        """Return the status, 0 without an answer."""
        return self.got.status if self.got else 0

    @property
    def last_event(self) -> int:
        """Return the last event that the caller has after this try."""
        ids = event_ids(self.got) if self.got and self.status == 200 else []
        return ids[-1] if ids else self.request.resume_after


@dataclass(slots=True)
class ResumedStreams:
    """Begin streams at a steady rate, resume those that are left or broken, and judge them."""

    fleet: GatewayFleet
    rng: random.Random
    rate_per_s: float
    out_of_step: Callable[[], list[str]]  # instances that are out of step now
    places: list[str] = field(init=False)  # instances that callers know
    streams: dict[str, list[StreamTry]] = field(default_factory=dict)  # tries by stream
    _callers: Pool = field(default_factory=lambda: Pool(600))
    _sender: gevent.Greenlet | None = None

    def __post_init__(self) -> None:
        """Let callers know all instances."""
        self.places = sorted(self.fleet.gateways)

    def start(self) -> None:
        """Start to send."""
        self._sender = gevent.spawn(self._send_on)

    def stop(self) -> None:
        """Send no more and wait for all callers."""
        if self._sender is not None:
            self._sender.kill()
        self._callers.join(2 * CALLER_TIMEOUT_S)

    def _send_on(self) -> None:
        next_at_ms = now_ms()
        while True:
            next_at_ms += self.rng.expovariate(self.rate_per_s) * 1000
            gevent.sleep(max(next_at_ms - now_ms(), 0) / 1000)
            stream = f"r{len(self.streams)}"
            self.streams[stream] = []
            self._callers.spawn(self._follow, stream)

    def _follow(self, stream: str) -> None:
        """Begin a stream, and resume it until it is whole, refused or given up."""
        is_leaving = self.rng.random() < LEAVING_SHARE
        first = StreamRequest(stream, self.rng.choice(self.places), 0, False)
        tried = self._ask(stream, first, LEAVE_AFTER_EVENTS if is_leaving else 0)
        self.streams[stream].append(tried)
        for count in range(1, MAX_RESUMPTIONS + 1):
            if tried.status != 200 or tried.got.whole or not tried.last_event:
                return
            is_long = self.rng.random() < LONG_AWAY_SHARE
            gevent.sleep(self.rng.uniform(0, LONG_AWAY_S if is_long else AWAY_S))
            request = self._resumption(f"{stream}-{count}", tried.last_event)
            tried = self._ask(stream, request, 0)
            self.streams[stream].append(tried)

    def _resumption(self, request_id: str, resume_after: int) -> StreamRequest:
        names = self.out_of_step()
        if names and self.rng.random() < OUT_OF_STEP_SHARE:
            return StreamRequest(request_id, self.rng.choice(names), resume_after, True)
        return StreamRequest(request_id, self.rng.choice(self.places), resume_after, False)

    def _ask(self, stream: str, request: StreamRequest, events: int) -> StreamTry:
        """Send a request; read its answer to the end, or so many events of it if not 0."""
        after = request.resume_after
        headers = PROMPT | (resumption(stream, after) if after else {})
        caller, got, first_event_ms = None, None, 0.0
        sent_at_ms = now_ms()
        try:
            with gevent.Timeout(CALLER_TIMEOUT_S, False):
                caller = self.fleet.caller(request.at)
                caller.send(TARGET, request.request_id, stream.encode(), **headers)
                got = caller.read_events(events)
        except OSError:
            # The instance is down: nothing was promised.
            got = None
        finally:
            if caller is not None:
                first_event_ms = max(caller.first_event_at_ms - sent_at_ms, 0.0)
                caller.close()
        return StreamTry(request, got, first_event_ms)

    def findings(self) -> list[Finding]:
        """Return the streams whose pieces are not those of one whole."""
        mixed, disordered, early = self.mixed(), self.disordered(), self.ended_early()
        return [
            Finding(f"streams of several software versions {mixed[:3]}", len(mixed), 0),
            Finding(f"streams with pieces that don't join {disordered[:3]}", len(disordered), 0),
            Finding(f"streams that end before their last piece {early[:3]}", len(early), 0),
        ]

    def mixed(self) -> list[str]:
        """Return the streams that hold events of several software versions."""
        writers = EventWriters(self.fleet.servers.values())
        return [
            stream
            for stream, tries in self.streams.items()
            if len({version for one in tries for version in _versions(one, writers)}) > 1
        ]

    def disordered(self) -> list[str]:
        """Return the streams in which a piece is missing, twice or in the wrong place."""
        return [stream for stream, tries in self.streams.items() if not _is_in_order(tries)]

    def ended_early(self) -> list[str]:
        """Return the streams that look whole before their last piece."""
        return [
            stream
            for stream, tries in self.streams.items()
            for one in tries[-1:]
            if one.got and one.status == 200 and one.got.whole and one.last_event != EVENTS
        ]

    def described(self) -> dict[str, object]:
        """Return figures of the resumptions as JSON values."""
        resumptions = [one for tries in self.streams.values() for one in tries[1:]]
        out_of_step = [one for one in resumptions if one.request.is_out_of_step]
        return {
            "streams": len(self.streams),
            "confirming_calls": sum(
                self.fleet.metric_at(name, CONFIRMING_CALLS) for name in self.fleet.gateways
            ),
            "resumptions": _figures(resumptions),
            "resumptions_out_of_step": _figures(out_of_step),
        }


def _figures(tries: list[StreamTry]) -> dict[str, object]:
    outcomes = Counter(_outcome(one) for one in tries)
    delays_ms = sorted(one.first_event_ms for one in tries if one.first_event_ms)
    return {
        "count": len(tries),
        "outcomes": dict(sorted(outcomes.items())),
        "delay_median_ms": round(statistics.median(delays_ms), 1) if delays_ms else None,
        "delay_p95_ms": round(delays_ms[len(delays_ms) * 95 // 100], 1) if delays_ms else None,
    }


def _versions(tried: StreamTry, writers: EventWriters) -> set[str]:
    return writers.versions(tried.request.request_id, tried.got) if tried.status == 200 else set()


def _is_in_order(tries: list[StreamTry]) -> bool:
    """Tell whether the pieces of all tries are those from the first on, each of its own try."""
    held = 0
    for one in tries:
        if one.got is None or one.status != 200:
            continue
        ids = event_ids(one.got)
        expected = [f"{one.request.request_id}-{number}".encode() for number in ids]
        if (
            ids != list(range(held + 1, held + len(ids) + 1))
            or DATA.findall(one.got.body) != expected
        ):
            return False
        held += len(ids)
    return True


def _outcome(tried: StreamTry) -> str:
    if tried.status != 200:
        return str(tried.status or "no answer")
    return "went on" if tried.last_event > tried.request.resume_after else "200 without an event"
