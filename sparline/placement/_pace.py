"""Learned times of services: prefill, first event and complete plain answers."""

import math
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import BackendServerId
from sparline.placement._fit import Fit
from sparline.routes import ServiceName

# Prior estimates: time from the end of prefill to the first event (ms), prefill time for 1,000
# tokens (ms), and additional attention time for each million pairs of a token and an earlier one
# (ms). Requests have to be placed before any of it can be measured.
FIRST_GUESS = (20.0, 20.0, 0.5)
# Confidence in the prior, as sums of squared features: a few requests of some thousand tokens
# outweigh it.
GUESS_TRUST = (1.0, 0.5, 400.0)
# Factor by which the weight of older measurements shrinks with each new one: about the last 100
# count.
KEEP = 0.99
# The prefill time of a request is used for its service only if the prefill queued before it is at
# most this fraction of its own, because progress of the queue is not reported.
MOST_BEFORE = 0.1
# Queued prefills up to this length do not disqualify a measurement (tokens): they mainly show the
# time apart from prefill.
SHORT_TOKENS = 500
# Weight of one more time in an engine's own factor: about the last five count.
ENGINE_WEIGHT = 0.2
# An engine's factor decays with this half-life (ms), because a slow engine that is skipped yields
# no new measurements.
ENGINE_HALF_LIFE_MS = 4_000.0
# Bound of one measured time relative to the expected one: a request that a fault delayed says
# little about the next.
MOST_FACTOR = 6.0
MOST_AWAY_LOG = math.log(MOST_FACTOR)
# The same bound for the estimate of a service: work that other instances have sent to an engine but
# not reported yet can only make the time longer.
MOST_SERVICE_FACTOR = 2.0
# Minimum prefix length that doubles the prefill time of a token (tokens): otherwise short prompts
# with an unreported wait look like long ones that are prefilled slowly.
LEAST_TWICE_BEHIND = 12_000
# Minimum time for a million pairs (ms), to avoid a division by zero for engines that hide it.
LEAST_MPAIR_MS = 1e-6
# Bounds of the prefill time for 1,000 tokens (ms): 5 to 1,000 tokens a millisecond.
LEAST_KTOKEN_MS = 1.0
MOST_KTOKEN_MS = 200.0
# Time of a plain answer before the first measurement (ms): requests have to be placed earlier.
FIRST_ANSWER_MS = 45.0
# Weight of one more complete answer.
ANSWER_WEIGHT = 0.05
# Before the first stream has ended: the maximum time of an output token (ms), of which the usual
# time is half. A planned stop may happen before any stream.
FIRST_TOKEN_MOST_MS = 15.0
# Almost no output token takes longer than the mean and this many mean deviations.
MOST_DEVIATIONS = 3.0
# Weight of one more stream in the time of an output token: about the last 50 count.
OUTPUT_WEIGHT = 0.02
# Shorter answers are dominated by single steps and are ignored (tokens).
TELLING_OUTPUT_TOKENS = 16

KTOKEN = 1_000
MPAIR = 1_000_000


@dataclass(frozen=True, slots=True)
class FirstEvent:
    """Work that an engine does before a request's first event."""

    before_tokens: int  # queued prefills, in tokens at the start of a prompt
    unread_tokens: int  # tokens of the request's own prompt to prefill
    kept_tokens: int  # tokens before them that the engine has cached

    @property
    def pairs(self) -> float:
        """Return the number of pairs of a prefilled token and an earlier one."""
        return self.unread_tokens * (self.kept_tokens + self.unread_tokens / 2)


@dataclass(frozen=True, slots=True)
class EnginePace:
    """Prefill speed of an engine."""

    base_ms: float  # time to the first event apart from prefill
    token_ms: float  # time to prefill a token at the start of a prompt


@dataclass(frozen=True, slots=True)
class ServicePace:
    """Prefill speed of the usual engine of a service."""

    engine: EnginePace  # its times
    twice_behind_tokens: float  # prefix length that doubles the time of a token

    def effort_tokens(self, unread_tokens: int, kept_tokens: int) -> int:
        """Return the tokens at the start of a prompt whose prefill takes as long."""
        before = kept_tokens + unread_tokens / 2
        return round(unread_tokens * (1 + before / self.twice_behind_tokens))


@dataclass(slots=True)
class _EngineFactor:
    """Time that one engine takes relative to its service."""

    log: float  # logarithm of the factor
    at_ms: float  # when it was last measured


@dataclass(slots=True)
class _OutputPace:
    """Time of an output token."""

    mean_ms: float = FIRST_TOKEN_MOST_MS / 2  # mean time
    deviation_ms: float = FIRST_TOKEN_MOST_MS / 2 / MOST_DEVIATIONS  # mean distance from that


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
        held = self._engines.get(server_id)
        if held is None:
            return usual
        factor = math.exp(self._log_factor(server_id))
        return EnginePace(usual.base_ms * factor, usual.token_ms * factor)

    def _log_factor(self, server_id: BackendServerId) -> float:
        held = self._engines.get(server_id)
        if held is None:
            return 0.0
        return held.log * 0.5 ** ((now_ms() - held.at_ms) / ENGINE_HALF_LIFE_MS)

    def note_first_event(
        self, service: ServiceName, server_id: BackendServerId, reading: FirstEvent, took_ms: float
    ) -> float | None:
        """Record the time to a first event: prefill and at least one decoding step.

        Returns the logarithm of the time relative to the service's usual engine, from which the
        other instances learn too; None if the measurement is not conclusive.
        """
        usual = self.service(service)
        effort = usual.effort_tokens(reading.unread_tokens, reading.kept_tokens)
        pace = self.engine(service, server_id)
        likely_ms = max(pace.base_ms + (reading.before_tokens + effort) * pace.token_ms, 1.0)
        ratio = min(max(took_ms / likely_ms, 1 / MOST_FACTOR), MOST_FACTOR)
        if reading.before_tokens <= max(MOST_BEFORE * effort, SHORT_TOKENS):
            self._note_own_reading(service, reading, effort, took_ms)
        elif ratio < 1:
            # The queue had progressed further than reported: the engine is not fast.
            return None
        usual_ms = usual.engine.base_ms + (reading.before_tokens + effort) * usual.engine.token_ms
        shown_log = math.log(likely_ms * ratio / max(usual_ms, 1.0))
        self.note_shown(server_id, shown_log)
        return shown_log

    def note_shown(self, server_id: BackendServerId, shown_log: float) -> None:
        """Update an engine's factor with one prefill of this instance, or one that a peer reported.

        Where many instances send to the same engines, each measures one engine so rarely that the
        factor would decay between its own measurements.
        """
        held_log = self._log_factor(server_id)
        away = min(max(shown_log - held_log, -MOST_AWAY_LOG), MOST_AWAY_LOG)
        self._engines[server_id] = _EngineFactor(held_log + ENGINE_WEIGHT * away, now_ms())

    def _note_own_reading(
        self, service: ServiceName, reading: FirstEvent, effort: int, took_ms: float
    ) -> None:
        """Update the estimate for a service's usual engine."""
        usual = self.service(service).engine
        tokens = reading.before_tokens + reading.unread_tokens
        likely_ms = usual.base_ms + (reading.before_tokens + effort) * usual.token_ms
        measured_ms = min(took_ms, MOST_SERVICE_FACTOR * max(likely_ms, 1.0))
        self._fit(service).note((1.0, tokens / KTOKEN, reading.pairs / MPAIR), measured_ms)
        self._paces.pop(service, None)

    def answer_ms(self, service: ServiceName) -> float:
        """Return the usual time of a complete answer, without queueing."""
        return self._answer_ms.get(service, FIRST_ANSWER_MS)

    def note_answer(self, service: ServiceName, took_ms: float) -> None:
        """Record the time of a complete answer."""
        held = self.answer_ms(service)
        self._answer_ms[service] = held + ANSWER_WEIGHT * (took_ms - held)

    def output_token_most_ms(self, service: ServiceName) -> float:
        """Return the estimated maximum time of an output token."""
        pace = self._outputs.get(service, _OutputPace())
        return pace.mean_ms + MOST_DEVIATIONS * pace.deviation_ms

    def note_output(self, service: ServiceName, told_tokens: int, took_ms: float) -> None:
        """Record the time between a stream's first event and its end."""
        if told_tokens < TELLING_OUTPUT_TOKENS:
            return
        pace = self._outputs.setdefault(service, _OutputPace())
        away_ms = took_ms / told_tokens - pace.mean_ms
        pace.mean_ms += OUTPUT_WEIGHT * away_ms
        pace.deviation_ms += OUTPUT_WEIGHT * (abs(away_ms) - pace.deviation_ms)

    def learned(self) -> dict[str, list[float]]:
        """Return the weights (ms) of each service for the log: base, 1,000 tokens, million pairs."""
        return {
            service: [round(weight, 2) for weight in fit.weights]
            for service, fit in self._services.items()
        }

    def forget_all_but(self, known: set[BackendServerId]) -> None:
        """Forget engines that are gone."""
        self._engines = {one: kept for one, kept in self._engines.items() if one in known}

    def _fit(self, service: ServiceName) -> Fit:
        fit = self._services.get(service)
        if fit is None:
            fit = self._services[service] = Fit(FIRST_GUESS, GUESS_TRUST, KEEP)
        return fit


def _service_pace(fit: Fit) -> ServicePace:
    base_ms, ktoken_ms, mpair_ms = fit.weights
    ktoken_ms = min(max(ktoken_ms, LEAST_KTOKEN_MS), MOST_KTOKEN_MS)
    twice_behind = MPAIR / KTOKEN * ktoken_ms / max(mpair_ms, LEAST_MPAIR_MS)
    return ServicePace(
        EnginePace(max(base_ms, 0.0), ktoken_ms / KTOKEN),
        max(twice_behind, LEAST_TWICE_BEHIND),
    )
