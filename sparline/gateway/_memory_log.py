"""Log lines on requests and connections that are given up for want of memory or descriptors."""

from sparline._logging import LineLevel, log
from sparline.gateway._connection_table import ConnectionEnd
from sparline.gateway._log_output import LineBudget
from sparline.http import RoomShortage
from sparline.requests import Origin, Reason

# Maximum rate of these lines (per second); counters have them all.
SHORTAGE_LINES_PER_S = 20


class MemoryLog:
    """Write a line for each decision, as far as the budget of lines goes."""

    def __init__(self) -> None:
        """Start with a whole budget."""
        self._lines = LineBudget(SHORTAGE_LINES_PER_S)

    def left_out(self) -> int:
        """Return the number of lines that were not written."""
        return self._lines.left_out

    def note_refused(
        self, request_id: str, origin: Origin, reason: Reason, shortage: RoomShortage
    ) -> None:
        """Record a body that was given up."""
        if not (log.is_written(LineLevel.INFO) and self._lines.take()):
            return
        log.bind(
            request_id=request_id,
            origin=origin.value,
            status=503,
            reason=reason.value,
            body_bytes=shortage.body_bytes,
            held_bytes=shortage.held_bytes,
            limit_bytes=shortage.limit_bytes,
            unfinished=shortage.unfinished_count,
            waited_ms=round(shortage.waited_ms),
        ).info("body_given_up")

    def note_closed(self, why: ConnectionEnd, count: int) -> None:
        """Record connections of callers that were closed to keep descriptors free."""
        if log.is_written(LineLevel.INFO) and self._lines.take():
            log.bind(why=why.value, count=count).info("connections_closed")
