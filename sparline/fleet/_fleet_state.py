"""Current configuration, backend servers and evacuated zones, derived from the store's items."""

from collections.abc import Callable
from dataclasses import replace

from sparline._clock import now_ms
from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline._logging import log
from sparline.fleet._backend_servers import (
    BackendServer,
    BackendServerItem,
    BadItem,
    ConfigurationItem,
    EvacuationItem,
    StoreItem,
    UnknownItem,
)
from sparline.fleet._evacuation_table import EvacuationTable
from sparline.fleet._former_configurations import FormerConfigurations
from sparline.fleet._server_table import ServerTable
from sparline.fleet._store_copy import StoreChange
from sparline.fleet._unconfirmed_changes import UnconfirmedChanges
from sparline.fleet._withdrawn_keys import WithdrawnKeys
from sparline.routes import Configuration, ConfigurationVersion, KeyDigest, ServiceName

# How long after a store outage an entry that expired in it may still be renewed (ms): servers do so
# within about two seconds of the store's recovery. Counted from when this instance learns of the
# deletion instead, it would keep a server that has left for over the 3 s in which it may get requests.
LAPSE_GRACE_MS = 2_200.0
# How long an entry that reappears with an older copy of the store is ignored if its server had been
# removed (ms): the entry of a server that has ended expires again after three heartbeats.
REAPPEARANCE_GRACE_MS = 6_000.0
# Maximum number of remembered keys of unreadable items; further ones are logged at each change.
MAX_BAD_KEYS = 1_000

ReadItem = Callable[[StoreChange], StoreItem]


class FleetState:
    """Hold the state in force; an unreadable item never replaces a valid configuration."""

    def __init__(
        self,
        read_item: ReadItem,
        on_bad_item: Callable[[], None],
        outage_age_ms: Callable[[], float],
        zones: dict[ZoneName, RegionName],
        on_restart: Callable[[BackendServer], None] = lambda _server: None,
        on_gone: Callable[[BackendServer], None] = lambda _server: None,
        peers_showed_ago_ms: Callable[[int], float] = lambda _revision: 0.0,
    ) -> None:
        """Create an empty state.

        `outage_age_ms` returns the time since the store's last outage ended, 0 during one.
        `on_restart` is called with each server replaced by a later start under the same key, and
        `on_gone` with each server removed without having announced that it leaves.
        `peers_showed_ago_ms` returns the time since another instance first showed a revision of the
        store, 0 if none has.
        """
        self.configuration: Configuration | None = None  # newest version, None before the first
        self.configuration_change: StoreChange | None = None  # change that it comes from
        self.former_configurations = FormerConfigurations()  # those that were in force before it
        self._table = ServerTable()
        self.servers = self._table.servers  # all current servers
        self.evacuated: set[ZoneName] = set()  # zones whose servers get no requests
        self.zones = zones  # region of each availability zone
        self.started = False  # whether the initial read of the store is complete
        self.index = self._table.index  # the current servers by service and region
        self.software_versions = self._table.software_versions  # versions of their software
        self._read_item = read_item
        self._on_bad_item = on_bad_item
        self._outage_age_ms = outage_age_ms
        self._on_restart = on_restart
        self._on_gone = on_gone
        self._peers_showed_ago_ms = peers_showed_ago_ms
        self._bad_keys: set[str] = set()
        self._lapsed: dict[BackendServerId, float] = {}
        self._unconfirmed = UnconfirmedChanges()
        self._evacuations = EvacuationTable()
        self._server_keys: dict[str, BackendServerId] = {}
        self._withdrawn_keys = WithdrawnKeys()

    def take(self, change: StoreChange) -> None:
        """Apply one change of a store item."""
        self._unconfirmed.drop(change.key)
        if change.value is None:
            self._apply_deletion(change)
            return
        match self._read_item(change):
            case ConfigurationItem(configuration):
                self._apply_configuration(configuration, change)
            case BackendServerItem(server):
                self._bad_keys.discard(change.key)
                self._take_server_entry(change, server)
            case EvacuationItem(zone):
                self._take_evacuation(change, zone)
            case BadItem(text):
                self._apply_bad_item(change, text)

    def _apply_deletion(self, change: StoreChange) -> None:
        if change.key in self._evacuations:
            self._take_back_evacuation(change)
        server_id = self._server_keys.get(change.key)
        if server_id is None:
            return
        # The list of a restored store tells that an entry is missing, not when it went.
        is_write = not change.after_restoration
        outage_age_ms = self._outage_age_ms() if is_write else 0.0
        shown_ago_ms = self._peers_showed_ago_ms(change.revision) if is_write else 0.0
        # Whoever showed the change first had an answer of the store: an outage in which the entry may
        # have expired was over by then.
        grace_ms = LAPSE_GRACE_MS - max(outage_age_ms, shown_ago_ms)
        if grace_ms > 0 and not self.servers[server_id].leaving:
            self._lapsed[server_id] = now_ms() + grace_ms
            log.bind(
                backend_server=server_id,
                revision=change.revision,
                outage_age_ms=round(outage_age_ms),
                shown_ago_ms=round(shown_ago_ms),
            ).info("server_lapsed")
            return
        self._remove(server_id, "entry_gone")

    def note_past_evacuation(self, change: StoreChange) -> None:
        """Take account of a change of an evacuation before this process started.

        The current items tell which evacuations hold, but not which have just ended.
        """
        if change.value is not None:
            return
        item = self._read_item(replace(change, value=b""))
        if isinstance(item, EvacuationItem) and item.zone not in self.evacuated:
            log.bind(zone=item.zone, revision=change.revision).info("zone_returned_before_start")
            self._mark_cold_in({item.zone})

    def _take_evacuation(self, change: StoreChange, zone: ZoneName) -> None:
        """Apply an evacuation; one from an older copy that was taken back must be confirmed."""
        was_taken_back = self._evacuations.was_taken_back(change.key, change.revision)
        if change.after_restoration and was_taken_back:
            self._unconfirmed.hold(change, REAPPEARANCE_GRACE_MS, now_ms())
            log.bind(zone=zone, revision=change.revision).info("evacuation_reappears")
            return
        self._evacuations.begin(change.key, zone, change.revision)
        self._update_evacuated(change.revision)

    def _take_back_evacuation(self, change: StoreChange) -> None:
        """End an evacuation; one that an older copy lacks may be written again first."""
        if change.after_restoration:
            self._unconfirmed.hold(change, LAPSE_GRACE_MS, now_ms())
            log.bind(key=change.key, revision=change.revision).info("evacuation_lapsed")
            return
        self._evacuations.take_back(change.key)
        self._update_evacuated(change.revision)

    def _apply_bad_item(self, change: StoreChange, text: str) -> None:
        """Drop the server of an unreadable item; log the key once until it is readable again."""
        self._on_bad_item()
        server_id = self._server_keys.get(change.key)
        if server_id is not None:
            self._remove(server_id, "entry_unreadable")
        if change.key in self._bad_keys:
            return
        if len(self._bad_keys) < MAX_BAD_KEYS:
            self._bad_keys.add(change.key)
        log.bind(key=change.key, revision=change.revision, text=text).warning("bad_item")

    def _take_server_entry(self, change: StoreChange, server: BackendServer) -> None:
        """Apply a server's entry; one from an older copy revives no server that left or ended."""
        if not change.after_restoration:
            self._apply_server_entry(change.key, server, change.revision)
            return
        if self._table.was_removed(server.id):
            self._unconfirmed.hold(change, REAPPEARANCE_GRACE_MS, now_ms())
            log.bind(backend_server=server.id, revision=change.revision).info("server_reappears")
            return
        held = self.servers.get(server.id)
        if held is not None and held.leaving and not server.leaving:
            # It may have taken that back unseen; if it still leaves, it writes so again.
            self._unconfirmed.hold(change, REAPPEARANCE_GRACE_MS, now_ms())
            server = replace(server, leaving=True)
        self._apply_server_entry(change.key, server, change.revision)

    def _apply_server_entry(self, key: str, server: BackendServer, revision: int) -> None:
        """Apply a server's entry, which replaces an earlier start under the same key."""
        held_id = self._server_keys.get(key)
        held = self.servers.get(held_id) if held_id is not None else None
        if held is not None and held.id != server.id:
            if held.born_ms > server.born_ms:
                log.bind(backend_server=server.id, held=held.id, revision=revision).info(
                    "entry_of_earlier_start"
                )
                return
            self._remove(held.id, "started_again")
            self._on_restart(held)
        self._server_keys[key] = server.id
        self._update_server(server, revision)

    def _apply_configuration(self, configuration: Configuration, change: StoreChange) -> None:
        held = self.configuration
        if held is not None and held.version >= configuration.version:
            return
        if held is not None:
            self._withdrawn_keys.note_replaced(held, configuration)
            self.former_configurations.note_replaced(held)
        self.configuration = configuration
        self.configuration_change = change
        log.bind(
            version=configuration.version,
            revision=change.revision,
            routes=len(configuration.routes),
        ).info("configuration_in_force")

    @property
    def configuration_version(self) -> int:
        """Return the version in force, 0 for none."""
        return self.configuration.version if self.configuration else 0

    def take_configuration(self, change: StoreChange) -> None:
        """Apply the configuration that a peer follows, unless it is older than the one in force."""
        item = self._read_item(change) if change.value is not None else UnknownItem()
        if isinstance(item, ConfigurationItem):
            self._apply_configuration(item.configuration, change)
            return
        log.bind(key=change.key, item=type(item).__name__).warning("no_configuration")

    def withdrawn_at(self, key: KeyDigest) -> ConfigurationVersion | None:
        """Return the configuration version that withdrew an API key, or None if unknown."""
        return self._withdrawn_keys.withdrawn_at(key)

    def _update_server(self, server: BackendServer, revision: int) -> None:
        self._lapsed.pop(server.id, None)
        held = self.servers.get(server.id)
        # A server that appears after the initial read has to warm up.
        if held is None and self.started and not self._table.is_known(server.id):
            server = self._mark_cold(server)
        server = self._table.take_entry(server, now_ms())
        if held is None and not self.started:
            # The initial read returns thousands of servers; only their number is logged, when the
            # instance goes live.
            return
        log.bind(
            backend_server=server.id,
            service=server.service,
            zone=server.zone,
            software_version=server.software_version,
            leaving=server.leaving,
            cold_ms=round(max(server.cold_until_ms - now_ms(), 0)),
            revision=revision,
        ).info("server_known" if held is None else "server_changed")

    def note_leaving(self, server_id: BackendServerId) -> None:
        """Mark a server as leaving, as its response says; later store entries don't clear it."""
        if self._table.has_reported_leaving(server_id):
            return
        server = self.servers.get(server_id)
        self._table.note_leaving(server_id, now_ms())
        log.bind(
            backend_server=server_id, leaving_in_store=server is not None and server.leaving
        ).info("server_says_leaving")

    def _mark_cold(self, server: BackendServer) -> BackendServer:
        """Return a server as cold for its warm-up time from now on, or longer if its entry says so."""
        if self.configuration is None:
            return server
        service = self.configuration.services.get(server.service)
        cold_ms = service.cold_start_ms if service else 0.0
        return replace(server, cold_until_ms=max(server.cold_until_ms, now_ms() + cold_ms))

    def _mark_cold_in(self, returned_zones: set[ZoneName]) -> None:
        """Mark the servers of zones that were evacuated as cold.

        Without requests they turn cold, and their entries may say so too late.
        """
        for server in list(self.servers.values()):
            if server.zone in returned_zones:
                self._table.put(self._mark_cold(server), now_ms())

    def _update_evacuated(self, revision: int) -> None:
        evacuated = self._evacuations.zones()
        self._mark_cold_in(self.evacuated - evacuated)
        self.evacuated = evacuated
        log.bind(zones=sorted(self.evacuated), revision=revision).info("evacuated_zones")

    def _remove(self, server_id: BackendServerId, why: str) -> None:
        server = self._table.remove(server_id)
        self._lapsed.pop(server_id, None)
        for key in [key for key, of in self._server_keys.items() if of == server_id]:
            del self._server_keys[key]
        log.bind(backend_server=server_id, why=why).info("server_gone")
        if server is not None and not server.leaving:
            self._on_gone(server)

    @property
    def by_service(self) -> dict[ServiceName, list[BackendServer]]:
        """Return the servers by service."""
        return self.index.by_service

    def ids_in(self, region: RegionName) -> list[BackendServerId]:
        """Return the ids of the servers in a region."""
        return self.index.ids_in(region)

    def apply_unconfirmed(self, is_store_unreachable: bool) -> None:
        """Apply the changes of a restored store whose grace period has ended."""
        if is_store_unreachable:
            self._unconfirmed.restart(now_ms())
            return
        for change in self._unconfirmed.take_overdue(now_ms()):
            log.bind(key=change.key, revision=change.revision).info("change_unconfirmed")
            self.take(replace(change, after_restoration=False))

    def remove_lapsed(self, is_store_unreachable: bool) -> None:
        """Remove servers whose expired entries were not renewed."""
        now = now_ms()
        for server_id in [one for one, until in self._lapsed.items() if now >= until]:
            # While no instance reaches the store, no entry can be renewed.
            if is_store_unreachable:
                self._lapsed[server_id] = now + LAPSE_GRACE_MS
            else:
                self._remove(server_id, "not_back_after_lapse")

    @property
    def has_lapsed(self) -> bool:
        """Return whether any server's entry has expired and may be renewed."""
        return bool(self._lapsed)

    def forget_old_ids(self) -> None:
        """Forget the ids of servers that were removed long ago."""
        self._table.forget_old_ids(now_ms())
