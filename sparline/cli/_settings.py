"""Settings, read from a file and checked before any port opens."""

from pathlib import Path

from result import Err, Ok, Result

from sparline.declarations import Refusal, convert, parse
from sparline.schema._settings import Settings


def load_settings(path: str) -> Result[Settings, str]:
    """Read settings; the error names the file and the JSON path."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Err(f"{path}: expected a readable file, found: {error}")
    read = parse(text).and_then(lambda tree: convert(tree, Settings)).and_then(_check_addresses)
    return read.map_err(lambda refusal: f"{path}: {refusal}")


def _check_addresses(settings: Settings) -> Result[Settings, Refusal]:
    listen = settings.listen
    seen: dict[tuple[str, int], str] = {}
    for name in ("callers", "peers", "operators"):
        address = getattr(listen, name)
        if any(int(part) > 255 for part in address.ip.split(".")):
            return Err(Refusal(f"$.listen.{name}.ip", "an IPv4 number", f"`{address.ip}`"))
        key = address.ip, address.port
        if key in seen:
            return Err(Refusal(f"$.listen.{name}", "an address of its own", f"that of {seen[key]}"))
        seen[key] = name
    return Ok(settings)
