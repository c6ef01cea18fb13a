"""Tickets and the ledger of requests that must not run twice at this instance."""

import uuid
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._ids import Incarnation, InstanceId, OrganisationId, RequestId
from sparline.requests._reasons import Reason
from sparline.requests._types import AnswerEnd, not_run, unknown
from sparline.schema._messages import Outcome

# A ticket is accepted for so long; its outcome is kept for longer.
TICKET_TTL_MS = 600_000
OUTCOME_TTL_MS = 2 * TICKET_TTL_MS
MAX_ENTRIES = 200_000


@dataclass(frozen=True, slots=True)
class Ticket:
    """Bind one request id to one incarnation of one instance."""

    instance_id: InstanceId  # the only instance that may run it
    incarnation: Incarnation  # and its only incarnation
    uptime_ms: int  # age of that incarnation when the ticket was made, at the most
    nonce: str  # makes the ticket unique

    def __str__(self) -> str:
        """Return the ticket as callers send it."""
        return f"{self.instance_id}~{self.incarnation}~{self.uptime_ms}~{self.nonce}"


def make_ticket(instance_id: InstanceId, incarnation: Incarnation, uptime_ms: int) -> Ticket:
    """Return a fresh ticket."""
    return Ticket(instance_id, incarnation, uptime_ms, uuid.uuid4().hex)


def parse_ticket(text: str) -> Result[Ticket, str]:
    """Read a ticket as callers send it."""
    match text.split("~"):
        case [instance_id, incarnation, uptime, nonce] if uptime.isdigit() and nonce:
            return Ok(Ticket(InstanceId(instance_id), Incarnation(incarnation), int(uptime), nonce))
    return Err(f"expected a ticket as locate gives it, found {len(text)} other characters")


class EntryState(Enum):
    """Name the state of a request that has been seen."""

    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class _Entry:
    """Hold what is known of one request."""

    state: EntryState  # running or ended
    noted_at_ms: float  # when the state was noted
    end: AnswerEnd | None = None  # how it ended


class RequestLedger:
    """Let each ticket or not-repeatable id run at most once here."""

    def __init__(self, instance_id: InstanceId, incarnation: Incarnation) -> None:
        """Start with no request; a new incarnation knows nothing of the last."""
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._started_at_ms = now_ms()
        self._entries: OrderedDict[tuple[OrganisationId, str], _Entry] = OrderedDict()

    def uptime_ms(self) -> int:
        """Return the age of this incarnation."""
        return int(now_ms() - self._started_at_ms)

    def check_ticket(self, ticket: Ticket) -> AnswerEnd | None:
        """Return how to refuse a ticket, None if it is ours and fresh.

        A ticket that is not ours may have run elsewhere, so it is never called not run.
        """
        if (ticket.instance_id, ticket.incarnation) != (self._instance_id, self._incarnation):
            return unknown(Reason.TICKET_ELSEWHERE)
        if not 0 <= self.uptime_ms() - ticket.uptime_ms <= TICKET_TTL_MS:
            return unknown(Reason.TICKET_EXPIRED)
        return None

    def earlier(self, organisation: OrganisationId, request_id: RequestId) -> AnswerEnd | None:
        """Return what became of an earlier try, None if there was none that may have run."""
        entry = self._entries.get((organisation, request_id))
        if entry and entry.state is EntryState.RUNNING:
            return unknown(Reason.DUPLICATE)
        if entry and entry.end and entry.end.outcome is not Outcome.not_run:
            return AnswerEnd(entry.end.outcome, Reason.DUPLICATE)
        return None

    def begin(self, organisation: OrganisationId, request_id: RequestId) -> AnswerEnd | None:
        """Note that a request runs; return how to answer if it must not run now."""
        earlier = self.earlier(organisation, request_id)
        if earlier:
            return earlier
        key = organisation, request_id
        self._drop_old()
        if len(self._entries) >= MAX_ENTRIES:
            return not_run(Reason.OVERLOADED, OUTCOME_TTL_MS / 10)
        self._entries[key] = _Entry(EntryState.RUNNING, now_ms())
        self._entries.move_to_end(key)
        return None

    def end(self, organisation: OrganisationId, request_id: RequestId, end: AnswerEnd) -> None:
        """Note how a request ended."""
        entry = self._entries.get((organisation, request_id))
        assert entry and entry.state is EntryState.RUNNING, f"request {request_id} ended twice"
        entry.state = EntryState.ENDED
        entry.end = end
        entry.noted_at_ms = now_ms()
        self._entries.move_to_end((organisation, request_id))

    def _drop_old(self) -> None:
        horizon_ms = now_ms() - OUTCOME_TTL_MS
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.state is EntryState.RUNNING or entry.noted_at_ms > horizon_ms:
                return
            del self._entries[key]

    def __len__(self) -> int:
        """Return how many requests are remembered."""
        return len(self._entries)
