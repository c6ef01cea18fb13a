"""The callers' interface: completions, plain services and locate over HTTP."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass

from result import Err, Ok

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName, RequestId, TargetName
from sparline._metrics import Metrics
from sparline._wsgi import Environ, StartResponse, answer_json, query_of
from sparline.declarations import Catalog
from sparline.dispatch import Dispatcher
from sparline.entry._answers import (
    AnswerTo,
    answer_document,
    answer_end,
    answer_event_stream,
    answer_plain,
)
from sparline.entry._caller_request import (
    CallerRequest,
    Marks,
    Rejected,
    organisation_of,
    read_marks,
    read_request,
)
from sparline.entry._locate import Locator
from sparline.limits import LimitEnforcer
from sparline.peers import Membership
from sparline.requests import (
    Answer,
    AnswerChunk,
    AnswerEnd,
    Outcome,
    Reason,
    RequestLedger,
    TargetKind,
    not_run,
    unknown,
)
from sparline.schema._declarations import Organisation
from sparline.schema._messages import InstanceState

# Callers of an instance that starts or leaves are told to come back so soon.
ELSEWHERE_RETRY_MS = 200
# Stands in answers to requests whose id was not read.
NO_ID = RequestId("")


@dataclass(frozen=True, slots=True)
class EntryParts:
    """Hold what the callers' interface works with."""

    dispatcher: Dispatcher  # runs requests
    ledger: RequestLedger  # tickets and requests that must not run twice
    limits: LimitEnforcer  # limits of organisations
    locator: Locator  # advice
    membership: Membership  # state of this instance
    metrics: Metrics  # counters


class EntryApp:
    """Serve callers."""

    def __init__(self, parts: EntryParts) -> None:
        """Serve with the parts of one instance."""
        self.catalog = Catalog()  # replaced when the files change
        self.in_flight = 0  # requests that are being answered
        self._parts = parts
        self._region = RegionName(parts.membership.self_hello.region)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one HTTP request."""
        organisation = organisation_of(environ, self.catalog)
        match organisation:
            case Err(rejected):
                if not self.catalog.organisations:
                    return self._refuse(
                        start_response, not_run(Reason.STARTING, ELSEWHERE_RETRY_MS)
                    )
                return self._reject(start_response, rejected, "HTTP_SPARLINE_TICKET" in environ)
            case Ok(found):
                if environ["PATH_INFO"] == "/locate":
                    return self._locate(environ, start_response, found)
                return self._serve(environ, start_response, found)
        raise AssertionError("a result is either Ok or Err")

    def _locate(
        self, environ: Environ, start_response: StartResponse, organisation: Organisation
    ) -> list[bytes]:
        query = query_of(environ)
        name = query.get("target", "")
        target = TargetName(name) if name else None
        if target and target not in self.catalog.models and target not in self.catalog.services:
            return self._reject(
                start_response,
                Rejected(Reason.UNKNOWN_TARGET, f"expected a target in force, found {name!r}"),
            )
        caller = (
            f"{organisation.id}/{environ.get('REMOTE_ADDR', '')}:{environ.get('REMOTE_PORT', '')}"
        )
        advice = self._parts.locator.advise(organisation, target, caller)
        ticket = self._parts.locator.ticket_for(advice[0]) if advice else None
        return answer_json(
            start_response, {"instances": [asdict(one) for one in advice], "ticket": ticket}
        )

    def _serve(
        self, environ: Environ, start_response: StartResponse, organisation: Organisation
    ) -> Iterable[bytes]:
        read = read_marks(environ)
        if read.is_err():
            return self._reject(start_response, read.unwrap_err())
        marks = read.unwrap()
        # An earlier try goes before all else: if it may have run, nothing below
        # may call the request not run.
        refusal = self._earlier(marks, organisation) or self._refusal_before_reading(organisation)
        if refusal:
            return self._refuse(start_response, refusal, organisation, marks.request_id)
        match read_request(environ, organisation, self.catalog, self._region, marks):
            case Err(rejected):
                return self._reject(start_response, rejected)
            case Ok(caller_request):
                return self._run(caller_request, start_response, organisation)
        raise AssertionError("a result is either Ok or Err")

    def _earlier(self, marks: Marks, organisation: Organisation) -> AnswerEnd | None:
        elsewhere = self._parts.ledger.check_ticket(marks.ticket) if marks.ticket else None
        return elsewhere or self._parts.ledger.earlier_outcome(
            OrganisationId(organisation.id), marks.request_id
        )

    def _refusal_before_reading(self, organisation: Organisation) -> AnswerEnd | None:
        """Refuse what must not be read here: its body stays with the caller."""
        if self._region not in self.catalog.allowed_regions(organisation.residency_rule):
            return not_run(Reason.RESIDENCY)
        if self._parts.membership.state is InstanceState.leaving:
            return not_run(Reason.LEAVING, ELSEWHERE_RETRY_MS)
        if self._parts.membership.state is InstanceState.starting:
            return not_run(Reason.STARTING, ELSEWHERE_RETRY_MS)
        return None

    def _run(
        self, asked: CallerRequest, start_response: StartResponse, organisation: Organisation
    ) -> Iterable[bytes]:
        request = asked.request
        refusal = self._admit(asked, organisation)
        if refusal:
            return self._refuse(start_response, refusal, request_id=request.request_id)
        answer = self._followed(asked)
        to = AnswerTo(request.request_id, request.target)
        if request.kind is TargetKind.SERVICE:
            return answer_plain(start_response, to, answer)
        if asked.stream:
            return answer_event_stream(start_response, to, answer)
        return answer_document(start_response, to, answer)

    def _admit(self, asked: CallerRequest, organisation: Organisation) -> AnswerEnd | None:
        request = asked.request
        if asked.tracked:
            refusal = self._parts.ledger.begin(request.organisation, request.request_id)
            if refusal:
                return refusal
        wait_ms = self._parts.limits.admit(organisation)
        if wait_ms is None:
            return None
        limited = not_run(Reason.LIMIT, max(wait_ms, 1))
        if asked.tracked:
            self._parts.ledger.end(request.organisation, request.request_id, limited)
        return limited

    def _followed(self, asked: CallerRequest) -> Answer:
        """Pass an answer on and note its time, its outcome and its end."""
        request = asked.request
        began_ms = now_ms()
        waits_for_first = True
        end: AnswerEnd | None = None
        self.in_flight += 1
        self._parts.metrics.in_flight.set(self.in_flight)
        answer = self._parts.dispatcher.run(request)
        try:
            for part in answer:
                if isinstance(part, AnswerChunk) and waits_for_first:
                    waits_for_first = False
                    self._parts.metrics.ttft.labels(request.length.value).observe(
                        (now_ms() - began_ms) / 1000
                    )
                if isinstance(part, AnswerEnd):
                    end = part
                    self._note_end(asked, end)
                yield part
        finally:
            answer.close()
            if end is None:
                self._note_end(asked, AnswerEnd(Outcome.unknown, Reason.CALLER_GONE))
            self.in_flight -= 1
            self._parts.metrics.in_flight.set(self.in_flight)

    def _note_end(self, asked: CallerRequest, end: AnswerEnd) -> None:
        request = asked.request
        if asked.tracked:
            self._parts.ledger.end(request.organisation, request.request_id, end)
        self._parts.metrics.requests.labels(request.kind.value, end.outcome.value).inc()
        self._count(end)

    def _count(self, end: AnswerEnd) -> None:
        if end.outcome is Outcome.not_run:
            self._parts.metrics.refusals.labels(end.reason.value).inc()
        elif end.outcome is Outcome.unknown:
            self._parts.metrics.unknowns.labels(end.reason.value).inc()

    def _reject(
        self, start_response: StartResponse, rejected: Rejected, may_have_run: bool = False
    ) -> list[bytes]:
        end = unknown(rejected.reason) if may_have_run else not_run(rejected.reason)
        self._count(end)
        return answer_end(start_response, NO_ID, end, rejected.text)

    def _refuse(
        self,
        start_response: StartResponse,
        end: AnswerEnd,
        organisation: Organisation | None = None,
        request_id: RequestId = NO_ID,
    ) -> list[bytes]:
        self._count(end)
        elsewhere = (
            self._parts.locator.advise(organisation, None, organisation.id) if organisation else []
        )
        return answer_end(
            start_response, request_id, end, elsewhere=[asdict(one) for one in elsewhere]
        )
