"""Estimates of wait and latency at local backend servers, from load and speed."""

from dataclasses import dataclass

from sparline.requests import Length, Request, TargetKind
from sparline.routing._load_table import BackendState, QueueDepth
from sparline.schema._declarations import Service

# Assumed for an engine before its first report.
DEFAULT_SLOTS = 1
DEFAULT_PREFILL_TOKENS_PER_S = 1000.0
DEFAULT_TOKEN_INTERVAL_MS = 50.0
# Fraction of an engine's slots that are reserved for short requests, and likewise for long requests
# while some wait, so that neither length class has to wait for all requests of the other.
RESERVED_FRACTION = 0.25


@dataclass(frozen=True, slots=True)
class BackendSpeed:
    """Hold the capacity and speed of one backend server."""

    slots: int  # maximum number of concurrent requests
    ms_per_prompt_token: float  # prefill time per prompt token
    token_interval_ms: float  # time between output tokens


@dataclass(frozen=True, slots=True)
class ZoneView:
    """Hold the zone-wide inputs of an estimate."""

    sharers: int  # live instances of the zone, which share its backend servers
    queue: QueueDepth  # requests waiting in the zone for the same target
    queue_ms: float  # estimated time until the requests ahead have a slot


@dataclass(frozen=True, slots=True)
class LocalEstimate:
    """Hold the estimate for one request at one backend server of this zone."""

    backend: BackendState  # the backend server
    wait_ms: float  # estimated wait before prefill
    ttft_ms: float  # estimated time to first token
    total_ms: float  # estimated time to the end of the answer
    saving_ms: float  # prefill time that a cached prefix saves
    has_room: bool  # whether the request may take a slot now


def backend_speed(backend: BackendState, service: Service | None) -> BackendSpeed:
    """Return the speed from the newest report, or from the declaration of a service."""
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


def reserved_slots(slots: int) -> int:
    """Return the number of slots that each length class leaves to the other."""
    return max(1, int(slots * RESERVED_FRACTION)) if slots > 1 else 0


def has_room(request: Request, backend: BackendState, slots: int, zone: ZoneView) -> bool:
    """Return whether a request may take a slot now.

    Load reported by sibling instances is delayed: by the zone's total alone, instances would leave
    slots empty or assign them twice. Each instance may therefore always fill its own share of the
    slots with short requests, which the engine runs before long ones. A long request takes a slot
    if no short request waits, or one of the slots reserved for long requests, which therefore do
    not starve.
    """
    if request.kind is TargetKind.SERVICE:
        return backend.in_flight < slots or backend.own_in_flight < max(slots // zone.sharers, 1)
    reserve = reserved_slots(slots)
    if request.length is Length.LONG:
        free = backend.in_flight < slots and backend.long_in_flight < slots - reserve
        return (free and not zone.queue.short) or backend.long_in_flight < reserve
    reserved = max(reserve - backend.long_in_flight, 0) if zone.queue.long else 0
    own_short = backend.own_in_flight - backend.own_long
    return backend.in_flight < slots - reserved or own_short < max(
        (slots - reserved) // zone.sharers, 1
    )


def backend_wait_ms(backend: BackendState, speed: BackendSpeed) -> float:
    """Return the wait for a slot and for earlier prefills at one backend server."""
    excess = max(backend.in_flight - speed.slots + 1, 0)
    slot_wait_ms = excess * backend.hold_ms / speed.slots
    return slot_wait_ms + backend.waiting_tokens * speed.ms_per_prompt_token


def queue_wait_ms(
    queue: QueueDepth, length: Length, backends: list[BackendState], service: Service | None
) -> float:
    """Return the time until all queued requests that precede one of this length have a slot."""
    slots = sum(backend_speed(backend, service).slots for backend in backends)
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
    """Estimate wait and latency of one request at one backend server."""
    speed = backend_speed(backend, service)
    room = has_room(request, backend, speed.slots, zone)
    wait_ms = backend_wait_ms(backend, speed) + (0.0 if room else zone.queue_ms)
    uncached_tokens = max(request.prompt_tokens - cached_tokens, 1)
    prefill_ms = uncached_tokens * speed.ms_per_prompt_token
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
