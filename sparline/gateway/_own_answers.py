"""Responses to requests that are answered before they are forwarded."""

from collections.abc import Callable

from sparline._ids import PartDigest
from sparline.fleet import FleetState
from sparline.forwarding import OwnAnswer, reject_quarantined
from sparline.gateway._admission import NotAdmitted
from sparline.gateway._request_log import RequestLog
from sparline.http import CallerConnection, Headers
from sparline.platform import RequestHead, refusal_headers, relayed_refusal_headers
from sparline.quarantine import short_hex
from sparline.requests import Origin, Reason, UnknownCaller

# Retry delay for a relayed request that has no route here (ms). The instance that relayed it
# then tries elsewhere.
NO_ROUTE_RETRY_AFTER_MS = 500.0
# Retry delay for callers whom a newer configuration may allow what they ask (ms). Instances that are
# connected receive a new version within a second or two.
OUTDATED_RETRY_AFTER_MS = 400.0


class OwnAnswers:
    """Refuse and reject requests, and log that."""

    def __init__(self, fleet: FleetState, request_log: RequestLog) -> None:
        """Answer for one instance."""
        self._fleet = fleet
        self._log = request_log

    def refuse_not_admitted(
        self, caller: CallerConnection, origin: Origin, decision: NotAdmitted
    ) -> None:
        """Refuse a request that no allowed region admits; `AdmissionGate` has logged it."""
        headers = _headers_for(origin)
        # Tells a relaying instance not to try another instance of this region.
        answer = OwnAnswer(False, decision.retry_after_ms, is_region_full=True)
        caller.answer(503, headers(answer), b"")
        self._log.count_rejected(Reason.ADMISSION_LEVEL)

    def answer_unknown_caller(
        self, caller: CallerConnection, marks: RequestHead, origin: Origin, unknown: UnknownCaller
    ) -> None:
        """Answer a request without a known organisation."""
        request_id = marks.request_id
        if origin is Origin.RELAY:
            self.refuse(caller, request_id, origin, unknown.reason, NO_ROUTE_RETRY_AFTER_MS)
            return
        text = unknown.text
        withdrawn_at = self._fleet.withdrawn_at(marks.key.digest) if marks.key.digest else None
        if withdrawn_at is not None:
            text = f"{text}; it was withdrawn by version {withdrawn_at}"
        self.reject(caller, request_id, 401, unknown.reason, text)

    def refuse_as_behind(self, caller: CallerConnection, request_id: str) -> None:
        """Refuse what a newer configuration may allow; a caller would not repeat it after 401 or 404."""
        self.refuse(
            caller,
            request_id,
            Origin.CALLER,
            Reason.CONFIGURATION_BEHIND,
            OUTDATED_RETRY_AFTER_MS,
        )

    def refuse(
        self,
        caller: CallerConnection,
        request_id: str,
        origin: Origin,
        reason: Reason,
        retry_after_ms: float,
    ) -> None:
        """Refuse a request that has not run and may be retried after a delay."""
        headers = _headers_for(origin)
        status = 429 if reason is Reason.LIMIT else 503
        caller.answer(status, headers(OwnAnswer(False, retry_after_ms)), b"")
        self._log.note_rejected(request_id, status, reason, "not run")

    def refuse_body(
        self,
        caller: CallerConnection,
        request_id: str,
        origin: Origin,
        reason: Reason,
        retry_after_ms: float,
    ) -> None:
        """Refuse a request whose body is not read to its end; `MemoryLog` logs it."""
        caller.closing = True
        headers = _headers_for(origin)
        caller.answer(503, headers(OwnAnswer(False, retry_after_ms)), b"")
        self._log.count_rejected(reason)

    def reject_quarantined_part(
        self, caller: CallerConnection, request_id: str, origin: Origin, part: PartDigest
    ) -> None:
        """Reject a request that has a part in quarantine, before it uses any limit."""
        reject_quarantined(caller, _headers_for(origin), Reason.QUARANTINED_PART)
        self._log.note_rejected(request_id, 502, Reason.QUARANTINED_PART, short_hex(part))

    def reject(
        self, caller: CallerConnection, request_id: str, status: int, reason: Reason, text: str
    ) -> None:
        """Reject an invalid or unauthorised request with an error text, without Retry-After."""
        if status not in (401, 404):
            caller.closing = True
        body = text.encode() + b"\n"
        headers = [(b"Content-Type", b"text/plain; charset=utf-8")]
        if status == 401:
            headers.append((b"WWW-Authenticate", b"Bearer"))
        caller.answer(status, headers, body)
        self._log.note_rejected(request_id, status, reason, text)


def _headers_for(origin: Origin) -> Callable[[OwnAnswer], Headers]:
    return relayed_refusal_headers if origin is Origin.RELAY else refusal_headers
