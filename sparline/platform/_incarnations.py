"""Ids for incarnations of backend servers, which may share one id in the users' store."""

from sparline._ids import BackendServerId

# Separates the listed id from the start time; ids in the store do not contain it.
SEPARATOR = "@"


def incarnation_id(listed_id: str, born_ms: int) -> BackendServerId:
    """Return an id that is unique to one incarnation; `born_ms` is 0 if unknown."""
    return BackendServerId(f"{listed_id}{SEPARATOR}{born_ms:x}" if born_ms else listed_id)


def listed_id(server_id: BackendServerId) -> str:
    """Return the id in the store, which the backend server itself uses."""
    return server_id.partition(SEPARATOR)[0]
