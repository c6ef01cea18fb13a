"""Backend servers and the parsed forms of items in the platform's store."""

from dataclasses import dataclass

from sparline._ids import BackendServerId, RegionName, SoftwareVersion, ZoneName
from sparline.routes import Configuration, ServiceName

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class BackendServer:
    """Describe one incarnation of one backend server."""

    id: BackendServerId  # unique to each start, even if the store key is reused
    service: ServiceName  # service that it provides
    address: Address  # listening address
    zone: ZoneName  # availability zone that it runs in
    region: RegionName  # region of the zone; only instances there may connect
    slots: int  # number of requests that it processes concurrently
    leaving: bool  # whether it accepts no new requests
    cold_until_ms: float  # end of its warm-up, when it can handle few requests (process clock)
    software_version: SoftwareVersion = SoftwareVersion("")  # version that writes its answers
    leaving_since_ms: float = 0.0  # when this instance first knew that it leaves (process clock)
    born_ms: int = 0  # start time by its wall clock (ms); orders starts under one key; 0 if unknown


@dataclass(frozen=True, slots=True)
class ConfigurationItem:
    """Hold a configuration read from the store."""

    configuration: Configuration  # complete configuration


@dataclass(frozen=True, slots=True)
class BackendServerItem:
    """Hold the store entry of one backend server."""

    server: BackendServer  # server as described by its entry


@dataclass(frozen=True, slots=True)
class EvacuationItem:
    """Mark an availability zone as evacuated: its backend servers get no new requests."""

    zone: ZoneName  # evacuated zone


@dataclass(frozen=True, slots=True)
class UnknownItem:
    """Represent an item of a kind that instances ignore."""


@dataclass(frozen=True, slots=True)
class BadItem:
    """Hold the reason why an item could not be parsed."""

    text: str  # expected value, actual value and location


StoreItem = ConfigurationItem | BackendServerItem | EvacuationItem | UnknownItem | BadItem
