"""Structured log lines on standard output, bounded and never waited for."""

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

# Lines that may wait for a slow reader (count); what comes beyond is counted and dropped.
MOST_WAITING = 2_000
# How long the writer rests when the reader takes nothing (ms).
FULL_PAUSE_MS = 50.0
STANDARD_OUTPUT = 1


class LogOutput:
    """Write lines in the background."""

    def __init__(self, name: str) -> None:
        """Name the instance that every line carries."""
        self.dropped = 0  # lines that found no room
        self._name = name
        self._lines: deque[bytes] = deque()
        self._some = Event()
        os.set_blocking(STANDARD_OUTPUT, False)

    def sink(self, message: object) -> None:
        """Take one line of loguru's."""
        record = message.record  # type: ignore[attr-defined]
        level = record["level"].name
        self.append(record["time"].timestamp(), level, record["message"], record["extra"])

    def append(self, at_s: float, level: str, event: str, fields: Mapping[str, object]) -> None:
        """Take one line of a time of day (s); raise what the encoder raises."""
        if len(self._lines) >= MOST_WAITING:
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
        if not self._some.is_set():
            self._some.set()

    def run(self) -> None:
        """Write for as long as the process lives."""
        while True:
            self._some.wait()
            self._some.clear()
            while self._lines:
                self._write(self._lines.popleft())

    def _write(self, line: bytes) -> None:
        rest = line
        while rest:
            try:
                rest = rest[os.write(STANDARD_OUTPUT, rest) :]
            except BlockingIOError:
                gevent.sleep(FULL_PAUSE_MS / 1000)
            except OSError:
                # Nobody reads any more; there is no other place to say so.
                self.dropped += 1
                return

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it at once."""
        while self._lines:
            try:
                os.write(STANDARD_OUTPUT, self._lines.popleft())
            except OSError:
                self.dropped += 1


def configure(output: LogOutput, level: str) -> None:
    """Send every line of a level and above to an output."""

    def configure_loguru(logger: Any) -> None:
        logger.remove()
        logger.add(output.sink, level=level, format="{message}", backtrace=False, diagnose=False)

    log.send_lines_to(output, LineLevel[level], configure_loguru)


class LineBudget:
    """Bound the lines of one kind a second; the rest are counted."""

    def __init__(self, lines_per_s: float) -> None:
        """Allow a second's lines at once."""
        self.left_out = 0  # lines that were not written
        self._per_s = lines_per_s
        self._left = lines_per_s
        self._at_ms = now_ms()

    def take(self) -> bool:
        """Tell whether one more line may be written."""
        now = now_ms()
        self._left = min(self._left + (now - self._at_ms) / 1000 * self._per_s, self._per_s)
        self._at_ms = now
        if self._left < 1:
            self.left_out += 1
            return False
        self._left -= 1
        return True


def print_refusal(text: str) -> None:
    """Say in one line why the program does not start."""
    print(text, file=sys.stderr, flush=True)
