"""Stand-in for a model engine: continuous batching, prefix cache, priorities, orders."""

import hashlib
import json
import uuid
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

import gevent
from gevent.event import Event
from gevent.lock import RLock
from geventhttpclient import HTTPClient

from sparline._clock import now_ms
from sparline._wsgi import Environ, StartResponse, answer_json, make_server
from standins._faults import FaultAction, Faults, close_now
from standins._ledger import Ledger, Run
from standins._routes import Routes, read_json

PREFIX_BLOCK_CHARS = 256
CHARS_PER_TOKEN = 4


@dataclass(frozen=True, slots=True)
class EngineShape:
    """Describe how fast and how large an engine is."""

    slots: int = 8  # sequences decoded at once
    prefill_tokens_per_s: float = 8000.0  # speed of the one prefill pipeline
    token_interval_ms: float = 10.0  # time between tokens of one sequence
    cache_tokens: int = 20_000  # size of the prefix cache
    load_ms: float = 300.0  # time to load weights
    report_lag_ms: float = 200.0  # age of load reports
    event_lag_ms: float = 300.0  # age of cache events
    event_gap_every: int = 7  # every so many cache events one is lost
    fenced: bool = True  # whether orders with an old fence are refused


@dataclass(slots=True)
class _Job:
    """Hold one request from its arrival to its end."""

    run: Run  # entry for the ledger, added when the run starts
    prompt: str  # text whose prefix may be cached
    output_tokens: int  # tokens to make
    priority: int  # higher goes first
    arrived_ms: float  # when the request arrived
    prefilled: Event = field(default_factory=Event)  # set once the first token can be made
    started: bool = False  # whether the run has begun
    cancelled: bool = False  # whether it was given up


class Engine:
    """Serve completions as a token stream, with a ledger of what was run."""

    def __init__(
        self,
        ip: str,
        port: int,
        platform: tuple[str, int] | None,
        shape: EngineShape,
        loaded: Iterable[str] = (),
    ) -> None:
        """Set up the paths; `start` opens the port."""
        self.shape = shape
        self.faults = Faults()
        self.ledger = Ledger()
        self.incarnation = uuid.uuid4().hex[:8]
        self.loaded: set[str] = set(loaded)  # models as name@version, adapters as name+adapter
        self.draining = False  # whether new work is refused
        self.order_log: list[dict] = []  # every order, with what became of it
        self.events: deque[dict] = deque(maxlen=1000)  # cache events, with gaps
        self.busy_ms = 0.0  # time slots were held
        self.ends_on = ""  # the process ends as it runs a prompt that holds this
        self.on_end: Callable[[], None] = lambda: None  # called once the process has ended
        self._fence = 0
        self._platform = platform
        self._jobs: dict[str, _Job] = {}
        self._waiting: list[_Job] = []
        self._running = 0
        self._wake = Event()
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._order_lock = RLock()
        self._event_count = 0
        self._reports: deque[tuple[float, dict]] = deque(maxlen=200)
        self._server = make_server(ip, port, self._routes())
        self._tasks: list[gevent.Greenlet] = []

    def start(self) -> None:
        """Open the port and start the scheduler."""
        self._server.start()
        self._tasks = [gevent.spawn(self._schedule), gevent.spawn(self._record_reports)]

    def stop(self) -> None:
        """Close the port and every connection."""
        gevent.killall(self._tasks)
        self._server.stop(timeout=0)

    def _routes(self) -> Routes:
        routes = Routes()
        routes.add("POST", "/v1/completions", self._complete)
        routes.add("POST", "/cancel", self._cancel)
        routes.add("GET", "/load", self._load)
        routes.add("GET", "/events", self._get_events)
        routes.add("POST", "/orders", self._order)
        routes.add("POST", "/control/faults", self._control_faults)
        routes.add("POST", "/control/drain", self._control_drain)
        routes.add("GET", "/control/ledger", self._control_ledger)
        return routes

    def _complete(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        wanted = read_json(environ)
        faults = self.faults.take()
        action = faults.before_run(environ)
        missing = self._missing(wanted)
        if action is FaultAction.REFUSE or self.draining or missing:
            reason = "draining" if self.draining else missing or "refused"
            return answer_json(
                start_response, {"error": reason}, "503 Service Unavailable", [("X-Not-Run", "1")]
            )
        job = self._enqueue(environ, wanted)
        job.prefilled.wait()
        if job.cancelled:
            if job.started:
                self._free(job)
            return answer_json(
                start_response,
                {"error": "cancelled"},
                "409 Conflict",
                [("X-Not-Run", "0" if job.started else "1")],
            )
        if self.ends_on and self.ends_on in job.prompt:
            # Closing the server ends this handler, too.
            gevent.spawn(self._end)
            close_now(environ)
        faults.after_run(environ)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream(job, faults, environ)

    def _end(self) -> None:
        self.stop()
        self.on_end()

    def _missing(self, wanted: dict) -> str:
        model, adapter = wanted["model"], wanted.get("adapter", "")
        if not any(one.startswith(f"{model}@") for one in self.loaded):
            return f"model {model} is not loaded"
        if adapter and f"{model}+{adapter}" not in self.loaded:
            return f"adapter {adapter} is not loaded"
        return ""

    def _enqueue(self, environ: Environ, wanted: dict) -> _Job:
        prompt = wanted.get("prompt") or json.dumps(wanted.get("messages", ""))
        run = Run(
            request_id=environ.get("HTTP_X_REQUEST_ID", ""),
            attempt=environ.get("HTTP_X_ATTEMPT", ""),
            organisation=environ.get("HTTP_X_ORGANISATION", ""),
            repeatable=environ.get("HTTP_X_REPEATABLE", "1") == "1",
            resume_from=int(environ.get("HTTP_X_RESUME_FROM", "0")),
            prompt_tokens=len(prompt) // CHARS_PER_TOKEN,
        )
        priority = int(environ.get("HTTP_X_PRIORITY", "0"))
        job = _Job(run, prompt, int(wanted.get("max_tokens", 16)), priority, now_ms())
        self._jobs[run.attempt] = job
        self._waiting.append(job)
        self._wake.set()
        return job

    def _schedule(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._waiting and self._running < self.shape.slots:
                job = max(self._waiting, key=lambda one: (one.priority, -one.arrived_ms))
                self._waiting.remove(job)
                if not job.cancelled:
                    self._prefill(job)

    def _prefill(self, job: _Job) -> None:
        job.started = True
        self._running += 1
        self.ledger.start(job.run)
        job.run.cached_tokens = self._cached_tokens(job.prompt)
        fresh = max(job.run.prompt_tokens - job.run.cached_tokens, 1) + job.run.resume_from
        gevent.sleep(fresh / self.shape.prefill_tokens_per_s)
        self._remember(job.prompt)
        job.prefilled.set()

    def _stream(self, job: _Job, faults: Faults, environ: Environ) -> Iterator[bytes]:
        started_ms = now_ms()
        tag = hashlib.sha256(job.run.request_id.encode()).hexdigest()[:8]
        try:
            for index in range(job.run.resume_from, job.output_tokens):
                gevent.sleep(self.shape.token_interval_ms / 1000)
                while faults.freeze:
                    gevent.sleep(0.02)
                if job.cancelled or (
                    faults.cut_after_tokens and job.run.tokens >= faults.cut_after_tokens
                ):
                    close_now(environ)
                job.run.tokens += 1
                event = {
                    "choices": [{"index": 0, "text": f"{tag}.{index} ", "finish_reason": None}]
                }
                yield f"data: {json.dumps(event)}\n\n".encode()
            job.run.finished = True
            yield b"data: [DONE]\n\n"
        finally:
            self.busy_ms += now_ms() - started_ms
            self._free(job)

    def _free(self, job: _Job) -> None:
        """Give the place of a request that has started to the next one."""
        self._running -= 1
        self._jobs.pop(job.run.attempt, None)
        self._wake.set()

    def _blocks(self, prompt: str) -> list[str]:
        """Return a name for each whole block and all before it, in time linear in the prompt."""
        names = []
        so_far = hashlib.sha256()
        for end in range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS):
            so_far.update(prompt[end - PREFIX_BLOCK_CHARS : end].encode())
            names.append(so_far.hexdigest()[:16])
        return names

    def _cached_tokens(self, prompt: str) -> int:
        hits = 0
        for block in self._blocks(prompt):
            if block not in self._cache:
                break
            self._cache.move_to_end(block)
            hits += 1
        return hits * PREFIX_BLOCK_CHARS // CHARS_PER_TOKEN

    def _remember(self, prompt: str) -> None:
        for block in self._blocks(prompt):
            if block not in self._cache:
                self._publish_event("stored", block)
            self._cache[block] = 1
            self._cache.move_to_end(block)
        block_tokens = PREFIX_BLOCK_CHARS // CHARS_PER_TOKEN
        while len(self._cache) * block_tokens > self.shape.cache_tokens:
            block, _ = self._cache.popitem(last=False)
            self._publish_event("evicted", block)

    def _publish_event(self, kind: str, block: str) -> None:
        self._event_count += 1
        if self._event_count % self.shape.event_gap_every:
            self.events.append(
                {"sequence": self._event_count, "at_ms": now_ms(), "kind": kind, "block": block}
            )

    def _get_events(self, _environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        horizon_ms = now_ms() - self.shape.event_lag_ms
        shown = [event for event in self.events if event["at_ms"] <= horizon_ms]
        return answer_json(start_response, {"events": shown})

    def _cancel(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        while self.faults.freeze:
            gevent.sleep(0.02)
        job = self._jobs.get(read_json(environ)["attempt"])
        if job is None:
            return answer_json(start_response, {"state": "not_held"})
        job.cancelled = True
        if not job.started:
            if job in self._waiting:
                self._waiting.remove(job)
            self._jobs.pop(job.run.attempt, None)
        job.prefilled.set()
        return answer_json(start_response, {"state": "started" if job.started else "not_started"})

    def _record_reports(self) -> None:
        while True:
            self._reports.append((now_ms(), self._report()))
            gevent.sleep(0.05)

    def _report(self) -> dict:
        return {
            "incarnation": self.incarnation,
            "slots": self.shape.slots,
            "running": self._running,
            "waiting": len(self._waiting),
            "prefill_tokens_per_s": self.shape.prefill_tokens_per_s,
            "token_interval_ms": self.shape.token_interval_ms,
            "loaded": sorted(self.loaded),
            "draining": self.draining,
        }

    def _load(self, _environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        while self.faults.freeze:
            gevent.sleep(0.02)
        horizon_ms = now_ms() - self.shape.report_lag_ms
        old = [report for at_ms, report in self._reports if at_ms <= horizon_ms]
        report = dict(old[-1]) if old else self._report()
        # What is loaded and whether it drains are told at once; the counts lag.
        report["loaded"] = sorted(self.loaded)
        report["draining"] = self.draining
        return answer_json(start_response, report)

    def _order(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        order = read_json(environ)
        with self._order_lock:
            if self.shape.fenced and order["fence"] < self._fence:
                self.order_log.append({**order, "result": "stale_fence"})
                return answer_json(
                    start_response, {"result": "stale_fence", "fence": self._fence}, "409 Conflict"
                )
            self._fence = max(self._fence, order["fence"])
            result = self._carry_out(order)
        self.order_log.append({**order, "result": result})
        return answer_json(start_response, {"result": result})

    def _carry_out(self, order: dict) -> str:
        what = order["what"]
        if order["kind"] == "unload":
            self.loaded.discard(what)
            return "unloaded"
        if what in self.loaded:
            return "already_loaded"
        for old in order.get("replaces", ()):
            self.loaded.discard(old)
        self._fetch_weights(order["weights"])
        gevent.sleep(self.shape.load_ms / 1000)
        self.loaded.add(what)
        return "loaded"

    def _fetch_weights(self, name: str) -> None:
        while self._platform is not None:
            client = HTTPClient(*self._platform, connection_timeout=1, network_timeout=2)
            try:
                answer = client.get(f"/weights?name={name}")
                body = json.loads(answer.read())
                if answer.status_code == 200:
                    return
                gevent.sleep(body.get("retry_after_ms", 200) / 1000)
            except (OSError, ValueError):
                gevent.sleep(0.2)
            finally:
                client.close()

    def _control_faults(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.faults.update(read_json(environ))
        return answer_json(start_response, {})

    def _control_drain(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        self.draining = bool(read_json(environ).get("draining", True))
        return answer_json(start_response, {})

    def _control_ledger(self, _environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        return answer_json(
            start_response,
            {"runs": self.ledger.as_json(), "orders": self.order_log, "busy_ms": self.busy_ms},
        )
