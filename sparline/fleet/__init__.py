"""Fleet state: peer instances learned by gossip; servers and configuration read from the store."""

from sparline.fleet._admission_coordinator import NO_ADMISSION, AdmissionSources, LevelChange
from sparline.fleet._admission_table import LevelInForce, ServiceRanks
from sparline.fleet._backend_servers import (
    BackendServer,
    BackendServerItem,
    BadItem,
    ConfigurationItem,
    EvacuationItem,
    StoreItem,
    UnknownItem,
)
from sparline.fleet._fleet_state import FleetState
from sparline.fleet._gossip import Datagram, GossipPort, GossipSources, make_member_note
from sparline.fleet._load_board import LoadReading, ServerLoadTable
from sparline.fleet._loads import ServerLoad, add_pending, pending_of, sum_loads
from sparline.fleet._members import Member, Members
from sparline.fleet._planned_stops import PlannedStops
from sparline.fleet._software_versions import VERSION_RETENTION_MS, SoftwareVersions
from sparline.fleet._store_confirmation import StoreConfirmation
from sparline.fleet._store_copy import NO_POSITION, StoreChange, StoreCopyTable, StorePosition
from sparline.fleet._store_reader import (
    StoreAnswer,
    StoreClient,
    StoreFault,
    StoreFaultKind,
    StoreReader,
)
from sparline.fleet._store_watchers import WATCHERS_PER_ZONE, is_first_watcher, is_store_watcher
from sparline.fleet._stream_holders import (
    instances_near_and_far,
    likely_holders,
    other_instances,
)
from sparline.fleet._stream_versions import StreamKey, service_key, stream_key
from sparline.fleet.exchanges import (
    AdmissionExchange,
    CrashExchange,
    LoadDatagram,
    LoadExchange,
    LoadSources,
    PartExchange,
    QuotaExchange,
    StreamVersionCallbacks,
    StreamVersionDatagram,
    StreamVersionExchange,
)

__all__ = [
    "NO_ADMISSION",
    "NO_POSITION",
    "VERSION_RETENTION_MS",
    "WATCHERS_PER_ZONE",
    "AdmissionExchange",
    "AdmissionSources",
    "BackendServer",
    "BackendServerItem",
    "BadItem",
    "ConfigurationItem",
    "CrashExchange",
    "Datagram",
    "EvacuationItem",
    "FleetState",
    "GossipPort",
    "GossipSources",
    "ServerLoadTable",
    "LoadExchange",
    "ServerLoad",
    "LevelChange",
    "LevelInForce",
    "LoadReading",
    "LoadSources",
    "Member",
    "Members",
    "PlannedStops",
    "LoadDatagram",
    "PartExchange",
    "QuotaExchange",
    "ServiceRanks",
    "SoftwareVersions",
    "StoreAnswer",
    "StoreChange",
    "StoreClient",
    "StoreConfirmation",
    "StoreCopyTable",
    "StoreFault",
    "StoreFaultKind",
    "StoreItem",
    "StorePosition",
    "StoreReader",
    "StreamKey",
    "StreamVersionCallbacks",
    "StreamVersionDatagram",
    "StreamVersionExchange",
    "UnknownItem",
    "add_pending",
    "instances_near_and_far",
    "likely_holders",
    "make_member_note",
    "other_instances",
    "pending_of",
    "service_key",
    "stream_key",
    "sum_loads",
    "is_first_watcher",
    "is_store_watcher",
]
