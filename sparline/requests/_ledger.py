"""Tickets and the ledger that keeps requests from running twice on this instance."""

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

# How long a ticket is valid; the outcome of its request is kept for longer.
TICKET_TTL_MS = 600_000
OUTCOME_TTL_MS = 2 * TICKET_TTL_MS
MAX_ENTRIES = 200_000


@dataclass(frozen=True, slots=True)
class Ticket:
    """Bind one request ID to one incarnation of one instance."""

    instance_id: InstanceId  # the only instance that may run it
    incarnation: Incarnation  # the only incarnation that may run it
    uptime_ms: int  # the incarnation's age as last reported to the ticket's issuer
    nonce: str  # makes the ticket unique

    def __str__(self) -> str:
        """Return the ticket in the text form that callers send."""
        return f"{self.instance_id}~{self.incarnation}~{self.uptime_ms}~{self.nonce}"


def make_ticket(instance_id: InstanceId, incarnation: Incarnation, uptime_ms: int) -> Ticket:
    """Return a new ticket with a unique nonce."""
    return Ticket(instance_id, incarnation, uptime_ms, uuid.uuid4().hex)


def parse_ticket(text: str) -> Result[Ticket, str]:
    """Parse a ticket from the text form that callers send."""
    match text.split("~"):
        case [instance_id, incarnation, uptime, nonce] if uptime.isdigit() and nonce:
            return Ok(Ticket(InstanceId(instance_id), Incarnation(incarnation), int(uptime), nonce))
    return Err(f"expected a ticket as locate gives it, found {len(text)} other characters")


class EntryState(Enum):
    """Name the state of a recorded request."""

    RUNNING = "running"
    ENDED = "ended"


@dataclass(slots=True)
class _Entry:
    """Hold the record of one request."""

    state: EntryState  # whether the request still runs
    updated_at_ms: float  # when the state was recorded
    end: AnswerEnd | None = None  # its end, None while it runs


class RequestLedger:
    """Let each ticket or non-repeatable request ID run at most once on this instance."""

    def __init__(self, instance_id: InstanceId, incarnation: Incarnation) -> None:
        """Create an empty ledger; it holds no requests of an earlier incarnation."""
        self._instance_id = instance_id
        self._incarnation = incarnation
        self._started_at_ms = now_ms()
        self._entries: OrderedDict[tuple[OrganisationId, str], _Entry] = OrderedDict()

    def uptime_ms(self) -> int:
        """Return the age of this incarnation."""
        return int(now_ms() - self._started_at_ms)

    def check_ticket(self, ticket: Ticket) -> AnswerEnd | None:
        """Return the refusal of a ticket, None if it belongs to this incarnation and is valid.

        A request with another incarnation's ticket may have run there, so its outcome is unknown and
        never not_run.
        """
        if (ticket.instance_id, ticket.incarnation) != (self._instance_id, self._incarnation):
            return unknown(Reason.TICKET_ELSEWHERE)
        if not 0 <= self.uptime_ms() - ticket.uptime_ms <= TICKET_TTL_MS:
            return unknown(Reason.TICKET_EXPIRED)
        return None

    def earlier_outcome(
        self, organisation: OrganisationId, request_id: RequestId
    ) -> AnswerEnd | None:
        """Return the outcome of an earlier attempt, None if none may have run."""
        entry = self._entries.get((organisation, request_id))
        if entry and entry.state is EntryState.RUNNING:
            return unknown(Reason.DUPLICATE)
        if entry and entry.end and entry.end.outcome is not Outcome.not_run:
            return AnswerEnd(entry.end.outcome, Reason.DUPLICATE)
        return None

    def begin(self, organisation: OrganisationId, request_id: RequestId) -> AnswerEnd | None:
        """Record that a request runs; return how to answer it instead if it must not run."""
        earlier = self.earlier_outcome(organisation, request_id)
        if earlier:
            return earlier
        key = organisation, request_id
        self._evict_expired()
        if len(self._entries) >= MAX_ENTRIES:
            return not_run(Reason.OVERLOADED, OUTCOME_TTL_MS / 10)
        self._entries[key] = _Entry(EntryState.RUNNING, now_ms())
        self._entries.move_to_end(key)
        return None

    def end(self, organisation: OrganisationId, request_id: RequestId, end: AnswerEnd) -> None:
        """Record how a request ended."""
        entry = self._entries.get((organisation, request_id))
        assert entry and entry.state is EntryState.RUNNING, f"request {request_id} ended twice"
        entry.state = EntryState.ENDED
        entry.end = end
        entry.updated_at_ms = now_ms()
        self._entries.move_to_end((organisation, request_id))

    def _evict_expired(self) -> None:
        oldest_kept_ms = now_ms() - OUTCOME_TTL_MS
        while self._entries:
            key, entry = next(iter(self._entries.items()))
            if entry.state is EntryState.RUNNING or entry.updated_at_ms > oldest_kept_ms:
                return
            del self._entries[key]

    def __len__(self) -> int:
        """Return how many requests are recorded."""
        return len(self._entries)
