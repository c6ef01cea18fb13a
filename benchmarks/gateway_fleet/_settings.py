"""Settings of gateways on loopback: ports alike on all, an address of its own for each."""

from sparline.schema._gateway import GatewaySettings, ListenPorts, LogLevel, RetrySettings

REGIONS = {"north-1": "north", "south-1": "south"}
SERVER_DRAIN_MS = 3_000.0
RETRIES = RetrySettings(ratio=0.2, slack=60, window_s=10)
# Listeners of an instance.
PORTS = ("callers", "readiness", "directory", "gossip", "relay", "metrics")


def gateway_settings(
    name: str,
    ip: str,
    zone: str,
    ports: list[int],
    seed_ips: list[str],
    store: tuple[str, int],
    grace_s: float,
) -> GatewaySettings:
    """Return the settings of one instance; `ports` are in the order of `PORTS`."""
    by_name = dict(zip(PORTS, ports, strict=True))
    return GatewaySettings(
        name=name,
        ip=ip,
        region=REGIONS[zone],
        availability_zone=zone,
        zone_regions=REGIONS,
        listen=ListenPorts(**{one: f"{ip}:{port}" for one, port in by_name.items()}),
        seeds=[f"{seed}:{by_name['gossip']}" for seed in seed_ips],
        store=f"{store[0]}:{store[1]}",
        retries=RETRIES,
        server_drain_ms=SERVER_DRAIN_MS,
        grace_s=grace_s,
        first_start=True,
        log_level=LogLevel.INFO,
    )
