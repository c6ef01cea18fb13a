"""A copy of the store's items, ordered by revision, that instances can pass on."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline.schema._gossip import StoreCopy, StoreItemNote

# Deleted items that are remembered, so that a copy of what has changed names them (count).
MOST_DELETED = 2_000


@dataclass(frozen=True, slots=True)
class StoreChange:
    """Hold one change of one item."""

    key: str  # name of the item
    revision: int  # the store's revision of the change
    value: bytes | None  # new content, None where it was deleted


OnChange = Callable[[StoreChange], None]


class StoreCopyTable:
    """Hold the newest known state of each item; older news change nothing."""

    def __init__(self, on_change: OnChange) -> None:
        """Start empty; `on_change` is told of each change that counts."""
        self.revision = 0  # everything up to here is held
        self._items: dict[str, StoreChange] = {}
        self._deleted: dict[str, StoreChange] = {}
        self._oldest_delta = 0  # changes after this revision can be told one by one
        self._on_change = on_change

    def apply(self, changes: list[StoreChange], revision: int) -> None:
        """Take in changes that reach up to a revision."""
        for change in sorted(changes, key=lambda one: one.revision):
            self._apply_one(change)
        self.revision = max(self.revision, revision)

    def replace(self, changes: list[StoreChange], revision: int) -> None:
        """Take in a complete list; what it lacks was deleted by then."""
        if revision < self.revision:
            return
        named = {change.key for change in changes}
        gone = [key for key, one in self._items.items() if key not in named]
        self.apply([*changes, *(StoreChange(key, revision, None) for key in gone)], revision)
        # What was deleted before is not in the list, so older readers need everything.
        self._oldest_delta = max(self._oldest_delta, revision)

    def _apply_one(self, change: StoreChange) -> None:
        known = self._items.get(change.key) or self._deleted.get(change.key)
        if known is not None and known.revision >= change.revision:
            return
        if change.value is None:
            was_held = self._items.pop(change.key, None)
            self._deleted[change.key] = change
            self._trim_deleted()
            if was_held is None:
                return
        else:
            self._deleted.pop(change.key, None)
            self._items[change.key] = change
        self._on_change(change)

    def _trim_deleted(self) -> None:
        while len(self._deleted) > MOST_DELETED:
            oldest = min(self._deleted.values(), key=lambda one: one.revision)
            del self._deleted[oldest.key]
            self._oldest_delta = oldest.revision

    def since(self, revision: int) -> StoreCopy:
        """Return what has changed after a revision, or everything where that is not known."""
        whole = revision < self._oldest_delta or revision <= 0
        changes = list(self._items.values()) if whole else self._changes_after(revision)
        notes = [StoreItemNote(one.key, one.revision, one.value) for one in changes]
        return StoreCopy(self.revision, whole, notes)

    def _changes_after(self, revision: int) -> list[StoreChange]:
        both = [*self._items.values(), *self._deleted.values()]
        return [one for one in both if one.revision > revision]

    def take_copy(self, copy: StoreCopy) -> None:
        """Take in a peer's copy."""
        changes = [StoreChange(one.key, one.revision, one.value) for one in copy.items]
        if copy.whole:
            self.replace(changes, copy.revision)
        else:
            self.apply(changes, copy.revision)
