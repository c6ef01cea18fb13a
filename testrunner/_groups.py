"""Which test files a pytest process runs, and in which order the groups of files are started."""

from collections import defaultdict
from collections.abc import Iterable
from pathlib import Path

# Folders whose tests start many processes or simulate fleets, the slowest first.
SLOW_FOLDERS = (
    "sparline/fleet/exchanges/tests",
    "sparline/fleet/tests",
    "testrunner/tests",
    "benchmarks/tests",
    "sparline/gateway/tests",
    "sparline/tests",
)
# Folders that hold no tests of this repository; those with a leading dot are skipped as well.
FOREIGN_FOLDERS = frozenset({"build", "dist", "target"})


def find_test_files(root: Path) -> list[str]:
    """Return the test files below a folder, relative to it and sorted.

    Raises `OSError` where a folder cannot be read.
    """
    return sorted(
        relative.as_posix()
        for path in root.rglob("test_*.py")
        if not _is_foreign(relative := path.relative_to(root))
    )


def _is_foreign(path: Path) -> bool:
    return path.parts[0] in FOREIGN_FOLDERS or any(part.startswith(".") for part in path.parts)


def group_files(
    files: Iterable[str], slow_folders: Iterable[str] = SLOW_FOLDERS
) -> list[list[str]]:
    """Return the groups of files in the order in which they are started.

    Each file of a slow folder is a group of its own. Each other folder is one group, which
    saves the start of a process per file.
    """
    by_folder: dict[str, list[str]] = defaultdict(list)
    for file in files:
        by_folder[file.rpartition("/")[0]].append(file)
    slow = [[file] for folder in slow_folders for file in by_folder.pop(folder, [])]
    return slow + list(by_folder.values())
