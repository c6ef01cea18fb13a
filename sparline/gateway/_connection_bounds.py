"""What all connections of callers and peers may take, from the settings."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline.gateway._connection_table import ConnectionEnd, max_caller_connections
from sparline.http import HeldBytes
from sparline.schema._gateway import GatewaySettings

BYTES_PER_MB = 1_000_000
# Part of the memory that may hold bodies of requests and answers. The rest is for the instance itself,
# for copies while a body is passed on, and for what connections hold beside bodies.
HELD_FRACTION = 1 / 4


@dataclass(frozen=True, slots=True)
class ConnectionBounds:
    """Bound what all connections of callers and peers may take."""

    held: HeldBytes  # account of the bytes held for them
    body_timeout_ms: int  # longest time for one body
    max_connections: int  # connections of callers
    note_closed: Callable[[ConnectionEnd, int], None]  # told why how many are closed


def make_connection_bounds(
    settings: GatewaySettings, note_closed: Callable[[ConnectionEnd, int], None]
) -> ConnectionBounds:
    """Return the bounds that the settings give."""
    return ConnectionBounds(
        HeldBytes(HELD_FRACTION * settings.memory_mb * BYTES_PER_MB),
        settings.body_timeout_ms,
        max_caller_connections(settings.file_descriptors),
        note_closed,
    )
