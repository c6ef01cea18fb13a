"""Requests on their way through an instance, and the parts of their answers."""

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
    """Name what a request is for."""

    ENGINE = "engine"
    SERVICE = "service"


class Origin(Enum):
    """Name where a request came from; a relayed one may not be relayed again."""

    CALLER = "caller"
    RELAY = "relay"


class Length(Enum):
    """Name how much room a request takes."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Request:
    """Hold one request as routing sees it."""

    request_id: RequestId  # id that the caller gave or that was made for it
    organisation: OrganisationId  # whom it is accounted to
    residency_rule: str  # rule that names the allowed regions
    target: TargetName  # model or service
    kind: TargetKind  # what the target is
    adapter: str  # adapter of the model, empty for none
    prompt_tokens: int  # estimated length of the prompt
    output_tokens: int  # longest answer
    prefix_keys: tuple[int, ...]  # hashes of longer and longer starts of the prompt
    length: Length  # how much room it takes
    deadline_at_ms: float  # end of the deadline, on this process's clock
    priority: int  # higher goes first
    repeatable: bool  # whether a second run is harmless
    method: str  # HTTP method
    path: str  # path at the backend server
    content_type: str  # type of the body
    body: RequestBody  # what to send
    origin: Origin  # caller or relay
    from_region: RegionName  # region of the instance that the caller asked
    still_wanted: Callable[[], bool]  # whether whoever asked still listens

    @property
    def routing_key(self) -> str:
        """Return the name under which zones sum up their room."""
        return f"{self.target}+{self.adapter}" if self.adapter else self.target

    def digest(self) -> RequestDigest | None:
        """Return what an organisation's repeats have in common; None before the body is read."""
        content = self.body.content
        if content is None:
            return None
        told = (self.organisation, self.target, self.adapter, self.method, self.path)
        return digest_of([*(one.encode() for one in told), content])

    def left_ms(self) -> float:
        """Return the time left before the deadline."""
        return self.deadline_at_ms - now_ms()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Begin an answer."""

    status: int  # HTTP status of the backend server
    content_type: str  # type of the answer
    content_length: int  # bytes, or UNKNOWN_LENGTH


@dataclass(frozen=True, slots=True)
class AnswerChunk:
    """Carry a part of an answer; from an engine exactly one token's event."""

    data: bytes  # as the backend server sent it


@dataclass(frozen=True, slots=True)
class AnswerEnd:
    """End an attempt or an answer; NOT_RUN is said only with proof."""

    outcome: Outcome  # what became of it
    reason: Reason = Reason.NONE  # why, unless it is complete
    retry_after_ms: int = 0  # when to come back


AnswerPart = AnswerHead | AnswerChunk | AnswerEnd
Answer = Iterator[AnswerPart]


def not_run(reason: Reason, retry_after_ms: float = 0) -> AnswerEnd:
    """End an attempt that is proved not to have run."""
    return AnswerEnd(Outcome.not_run, reason, int(retry_after_ms))


def unknown(reason: Reason) -> AnswerEnd:
    """End an attempt that may have run."""
    return AnswerEnd(Outcome.unknown, reason)


COMPLETE = AnswerEnd(Outcome.complete)
