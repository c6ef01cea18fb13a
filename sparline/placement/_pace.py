"""Learned times of services: prefill, first event and complete plain answers.

Prefill is counted in effort tokens: the number of tokens at the start of a prompt whose prefill
takes as long. A later token counts for more, because it attends to all tokens before it.
"""

import math
from dataclasses import dataclass

import msgspec

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.placement._fit import Fit
from sparline.routes import ServiceName

# Prior estimates: time from the end of prefill to the first event (ms), prefill time for 1,000
# tokens (ms), and additional attention time for each million pairs of a token and an earlier one
# (ms). Requests have to be placed before any of it can be measured.
PRIOR = (20.0, 20.0, 0.5)
# Confidence in the prior, as sums of squared features: a few requests of some thousand tokens
# outweigh it.
PRIOR_CONFIDENCE = (1.0, 0.5, 400.0)
# Factor by which the weight of older measurements shrinks with each new one: about the last 100
# count.
DECAY = 0.99
# The prefill time of a request is used for its service only if the prefill queued before it is at
# most this fraction of its own, because progress of the queue is not reported.
MAX_QUEUED_RATIO = 0.1
# Queued prefills up to this length do not disqualify a measurement (tokens): such measurements
# mainly show the time apart from prefill.
MAX_IGNORED_QUEUE_TOKENS = 500
# Weight of one more time in an engine's own factor: about the last five count.
ENGINE_WEIGHT = 0.2
# An engine's factor decays with this half-life (ms), because a slow engine that is skipped yields
# no new measurements.
ENGINE_HALF_LIFE_MS = 4_000.0
# Bound of one observed time relative to the expected one: a request that a fault delayed says
# little about the next.
MAX_FACTOR = 6.0
MAX_LOG_CHANGE = math.log(MAX_FACTOR)
# The same bound for the estimate of a service: work that other instances have sent to an engine but
# not reported yet can only make the time longer.
MAX_SERVICE_FACTOR = 2.0
# Lower bound of the estimated prefix length that doubles the prefill time of a token (tokens):
# without it, short prompts with an unreported wait look like long ones that are prefilled slowly.
MIN_DOUBLING_TOKENS = 12_000
# Minimum time for a million pairs (ms), to avoid a division by zero for engines that hide it.
MIN_MPAIR_MS = 1e-6
# Bounds of the prefill time for 1,000 tokens (ms): 5 to 1,000 tokens a millisecond.
MIN_KTOKEN_MS = 1.0
MAX_KTOKEN_MS = 200.0
# Time of a plain answer before the first measurement (ms): requests have to be placed earlier.
INITIAL_ANSWER_MS = 45.0
# Weight of one more complete answer.
ANSWER_WEIGHT = 0.05
# Initial maximum time of an output token (ms), of which the usual time is half. A planned stop needs
# the maximum, and may happen before any stream has ended.
INITIAL_MAX_TOKEN_MS = 15.0
# Almost no output token takes longer than the mean and this many mean deviations.
MAX_DEVIATIONS = 3.0
# Weight of one more stream in the time of an output token: about the last 50 count.
OUTPUT_WEIGHT = 0.02
# Shorter answers are dominated by single steps and are ignored (tokens).
MIN_OUTPUT_TOKENS = 16

KTOKEN = 1_000
MPAIR = 1_000_000


@dataclass(frozen=True, slots=True)
class PrefillWork:
    """Work that an engine does before a request's first event."""

    queued_tokens: int  # queued prefills, in effort tokens
    unread_tokens: int  # tokens of the request's own prompt to prefill
    cached_tokens: int  # tokens before them that the engine has cached

    @property
    def pairs(self) -> float:
        """Return the number of pairs of a prefilled token and an earlier one."""
        return self.unread_tokens * (self.cached_tokens + self.unread_tokens / 2)


class EnginePace(msgspec.Struct, frozen=True):
    """Prefill speed of an engine."""

    base_ms: float  # time to the first event apart from prefill
    token_ms: float  # prefill time of an effort token


@dataclass(frozen=True, slots=True)
class ServicePace:
    """Prefill speed of the usual engine of a service."""

    engine: EnginePace  # its times
    doubling_tokens: float  # prefix length that doubles the time of a token

    def effort_tokens(self, unread_tokens: int, cached_tokens: int) -> int:
        """Return the effort tokens of a prefill behind a cached prefix."""
        before = cached_tokens + unread_tokens / 2
        return round(unread_tokens * (1 + before / self.doubling_tokens))


@dataclass(slots=True)
class _EngineFactor:
    """Time that one engine takes relative to its service."""

    log: float  # logarithm of the factor
    at_ms: float  # when it was last measured


@dataclass(slots=True)
class _OutputPace:
    """Time of an output token."""

    mean_ms: float = INITIAL_MAX_TOKEN_MS / 2  # mean time
    deviation_ms: float = INITIAL_MAX_TOKEN_MS / 2 / MAX_DEVIATIONS  # mean distance from that


class PaceTable:
    """Learns service and engine times from the requests of this instance."""

    def __init__(self) -> None:
        """Start with the priors."""
        self._services: dict[ServiceName, Fit] = {}
        self._paces: dict[ServiceName, ServicePace] = {}
        self._engines: dict[BackendServerId, _EngineFactor] = {}
        self._answer_ms: dict[ServiceName, float] = {}
        self._outputs: dict[ServiceName, _OutputPace] = {}

    def service(self, service: ServiceName) -> ServicePace:
        """Return the prefill speed of the usual engine of a service."""
        pace = self._paces.get(service)
        if pace is None:
            pace = self._paces[service] = _service_pace(self._fit(service))
        return pace

    def engine(self, service: ServiceName, server_id: BackendServerId) -> EnginePace:
        """Return the prefill speed of an engine, its service's if it has not been measured."""
        usual = self.service(service).engine
        factor = self.factor_at(server_id, now_ms())
        return EnginePace(usual.base_ms * factor, usual.token_ms * factor)

    def factor_at(self, server_id: BackendServerId, now: float) -> float:
        """Return the time that an engine takes relative to its service's usual one, now (ms)."""
        previous = self._engines.get(server_id)
        if previous is None:
            return 1.0
        return math.exp(previous.log * 0.5 ** ((now - previous.at_ms) / ENGINE_HALF_LIFE_MS))

    def _log_factor(self, server_id: BackendServerId) -> float:
        previous = self._engines.get(server_id)
        if previous is None:
            return 0.0
        return previous.log * 0.5 ** ((now_ms() - previous.at_ms) / ENGINE_HALF_LIFE_MS)

    def note_first_event(
        self, service: ServiceName, server_id: BackendServerId, work: PrefillWork, took_ms: float
    ) -> float | None:
        """Record the time to a first event: prefill and at least one decoding step.

        Returns the logarithm of the time relative to the service's usual engine, from which the
        other instances learn too; None if the measurement is not conclusive.
        """
        usual = self.service(service)
        effort = usual.effort_tokens(work.unread_tokens, work.cached_tokens)
        pace = self.engine(service, server_id)
        expected_ms = max(pace.base_ms + (work.queued_tokens + effort) * pace.token_ms, 1.0)
        ratio = min(max(took_ms / expected_ms, 1 / MAX_FACTOR), MAX_FACTOR)
        if work.queued_tokens <= max(MAX_QUEUED_RATIO * effort, MAX_IGNORED_QUEUE_TOKENS):
            self._note_service_prefill(service, work, effort, took_ms)
        elif ratio < 1:
            # The queue had progressed further than reported: the engine is not fast.
            return None
        usual_ms = usual.engine.base_ms + (work.queued_tokens + effort) * usual.engine.token_ms
        log_factor = math.log(expected_ms * ratio / max(usual_ms, 1.0))
        self.note_log_factor(server_id, log_factor)
        return log_factor

    def note_log_factor(self, server_id: BackendServerId, log_factor: float) -> None:
        """Update an engine's factor with one prefill of this instance, or one that a peer reported.

        Where many instances send to the same engines, each measures one engine so rarely that the
        factor would decay between its own measurements.
        """
        previous_log = self._log_factor(server_id)
        log_change = min(max(log_factor - previous_log, -MAX_LOG_CHANGE), MAX_LOG_CHANGE)
        self._engines[server_id] = _EngineFactor(
            previous_log + ENGINE_WEIGHT * log_change, now_ms()
        )

    def _note_service_prefill(
        self, service: ServiceName, work: PrefillWork, effort: int, took_ms: float
    ) -> None:
        """Update the estimate for a service's usual engine."""
        usual = self.service(service).engine
        tokens = work.queued_tokens + work.unread_tokens
        expected_ms = usual.base_ms + (work.queued_tokens + effort) * usual.token_ms
        measured_ms = min(took_ms, MAX_SERVICE_FACTOR * max(expected_ms, 1.0))
        self._fit(service).note((1.0, tokens / KTOKEN, work.pairs / MPAIR), measured_ms)
        self._paces.pop(service, None)

    def answer_ms(self, service: ServiceName) -> float:
        """Return the usual time of a complete answer, without queueing."""
        return self._answer_ms.get(service, INITIAL_ANSWER_MS)

    def note_answer(self, service: ServiceName, took_ms: float) -> None:
        """Record the time of a complete answer."""
        previous = self.answer_ms(service)
        self._answer_ms[service] = previous + ANSWER_WEIGHT * (took_ms - previous)

    def max_output_token_ms(self, service: ServiceName) -> float:
        """Return the estimated maximum time of an output token."""
        pace = self._outputs.get(service, _OutputPace())
        return pace.mean_ms + MAX_DEVIATIONS * pace.deviation_ms

    def note_output(self, service: ServiceName, tokens: int, took_ms: float) -> None:
        """Record the time between a stream's first event and its end."""
        if tokens < MIN_OUTPUT_TOKENS:
            return
        pace = self._outputs.setdefault(service, _OutputPace())
        change_ms = took_ms / tokens - pace.mean_ms
        pace.mean_ms += OUTPUT_WEIGHT * change_ms
        pace.deviation_ms += OUTPUT_WEIGHT * (abs(change_ms) - pace.deviation_ms)

    def learned(self) -> dict[str, list[float]]:
        """Return each service's weights (ms) for the log: base, 1,000 tokens, million pairs."""
        return {
            service: [round(weight, 2) for weight in fit.weights]
            for service, fit in self._services.items()
        }

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget engines that are gone."""
        self._engines = {one: factor for one, factor in self._engines.items() if one in known}

    def _fit(self, service: ServiceName) -> Fit:
        fit = self._services.get(service)
        if fit is None:
            fit = self._services[service] = Fit(PRIOR, PRIOR_CONFIDENCE, DECAY)
        return fit


def _service_pace(fit: Fit) -> ServicePace:
    base_ms, ktoken_ms, mpair_ms = fit.weights
    ktoken_ms = min(max(ktoken_ms, MIN_KTOKEN_MS), MAX_KTOKEN_MS)
    doubling_tokens = MPAIR / KTOKEN * ktoken_ms / max(mpair_ms, MIN_MPAIR_MS)
    return ServicePace(
        EnginePace(max(base_ms, 0.0), ktoken_ms / KTOKEN),
        max(doubling_tokens, MIN_DOUBLING_TOKENS),
    )
