"""The monotonic clock, in milliseconds."""

import time


def now_ms() -> float:
    """Return the monotonic time; only differences mean anything."""
    return time.monotonic() * 1000.0
