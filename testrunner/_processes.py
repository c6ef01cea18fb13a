"""Several pytest processes at once, which take groups of test files from one queue."""

import contextlib
import json
import signal
import subprocess
import sys
import threading
import time
from collections.abc import Generator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path

from testrunner import _result_plugin
from testrunner._results import GroupResult

SETTING = "TEST_PROCESSES"
DEFAULT_PROCESSES = 4
MOST_PROCESSES = 8
# In this time, the fixtures of an interrupted process end the processes that they started.
INTERRUPT_GRACE_S = 20.0


def process_count(environment: Mapping[str, str]) -> int:
    """Return how many pytest processes run at once.

    Raises `ValueError` where the setting is not a number from 1 to `MOST_PROCESSES`.
    """
    text = environment.get(SETTING, str(DEFAULT_PROCESSES))
    if not text.isdecimal() or not 1 <= int(text) <= MOST_PROCESSES:
        raise ValueError(f"{SETTING} is {text!r}, not a number from 1 to {MOST_PROCESSES}")
    return int(text)


class PytestProcesses:
    """Run groups of test files, each in a pytest process, with a limit of processes at once."""

    def __init__(self, root: Path, folder: Path, most: int) -> None:
        """Prepare a run in the repository `root`; outputs and temporary files go to `folder`."""
        self._root = root
        self._folder = folder
        self._most = most
        self._lock = threading.Lock()
        self._running: set[subprocess.Popen[bytes]] = set()
        self._stopping = False

    def run(self, groups: Sequence[list[str]]) -> Generator[GroupResult, None, None]:
        """Yield the result of each group when its process ends.

        A process that is free takes the next group. Where the iteration ends early, the
        processes are interrupted. Raises `OSError` where a process cannot be started.
        """
        with ThreadPoolExecutor(self._most) as threads:
            futures = [
                threads.submit(self._run_group, number, files)
                for number, files in enumerate(groups)
            ]
            try:
                for future in as_completed(futures):
                    yield future.result()
            finally:
                threads.shutdown(wait=False, cancel_futures=True)
                self._stop()

    def _run_group(self, number: int, files: list[str]) -> GroupResult:
        folder = self._folder / f"{number:03d}"
        folder.mkdir()
        result_path = folder / "result.json"
        command = [sys.executable, "-m", "pytest", "-p", _result_plugin.__name__]
        command += [_result_plugin.OPTION, str(result_path), "--basetemp", str(folder / "tmp")]
        began_s = time.monotonic()
        with (folder / "output").open("wb") as output:
            with self._lock:
                if self._stopping:
                    raise InterruptedError("the run ends")
                process = subprocess.Popen(
                    [*command, *files],
                    cwd=self._root,
                    stdin=subprocess.DEVNULL,
                    stdout=output,
                    stderr=subprocess.STDOUT,
                    # A terminal's interrupt reaches the runner only, which passes it on once.
                    start_new_session=True,
                )
                self._running.add(process)
            exit_code = process.wait()
            with self._lock:
                self._running.discard(process)
        counts, collected = _read_result(result_path)
        return GroupResult(
            files,
            exit_code,
            time.monotonic() - began_s,
            (folder / "output").read_text(encoding="utf-8", errors="replace"),
            counts,
            collected,
        )

    def _stop(self) -> None:
        with self._lock:
            self._stopping = True
            running = list(self._running)
        for process in running:
            process.send_signal(signal.SIGINT)
        give_up_s = time.monotonic() + INTERRUPT_GRACE_S
        for process in running:
            with contextlib.suppress(subprocess.TimeoutExpired):
                process.wait(max(give_up_s - time.monotonic(), 0))
            process.kill()


def _read_result(path: Path) -> tuple[dict[str, int] | None, frozenset[str]]:
    try:
        result = json.loads(path.read_bytes())
    except (FileNotFoundError, json.JSONDecodeError):
        return None, frozenset()
    return result["counts"], frozenset(result["collected"])
