"""What the events of one stream show about its engine: prefill speed and gaps between events."""

from collections.abc import Callable
from dataclasses import dataclass

from sparline._clock import now_ms
from sparline.placement._gap_table import GapTable
from sparline.placement._loads import LoadTable, Reservation
from sparline.placement._pace import PaceTable, PrefillWork
from sparline.placement._placement import Placement
from sparline.requests import RoutedRequest

# Fraction of its expected time during which a prefill is certainly running.
CERTAIN_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class WatchTables:
    """Tables that streams update, and the loads that explain their gaps."""

    pace: PaceTable  # times of services and engines
    gaps: GapTable  # which prefills make gaps too long
    loads: LoadTable  # load of backend servers
    process_resumed_at_ms: Callable[[], float] = lambda: 0.0  # when this process last resumed


@dataclass(frozen=True, slots=True)
class _GapPrefill:
    """Prefill that began during a gap."""

    queue_ms: float  # time that the engine needed for the whole queue
    busy_until_ms: float  # until when it was certainly busy with prefill
    gap_ms: float  # length of that gap
    is_alone: bool  # whether nothing else was queued


class StreamWatch:
    """Watches the events of one attempt of a request."""

    def __init__(
        self,
        tables: WatchTables,
        request: RoutedRequest,
        placement: Placement,
        reservation: Reservation,
    ) -> None:
        """Begin when the request is sent."""
        self._tables = tables
        self._request = request
        self._placement = placement
        self._reservation = reservation
        self._sent_at_ms = now_ms()
        self._first_at_ms = 0.0
        self._event_at_ms = 0.0
        self._events = 0
        self._gap_prefill: _GapPrefill | None = None

    def note_event(self) -> None:
        """Record an event that has just arrived completely."""
        if self._placement.peer is not None:
            # Its time includes the network round trip and another instance's choice.
            self._reservation.note_first_event()
            return
        self._events += 1
        if self._events == 1:
            self._first_at_ms = now_ms()
            log_factor = (
                None if self._was_suspended_since(self._sent_at_ms) else self._note_prefill_speed()
            )
            self._reservation.note_first_event(log_factor)
        elif self._was_suspended_since(self._event_at_ms):
            self._gap_prefill = None
        elif self._request.route.pause_target_ms:
            self._note_gap(now_ms() - self._event_at_ms)
        self._event_at_ms = now_ms()

    def note_end(self) -> None:
        """Record that the answer is complete."""
        if self._placement.peer is not None or self._was_suspended_since(self._sent_at_ms):
            return
        service = self._request.service
        self._tables.pace.note_answer(service, now_ms() - self._sent_at_ms)
        prompt = self._request.prompt
        if prompt is not None and self._events:
            took_ms = now_ms() - self._first_at_ms
            self._tables.pace.note_output(service, prompt.max_output_tokens, took_ms)

    def _was_suspended_since(self, at_ms: float) -> bool:
        """Tell whether this process was suspended since then, which makes the time meaningless."""
        return self._tables.process_resumed_at_ms() > at_ms

    def _note_prefill_speed(self) -> float | None:
        """Learn how fast the engine prefills, unless something else delayed the request."""
        placement = self._placement
        prompt = self._request.prompt
        if prompt is None or placement.source is not None or placement.waits:
            return None
        prefill = PrefillWork(
            queued_tokens=placement.load.unread_tokens,
            unread_tokens=placement.unread_tokens,
            cached_tokens=prompt.tokens - placement.unread_tokens,
        )
        took_ms = now_ms() - self._sent_at_ms
        pace = self._tables.pace
        return pace.note_first_event(self._request.service, placement.server.id, prefill, took_ms)

    def _note_gap(self, gap_ms: float) -> None:
        """Learn from a gap in which this instance sent a prompt, and from the next one."""
        service = self._request.service
        target_ms = self._request.route.pause_target_ms
        gaps = self._tables.gaps
        if self._gap_prefill is not None:
            if self._gap_prefill.busy_until_ms >= now_ms():
                gaps.note_gap_during_prefill(service, target_ms, gap_ms)
            is_late = max(gap_ms, self._gap_prefill.gap_ms) > target_ms
            gaps.note_outcome(service, target_ms, self._gap_prefill.queue_ms, is_late)
        self._gap_prefill = self._prefill_during(gap_ms)
        if self._gap_prefill is not None and self._gap_prefill.is_alone:
            gaps.note_base_gap(service, target_ms, self._gap_prefill.queue_ms, gap_ms)

    def _prefill_during(self, gap_ms: float) -> _GapPrefill | None:
        """Return the prefill that this instance sent during the gap, None without one."""
        prefill = self._tables.loads.last_prefill(self._placement.server.id)
        if prefill is None or prefill.at_ms < self._event_at_ms:
            return None
        pace = self._tables.pace.engine(self._request.service, self._placement.server.id)
        # Progress of the prefills queued before is not reported: count them as finished.
        certain_ms = CERTAIN_SHARE * prefill.tokens * pace.token_ms
        return _GapPrefill(
            queue_ms=(prefill.queued_tokens + prefill.tokens) * pace.token_ms,
            busy_until_ms=prefill.at_ms + certain_ms,
            gap_ms=gap_ms,
            is_alone=not prefill.queued_tokens,
        )
