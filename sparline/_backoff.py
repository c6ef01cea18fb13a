"""Pauses that double with each failure in a row."""


def doubled_ms(first_ms: float, longest_ms: float, failures: int) -> float:
    """Return the pause after a number of failures in a row, one at the least."""
    return min(first_ms * 2 ** (failures - 1), longest_ms)
