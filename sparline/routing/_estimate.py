"""Estimates of waits and costs, from load, speed and distance."""

from dataclasses import dataclass

from sparline.requests import Length, Request, TargetKind
from sparline.routing._load_table import BackendState
from sparline.schema._declarations import Service

# Assumed of an engine until its first report.
DEFAULT_SLOTS = 1
DEFAULT_PREFILL_TOKENS_PER_S = 1000.0
DEFAULT_TOKEN_INTERVAL_MS = 50.0
# Part of an engine's slots that long requests leave free.
SHORT_RESERVE = 0.25


@dataclass(frozen=True, slots=True)
class BackendSpeed:
    """Hold the size and speed of one backend server."""

    slots: int  # requests run at once
    ms_per_prompt_token: float  # prefill of one token
    token_interval_ms: float  # time between tokens


@dataclass(frozen=True, slots=True)
class LocalEstimate:
    """Hold what one backend server of this zone would give a request."""

    backend: BackendState  # the backend server
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


def slots_for(length: Length, slots: int) -> int:
    """Return how many slots requests of a length may fill."""
    if length is Length.SHORT or slots < 2:
        return slots
    return slots - max(1, int(slots * SHORT_RESERVE))


def estimate_local(
    request: Request, backend: BackendState, service: Service | None, cached_tokens: int
) -> LocalEstimate:
    """Estimate one request at one backend server."""
    speed = speed_of(backend, service)
    in_flight = backend.in_flight
    too_many = max(in_flight - speed.slots + 1, 0)
    slot_wait_ms = too_many * backend.service_ms / speed.slots
    fresh_tokens = max(request.prompt_tokens - cached_tokens, 1)
    prefill_ms = (backend.waiting_tokens + fresh_tokens) * speed.ms_per_prompt_token
    if request.kind is TargetKind.SERVICE:
        prefill_ms = float(service.typical_call_ms) if service else 0.0
    ttft_ms = slot_wait_ms + prefill_ms + speed.token_interval_ms
    room = in_flight < speed.slots
    if request.length is Length.LONG:
        room = room and backend.long_in_flight < slots_for(Length.LONG, speed.slots)
    return LocalEstimate(
        backend=backend,
        ttft_ms=ttft_ms,
        total_ms=ttft_ms + request.output_tokens * speed.token_interval_ms,
        saving_ms=min(cached_tokens, request.prompt_tokens) * speed.ms_per_prompt_token,
        has_room=room,
    )
