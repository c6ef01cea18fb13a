"""Which parts of prompts are blamed for exits of the backend servers that answered them.

Guards against requests of which no two are alike, and that crash each server because of one part that
their prompts have in common. All requests that a server was running when it exited are suspected, with
all their parts, and most of these are sound. The rules:

- A complete answer excuses a part of the exits before it. Parts that many sound requests have are
  answered all the time.
- Where nothing is answered, the part that fewer of the interrupted requests have is blamed. Otherwise a
  part that all prompts begin with would be blamed for each exit.
- A part is not blamed for exits that other blamed parts explain.
- A part that most of the interrupted requests have needs more exits, and is blamed for a limited time,
  unless requests without it are answered: nothing else tells it from a fault of the servers themselves.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from sparline._ids import PartDigest

# Exits for which a part is blamed (count): one less than operators tolerate, since the instance that
# could report one may be gone.
MIN_BLAMED_EXITS = 4
# Exits for which a part is blamed that most of the interrupted requests have (count).
MIN_COMMON_EXITS = 8
# Share of the interrupted requests above which a part counts as common.
COMMON_SHARE = 0.5
# Answers to requests without a part that show that the servers themselves are not at fault (count).
MIN_ANSWERS_BESIDE = 8
# Exits from which on requests with a part are sent once only, and to the emptiest server (count).
MIN_SUSPECTED_EXITS = 2
# Exits under a blamed part that no other blamed part explains (count).
MIN_UNEXPLAINED_EXITS = 2
# Share of the exits under a common part above which others explain them.
COMMON_EXPLAINED_SHARE = 0.5
# A part with more carriers for each exit than another by this factor is considered after it.
BROAD_FACTOR = 4.0
# Time for which a common part is blamed after the exit that reached the count (ms), doubled with each
# further exit.
COMMON_BLAME_MS = 60_000.0
MAX_COMMON_BLAME_MS = 3_600_000.0


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """Hold what is known against a part of prompts."""

    exits: frozenset[int]  # keys of the exits under it that nothing has excused
    attributable: frozenset[int]  # the same, with those that count as one with another
    carriers: float  # interrupted requests that have it (count, estimated)
    bystanders: float  # all requests that these exits interrupted (count, estimated)
    answers_beside: int  # complete answers to requests without it since the first of these exits
    was_answered: bool  # whether requests with it were answered completely before, lately
    is_blamed: bool  # whether it is blamed already, and stays so unless another explains more

    @property
    def is_common(self) -> bool:
        """Tell whether most of the interrupted requests have the part, and no others are answered."""
        if self.answers_beside >= MIN_ANSWERS_BESIDE:
            return False
        return self.carriers > COMMON_SHARE * self.bystanders

    @property
    def is_sufficient(self) -> bool:
        """Tell whether there are enough exits to blame the part."""
        return len(self.exits) >= (MIN_COMMON_EXITS if self.is_common else MIN_BLAMED_EXITS)

    @property
    def carriers_per_exit(self) -> float:
        """Return how many requests have the part for each exit; one suffices for a cause."""
        return max(self.carriers / max(len(self.attributable), 1), 1.0)


def blamed_parts(evidence: Mapping[PartDigest, PartEvidence]) -> frozenset[PartDigest]:
    """Return the parts that explain the exits, each of which explains some that no other does."""
    candidates = {part: one for part, one in evidence.items() if one.is_sufficient}
    fewest = min((one.carriers_per_exit for one in candidates.values()), default=1.0)
    blamed: set[PartDigest] = set()
    explained: frozenset[int] = frozenset()
    while candidates:
        part = max(
            candidates,
            key=lambda part: (*_likelihood(candidates[part], explained, fewest), part),
        )
        likeliest = candidates.pop(part)
        if not _is_explained(likeliest, explained):
            blamed.add(part)
            explained |= likeliest.attributable
    return frozenset(blamed)


def _likelihood(
    evidence: PartEvidence, explained: frozenset[int], fewest: float
) -> tuple[bool, bool, int, bool, bool, float]:
    """Return a sort key that is higher for likelier causes of the exits that are not explained.

    `fewest` is the lowest number of carriers for each exit under any candidate. Sound parts of requests
    that were moved from one exiting server to the next have few carriers too, but fewer exits. An exit
    that is explained counts half: several sound parts together are under all exits of a bad one, but
    none of them is under as many.
    """
    is_broad = evidence.carriers_per_exit > BROAD_FACTOR * fewest
    unexplained = len(evidence.attributable - explained)
    return (
        not evidence.is_common,
        not is_broad,
        unexplained + len(evidence.attributable),
        evidence.is_blamed,
        not evidence.was_answered,
        -evidence.carriers,
    )


def _is_explained(evidence: PartEvidence, explained: frozenset[int]) -> bool:
    """Tell whether exits that have another cause are nearly all that speaks against a part.

    Exits that count as one with another speak against a part that is blamed already.
    """
    exits = evidence.attributable if evidence.is_blamed else evidence.exits
    unexplained = len(exits - explained)
    if evidence.is_common:
        return unexplained < (1 - COMMON_EXPLAINED_SHARE) * len(exits)
    return unexplained < MIN_UNEXPLAINED_EXITS


def is_suspected(evidence: PartEvidence, explained: frozenset[int]) -> bool:
    """Tell whether a part may be the cause of exits that no blamed part explains."""
    return not evidence.is_common and len(evidence.exits - explained) >= MIN_SUSPECTED_EXITS


def blame_ms(evidence: PartEvidence) -> float | None:
    """Return how long after its newest exit a part is blamed (ms), None without a limit.

    A trial of a part that few requests have would crash another server each time. It is blamed until
    an operator or a complete answer excuses it.
    """
    if not evidence.is_common:
        return None
    further_exits = len(evidence.exits) - MIN_COMMON_EXITS
    return min(COMMON_BLAME_MS * 2.0 ** max(further_exits, 0), MAX_COMMON_BLAME_MS)
