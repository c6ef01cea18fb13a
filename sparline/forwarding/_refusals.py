"""What an answer that holds no result says of its server, and how it ends an attempt."""

from sparline.forwarding._attempt_types import AttemptDependencies, AttemptEnd, AttemptResult
from sparline.forwarding._wire import AnswerKind, AnswerMeaning
from sparline.placement import Placement
from sparline.requests import Reason


class Refusals:
    """Record what the answers of one attempt say of its server or peer."""

    def __init__(self, dependencies: AttemptDependencies, placement: Placement) -> None:
        """Set where the request was sent."""
        self._dependencies = dependencies
        self._placement = placement
        self._server_id = placement.server.id

    def note_unreachable(self) -> None:
        """Record that the server or peer can't be reached."""
        if self._placement.peer is not None:
            self._dependencies.note_peer(self._placement.peer.note.ip, False)
        else:
            self._dependencies.health.note_unreachable(self._server_id)
            self._dependencies.note_way_failure()

    def end(self, meaning: AnswerMeaning, interruption: Reason) -> AttemptEnd:
        """Return the end of an attempt without a result.

        `interruption` is the reason where the request may have run.
        """
        via_peer = self._placement.peer is not None
        match meaning.kind:
            case AnswerKind.MISDIRECTED:
                self._dependencies.health.note_misdirected(self._server_id)
                return AttemptEnd(AttemptResult.NOT_RUN, Reason.MISDIRECTED)
            case AnswerKind.NOT_RUN:
                self._dependencies.health.note_full(
                    self._server_id, 0.0 if via_peer else self._backoff_ms(meaning)
                )
                reason = Reason.PEER_NOT_RUN if via_peer else Reason.BACKEND_REFUSED
                return AttemptEnd(AttemptResult.NOT_RUN, reason, meaning.retry_after_ms)
            case AnswerKind.NOT_SENT if meaning.is_isolated:
                self.note_unreachable()
                return AttemptEnd(AttemptResult.NOT_RUN, Reason.PEER_ISOLATED)
            case AnswerKind.NOT_SENT:
                return self._not_sent_end(meaning)
            case AnswerKind.QUARANTINED:
                return AttemptEnd(AttemptResult.NOT_RUN, Reason.QUARANTINED)
            case AnswerKind.TIMED_OUT:
                return AttemptEnd(AttemptResult.MAY_HAVE_RUN, Reason.DEADLINE_PASSED)
        self._dependencies.health.note_failure(
            self._server_id, "unknown" if via_peer else "unsigned"
        )
        return AttemptEnd(
            AttemptResult.MAY_HAVE_RUN, interruption, ended_server=meaning.ended_server
        )

    def _not_sent_end(self, meaning: AnswerMeaning) -> AttemptEnd:
        if not meaning.is_region_full:
            self._dependencies.health.note_full(self._server_id)
        return AttemptEnd(
            AttemptResult.NOT_RUN,
            Reason.PEER_NO_ROOM,
            meaning.retry_after_ms,
            is_region_full=meaning.is_region_full,
        )

    def _backoff_ms(self, meaning: AnswerMeaning) -> float:
        """Return how long a server that has refused a request gets none, 0 if it did not ask."""
        pause_ms = self._dependencies.refusal_limits.pause_ms(self._server_id)
        return max(meaning.retry_after_ms, pause_ms)
