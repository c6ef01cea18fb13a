"""Load of a backend server, its sum, and its conversion to and from messages."""

from collections.abc import Iterable
from itertools import zip_longest

import msgspec

from sparline._ids import BackendServerId
from sparline.routes import MAX_RANK
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
    # Requests without a first event by rank: their number and unread tokens for rank 0, then for
    # rank 1, and so on, without zeros at the end. Empty where no rank is known.
    pending: tuple[int, ...] = ()


NO_LOAD = ServerLoad()


def pending_of(rank: int, count: int, unread_tokens: int) -> tuple[int, ...]:
    """Return the pending requests of one rank; ranks above `MAX_RANK` count as that one."""
    return (0, 0) * min(max(rank, 0), MAX_RANK) + (count, unread_tokens)


def add_pending(one: tuple[int, ...], other: tuple[int, ...]) -> tuple[int, ...]:
    """Return the sum of pending requests by rank."""
    if not one or not other:
        return one or other
    return trim_pending(map(sum, zip_longest(one, other, fillvalue=0)))


def trim_pending(counts: Iterable[int]) -> tuple[int, ...]:
    """Return pending requests by rank without zeros at the end."""
    found = list(counts)
    while found and not found[-1]:
        found.pop()
    if len(found) % 2:
        found.append(0)
    return tuple(found)


def sum_loads(loads: Iterable[ServerLoad]) -> ServerLoad:
    """Return the sum of loads."""
    running = held = unread = 0
    pending: tuple[int, ...] = ()
    for one in loads:
        running += one.running
        held += one.held_tokens
        unread += one.unread_tokens
        pending = add_pending(pending, one.pending)
    return ServerLoad(running, held, unread, pending)


def read_load(note: BackendLoadNote) -> ServerLoad:
    """Decode a load from its message form."""
    pending = trim_pending(note.pending[: 2 * (MAX_RANK + 1)]) if note.pending else ()
    return ServerLoad(note.running, note.held_tokens, note.unread_tokens, pending)


def write_load(server_id: BackendServerId, load: ServerLoad) -> BackendLoadNote:
    """Encode a server's load in its message form."""
    return BackendLoadNote(
        server_id, load.running, load.held_tokens, load.unread_tokens, list(load.pending)
    )
