"""Baselines to compare routing with; they run in instances otherwise alike."""

import random
from collections import defaultdict

from sparline.requests import Reason, Request
from sparline.routing import (
    Candidates,
    CandidateVerdict,
    Decision,
    EstimatePolicy,
    LocalCandidate,
    Policy,
    Refuse,
    RelayToZone,
    RemoteCandidate,
    RunLocally,
)

# Zones that a baseline may send to: it knows no share of room.
_OPEN = (CandidateVerdict.USABLE, CandidateVerdict.NO_SHARE)
NO_BACKEND_RETRY_MS = 1000.0


class RandomPolicy:
    """Choose any allowed backend server or zone by chance, busy or not."""

    def __init__(self) -> None:
        """Start with a chance of its own."""
        self._chance = random.Random()

    def decide(self, request: Request, candidates: Candidates) -> Decision:
        """Return a choice between all that may run the request."""
        return _to_decision(self._pick(request, _choices(candidates)))

    def _pick(
        self, _request: Request, choices: list[LocalCandidate | RemoteCandidate]
    ) -> LocalCandidate | RemoteCandidate | None:
        return self._chance.choice(choices) if choices else None

    def accepts_relayed(self, _request: Request, candidates: Candidates) -> bool:
        """Take everything that some backend server here could run."""
        return bool(candidates.local)

    def engine_priority(self, request: Request) -> int:
        """Pass on what the caller asked for."""
        return request.priority


class RoundRobinPolicy(RandomPolicy):
    """Choose allowed backend servers and zones in turn, busy or not."""

    def __init__(self) -> None:
        """Start at the first."""
        super().__init__()
        self._turns: dict[str, int] = defaultdict(int)

    def _pick(
        self, request: Request, choices: list[LocalCandidate | RemoteCandidate]
    ) -> LocalCandidate | RemoteCandidate | None:
        if not choices:
            return None
        self._turns[request.routing_key] += 1
        return choices[self._turns[request.routing_key] % len(choices)]


class PriorityRoundRobinPolicy(RoundRobinPolicy):
    """Choose in turn, and let short questions pass long work at the engine."""

    def engine_priority(self, request: Request) -> int:
        """Return what the estimating policy returns."""
        return EstimatePolicy().engine_priority(request)


class HomeOnlyPolicy(EstimatePolicy):
    """Choose by estimate inside the zone and never leave it."""

    def decide(self, request: Request, candidates: Candidates) -> Decision:
        """Return the choice that is made without other zones."""
        at_home = Candidates(candidates.local, (), candidates.objective, candidates.ttft_target_ms)
        return super().decide(request, at_home)


POLICIES: dict[str, type[Policy]] = {
    "estimate": EstimatePolicy,
    "random": RandomPolicy,
    "round_robin": RoundRobinPolicy,
    "round_robin_priority": PriorityRoundRobinPolicy,
    "home_only": HomeOnlyPolicy,
}


def _choices(candidates: Candidates) -> list[LocalCandidate | RemoteCandidate]:
    local = [
        one
        for one in candidates.local
        if one.verdict in (CandidateVerdict.USABLE, CandidateVerdict.NO_ROOM)
    ]
    remote = [one for one in candidates.remote if one.verdict in _OPEN]
    # A zone stands for as many backend servers as this one has.
    return [*local, *(one for one in remote for _ in range(max(len(local), 1)))]


def _to_decision(choice: LocalCandidate | RemoteCandidate | None) -> Decision:
    match choice:
        case LocalCandidate():
            return RunLocally(choice)
        case RemoteCandidate():
            return RelayToZone(choice)
    return Refuse(Reason.NO_BACKEND, NO_BACKEND_RETRY_MS)
