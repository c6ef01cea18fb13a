"""Changes that only the list of a restored store shows, held back until they are confirmed."""

from dataclasses import dataclass

from sparline.fleet._store_copy import StoreChange


@dataclass(frozen=True, slots=True)
class _HeldChange:
    change: StoreChange
    grace_ms: float  # how long it is held back
    until_ms: float  # end of that time (process clock)


class UnconfirmedChanges:
    """Hold back at most one change of each item."""

    def __init__(self) -> None:
        """Hold nothing."""
        self._by_key: dict[str, _HeldChange] = {}

    def hold(self, change: StoreChange, grace_ms: float, now: float) -> None:
        """Hold a change back for `grace_ms` from `now` (process clock, ms)."""
        self._by_key[change.key] = _HeldChange(change, grace_ms, now + grace_ms)

    def drop(self, key: str) -> None:
        """Forget the held change of an item, which a later change has settled."""
        self._by_key.pop(key, None)

    def take_overdue(self, now: float) -> list[StoreChange]:
        """Remove and return the changes whose grace period has ended."""
        overdue = [one.change for one in self._by_key.values() if now >= one.until_ms]
        for change in overdue:
            del self._by_key[change.key]
        return overdue

    def restart(self, now: float) -> None:
        """Begin all grace periods anew, since nothing could be confirmed in them."""
        for one in list(self._by_key.values()):
            self.hold(one.change, one.grace_ms, now)
