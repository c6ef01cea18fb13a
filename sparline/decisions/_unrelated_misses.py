"""Misses of admitted requests that have other causes than load, which admission cannot reduce."""

from dataclasses import dataclass

# Misses are unrelated to load if their share is still at least `UNRELATED_RATIO` of what it was,
# although admission was cut to `CUT_RATIO` for `CUT_MS`. They are then tolerated for
# `UNRELATED_MS`, up to a share of `MAX_UNRELATED`.
UNRELATED_RATIO = 0.75
CUT_RATIO = 0.75
CUT_MS = 1_500.0
UNRELATED_MS = 60_000.0
MAX_UNRELATED = 0.25


@dataclass(frozen=True, slots=True)
class _Cut:
    """Hold what was measured when admission was cut."""

    at_ms: float
    admitted_per_s: float  # admitted cost per second
    missed_share: float  # part of it that was missed


class UnrelatedMisses:
    """Learns which share of misses persists although less is admitted."""

    def __init__(self) -> None:
        """Tolerate nothing."""
        self._cut: _Cut | None = None
        self._share = 0.0
        self._until_ms = 0.0

    def tolerated_share(self, now: float) -> float:
        """Return the share of misses that is unrelated to load."""
        return self._share if now < self._until_ms else 0.0

    def note_cut(self, now: float, admitted_per_s: float, missed_share: float) -> None:
        """Record that admission is cut, unless an earlier cut is still being judged."""
        if self._cut is None:
            self._cut = _Cut(now, admitted_per_s, missed_share)

    def learn(self, now: float, admitted_per_s: float, missed_share: float) -> None:
        """Judge a cut by what has become of the misses since."""
        cut = self._cut
        if cut is None or now - cut.at_ms < CUT_MS:
            return
        if missed_share < UNRELATED_RATIO * cut.missed_share:
            self._cut = None
        elif admitted_per_s <= CUT_RATIO * cut.admitted_per_s:
            self._share = min(missed_share, MAX_UNRELATED)
            self._until_ms = now + UNRELATED_MS
            self._cut = None
