"""Settings of a gateway instance, checked before any port is opened."""

from pathlib import Path

import msgspec
from result import Err, Ok, Result

from sparline.schema._gateway import GatewaySettings

Address = tuple[str, int]


def load_settings(path: str) -> Result[GatewaySettings, str]:
    """Read settings; an error names the file and the field."""
    try:
        content = Path(path).read_bytes()
    except OSError as error:
        return Err(f"{path}: expected a readable file, found: {error}")
    try:
        settings = msgspec.json.decode(content, type=GatewaySettings)
    except msgspec.DecodeError as error:
        return Err(f"{path}: {error}")
    return _check(settings).map_err(lambda text: f"{path}: {text}")


def _check(settings: GatewaySettings) -> Result[GatewaySettings, str]:
    if settings.zone_regions.get(settings.availability_zone) != settings.region:
        return Err(
            f"$.zone_regions: expected region {settings.region!r} for availability zone "
            f"{settings.availability_zone!r}, found "
            f"{settings.zone_regions.get(settings.availability_zone)!r}"
        )
    listen = settings.listen
    seen: dict[Address, str] = {}
    for name in ("callers", "readiness", "directory", "relay", "metrics"):
        address = split_address(getattr(listen, name))
        if address in seen:
            return Err(
                f"$.listen.{name}: expected an address of its own, found that of {seen[address]}"
            )
        seen[address] = name
    return Ok(settings)


def split_address(text: str) -> Address:
    """Split an IP:PORT that the schema has validated."""
    ip, _, port = text.rpartition(":")
    return ip, int(port)
