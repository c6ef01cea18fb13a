"""Ledger of runs: what a stand-in really did, by request."""

from dataclasses import asdict, dataclass
from typing import Any


@dataclass(slots=True)
class Run:
    """Hold one run of one request."""

    request_id: str  # id that the caller gave
    attempt: str  # name of the gateway's attempt
    organisation: str  # organisation that the request belongs to
    repeatable: bool  # whether a second run is harmless
    resume_from: int  # tokens that an earlier run had already made
    tokens: int = 0  # tokens made by this run
    finished: bool = False  # whether the run came to its end
    cached_tokens: int = 0  # prompt tokens found in the prefix cache
    prompt_tokens: int = 0  # prompt tokens in all


class Ledger:
    """Keep every run in order."""

    def __init__(self) -> None:
        """Start with no run."""
        self.runs: list[Run] = []

    def start(self, run: Run) -> Run:
        """Note that a run begins."""
        self.runs.append(run)
        return run

    def as_json(self) -> list[dict[str, Any]]:
        """Return all runs as plain values."""
        return [asdict(run) for run in self.runs]
