"""The record of one play: what was sent, answered and run."""

import json
from pathlib import Path
from time import monotonic


class Record:
    """Write lines with the time since the start."""

    def __init__(self, path: Path) -> None:
        """Begin a new file."""
        self._file = path.open("w", encoding="utf-8")
        self._began_s = monotonic()

    def note(self, event: str, **fields: object) -> None:
        """Write one line."""
        at_s = round(monotonic() - self._began_s, 3)
        self._file.write(json.dumps({"at_s": at_s, "event": event, **fields}) + "\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write a line, and print it."""
        self.note("say", text=text)
        print(text, flush=True)
