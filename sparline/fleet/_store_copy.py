"""A copy of the store's items, versioned by revision, that instances can copy to peers."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from sparline._clock import now_ms
from sparline.schema._gossip import StoreCopy, StoreItemNote

# Maximum number of tombstones kept, so that an incremental copy can include deletions.
MAX_TOMBSTONES = 2_000


@dataclass(frozen=True, slots=True, order=True)
class StorePosition:
    """Locate a state of the store; a greater position is a newer state."""

    era: int  # number of times that the store has come back from an older copy
    revision: int  # store revision, which is ordered within the era only


# Position of an instance that holds nothing of the store.
NO_POSITION = StorePosition(0, 0)


@dataclass(frozen=True, slots=True)
class StoreChange:
    """Hold one change of one store item."""

    key: str  # key of the item
    revision: int  # store revision of the change
    value: bytes | None  # new content, None if deleted
    after_restoration: bool = False  # whether the list of a newer era showed it, not a write


OnChange = Callable[[StoreChange], None]


class StoreCopyTable:
    """Hold the newest known state of each item; older changes are ignored."""

    def __init__(self, on_change: OnChange) -> None:
        """Create an empty copy; `on_change` is called with each effective change."""
        self.position = NO_POSITION  # the copy is complete up to this position
        # When items may last have come and gone unseen, 0 for never.
        self.skipped_at_ms = 0.0
        self.lists = 0  # number of complete lists that were applied
        self._items: dict[str, StoreChange] = {}
        self._tombstones: dict[str, StoreChange] = {}
        # Lowest revision from which an incremental copy is possible.
        self._oldest_delta_revision = 0
        self._on_change = on_change

    @property
    def revision(self) -> int:
        """Return the revision of the position, which counts within its era only."""
        return self.position.revision

    def includes(self, position: StorePosition) -> bool:
        """Return whether the copy is complete up to a position of the era held."""
        return position.era == self.position.era and position <= self.position

    def apply(self, changes: list[StoreChange], position: StorePosition) -> bool:
        """Apply changes that are complete up to a position of the era held, else return False."""
        if position.era != self.position.era:
            return False
        for change in sorted(changes, key=lambda one: one.revision):
            self._apply_one(change)
        self.position = max(self.position, position)
        return True

    def replace(self, changes: list[StoreChange], position: StorePosition) -> bool:
        """Apply a complete list of items, and delete those that it lacks.

        An older list is ignored, which is returned as False.
        """
        if position < self.position:
            return False
        self.lists += 1
        if self.position not in (NO_POSITION, position):
            self.skipped_at_ms = now_ms()
        if position.era != self.position.era:
            self._start_era(changes, position)
            return True
        named = {change.key for change in changes}
        gone = [key for key, one in self._items.items() if key not in named]
        deletions = [StoreChange(key, position.revision, None) for key in gone]
        self.apply([*changes, *deletions], position)
        # The list has no earlier deletions, so peers at an older revision need a complete copy.
        self._oldest_delta_revision = max(self._oldest_delta_revision, position.revision)
        return True

    def _start_era(self, changes: list[StoreChange], position: StorePosition) -> None:
        """Replace all items; revisions of another era say nothing of which state is newer."""
        before = self._items
        self._items = {change.key: change for change in changes}
        self._tombstones.clear()
        self._oldest_delta_revision = position.revision
        self.position = position
        for change in sorted(changes, key=lambda one: one.revision):
            known = before.get(change.key)
            if known is None or known.value != change.value:
                self._on_change(replace(change, after_restoration=True))
        for key in before.keys() - self._items.keys():
            self._on_change(StoreChange(key, position.revision, None, after_restoration=True))

    def _apply_one(self, change: StoreChange) -> None:
        known = self._items.get(change.key) or self._tombstones.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        if change.value is None:
            was_held = self._items.pop(change.key, None)
            self._tombstones[change.key] = change
            self._trim_tombstones()
            if was_held is None:
                # It was written and deleted since the position before.
                self.skipped_at_ms = now_ms()
                return
        else:
            self._tombstones.pop(change.key, None)
            self._items[change.key] = change
        self._on_change(change)

    def _trim_tombstones(self) -> None:
        while len(self._tombstones) > MAX_TOMBSTONES:
            oldest = min(self._tombstones.values(), key=lambda one: one.revision)
            del self._tombstones[oldest.key]
            self._oldest_delta_revision = oldest.revision

    def since(self, revision: int) -> StoreCopy:
        """Return the changes after a revision of this era, or all items if some are not known."""
        whole = revision < self._oldest_delta_revision or revision <= 0
        changes = list(self._items.values()) if whole else self._changes_after(revision)
        notes = [StoreItemNote(one.key, one.revision, one.value) for one in changes]
        return StoreCopy(self.revision, whole, notes, era=self.position.era)

    def _changes_after(self, revision: int) -> list[StoreChange]:
        both = [*self._items.values(), *self._tombstones.values()]
        return [one for one in both if one.revision > revision]

    def take_copy(self, copy: StoreCopy) -> bool:
        """Apply a peer's copy; return False if it is older, or not complete in another era."""
        changes = [StoreChange(one.key, one.revision, one.value) for one in copy.items]
        position = StorePosition(copy.era, copy.revision)
        apply = self.replace if copy.whole else self.apply
        return apply(changes, position)
