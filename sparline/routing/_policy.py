"""Routing policy: run locally, relay to another zone, wait, or refuse."""

from dataclasses import dataclass
from typing import Protocol

from sparline._hashing import hash64
from sparline.requests import Length, Reason, Request
from sparline.routing._candidates import (
    Candidates,
    CandidateVerdict,
    LocalCandidate,
    RemoteCandidate,
)
from sparline.routing._summaries import MAX_RELAYED_WAIT_MS
from sparline.schema._declarations import Objective

# Minimum advantage of a remote zone over the local one, the greater of the two, so that small
# fluctuations of the estimates do not move requests to other zones.
REMOTE_MARGIN_MS = 20.0
REMOTE_MARGIN_FRACTION = 0.15
# A request stays in the local zone while its estimated wait is within this fraction of the target
# time to first token (tail_latency objective), or of the remaining time to the deadline (cost
# objective, where the whole target time is always allowed).
TAIL_MAX_WAIT_FRACTION = 0.5
COST_MAX_WAIT_FRACTION = 0.25
# A request may go to a slower backend server that has its prefix cached. The additional time to
# first token is limited to this fraction of the prefill time saved, plus the slack.
AFFINITY_FRACTION = 0.5
AFFINITY_SLACK_MS = 5.0
MIN_RETRY_AFTER_MS = 100.0
# Exceeds every priority that a caller can set.
SHORT_PRIORITY_BOOST = 10


@dataclass(frozen=True, slots=True)
class RunLocally:
    """Send the request to a backend server of this zone now."""

    candidate: LocalCandidate  # the chosen backend server


@dataclass(frozen=True, slots=True)
class RelayToZone:
    """Relay the request to another zone now."""

    candidate: RemoteCandidate  # the chosen zone


@dataclass(frozen=True, slots=True)
class WaitLocally:
    """Wait for free capacity in this zone."""

    ttft_ms: float  # estimated time to first token, including the wait


@dataclass(frozen=True, slots=True)
class Refuse:
    """End the request now without running it."""

    reason: Reason  # why the request is not run
    retry_after_ms: float  # delay after which the caller may retry


Decision = RunLocally | RelayToZone | WaitLocally | Refuse


class Policy(Protocol):
    """Choose among the candidates for a request."""

    def decide(self, request: Request, candidates: Candidates) -> Decision:
        """Return what to do with a request of this zone's callers."""
        ...

    def accepts_relayed(self, request: Request, candidates: Candidates) -> bool:
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
        local = ready or _shortest_wait(candidates)
        left_ms = request.left_ms()
        local_total_ms = local.estimate.total_ms if local else float("inf")
        remote = self._best_remote(request, candidates, local)
        if remote is not None:
            return RelayToZone(remote)
        if local is None or local_total_ms > left_ms:
            return _refuse(candidates, local_total_ms - left_ms)
        return RunLocally(ready) if ready else WaitLocally(local.estimate.ttft_ms)

    def _best_remote(
        self, request: Request, candidates: Candidates, local: LocalCandidate | None
    ) -> RemoteCandidate | None:
        left_ms = request.left_ms()
        usable = [
            candidate
            for candidate in candidates.remote
            if candidate.verdict is CandidateVerdict.USABLE and candidate.total_ms <= left_ms
        ]
        if local is not None and local.estimate.total_ms <= left_ms:
            if local.estimate.wait_ms <= self._max_local_wait_ms(candidates, left_ms):
                return None
            local_ttft_ms = local.estimate.ttft_ms
            max_remote_ttft_ms = local_ttft_ms - max(
                REMOTE_MARGIN_MS, REMOTE_MARGIN_FRACTION * local_ttft_ms
            )
            usable = [candidate for candidate in usable if candidate.ttft_ms < max_remote_ttft_ms]
        if candidates.objective is Objective.cost:
            return min(
                usable, key=lambda candidate: (candidate.cost, candidate.ttft_ms), default=None
            )
        return min(usable, key=lambda candidate: candidate.ttft_ms, default=None)

    def _max_local_wait_ms(self, candidates: Candidates, left_ms: float) -> float:
        """Return the longest wait for which a request stays in this zone, where caches are warm."""
        if candidates.objective is Objective.tail_latency:
            return candidates.ttft_target_ms * TAIL_MAX_WAIT_FRACTION
        return max(candidates.ttft_target_ms, COST_MAX_WAIT_FRACTION * left_ms)

    def accepts_relayed(self, request: Request, candidates: Candidates) -> bool:
        """Accept a relayed request if its wait here is within `MAX_RELAYED_WAIT_MS` and its deadline."""
        local = best_local(request, candidates) or _shortest_wait(candidates)
        if local is None or local.estimate.wait_ms > MAX_RELAYED_WAIT_MS:
            return False
        return local.estimate.total_ms <= request.left_ms()

    def engine_priority(self, request: Request) -> int:
        """Raise the priority of short requests so that the engine runs them before long ones."""
        return request.priority + (SHORT_PRIORITY_BOOST if request.length is Length.SHORT else 0)


def best_local(request: Request, candidates: Candidates) -> LocalCandidate | None:
    """Return the best usable backend server; prompts that share a prefix stay together."""
    usable = [
        candidate for candidate in candidates.local if candidate.verdict is CandidateVerdict.USABLE
    ]
    if not usable:
        return None
    fastest = min(usable, key=lambda candidate: candidate.estimate.ttft_ms)
    if not request.prefix_keys:
        return fastest
    saving_ms = max(candidate.estimate.saving_ms for candidate in usable)
    max_ttft_ms = fastest.estimate.ttft_ms + AFFINITY_SLACK_MS + AFFINITY_FRACTION * saving_ms
    near = [candidate for candidate in usable if candidate.estimate.ttft_ms <= max_ttft_ms]
    return max(
        near, key=lambda candidate: (candidate.estimate.saving_ms, _affinity(request, candidate))
    )


def _affinity(request: Request, candidate: LocalCandidate) -> int:
    """Return a rendezvous hash score, which is the same at every instance of the zone."""
    return hash64(f"{request.prefix_keys[0]}/{candidate.estimate.backend.member.id}")


def _shortest_wait(candidates: Candidates) -> LocalCandidate | None:
    full = [
        candidate for candidate in candidates.local if candidate.verdict is CandidateVerdict.NO_ROOM
    ]
    return min(full, key=lambda candidate: candidate.estimate.ttft_ms, default=None)


def _refuse(candidates: Candidates, overdue_ms: float) -> Refuse:
    """Refuse a request; `overdue_ms` is infinite if there is no local candidate."""
    if overdue_ms != float("inf"):
        return Refuse(Reason.DEADLINE_UNREACHABLE, max(overdue_ms, MIN_RETRY_AFTER_MS))
    busy = [
        candidate
        for candidate in candidates.remote
        if candidate.verdict is CandidateVerdict.NO_SHARE
    ]
    if busy:
        return Refuse(
            Reason.OVERLOADED, max(min(candidate.ttft_ms for candidate in busy), MIN_RETRY_AFTER_MS)
        )
    return Refuse(Reason.NO_BACKEND, 1000.0)
