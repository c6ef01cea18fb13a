"""Names for the starts of backend servers, of which several may have one id in the users' store."""

from sparline._ids import BackendServerId

# Parts the id from the start; ids of the store hold no such sign.
MARK = "@"


def incarnation_id(listed_id: str, born_ms: int) -> BackendServerId:
    """Return the name of one start, unlike those of earlier ones; `born_ms` is 0 if not told."""
    return BackendServerId(f"{listed_id}{MARK}{born_ms:x}" if born_ms else listed_id)


def listed_id(server_id: BackendServerId) -> str:
    """Return the id by which the backend server itself goes."""
    return server_id.partition(MARK)[0]
