"""Stubs of the store and of its copy for tests."""

from sparline.fleet import (
    StoreChange,
    StoreCopyTable,
    StorePosition,
)


def at(revision: int, era: int = 0) -> StorePosition:
    return StorePosition(era, revision)


def copy_of(state: dict[str, bytes]) -> StoreCopyTable:
    def note(change: StoreChange) -> None:
        state.pop(change.key, None)
        if change.value is not None:
            state[change.key] = change.value

    return StoreCopyTable(note)


class ScriptedStore:
    """Stub store client that returns scripted answers."""

    def __init__(self, *answers: object) -> None:
        self.answers = list(answers)
        self.calls: list[str] = []
        self.waits: list[int] = []
        self.timeouts: list[int] = []

    def _next(self, call: str):
        self.calls.append(call)
        return self.answers.pop(0)

    def read_all(self, timeout_ms: float):
        return self._next("read")

    def watch(self, after: int, wait_ms: int, timeout_ms: float):
        assert wait_ms < timeout_ms
        self.waits.append(wait_ms)
        self.timeouts.append(timeout_ms)
        return self._next(f"watch {after}")

    def evacuation_changes(self, after: int, timeout_ms: float):
        return self._next(f"evacuations {after}")

    def interrupt(self) -> None:
        self.calls.append("interrupt")
