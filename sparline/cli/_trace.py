"""`sparline trace`: one request's way through the logs of several instances."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sparline.cli._exit_codes import ExitCode

# Fields of a line that are printed apart from its other fields.
_FIRST = ("at", "instance", "level", "event", "request_id")


@dataclass(frozen=True, slots=True)
class TraceLine:
    """Hold one log line about a request."""

    at_s: float  # time of day on the instance that wrote it
    instance: str  # who wrote it
    event: str  # what was decided
    fields: dict[str, Any]  # inputs and outcome


def trace(options: argparse.Namespace) -> ExitCode:
    """Print every line about a request in the order of time."""
    try:
        lines = sorted(
            (line for name in options.logs or ["-"] for line in _lines_about(options.id, name)),
            key=lambda line: line.at_s,
        )
    except OSError as error:
        print(f"expected readable logs, found: {error}", file=sys.stderr)
        return ExitCode.REFUSED
    for line in lines:
        print(render(line))
    if not lines:
        print(f"no line about {options.id}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    return ExitCode.OK


def _lines_about(request_id: str, name: str) -> Iterator[TraceLine]:
    if name == "-":
        yield from read_lines(request_id, sys.stdin)
        return
    with Path(name).open(encoding="utf-8", errors="replace") as log:
        yield from read_lines(request_id, log)


def read_lines(request_id: str, texts: Iterable[str]) -> Iterator[TraceLine]:
    """Yield the lines about a request; whatever stands before the JSON is passed over."""
    for text in texts:
        if request_id not in text:
            continue
        try:
            document = json.loads(text[text.index("{") :])
        except ValueError:
            # Another program's line, or one that was cut off.
            continue
        if document.get("request_id") == request_id:
            fields = {key: value for key, value in document.items() if key not in _FIRST}
            yield TraceLine(document["at"], document["instance"], document["event"], fields)


def render(line: TraceLine) -> str:
    """Return a line as it is printed."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    return f"{line.at_s:.3f} {line.instance} {line.event} {fields}"
