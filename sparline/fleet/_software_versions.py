"""Software versions of each service's backend servers, as listed now or lately."""

from collections.abc import Iterable

from sparline._clock import now_ms
from sparline._ids import SoftwareVersion
from sparline.fleet._backend_servers import BackendServer
from sparline.fleet._server_index import ServerIndex
from sparline.routes import ServiceName

# How long a version is remembered after its last server has left (ms): longer than callers keep on
# asking for the rest of a stream.
VERSION_RETENTION_MS = 120_000.0


class SoftwareVersions:
    """Track the versions that may have written the streams that callers still want to resume."""

    def __init__(self, index: ServerIndex) -> None:
        """Track the servers of an index."""
        self._index = index
        self._left_at_ms: dict[ServiceName, dict[SoftwareVersion, float]] = {}

    def note_left(self, server: BackendServer) -> None:
        """Record that a server has left, or has another version from now on."""
        now = now_ms()
        left = self._left_at_ms.setdefault(server.service, {})
        left[server.software_version] = now
        for version in [one for one, at in left.items() if now - at >= VERSION_RETENTION_MS]:
            del left[version]

    def note_former(self, service: ServiceName, versions: Iterable[SoftwareVersion]) -> None:
        """Record versions that another instance knows; those without servers have left lately."""
        left = self._left_at_ms.setdefault(service, {})
        for version in set(versions) - self.known(service):
            left[version] = now_ms()

    def known(self, service: ServiceName) -> frozenset[SoftwareVersion]:
        """Return the versions of a service's current servers and of those that left lately."""
        current = self._index.software_versions(service)
        left = self._left_at_ms.get(service)
        if not left:
            return current
        since = now_ms() - VERSION_RETENTION_MS
        return current | {version for version, at in left.items() if at > since}

    def only(self, service: ServiceName) -> SoftwareVersion | None:
        """Return the version of all of a service's servers, None if there are several or none."""
        known = self.known(service)
        return next(iter(known)) if len(known) == 1 else None
