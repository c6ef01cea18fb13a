"""Estimates of waits and costs, from load, speed and distance."""

from dataclasses import dataclass

from sparline.requests import Length, Request, TargetKind
from sparline.routing._load_table import BackendState, Queue
from sparline.schema._declarations import Service

# Assumed of an engine until its first report.
DEFAULT_SLOTS = 1
DEFAULT_PREFILL_TOKENS_PER_S = 1000.0
DEFAULT_TOKEN_INTERVAL_MS = 50.0
# Part of an engine's slots that long requests leave to short ones, and short ones to
# long ones that wait. So neither waits for all of the other.
RESERVE = 0.25


@dataclass(frozen=True, slots=True)
class BackendSpeed:
    """Hold the size and speed of one backend server."""

    slots: int  # requests run at once
    ms_per_prompt_token: float  # prefill of one token
    token_interval_ms: float  # time between tokens


@dataclass(frozen=True, slots=True)
class ZoneView:
    """Hold what matters of the zone beside one backend server."""

    sharers: int  # live instances of the zone, which share its backend servers
    queue: Queue  # requests for the same target that wait in the zone
    queue_ms: float  # estimated time until those that go first have a slot


@dataclass(frozen=True, slots=True)
class LocalEstimate:
    """Hold what one backend server of this zone would give a request."""

    backend: BackendState  # the backend server
    wait_ms: float  # estimated wait before prefill
    ttft_ms: float  # estimated time to the first token
    total_ms: float  # estimated time to the end of the answer
    saving_ms: float  # prefill time that a cached prefix saves
    has_room: bool  # whether the request may be sent now


def speed_of(backend: BackendState, service: Service | None) -> BackendSpeed:
    """Return the speed from the newest report, or the file's figures for a service."""
    if service is not None:
        return BackendSpeed(service.concurrent_calls, 0.0, 0.0)
    report = backend.report
    if report is None:
        return BackendSpeed(
            DEFAULT_SLOTS, 1000 / DEFAULT_PREFILL_TOKENS_PER_S, DEFAULT_TOKEN_INTERVAL_MS
        )
    return BackendSpeed(
        max(report.slots, 1), 1000 / max(report.prefill_tokens_per_s, 1.0), report.token_interval_ms
    )


def reserve_of(slots: int) -> int:
    """Return how many slots requests of one length leave to the other."""
    return max(1, int(slots * RESERVE)) if slots > 1 else 0


def has_room(request: Request, backend: BackendState, slots: int, zone: ZoneView) -> bool:
    """Tell whether a request of its length may take a slot now.

    What siblings told is old, so the sum alone would leave slots empty or fill them twice.
    Each instance may always fill its own share with short questions; the engine lets them
    pass long work. Long work goes where no short question waits, or into the slots kept
    for it, so that it does not starve.
    """
    if request.kind is TargetKind.SERVICE:
        return backend.in_flight < slots or backend.own_in_flight < max(slots // zone.sharers, 1)
    reserve = reserve_of(slots)
    if request.length is Length.LONG:
        free = backend.in_flight < slots and backend.long_in_flight < slots - reserve
        return (free and not zone.queue.short) or backend.long_in_flight < reserve
    kept = max(reserve - backend.long_in_flight, 0) if zone.queue.long else 0
    own_short = backend.own_in_flight - backend.own_long
    return backend.in_flight < slots - kept or own_short < max((slots - kept) // zone.sharers, 1)


def backend_wait_ms(backend: BackendState, speed: BackendSpeed) -> float:
    """Return the wait for a slot and for the prompts before, at one backend server."""
    too_many = max(backend.in_flight - speed.slots + 1, 0)
    slot_wait_ms = too_many * backend.hold_ms / speed.slots
    return slot_wait_ms + backend.waiting_tokens * speed.ms_per_prompt_token


def queue_wait_ms(
    queue: Queue, length: Length, backends: list[BackendState], service: Service | None
) -> float:
    """Return the time until those of a queue that go first have a slot."""
    slots = sum(speed_of(backend, service).slots for backend in backends)
    if not slots:
        return 0.0
    work_ms = queue.short * sum(one.short_hold_ms for one in backends) / len(backends)
    if length is Length.LONG:
        work_ms += queue.long * sum(one.long_hold_ms for one in backends) / len(backends)
    return work_ms / slots


def estimate_local(
    request: Request,
    backend: BackendState,
    service: Service | None,
    cached_tokens: int,
    zone: ZoneView,
) -> LocalEstimate:
    """Estimate one request at one backend server."""
    speed = speed_of(backend, service)
    room = has_room(request, backend, speed.slots, zone)
    wait_ms = backend_wait_ms(backend, speed) + (0.0 if room else zone.queue_ms)
    fresh_tokens = max(request.prompt_tokens - cached_tokens, 1)
    prefill_ms = fresh_tokens * speed.ms_per_prompt_token
    if request.kind is TargetKind.SERVICE:
        prefill_ms = float(service.typical_call_ms) if service else 0.0
    ttft_ms = wait_ms + prefill_ms + speed.token_interval_ms
    return LocalEstimate(
        backend=backend,
        wait_ms=wait_ms,
        ttft_ms=ttft_ms,
        total_ms=ttft_ms + request.output_tokens * speed.token_interval_ms,
        saving_ms=min(cached_tokens, request.prompt_tokens) * speed.ms_per_prompt_token,
        has_room=room,
    )
