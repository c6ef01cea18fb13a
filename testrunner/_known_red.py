"""The tests that are expected to fail, as `KNOWN-RED.txt` lists them."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

FILE_NAME = "KNOWN-RED.txt"
MOST_ENTRIES = 8
# Entries of these files do not count: each crowd of clients keeps a line of its own.
UNCOUNTED_FILES = frozenset({"benchmarks/tests/test_crowds.py"})
# Starts the text of an entry whose test fails in some runs only.
INTERMITTENT = "intermittent, "


@dataclass(frozen=True, slots=True)
class KnownRed:
    """Hold one entry."""

    test: str  # node id in pytest; without parameters it names all cases of a test
    cause: str  # rest of the entry

    @property
    def must_fail(self) -> bool:
        """Tell whether a pass of the test is an error."""
        return not self.cause.startswith(INTERMITTENT)

    def names(self, node_id: str) -> bool:
        """Tell whether the entry names a test, or all cases of it."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")

    def line(self, outcomes: Mapping[str, str]) -> str:
        """Return the line that reports a run, given the outcomes by node id."""
        found = {outcome for node_id, outcome in outcomes.items() if self.names(node_id)}
        outcome = " and ".join(sorted(found)) or "not run"
        return f"known red ({outcome}): {self.test}, {self.cause}"


def read_known_red(root: Path) -> list[KnownRed]:
    """Return the entries of a repository, in their order; none if it has no such file.

    Raises `ValueError` where a line has no cause or there are more than `MOST_ENTRIES` lines,
    without those of `UNCOUNTED_FILES`.
    """
    path = root / FILE_NAME
    if not path.exists():
        return []
    lines = [line for line in path.read_text(encoding="utf-8").splitlines() if line.strip()]
    counted = sum(line.partition("::")[0] not in UNCOUNTED_FILES for line in lines)
    if counted > MOST_ENTRIES:
        raise ValueError(f"{FILE_NAME} has {counted} lines, at most {MOST_ENTRIES} are allowed")
    entries = []
    for line in lines:
        test, separator, cause = line.partition(", ")
        if not separator:
            raise ValueError(f"{FILE_NAME} has a line without a cause: {line}")
        entries.append(KnownRed(test, cause))
    return entries
