"""Admission keys: the order of requests in one number, compared with a level that is admitted.

A key holds the rank of a request, whether its organisation is over its fair share, and a position
among its equals.
"""

from sparline.routes import MAX_RANK

POSITIONS = 128
KEYS_PER_RANK = 2 * POSITIONS
# Lowest level that admits every key.
OPEN_LEVEL = (MAX_RANK + 1) * KEYS_PER_RANK
# Demand is reported by bucket of this many keys.
BUCKET_KEYS = 16
BUCKETS = OPEN_LEVEL // BUCKET_KEYS
# Positions admitted at any level while a rank is shut out: 1 in 32.
FLOOR_POSITIONS = POSITIONS // 32
# Time in which a level opens from closed once nothing is missed (ms).
OPENING_MS = 2_000.0
# A level that fell by at most this many keys counts as the same.
LEVEL_TOLERANCE = BUCKET_KEYS
# Interval between two adjustments (ms): one gossip round.
ADJUSTMENT_MS = 250.0
# Retry-After of a refused request: a miss-free round has to be reported first (ms).
REPORT_DELAY_MS = 2 * ADJUSTMENT_MS
# Callers wait for at most this part of the time that they have left.
CALLER_WAIT_SHARE = 1 / 3
# Part of that wait over which the retries are spread while the level does not rise.
SPREAD_SHARE = 1 / 3


def admission_key(rank: int, step: int, position: int) -> int:
    """Return the key of a request; ranks above 9 count as 9."""
    return min(rank, MAX_RANK) * KEYS_PER_RANK + step * POSITIONS + position


def is_admitted(key: int, level: int, floor: int) -> bool:
    """Tell whether a level and floor admit a key."""
    return key < level or key % POSITIONS < floor


def is_telling(admitted_at_level: int, level: int) -> bool:
    """Tell whether a miss says something about the level in force.

    While a queue drains after the level has fallen, requests that a higher level had admitted are
    late. If they counted, the level would fall again for each of them.
    """
    return admitted_at_level <= level + LEVEL_TOLERANCE


def level_retry_after_ms(
    key: int, level: int, ranks: int, left_ms: float, is_rising: bool
) -> float:
    """Return the time after which a refused key is expected to be admitted (ms).

    `ranks` is the number of ranks over which the level opens, from the highest key that is in use.
    A level that does not rise may stay for seconds, so its callers wait nearly as long as they
    can. A result of at least `left_ms` says that the key is not expected to be admitted in time.
    """
    keys_per_ms = ranks * KEYS_PER_RANK / OPENING_MS
    opening_ms = REPORT_DELAY_MS + max(key - level, 0) / keys_per_ms
    if is_rising:
        return opening_ms
    spread = 1 - SPREAD_SHARE * (1 - (key % POSITIONS) / POSITIONS)
    return max(opening_ms, CALLER_WAIT_SHARE * left_ms * spread)
