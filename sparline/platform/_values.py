"""Values in headers: numbers and software versions."""

import re
from urllib.parse import quote, unquote_to_bytes

from sparline._ids import SoftwareVersion

# Unsigned, with an optional fraction; rejects signs, exponents, "inf" and "nan".
DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?")
# Longer numbers are invalid: no time or length has that many digits.
MAX_DIGITS = 15


def parse_integer(text: bytes, max_digits: int = MAX_DIGITS) -> int | None:
    """Parse a non-negative integer; return None if the text is anything else."""
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= max_digits else None


def parse_decimal(text: bytes | None) -> float | None:
    """Parse a non-negative decimal number; return None if the text is anything else."""
    if text is None or not DECIMAL.fullmatch(text.strip()):
        return None
    return float(text)


def parse_software_version(text: bytes | None) -> SoftwareVersion | None:
    """Decode a version that another instance states; bytes that are no text are replaced."""
    if text is None:
        return None
    return SoftwareVersion(unquote_to_bytes(text.strip()).decode(errors="replace"))


def encode_software_version(version: SoftwareVersion) -> bytes:
    """Encode a version for a header, which holds no text beyond ASCII."""
    return quote(version, safe="").encode()
