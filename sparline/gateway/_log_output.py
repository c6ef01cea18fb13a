"""Bounded, non-blocking output of structured log lines to standard output."""

import os
import sys
from collections import deque
from collections.abc import Mapping
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from sparline._clock import now_ms
from sparline._logging import LineLevel, log

# Maximum number of lines queued for a slow reader; further lines are dropped and counted.
MAX_QUEUED_LINES = 2_000
# Delay before the next write to a reader whose pipe is full (ms).
BLOCKED_WRITE_DELAY_MS = 50.0
STDOUT_FD = 1


class LogOutput:
    """Queue lines and write them in the background."""

    def __init__(self, name: str) -> None:
        """Create an output; each line carries the instance's name."""
        self.dropped = 0  # lines lost because the queue was full or the reader was gone
        self._name = name
        self._lines: deque[bytes] = deque()
        self._has_lines = Event()
        os.set_blocking(STDOUT_FD, False)

    def sink(self, message: object) -> None:
        """Queue a loguru message."""
        record = message.record  # type: ignore[attr-defined]
        level = record["level"].name
        self.append(record["time"].timestamp(), level, record["message"], record["extra"])

    def append(self, at_s: float, level: str, event: str, fields: Mapping[str, object]) -> None:
        """Queue a line with a wall-clock time (s); pass on exceptions of the encoder."""
        if len(self._lines) >= MAX_QUEUED_LINES:
            self.dropped += 1
            return
        line = {
            "at": round(at_s, 3),
            "instance": self._name,
            "level": level,
            "event": event,
            **fields,
        }
        self._lines.append(msgspec.json.encode(line) + b"\n")
        if not self._has_lines.is_set():
            self._has_lines.set()

    def run(self) -> None:
        """Write queued lines until the process ends."""
        while True:
            self._has_lines.wait()
            self._has_lines.clear()
            while self._lines:
                self._write(self._lines.popleft())

    def _write(self, line: bytes) -> None:
        rest = line
        while rest:
            try:
                rest = rest[os.write(STDOUT_FD, rest) :]
            except BlockingIOError:
                gevent.sleep(BLOCKED_WRITE_DELAY_MS / 1000)
            except OSError:
                # The reader is gone, and there is nowhere else to report it.
                self.dropped += 1
                return

    def flush(self) -> None:
        """Write the queued lines that the reader accepts without waiting; drop the others."""
        while self._lines:
            try:
                os.write(STDOUT_FD, self._lines.popleft())
            except OSError:
                self.dropped += 1


def configure(output: LogOutput, level: str) -> None:
    """Send all lines of a level and above to an output."""

    def configure_loguru(logger: Any) -> None:
        logger.remove()
        logger.add(output.sink, level=level, format="{message}", backtrace=False, diagnose=False)

    log.send_lines_to(output, LineLevel[level], configure_loguru)


class LineBudget:
    """Limit the rate of one kind of log line, and count the lines left out."""

    def __init__(self, lines_per_s: float) -> None:
        """Create a budget that allows bursts of one second's lines."""
        self.left_out = 0  # lines that were not written
        self._per_s = lines_per_s
        self._available = lines_per_s
        self._at_ms = now_ms()

    def take(self) -> bool:
        """Return whether another line may be written, and take it from the budget if so."""
        now = now_ms()
        self._available = min(
            self._available + (now - self._at_ms) / 1000 * self._per_s, self._per_s
        )
        self._at_ms = now
        if self._available < 1:
            self.left_out += 1
            return False
        self._available -= 1
        return True


def print_startup_error(text: str) -> None:
    """Print on standard error why the program does not start."""
    print(text, file=sys.stderr, flush=True)
