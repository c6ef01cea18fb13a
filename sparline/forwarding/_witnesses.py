"""Other connections to a backend server that show whether its process exits under a request."""

import gevent

from sparline._logging import log
from sparline.forwarding._attempt_types import AttemptDependencies
from sparline.forwarding._wire import AnswerKind, BackendWire
from sparline.http import Address, BackendConnection, ConnectionBroken, ConnectionPool

# A watched request is delayed by at most this long to open a connection beside it on which the
# server answers (ms). A server in the own region answers within a few milliseconds.
WITNESS_TIMEOUT_MS = 300.0
# Resting connections to a server that are recorded before a request is sent (count). A server
# process that exits loses all of its connections, so a few are enough. Each check is a system call.
MAX_WITNESSES = 2


def find_witnesses(
    dependencies: AttemptDependencies, address: Address, since_ms: float, is_watched: bool
) -> tuple[BackendConnection, ...]:
    """Return resting connections on which the server has answered since a time (ms).

    If the request is watched, the server answers on a new one, which stays in the pool.
    """
    if is_watched:
        _open_witness(dependencies, address)
    return dependencies.pool.resting(address, MAX_WITNESSES, since_ms)


def _open_witness(dependencies: AttemptDependencies, address: Address) -> None:
    """Open a connection and let the server answer on it, so that it is known to lead there."""
    answers_presence_check(
        dependencies.pool, dependencies.backend_wire, address, WITNESS_TIMEOUT_MS
    )


def answers_presence_check(
    pool: ConnectionPool, wire: BackendWire, address: Address, timeout_ms: float
) -> bool:
    """Tell whether a server answers on a new connection, which is then kept for use.

    A proxy or supervisor that accepts connections without the server gives no such answer.
    """
    connection = None
    is_kept = False
    with gevent.Timeout(timeout_ms / 1000, False):
        try:
            connection = pool.open(address, timeout_ms / 1000)
            connection.send(wire.presence_check(), b"")
            answer = connection.read_head(lambda _answer: True)
            # Both kinds come from the server itself, and neither runs anything.
            if wire.meaning(answer).kind in (AnswerKind.MISDIRECTED, AnswerKind.NOT_RUN):
                connection.skip_body(answer)
                connection.note_proven()
        except (OSError, ConnectionBroken) as error:
            log.debug("no presence of a server at {}: {}", address, error)
        finally:
            # Runs also when this greenlet is killed.
            if connection is not None:
                is_kept = _keep_proven(pool, connection)
    return is_kept


def _keep_proven(pool: ConnectionPool, connection: BackendConnection) -> bool:
    if connection.proven_at_ms:
        pool.give_back(connection)
        return True
    connection.close()
    return False
