"""Requests that an instance processes, and the parts of their answers."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum

from sparline._clock import now_ms
from sparline._ids import OrganisationId, RegionName, RequestId, TargetName
from sparline.quarantine import RequestDigest, digest_of
from sparline.requests._body import RequestBody
from sparline.requests._reasons import Reason
from sparline.schema._messages import Outcome


class TargetKind(Enum):
    """Name the kind of target that a request addresses."""

    ENGINE = "engine"
    SERVICE = "service"


class Origin(Enum):
    """Name where a request came from; a relayed one may not be relayed again."""

    CALLER = "caller"
    RELAY = "relay"


class Length(Enum):
    """Name the size class of a request, by which capacity is counted."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request with what routing needs."""

    request_id: RequestId  # ID given by the caller or generated
    organisation: OrganisationId  # organisation that it is charged to
    residency_rule: str  # rule that names the allowed regions
    target: TargetName  # model or service
    kind: TargetKind  # what the target is
    adapter: str  # adapter of the model, empty for none
    prompt_tokens: int  # estimated length of the prompt
    output_tokens: int  # limit on the length of the answer
    prefix_keys: tuple[int, ...]  # hashes of prompt prefixes, from the shortest to the longest
    length: Length  # size class
    deadline_at_ms: float  # deadline, on this process's clock
    priority: int  # a higher value is served earlier, unlike in `RoutedRequest`
    repeatable: bool  # whether a second run is harmless
    method: str  # HTTP method
    path: str  # path on the backend server
    content_type: str  # type of the body
    body: RequestBody  # body to send
    origin: Origin  # received from a caller or relayed by a peer
    from_region: RegionName  # region of the instance that received it from the caller
    still_wanted: Callable[[], bool]  # whether the caller or the relaying peer still waits

    @property
    def routing_key(self) -> str:
        """Return the name under which zones report their free capacity."""
        return f"{self.target}+{self.adapter}" if self.adapter else self.target

    def digest(self) -> RequestDigest | None:
        """Return a digest that is equal for all repeats of a request by one organisation.

        It is None unless the whole body is buffered.
        """
        content = self.body.content
        if content is None:
            return None
        fields = (self.organisation, self.target, self.adapter, self.method, self.path)
        return digest_of([*(field.encode() for field in fields), content])

    def left_ms(self) -> float:
        """Return the time left before the deadline."""
        return self.deadline_at_ms - now_ms()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Carry the status and headers of an answer."""

    status: int  # HTTP status of the backend server
    content_type: str  # type of the answer
    content_length: int  # bytes, or UNKNOWN_LENGTH


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Carry a part of an answer; from an engine, exactly the event of one token."""

    data: bytes  # as the backend server sent it


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End an attempt or an answer; not_run is used only if the request provably did not run."""

    outcome: Outcome  # complete, not_run or unknown
    reason: Reason = Reason.NONE  # cause, unless the outcome is complete
    retry_after_ms: int = 0  # delay before a retry, 0 for none given


AnswerPart = AnswerHead | AnswerChunk | AnswerEnd
Answer = Iterator[AnswerPart]


def not_run(reason: Reason, retry_after_ms: float = 0) -> AnswerEnd:
    """Return the end of an attempt that provably did not run."""
    return AnswerEnd(Outcome.not_run, reason, int(retry_after_ms))


def unknown(reason: Reason) -> AnswerEnd:
    """Return the end of an attempt that may have run."""
    return AnswerEnd(Outcome.unknown, reason)


COMPLETE = AnswerEnd(Outcome.complete)
