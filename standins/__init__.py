"""Small stand-ins for the platform, model engines, plain services and the wide-area network."""

from standins._endless import (
    EndlessBytes,
    EndlessSender,
    endless_answers,
    endless_requests,
    endless_streams,
)
from standins._engine import Engine, EngineShape
from standins._faults import Faults
from standins._key_store import KeyStore, StoreMode
from standins._malformed_answers import BLANK_IN_NAME, malformed_answers
from standins._plain_service import PlainService
from standins._platform import Platform
from standins._publisher import (
    configuration,
    evacuate,
    is_evacuated,
    list_server,
    listed_server,
    plain_routes,
    publish,
    published_version,
    take_back,
    unsafe_route,
)
from standins._raw_server import RawEnd, RawServer
from standins._refusal_copies import CopyTime, RefusalCopies
from standins._routed_caller import (
    HOST,
    PROMPT,
    SEAL,
    Caller,
    Got,
    prompt_headers,
    request_lines,
    resumption,
)
from standins._sealed_framing import long_body
from standins._sealed_server import SealedServer, work_body
from standins._sealed_types import SealedArrival, SealedFaults, SealedRun
from standins._wide_area import Forward, Place, WideArea

__all__ = [
    "BLANK_IN_NAME",
    "Caller",
    "CopyTime",
    "Got",
    "HOST",
    "PROMPT",
    "SEAL",
    "configuration",
    "endless_answers",
    "endless_requests",
    "endless_streams",
    "evacuate",
    "is_evacuated",
    "list_server",
    "listed_server",
    "long_body",
    "malformed_answers",
    "plain_routes",
    "prompt_headers",
    "publish",
    "published_version",
    "request_lines",
    "resumption",
    "take_back",
    "unsafe_route",
    "work_body",
    "EndlessBytes",
    "EndlessSender",
    "Engine",
    "EngineShape",
    "Faults",
    "Forward",
    "KeyStore",
    "Place",
    "PlainService",
    "Platform",
    "RawEnd",
    "RawServer",
    "RefusalCopies",
    "SealedArrival",
    "SealedFaults",
    "SealedRun",
    "SealedServer",
    "StoreMode",
    "WideArea",
]
