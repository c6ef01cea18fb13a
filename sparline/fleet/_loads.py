"""Load of a backend server, its sum, and its conversion to and from messages."""

from collections.abc import Iterable

import msgspec

from sparline._ids import BackendServerId
from sparline.schema._gossip import BackendLoadNote


class ServerLoad(msgspec.Struct, frozen=True):
    """Hold the load on one backend server, or a change of it.

    Each choice creates dozens of them, which takes a frozen dataclass five times as long.
    """

    running: int = 0  # requests in progress
    held_tokens: int = 0  # memory used by these requests (tokens)
    # Prefill of requests without a first event, as tokens at the start of a prompt that take as
    # long.
    unread_tokens: int = 0


NO_LOAD = ServerLoad()


def sum_loads(loads: Iterable[ServerLoad]) -> ServerLoad:
    """Return the sum of loads."""
    running = held = unread = 0
    for one in loads:
        running += one.running
        held += one.held_tokens
        unread += one.unread_tokens
    return ServerLoad(running, held, unread)


def read_load(note: BackendLoadNote) -> ServerLoad:
    """Decode a load from its message form."""
    return ServerLoad(note.running, note.held_tokens, note.unread_tokens)


def write_load(server_id: BackendServerId, load: ServerLoad) -> BackendLoadNote:
    """Encode a server's load in its message form."""
    return BackendLoadNote(server_id, load.running, load.held_tokens, load.unread_tokens)
