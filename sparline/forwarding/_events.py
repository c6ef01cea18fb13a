"""Server-sent events cut out of a stream of bytes, whole or not at all."""

import re

EVENT_END = re.compile(rb"\r?\n\r?\n")
ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?(\d+)")


class EventCutter:
    """Pass on whole events only, so that a resumed stream repeats and lacks nothing."""

    def __init__(self, resume_after: int | None) -> None:
        """Start after the last event that the caller has."""
        self.last_id = resume_after  # id of the last whole event, None before the first
        self.events = 0  # whole events so far
        self._pending = b""

    def begin_attempt(self) -> None:
        """Drop a broken event of the run before; the next run sends it again."""
        self._pending = b""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of the events that are whole now."""
        self._pending += data
        end = 0
        for match in EVENT_END.finditer(self._pending):
            end = match.end()
            self.events += 1
        whole, self._pending = self._pending[:end], self._pending[end:]
        ids = ID_LINE.findall(whole)
        if ids:
            self.last_id = int(ids[-1])
        return whole

    def pending_bytes(self) -> int:
        """Return how much of an event that is not whole is held."""
        return len(self._pending)

    def rest(self) -> bytes:
        """Return bytes behind the last whole event, for an answer that ended properly."""
        rest, self._pending = self._pending, b""
        return rest
