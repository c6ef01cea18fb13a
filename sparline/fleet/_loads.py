"""Load of one backend server, and sums of it."""

from collections.abc import Iterable
from dataclasses import dataclass

from sparline._ids import BackendServerId
from sparline.schema._gossip import BackendLoadNote


@dataclass(frozen=True, slots=True)
class LoadOf:
    """Hold the load on one backend server, or a change of it."""

    running: int = 0  # requests there that have not ended
    held_tokens: int = 0  # memory that they take
    unread_tokens: int = 0  # prompt tokens of requests without a first event


def sum_loads(loads: Iterable[LoadOf]) -> LoadOf:
    """Add loads up."""
    running = held = unread = 0
    for one in loads:
        running += one.running
        held += one.held_tokens
        unread += one.unread_tokens
    return LoadOf(running, held, unread)


def read_load(note: BackendLoadNote) -> LoadOf:
    """Return the load that a note tells."""
    return LoadOf(note.running, note.held_tokens, note.unread_tokens)


def write_load(server_id: BackendServerId, load: LoadOf) -> BackendLoadNote:
    """Return the note that tells a load."""
    return BackendLoadNote(server_id, load.running, load.held_tokens, load.unread_tokens)
