"""Occupancy of backend servers: how much of a region's capacity is in use.

Guards against closing the admission level for late answers that have other causes than load, such as
cold caches after a start or servers that fail, while backend servers are free.
"""

from collections.abc import Iterable
from dataclasses import dataclass

# A queue of prefill counts as full once it lasts for this part of the target time: a request behind
# it has as much time left for its own prefill and decoding.
FULL_QUEUE_TARGET_PART = 0.5


@dataclass(frozen=True, slots=True)
class ServerUse:
    """Hold what is in use of one backend server."""

    running: int  # requests that have not ended
    slots: int  # requests that it processes at once
    memory_share: float = 0.0  # part of its cache that requests hold, 0 without one
    queue_ms: float = 0.0  # time until the queued prompts are prefilled
    target_ms: float = 0.0  # shortest target time of its service, 0 for none


def region_occupancy(servers: Iterable[ServerUse]) -> float | None:
    """Return the mean occupancy, 0 to 1, of the servers of a service; None without any.

    A server is occupied as far as whatever it has least of: slots, memory, or time for prefill.
    """
    occupied = [_occupancy(server) for server in servers]
    return sum(occupied) / len(occupied) if occupied else None


def _occupancy(server: ServerUse) -> float:
    queue_share = 0.0
    if server.target_ms > 0:
        queue_share = server.queue_ms / (FULL_QUEUE_TARGET_PART * server.target_ms)
    return min(max(server.running / max(server.slots, 1), server.memory_share, queue_share), 1.0)
