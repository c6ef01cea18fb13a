"""Current backend servers, and what is remembered of those that were removed."""

from collections import OrderedDict
from dataclasses import replace

from sparline._ids import BackendServerId
from sparline.fleet._backend_servers import BackendServer
from sparline.fleet._server_index import ServerIndex
from sparline.fleet._software_versions import SoftwareVersions

# Maximum number of remembered removed servers; the oldest is evicted first.
MAX_REMOVED = 4_096
# How long a removed server is remembered (ms): if its entry reappears by then, it is not cold.
KNOWN_SERVER_RETENTION_MS = 120_000.0
# Maximum number of servers remembered as reporting that they are leaving; the oldest is evicted
# first. Far more than are replaced in a day.
MAX_REPORTED_LEAVING = 4_096


class ServerTable:
    """Hold the current servers; times are of the process clock (ms)."""

    def __init__(self) -> None:
        """Hold no server."""
        self.servers: dict[BackendServerId, BackendServer] = {}  # all current servers
        self.index = ServerIndex(self.servers)  # these servers by service and region
        self.software_versions = SoftwareVersions(self.index)  # versions of their software
        self._known_at_ms: dict[BackendServerId, float] = {}
        self._reported_leaving: OrderedDict[BackendServerId, None] = OrderedDict()
        self._removed: OrderedDict[BackendServerId, None] = OrderedDict()

    def is_known(self, server_id: BackendServerId) -> bool:
        """Return whether a server is listed, or was until lately."""
        return server_id in self._known_at_ms

    def was_removed(self, server_id: BackendServerId) -> bool:
        """Return whether a server was removed and has not been listed since."""
        return server_id in self._removed

    def has_reported_leaving(self, server_id: BackendServerId) -> bool:
        """Return whether a server's response has said that it is leaving."""
        return server_id in self._reported_leaving

    def take_entry(self, server: BackendServer, now: float) -> BackendServer:
        """Add or replace a server as its entry lists it; return it as it is held."""
        self._removed.pop(server.id, None)
        if server.id in self._reported_leaving:
            server = replace(server, leaving=True)
        self._known_at_ms[server.id] = now
        return self.put(server, now)

    def put(self, server: BackendServer, now: float) -> BackendServer:
        """Add or replace a server; return it with the time since which it has been leaving."""
        held = self.servers.get(server.id)
        if held is not None and held.software_version != server.software_version:
            self.software_versions.note_left(held)
        if server.leaving:
            since_ms = held.leaving_since_ms if held is not None and held.leaving else now
            server = replace(server, leaving_since_ms=since_ms)
        self.servers[server.id] = server
        self.index.note_change()
        return server

    def note_leaving(self, server_id: BackendServerId, now: float) -> None:
        """Mark a server as leaving, whatever its entry says from now on."""
        self._reported_leaving[server_id] = None
        if len(self._reported_leaving) > MAX_REPORTED_LEAVING:
            self._reported_leaving.popitem(last=False)
        server = self.servers.get(server_id)
        if server is not None:
            self.put(replace(server, leaving=True), now)

    def remove(self, server_id: BackendServerId) -> BackendServer | None:
        """Remove a server and return it, None if it is not held."""
        server = self.servers.pop(server_id, None)
        self.index.note_change()
        self._removed[server_id] = None
        if len(self._removed) > MAX_REMOVED:
            self._removed.popitem(last=False)
        if server is not None:
            self.software_versions.note_left(server)
        return server

    def forget_old_ids(self, now: float) -> None:
        """Forget the ids of servers that were removed long ago."""
        for server_id in self.servers:
            self._known_at_ms[server_id] = now
        self._known_at_ms = {
            one: at for one, at in self._known_at_ms.items() if now - at < KNOWN_SERVER_RETENTION_MS
        }
