"""Splitting of a byte stream into complete server-sent events."""

import re

EVENT_TERMINATOR = re.compile(rb"\r?\n\r?\n")
MAX_TERMINATOR_BYTES = 4
# Ids are counters or points in time, at most a signed number of 64 bits.
MAX_ID_DIGITS = 19
BOM = b"\xef\xbb\xbf"
# The value of the field, empty without one.
EVENT_ID_LINE = re.compile(rb"(?:^(?:\xef\xbb\xbf)?|\n)id(?::[ ]?([^\r\n]*))?(?=\r?\n)")
# Without this field, or an id, lines are no event: comments and reconnection times.
EVENT_DATA_LINE = re.compile(rb"(?:^(?:\xef\xbb\xbf)?|\n)data[:\r\n]")


class EventOutOfOrder(Exception):
    """Signal that a resumed run does not go on behind the last event that the caller has."""


class EventSplitter:
    """Emit only complete events so that a resumed stream neither repeats nor omits any.

    A resumed run has to show by the id of an event that it goes on where it should. Events without an
    id are held until then, or until the run has ended.
    """

    def __init__(self, resume_after: int | None) -> None:
        """Start after the last event that the caller received."""
        self.last_id = resume_after  # id of the last complete event, None before the first
        self.events = 0  # number of complete events
        # Whether `last_id` tells the events that the caller has from those that it lacks.
        self.knows_last_event = True
        self._do_ids_rise = True  # whether each id so far was above those before it
        self._awaits_id = False  # whether the run has yet to show where it goes on
        self._held = b""  # complete events from before that
        self._has_emitted = False  # whether any bytes were emitted
        self._begins_run = True  # whether the next bytes to emit are the first of their run
        self._pending = b""

    def begin_attempt(self) -> None:
        """Discard what the previous attempt did not get to emit; the next attempt sends it again."""
        self._held = self._pending = b""
        self._begins_run = True
        self._awaits_id = self.last_id is not None

    def feed(self, data: bytes) -> bytes:
        """Append data and return the bytes of the events that are now complete.

        Raise `EventOutOfOrder` if they do not follow the last event that the caller received.
        """
        # What was searched before holds no terminator, except for one that has just been completed.
        searched = max(len(self._pending) - MAX_TERMINATOR_BYTES, 0)
        self._pending += data
        end = 0
        for match in EVENT_TERMINATOR.finditer(self._pending, searched):
            self._take_event(self._pending[end : match.end()])
            end = match.end()
        self._held += self._pending[:end]
        self._pending = self._pending[end:]
        return b"" if self._awaits_id else self._take_held()

    def _take_event(self, event: bytes) -> None:
        ids = EVENT_ID_LINE.findall(event)
        if not ids and not EVENT_DATA_LINE.search(event):
            return
        event_id = _parse_id(ids[-1]) if ids else None
        if self._awaits_id:
            if event_id is None:
                return
            self._check_order(event_id)
        self._note_event(event_id)

    def _check_order(self, event_id: int) -> None:
        """Raise unless a resumed run goes on behind the last event that the caller received."""
        if self.last_id is not None and event_id <= self.last_id:
            raise EventOutOfOrder(f"expected an event behind {self.last_id}, found {event_id}")
        self._awaits_id = False

    def _note_event(self, event_id: int | None) -> None:
        self.events += 1
        if event_id is not None:
            self._do_ids_rise &= self.last_id is None or event_id > self.last_id
            self.last_id = event_id
        self.knows_last_event = event_id is not None and self._do_ids_rise

    def pending_bytes(self) -> int:
        """Return the number of buffered bytes that have not been emitted."""
        return len(self._held) + len(self._pending)

    def is_within_event(self) -> bool:
        """Tell whether an event has begun and is not complete; line ends alone begin none."""
        return bool(self._pending.strip())

    def rest(self) -> bytes:
        """Return the bytes that have not been emitted of a response that ended normally."""
        self._held += self._pending
        self._pending = b""
        return self._take_held()

    def _take_held(self) -> bytes:
        """Return what is held; a mark of the byte order may only begin the whole stream."""
        taken, self._held = self._held, b""
        if self._has_emitted and self._begins_run:
            taken = taken.removeprefix(BOM)
        if taken:
            self._has_emitted, self._begins_run = True, False
        return taken


def _parse_id(text: bytes) -> int | None:
    """Return an id, None if it is not a whole number that fits."""
    text = text.strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ID_DIGITS else None
