"""What instances tell each other: loads, admission levels, quotas, versions of streams and exits."""

from sparline.fleet.exchanges._admission_exchange import AdmissionDatagram, AdmissionExchange
from sparline.fleet.exchanges._crash_exchange import CrashExchange
from sparline.fleet.exchanges._load_exchange import LoadDatagram, LoadExchange, LoadSources
from sparline.fleet.exchanges._part_exchange import PartDatagram, PartExchange
from sparline.fleet.exchanges._quota_exchange import QuotaDatagram, QuotaExchange
from sparline.fleet.exchanges._stream_version_exchange import (
    StreamVersionCallbacks,
    StreamVersionDatagram,
    StreamVersionExchange,
)

__all__ = [
    "AdmissionDatagram",
    "AdmissionExchange",
    "CrashExchange",
    "LoadDatagram",
    "LoadExchange",
    "LoadSources",
    "PartDatagram",
    "PartExchange",
    "QuotaDatagram",
    "QuotaExchange",
    "StreamVersionCallbacks",
    "StreamVersionDatagram",
    "StreamVersionExchange",
]
