"""What operators and backend servers write to the users' store."""

from collections.abc import Sequence
from typing import Any

from standins._key_store import KeyStore
from standins._routed_caller import HOST

CONFIGURATION_KEY = "op/config"
ROUTES: dict[str, dict[str, Any]] = {
    "/stream/": {"kind": "streaming", "allow_resume": True, "max_attempts": 2},
    "/once/": {"kind": "streaming", "allow_resume": False, "max_attempts": 1},
    "/safe/": {"kind": "safe", "service": "plain", "max_attempts": 2},
    "/unsafe/": {"kind": "unsafe", "service": "plain", "max_attempts": 1},
    "/home/": {"kind": "safe", "service": "plain", "home_regions": ["south"]},
}


def plain_routes(
    target_latency_ms: int, safe_attempts: int = 1, homes: Sequence[str] = ()
) -> dict[str, dict[str, Any]]:
    """Return a safe and an unsafe route whose target may lie far below their timeout of 8 s.

    A safe request runs on at most `safe_attempts` backend servers. `homes` are the regions that may
    run requests; all may if there are none.
    """
    bound = {"home_regions": list(homes)} if homes else {}
    return {
        f"/{kind}/": {
            "kind": kind,
            "service": "plain",
            "max_attempts": attempts,
            "target_latency_ms": target_latency_ms,
            **bound,
        }
        for kind, attempts in (("safe", safe_attempts), ("unsafe", 1))
    }


def unsafe_route(service: str, timeout_ms: int) -> dict[str, Any]:
    """Return a route whose requests run once; half of its timeout is the target latency."""
    return {
        "kind": "unsafe",
        "service": service,
        "max_attempts": 1,
        "timeout_ms": timeout_ms,
        "target_latency_ms": timeout_ms // 2,
    }


def configuration(
    version: int,
    routes: dict[str, dict[str, Any]] | None = None,
    more_services: tuple[str, ...] = (),
    plain: dict[str, Any] | None = None,
    limits: dict[str, int] | None = None,
) -> dict[str, Any]:
    """Return a configuration in the users' format; `more_services` are plain ones.

    `plain` changes fields of the plain services, `limits` those of what callers may send.
    """
    return {
        "version": version,
        "routes": [
            {
                "name": f"r{place}",
                "host": HOST,
                "path_prefix": prefix,
                "timeout_ms": 8_000,
                "target_latency_ms": 2_000,
                "gap_target_ms": 1_000,
                "priority": 1,
                "service": "engines",
                **changes,
            }
            for place, (prefix, changes) in enumerate((routes or ROUTES).items())
        ],
        "services": [
            {
                "name": "engines",
                "cold_start_s": 0.0,
                "cold_per_s": 0.0,
                "engine": {
                    "slots": 8,
                    "kv_cache_tokens": 300_000,
                    "kv_token_bytes": 163_840,
                    "link_mbps": 550_000.0,
                    "moves": True,
                },
            },
            *(
                {"name": name, "cold_start_s": 0.0, "cold_per_s": 0.0, **(plain or {})}
                for name in ("plain", *more_services)
            ),
        ],
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 5_000,
            **(limits or {}),
        },
    }


def publish(
    store: KeyStore,
    version: int,
    routes: dict[str, dict[str, Any]] | None = None,
    more_services: tuple[str, ...] = (),
    plain: dict[str, Any] | None = None,
    limits: dict[str, int] | None = None,
) -> int:
    """Put a version into force; return the store's revision."""
    document = configuration(version, routes, more_services, plain, limits)
    return store.put(CONFIGURATION_KEY, document)


def published_version(store: KeyStore) -> int:
    """Return the version that the store holds."""
    return store.value(CONFIGURATION_KEY)["version"]


def list_server(
    store: KeyStore, name: str, address: tuple[str, int], service: str, zone: str, **changes: Any
) -> int:
    """Write the entry of a backend server."""
    entry = {
        "service": service,
        "address": f"{address[0]}:{address[1]}",
        "zone": zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": 1,
    }
    return store.put(f"servers/{name}", entry | changes)


def listed_server(store: KeyStore, name: str) -> dict[str, Any]:
    """Return the entry of a backend server, empty without one."""
    return store.value(f"servers/{name}") or {}


def evacuate(store: KeyStore, zone: str) -> int:
    """Ask that a zone's servers get nothing."""
    return store.put(f"op/evacuate/{zone}", {})


def is_evacuated(store: KeyStore, zone: str) -> bool:
    """Tell whether the store holds an evacuation of a zone."""
    return store.value(f"op/evacuate/{zone}") is not None


def take_back(store: KeyStore, zone: str) -> int:
    """Take an evacuation back."""
    return store.delete(f"op/evacuate/{zone}")
