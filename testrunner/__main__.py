"""Run all tests of the repository in the current folder: `python -m testrunner`.

The last line is `N passed, N failed`, with the counts of all processes. The exit code is 0 where
nothing failed and a test ran, 2 where a setting or the list of known red tests is not valid, 130 after an interrupt, otherwise 1.
"""

import os
import shutil
import signal
import sys
import tempfile
from collections.abc import Sequence
from contextlib import closing
from pathlib import Path
from typing import NoReturn

from testrunner._groups import find_test_files, group_files
from testrunner._known_red import KnownRed, read_known_red
from testrunner._processes import PytestProcesses, process_count
from testrunner._results import Totals

EXIT_FAILED = 1
EXIT_WRONG_SETTING = 2
EXIT_INTERRUPTED = 130


def run_all(root: Path, processes: int, known: Sequence[KnownRed]) -> int:
    """Run all test files below `root` and print the results; return the exit code.

    Raises `OSError` where the folder cannot be read or a process cannot be started.
    """
    folder = Path(tempfile.mkdtemp(prefix="sparline-tests-"))
    totals = Totals()
    groups = group_files(find_test_files(root))
    try:
        with closing(PytestProcesses(root, folder, processes).run(groups)) as results:
            for result in results:
                print(f"{result.heading()}\n{result.output.rstrip()}\n", flush=True)
                totals.add(result)
    except KeyboardInterrupt:
        print(f"outputs and temporary files are in {folder}", flush=True)
        raise
    for entry in known:
        if not any(entry.names(one) for one in totals.collected):
            print(entry.line({}))
    if totals.succeeded:
        shutil.rmtree(folder, ignore_errors=True)
    else:
        print(f"outputs and temporary files are in {folder}")
    print("\n".join(totals.lines()), flush=True)
    return 0 if totals.succeeded else EXIT_FAILED


def main() -> int:
    """Run all tests of the current folder; return the exit code."""
    root = Path.cwd()
    try:
        processes, known = process_count(os.environ), read_known_red(root)
    except ValueError as fault:
        print(fault, file=sys.stderr)
        return EXIT_WRONG_SETTING
    signal.signal(signal.SIGTERM, _interrupt)
    try:
        return run_all(root, processes, known)
    except KeyboardInterrupt:
        print("interrupted", file=sys.stderr)
        return EXIT_INTERRUPTED


def _interrupt(_number: int, _frame: object) -> NoReturn:
    raise KeyboardInterrupt


if __name__ == "__main__":
    sys.exit(main())
