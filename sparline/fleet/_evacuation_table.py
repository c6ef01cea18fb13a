"""Evacuations that were asked for, and those that were taken back lately."""

from collections import OrderedDict
from dataclasses import dataclass

from sparline._ids import ZoneName

# Maximum number of remembered evacuations that were taken back; the oldest is evicted first.
MAX_TAKEN_BACK = 256


@dataclass(frozen=True, slots=True)
class _Evacuation:
    zone: ZoneName
    revision: int  # store revision at which it was asked for


class EvacuationTable:
    """Hold the evacuations by the key of their store item."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._held: dict[str, _Evacuation] = {}
        # Revision of each evacuation that was taken back, by key.
        self._taken_back: OrderedDict[str, int] = OrderedDict()

    def __contains__(self, key: str) -> bool:
        return key in self._held

    def zones(self) -> set[ZoneName]:
        """Return the zones that are to be evacuated."""
        return {one.zone for one in self._held.values()}

    def was_taken_back(self, key: str, revision: int) -> bool:
        """Return whether the evacuation that was asked for at a revision was taken back."""
        return self._taken_back.get(key) == revision

    def begin(self, key: str, zone: ZoneName, revision: int) -> None:
        """Add an evacuation."""
        self._taken_back.pop(key, None)
        self._held[key] = _Evacuation(zone, revision)

    def take_back(self, key: str) -> None:
        """Remove an evacuation; raise `KeyError` if it is not held."""
        self._taken_back[key] = self._held.pop(key).revision
        if len(self._taken_back) > MAX_TAKEN_BACK:
            self._taken_back.popitem(last=False)
