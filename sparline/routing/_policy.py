"""Routing policy: run locally, relay to another zone, wait, or refuse."""

from dataclasses import dataclass
from typing import Protocol

from sparline._hashing import hash64
from sparline.requests import Length, Reason, Request
from sparline.routing._candidates import Candidates, LocalCandidate, RemoteCandidate, Verdict
from sparline.routing._summaries import ROOM_WAIT_MS
from sparline.schema._declarations import Objective

# Minimum advantage of a remote zone over the local one; damps fluctuations of the estimates.
AWAY_MARGIN_MS = 20.0
AWAY_MARGIN_SHARE = 0.15
# A request stays in the local zone while its estimated wait is within this fraction of the
# target time to first token (tail_latency objective), or of the remaining deadline (cost).
TAIL_PATIENCE_SHARE = 0.5
COST_PATIENCE_SHARE = 0.25
# A cached prefix justifies a longer wait, up to this fraction of the prefill time that it saves.
AFFINITY_SHARE = 0.5
AFFINITY_SLACK_MS = 5.0
RETRY_AFTER_LEAST_MS = 100.0
# Higher than any priority that a caller can set.
SHORT_PRIORITY = 10


@dataclass(frozen=True, slots=True)
class RunHere:
    """Send the request to a backend server of this zone now."""

    candidate: LocalCandidate  # the chosen backend server


@dataclass(frozen=True, slots=True)
class SendAway:
    """Relay the request to another zone now."""

    candidate: RemoteCandidate  # the chosen zone


@dataclass(frozen=True, slots=True)
class WaitHere:
    """Wait for free capacity in this zone."""

    ttft_ms: float  # estimated time to first token, including the wait


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request now without running it."""

    reason: Reason  # why the request is not run
    retry_after_ms: float  # delay after which the caller may retry


Decision = RunHere | SendAway | WaitHere | Refuse


class Policy(Protocol):
    """Choose among the candidates for a request."""

    def decide(self, request: Request, candidates: Candidates) -> Decision:
        """Return what to do with a request of this zone's callers."""
        ...

    def takes_relayed(self, request: Request, candidates: Candidates) -> bool:
        """Return whether to accept a request relayed from another zone."""
        ...

    def engine_priority(self, request: Request) -> int:
        """Return the scheduling priority that the engine gets with a request."""
        ...


class EstimatePolicy:
    """Choose by estimated latency and cost, according to the workload's objective."""

    def decide(self, request: Request, candidates: Candidates) -> Decision:
        """Return what to do with a request of this zone's callers."""
        ready = best_local(request, candidates)
        home = ready or _shortest_wait(candidates)
        left_ms = request.left_ms()
        home_total_ms = home.estimate.total_ms if home else float("inf")
        away = self._best_away(request, candidates, home)
        if away is not None:
            return SendAway(away)
        if home is None or home_total_ms > left_ms:
            return _refuse(candidates, home_total_ms - left_ms)
        return RunHere(ready) if ready else WaitHere(home.estimate.ttft_ms)

    def _best_away(
        self, request: Request, candidates: Candidates, home: LocalCandidate | None
    ) -> RemoteCandidate | None:
        left_ms = request.left_ms()
        usable = [
            one
            for one in candidates.remote
            if one.verdict is Verdict.USABLE and one.total_ms <= left_ms
        ]
        if home is not None and home.estimate.total_ms <= left_ms:
            if home.estimate.wait_ms <= self._patience_ms(candidates, left_ms):
                return None
            home_ttft_ms = home.estimate.ttft_ms
            needed_ms = home_ttft_ms - max(AWAY_MARGIN_MS, AWAY_MARGIN_SHARE * home_ttft_ms)
            usable = [one for one in usable if one.ttft_ms < needed_ms]
        if candidates.objective is Objective.cost:
            return min(usable, key=lambda one: (one.cost, one.ttft_ms), default=None)
        return min(usable, key=lambda one: one.ttft_ms, default=None)

    def _patience_ms(self, candidates: Candidates, left_ms: float) -> float:
        """Return the longest wait for which a request stays in this zone, close to its caches."""
        if candidates.objective is Objective.tail_latency:
            return candidates.ttft_target_ms * TAIL_PATIENCE_SHARE
        return max(candidates.ttft_target_ms, COST_PATIENCE_SHARE * left_ms)

    def takes_relayed(self, request: Request, candidates: Candidates) -> bool:
        """Accept a relayed request if its wait here is within `ROOM_WAIT_MS` and its deadline."""
        home = best_local(request, candidates) or _shortest_wait(candidates)
        if home is None or home.estimate.wait_ms > ROOM_WAIT_MS:
            return False
        return home.estimate.total_ms <= request.left_ms()

    def engine_priority(self, request: Request) -> int:
        """Raise the priority of short requests so that the engine runs them before long ones."""
        return request.priority + (SHORT_PRIORITY if request.length is Length.SHORT else 0)


def best_local(request: Request, candidates: Candidates) -> LocalCandidate | None:
    """Return the best usable backend server; prompts that share a prefix stay together."""
    usable = [one for one in candidates.local if one.verdict is Verdict.USABLE]
    if not usable:
        return None
    fastest = min(usable, key=lambda one: one.estimate.ttft_ms)
    if not request.prefix_keys:
        return fastest
    saving_ms = max(one.estimate.saving_ms for one in usable)
    bound_ms = fastest.estimate.ttft_ms + AFFINITY_SLACK_MS + AFFINITY_SHARE * saving_ms
    near = [one for one in usable if one.estimate.ttft_ms <= bound_ms]
    return max(near, key=lambda one: (one.estimate.saving_ms, _affinity(request, one)))


def _affinity(request: Request, candidate: LocalCandidate) -> int:
    """Return a rendezvous hash score, the same at every instance of the zone."""
    return hash64(f"{request.prefix_keys[0]}/{candidate.estimate.backend.member.id}")


def _shortest_wait(candidates: Candidates) -> LocalCandidate | None:
    full = [one for one in candidates.local if one.verdict is Verdict.NO_ROOM]
    return min(full, key=lambda one: one.estimate.ttft_ms, default=None)


def _refuse(candidates: Candidates, late_ms: float) -> Refuse:
    if late_ms != float("inf"):
        return Refuse(Reason.DEADLINE_UNREACHABLE, max(late_ms, RETRY_AFTER_LEAST_MS))
    busy = [one for one in candidates.remote if one.verdict is Verdict.NO_SHARE]
    if busy:
        return Refuse(
            Reason.OVERLOADED, max(min(one.ttft_ms for one in busy), RETRY_AFTER_LEAST_MS)
        )
    return Refuse(Reason.NO_BACKEND, 1000.0)
