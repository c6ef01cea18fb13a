"""`sparline trace`: one request's way through the logs of several instances, and its repeats'."""

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from sparline.cli._exit_codes import ExitCode

# Stands in lines that say which repeats belong together.
CONTENT_MARK = '"content"'
# Fields of a line that are printed apart from its other fields.
_FIRST = ("at", "instance", "level", "event", "request_id")


@dataclass(frozen=True, slots=True)
class TraceLine:
    """Hold one log line about a request, or about a content that it may have."""

    at_s: float  # time of day on the instance that wrote it
    instance: str  # who wrote it
    event: str  # what was decided
    request_id: str  # the request, empty where the line is about all with a content
    fields: dict[str, Any]  # inputs and outcome

    @property
    def content(self) -> str:
        """Return what the request's repeats have in common, empty where the line tells nothing."""
        return self.fields.get("content", "")


def trace(options: argparse.Namespace) -> ExitCode:
    """Print every line about a request, or about a content, in the order of time."""
    try:
        read = [line for name in options.logs or ["-"] for line in _lines_of(options.id, name)]
    except OSError as error:
        print(f"expected readable logs, found: {error}", file=sys.stderr)
        return ExitCode.REFUSED
    lines = sorted(about(options.id, read), key=lambda line: line.at_s)
    for line in lines:
        print(render(line))
    if not lines:
        print(f"no line about {options.id}", file=sys.stderr)
        return ExitCode.UNREACHABLE
    return ExitCode.OK


def _lines_of(name: str, log_name: str) -> Iterator[TraceLine]:
    if log_name == "-":
        yield from read_lines(name, sys.stdin)
        return
    with Path(log_name).open(encoding="utf-8", errors="replace") as log:
        yield from read_lines(name, log)


def about(name: str, lines: list[TraceLine]) -> list[TraceLine]:
    """Return the lines about a request and its repeats, or about a content.

    Repeats have ids of their own; they belong together by their `content`.
    """
    contents = {line.content for line in lines if line.request_id == name} | {name}
    return [line for line in lines if line.request_id == name or line.content in contents - {""}]


def read_lines(name: str, texts: Iterable[str]) -> Iterator[TraceLine]:
    """Yield the lines that name a request or any content; what stands before the JSON is passed over."""
    for text in texts:
        if name not in text and CONTENT_MARK not in text:
            continue
        try:
            document = json.loads(text[text.index("{") :])
        except ValueError:
            # Another program's line, or one that was cut off.
            continue
        fields = {key: value for key, value in document.items() if key not in _FIRST}
        if document.get("request_id") == name or "content" in fields:
            yield TraceLine(
                document["at"],
                document["instance"],
                document["event"],
                document.get("request_id", ""),
                fields,
            )


def render(line: TraceLine) -> str:
    """Return a line as it is printed."""
    fields = " ".join(f"{key}={value}" for key, value in line.fields.items())
    name = f"{line.request_id} " if line.content and line.request_id else ""
    return f"{line.at_s:.3f} {line.instance} {line.event} {name}{fields}"
