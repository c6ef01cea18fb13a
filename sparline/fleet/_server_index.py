"""Index of the current backend servers by service and by region."""

from collections.abc import Mapping

from sparline._ids import BackendServerId, RegionName, SoftwareVersion
from sparline.fleet._backend_servers import BackendServer
from sparline.routes import ServiceName


class ServerIndex:
    """Index servers; the index is rebuilt at most once per batch of changes."""

    def __init__(self, servers: Mapping[BackendServerId, BackendServer]) -> None:
        """Index `servers`, which may change later."""
        self._servers = servers
        self._by_service: dict[ServiceName, list[BackendServer]] = {}
        self._ids_in: dict[RegionName, list[BackendServerId]] = {}
        self._versions: dict[ServiceName, frozenset[SoftwareVersion]] = {}
        self._is_current = False

    def note_change(self) -> None:
        """Have the index rebuilt when it is next used."""
        self._is_current = False

    @property
    def by_service(self) -> dict[ServiceName, list[BackendServer]]:
        """Return the servers by service."""
        self._rebuild_if_changed()
        return self._by_service

    def ids_in(self, region: RegionName) -> list[BackendServerId]:
        """Return the ids of the servers in a region."""
        self._rebuild_if_changed()
        return self._ids_in.get(region, [])

    def software_versions(self, service: ServiceName) -> frozenset[SoftwareVersion]:
        """Return the software versions of a service's servers."""
        self._rebuild_if_changed()
        return self._versions.get(service, frozenset())

    def _rebuild_if_changed(self) -> None:
        if self._is_current:
            return
        self._is_current = True
        self._by_service = {}
        self._ids_in = {}
        for server in self._servers.values():
            self._by_service.setdefault(server.service, []).append(server)
            self._ids_in.setdefault(server.region, []).append(server.id)
        self._versions = {
            service: frozenset(one.software_version for one in servers)
            for service, servers in self._by_service.items()
        }
