"""The exits known under one part of prompts, and the keys that identify them."""

from dataclasses import dataclass, field

from sparline._ids import BackendServerId
from sparline.quarantine._crash_table import server_incarnation_key
from sparline.quarantine._interrupted_request import KIND_BITS, ServerKind
from sparline.quarantine._request_sample import RequestSample

# Most exits remembered for a part: more than the longest blame of a common one needs.
MAX_EXITS = 12


@dataclass(slots=True)
class PartRecord:
    """Hold the exits under one part."""

    exits: set[int] = field(default_factory=set)  # keys of the exits
    cleared: set[int] = field(default_factory=set)  # those of them that are excused
    overlapping: set[int] = field(default_factory=set)  # those that count as one with another
    carriers: RequestSample = RequestSample()  # interrupted requests that have the part
    bystanders: RequestSample = RequestSample()  # as peers told: all interrupted requests
    exited_at_ms: float = 0.0  # time of the newest exit
    changed_at_ms: float = 0.0  # time of the last change in this instance
    asked_at_ms: float = 0.0  # when a request with the part was last turned away
    answers_before: int = 0  # complete answers here before the first exit that is not excused
    # Complete answers to requests without the part since that exit, the most that a peer told of.
    peer_answers_beside: int = 0

    @property
    def counted(self) -> frozenset[int]:
        """Return the exits that count."""
        return frozenset(self.exits - self.cleared - self.overlapping)

    @property
    def attributable(self) -> frozenset[int]:
        """Return the exits that are not excused, with those that count as one with another."""
        return frozenset(self.exits - self.cleared)

    @property
    def size(self) -> tuple[int, int, int]:
        """Return the numbers of exits, of excused ones and of overlapping ones."""
        return len(self.exits), len(self.cleared), len(self.overlapping)

    def add_requests(self, carriers: RequestSample, bystanders: RequestSample) -> bool:
        """Add interrupted requests; return whether any of them is new in the samples."""
        before = (self.carriers, self.bystanders)
        self.carriers = self.carriers.merged(carriers)
        self.bystanders = self.bystanders.merged(bystanders)
        return (self.carriers, self.bystanders) != before

    def trim(self) -> None:
        """Bound the exits remembered for a part, dropping excused and overlapping ones first."""
        excess = len(self.exits) - MAX_EXITS
        if excess <= 0:
            return
        order = sorted(
            self.exits,
            key=lambda key: (key not in self.cleared, key not in self.overlapping, key),
        )
        dropped = order[:excess]
        self.exits.difference_update(dropped)
        self.cleared.difference_update(dropped)
        self.overlapping.difference_update(dropped)


def exit_key(server_id: BackendServerId, kind: ServerKind) -> int:
    """Return a compact key of an exit, equal in each instance.

    The low bits identify the kind of server, the others its incarnation.
    """
    incarnation = server_incarnation_key(server_id) >> KIND_BITS
    return incarnation << KIND_BITS | kind.key


def kind_of(exit_key: int) -> int:
    """Return the key of the kind of server that exited."""
    return exit_key % (1 << KIND_BITS)
