"""Pauses in reading from connections that always have bytes."""

import gevent

# Bytes that a greenlet reads without a pause. A read that finds bytes returns without letting any other
# greenlet run, and no timer fires meanwhile.
TURN_BYTES = 262_144
# Pause after them (s), in which the event loop serves all others.
PAUSE_S = 0.001


class ReadTurn:
    """Let other greenlets run now and then while one of them reads on and on."""

    def __init__(self) -> None:
        """Begin a turn."""
        self._read_bytes = 0

    def note_read(self, read_bytes: int) -> None:
        """Count bytes that were read."""
        self._read_bytes += read_bytes

    def pause_if_due(self) -> None:
        """Pause if enough bytes were read since the last pause."""
        if self._read_bytes >= TURN_BYTES:
            self._read_bytes = 0
            gevent.sleep(PAUSE_S)
