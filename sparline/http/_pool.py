"""Kept connections by address."""

from collections.abc import Callable
from itertools import islice

from sparline._ids import RequestId
from sparline.http._backend_connection import BackendConnection
from sparline.http._backend_socket import Address
from sparline.quarantine import ProbeResult

# Kept connections beyond this many to one address are closed (count; a 6-slot service or a
# 64-slot engine shared by a few instances never needs more at rest).
MOST_KEPT = 16

OnOpen = Callable[[Address], None]


class ConnectionPool:
    """Lend connections; each lent one is given back or closed."""

    def __init__(self, on_open: OnOpen) -> None:
        """Start with none; `on_open` is told of each new connection."""
        self._kept: dict[Address, list[BackendConnection]] = {}
        self._on_open = on_open

    def kept(
        self, address: Address, request_id: RequestId | None = None
    ) -> BackendConnection | None:
        """Return a quiet kept connection that has not carried a request id, the one used last first."""
        connections = self._kept.get(address, [])
        for connection in reversed(list(connections)):
            if connection.has_carried(request_id):
                continue
            connections.remove(connection)
            if connection.is_quiet():
                return connection
            connection.close()
        return None

    def resting(
        self, address: Address, most: int, proven_after_ms: float = -1.0
    ) -> tuple[BackendConnection, ...]:
        """Return up to so many quiet kept connections to an address, which stay in the pool.

        The server must have answered on them after `proven_after_ms`; below zero, any will do.
        """
        quiet = (
            one
            for one in reversed(self._kept.get(address, ()))
            if one.proven_at_ms > proven_after_ms and one.is_quiet()
        )
        return tuple(islice(quiet, most))

    def open(self, address: Address, timeout_s: float) -> BackendConnection:
        """Open a connection; `OSError` where that fails."""
        self._on_open(address)
        return BackendConnection(address, timeout_s)

    def probe(self, address: Address, timeout_s: float) -> ProbeResult:
        """Tell whether something listens at an address; the connection is kept for use."""
        try:
            connection = self.open(address, timeout_s)
        except ConnectionRefusedError:
            return ProbeResult.REFUSED
        except ConnectionResetError:
            return ProbeResult.RESET
        except OSError:
            # No word in time, or no way there: that says nothing of whoever listens.
            return ProbeResult.UNKNOWN
        connection.rest()
        self.give_back(connection)
        return ProbeResult.OPEN

    def give_back(self, connection: BackendConnection) -> None:
        """Keep a connection, or close it where it may not be used again."""
        kept = self._kept.setdefault(connection.address, [])
        if not connection.reusable or len(kept) >= MOST_KEPT:
            connection.close()
            return
        kept.append(connection)

    def forget(self, address: Address) -> None:
        """Close what is kept to an address that has ended."""
        for connection in self._kept.pop(address, ()):
            connection.close()

    def sweep(self) -> None:
        """Close kept connections that have rested too long."""
        for address, connections in list(self._kept.items()):
            quiet = [one for one in connections if one.is_quiet()]
            for one in connections:
                if one not in quiet:
                    one.close()
            if quiet:
                self._kept[address] = quiet
            else:
                del self._kept[address]
