"""Backend servers and evacuated zones as the store tells, and what is read from its items."""

from dataclasses import dataclass

from sparline._ids import BackendServerId, RegionName, ZoneName
from sparline.routes import Configuration, ServiceName

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one incarnation of one backend server."""

    id: BackendServerId  # new at each start, also where its entry keeps its key
    service: ServiceName  # what it serves
    address: Address  # where it listens
    zone: ZoneName  # where it stands
    region: RegionName  # region of the zone; only instances there may connect
    slots: int  # requests that it works on at once
    leaving: bool  # whether it takes nothing new
    cold_until_ms: float  # until when it bears few requests, on this process's clock
    born_ms: int = 0  # its start, ms of its own time of day; orders starts under one key, 0 unknown


@dataclass(frozen=True, slots=True)
class ConfigurationItem:
    """Carry a new configuration."""

    configuration: Configuration  # whole


@dataclass(frozen=True, slots=True)
class BackendServerItem:
    """Carry the entry of one backend server."""

    server: BackendServer  # as it tells


@dataclass(frozen=True, slots=True)
class EvacuationItem:
    """Say that a zone's backend servers get nothing further."""

    zone: ZoneName  # the zone


@dataclass(frozen=True, slots=True)
class UnknownItem:
    """Stand for an item that concerns nobody here."""


@dataclass(frozen=True, slots=True)
class BadItem:
    """Say why an item can't be read."""

    text: str  # what was expected, found and where


StoreItem = ConfigurationItem | BackendServerItem | EvacuationItem | UnknownItem | BadItem
