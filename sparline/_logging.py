"""Log lines: short sentences, each with the prefix of its part, or structured ones.

loguru is the front of all lines. It is imported with the first line that needs it, since the import
with asyncio and multiprocessing makes a start longer. Structured lines can be sent past it: it looks
up the frame, thread, process and time zone of each line, which nobody reads.
"""

import sys
import time
from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any, Protocol


class LineLevel(Enum):
    """Name the levels of lines, with their numbers in loguru."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40


class LineSink(Protocol):
    """Take structured lines."""

    def append(self, at_s: float, level: str, event: str, fields: Mapping[str, object]) -> None:
        """Take one line of a time of day (s); raise what the encoder raises."""


class _Line:
    """Hold the fields of a line that goes to a sink."""

    __slots__ = ("_fields", "_front")

    def __init__(self, front: "LogFront", fields: dict[str, object]) -> None:
        self._front = front
        self._fields = fields

    def info(self, event: str) -> None:
        self._front.write(LineLevel.INFO, event, self._fields)

    def warning(self, event: str) -> None:
        self._front.write(LineLevel.WARNING, event, self._fields)

    def error(self, event: str) -> None:
        self._front.write(LineLevel.ERROR, event, self._fields)


class LogFront:
    """Stand for loguru's logger, and send structured lines to a sink where there is one."""

    def __init__(self) -> None:
        """Start as loguru does, without a sink."""
        self._logger: Any = None
        self._sink: LineSink | None = None
        self._min_number = 0
        self._on_import: Callable[[Any], None] | None = None

    def send_lines_to(
        self, sink: LineSink, min_level: LineLevel, on_import: Callable[[Any], None]
    ) -> None:
        """Send structured lines of a level and above to a sink.

        `on_import` is given loguru's logger, once it is there, to configure it for all other lines.
        """
        self._sink, self._min_number = sink, min_level.value
        self._on_import = on_import
        if self._logger is not None or "loguru" in sys.modules:
            self._configure()

    def is_written(self, level: LineLevel) -> bool:
        """Tell whether lines of a level are written, so that their fields have to be built."""
        return level.value >= self._min_number

    def bind(self, **fields: object) -> Any:
        """Return a logger whose lines carry fields; a structured line's message is its event."""
        if self._sink is None:
            return self._loguru().bind(**fields)
        return _Line(self, fields)

    def write(self, level: LineLevel, event: str, fields: Mapping[str, object]) -> None:
        """Write one structured line."""
        if self._sink is None:
            self._loguru().bind(**fields).log(level.name, event)
            return
        if level.value < self._min_number:
            return
        try:
            self._sink.append(time.time(), level.name, event, fields)
        except Exception:
            # A line that can't be encoded ends no request: loguru reports it on standard error.
            self._loguru().bind(**fields).log(level.name, event)

    def __getattr__(self, name: str) -> Any:
        """Return what loguru's logger has under a name."""
        return getattr(self._loguru(), name)

    def _loguru(self) -> Any:
        if self._logger is None:
            self._configure()
        return self._logger

    def _configure(self) -> None:
        from loguru import logger

        self._logger = logger
        if self._on_import is not None:
            on_import, self._on_import = self._on_import, None
            on_import(logger)


log = LogFront()


def configure_logging(level: str, instance_id: str) -> None:
    """Write lines of a level and above to standard error."""
    log.remove()
    line = "{time:YYYY-MM-DDTHH:mm:ss.SSS} {level} " + instance_id + " {message}"
    log.add(sys.stderr, level=level, format=line, backtrace=False, diagnose=False)
