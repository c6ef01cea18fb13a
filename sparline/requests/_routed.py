"""Requests matched to a route, with what an instance needs to schedule and forward them."""

from dataclasses import dataclass, field
from itertools import pairwise

from sparline._clock import now_ms
from sparline._ids import BackendServerId, PartDigest, RegionName, RequestId, SoftwareVersion
from sparline.quarantine import RequestDigest, digest_of, digest_of_part
from sparline.requests._callers import KnownCaller
from sparline.requests._types import Origin
from sparline.routes import ConfigurationVersion, RequestKind, Route, ServiceName

# Headers that identify a caller, in lower case.
CALLER_HEADERS = frozenset((b"host", b"authorization"))


@dataclass(frozen=True, slots=True)
class PromptPrefix:
    """Identify a prompt prefix that other prompts share."""

    # Identifies the whole prefix: the key of the prefix before it, a slash, the name of its last part.
    key: str
    own_tokens: int  # tokens of the last part


@dataclass(frozen=True, slots=True)
class Prompt:
    """Describe the prompt of a request to a model engine."""

    tokens: int  # length of the prompt
    max_output_tokens: int  # limit on the length of the answer
    shared_prefixes: tuple[PromptPrefix, ...]  # shared prefixes, from the shortest to the longest

    @property
    def shared_tokens(self) -> int:
        """Return the length of the longest shared prefix in tokens."""
        return sum(prefix.own_tokens for prefix in self.shared_prefixes)

    def shared_parts(self) -> tuple[PartDigest, ...]:
        """Return the parts that other prompts may share, each without those before it."""
        keys = ("", *(prefix.key for prefix in self.shared_prefixes))
        names = (key[len(before) + 1 :] for before, key in pairwise(keys))
        return tuple(map(digest_of_part, names))

    @property
    def held_tokens(self) -> int:
        """Return the most cache tokens that a run can occupy."""
        return self.tokens + self.max_output_tokens


@dataclass(frozen=True, slots=True)
class RoutedRequest:
    """Hold one request that the gateway matched to a route."""

    request_id: RequestId  # as the caller sent it
    route: Route  # route that matches it in the configuration
    service: ServiceName  # service of the route that handles it
    method: bytes  # as the caller sent it
    target: bytes  # path and query, as the caller sent them
    headers: list[tuple[bytes, bytes]]  # headers to forward, names in lower case
    body: bytes  # without framing
    prompt: Prompt | None  # only for model engines
    resume_after: int | None  # ID of the last event that the caller has of an earlier answer
    deadline_at_ms: float  # deadline, on this process's clock
    origin: Origin  # received from a caller or from a peer
    # Version of the configuration that chose its service, 0 if not stated.
    configuration_version: ConfigurationVersion = ConfigurationVersion(0)
    # Earlier request of the caller whose answer brought the stream's first event, None if not stated.
    resumes: RequestId | None = None
    # Version at which alone the stream can go on, by the instance that relayed it; None if not stated.
    software_version: SoftwareVersion | None = None
    # Unresponsive server that it has just left, by the instance that relayed it; None if not stated.
    left_server: BackendServerId | None = None
    caller: KnownCaller | None = None  # authenticated caller, None where no key was required
    admission_key: int | None = None  # key compared with admission levels, None where none apply
    # Admission level of the own region that admitted it, None where other regions did or none apply.
    admission_level: int | None = None
    closed_regions: frozenset[RegionName] = frozenset()  # regions whose level refuses it
    rank: int | None = None  # rank in the configuration, None where it is not known
    arrived_at_ms: float = field(default_factory=now_ms)  # when it was received

    def left_ms(self) -> float:
        """Return the time left before the deadline."""
        return self.deadline_at_ms - now_ms()

    @property
    def is_resumption(self) -> bool:
        """Tell whether the caller has events of the stream from an earlier answer."""
        if self.route.kind is not RequestKind.STREAM:
            return False
        return self.resume_after is not None or self.resumes is not None

    @property
    def stream_id(self) -> RequestId:
        """Return the id of the caller's try that brings or brought the stream's first event."""
        return self.resumes or self.request_id

    @property
    def priority(self) -> int:
        """Return its priority, 0 for the most urgent: its rank, if it is known."""
        if self.rank is not None:
            return self.rank
        own = self.caller.organisation.priority if self.caller else None
        return self.route.priority if own is None else own

    def allows(self, region: RegionName) -> bool:
        """Tell whether both its route and its organisation allow it to run in a region."""
        if not self.route.allows(region):
            return False
        return self.caller is None or self.caller.organisation.allows(region)

    def shared_parts(self) -> tuple[PartDigest, ...]:
        """Return the parts of its prompt that other prompts may share."""
        return self.prompt.shared_parts() if self.prompt else ()

    def digest(self) -> RequestDigest:
        """Return a digest that is equal for all repeats of a request by one caller.

        It leaves out the request ID. It covers the caller's host and credentials and, where a key was
        required, its organisation and key, so that requests of other callers have other digests.
        """
        caller_parts = [value for name, value in self.headers if name in CALLER_HEADERS]
        if self.caller is not None:
            caller_parts += [self.caller.organisation.id.encode(), self.caller.key]
        return digest_of([*caller_parts, self.method, self.target, self.body])
