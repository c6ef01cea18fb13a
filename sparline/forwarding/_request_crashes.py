"""What is known of backend server exits under one request, by its content and by its prompt's parts."""

from dataclasses import dataclass

from sparline._ids import BackendServerId, PartDigest, SoftwareVersion
from sparline.decisions import Liveness
from sparline.fleet import BackendServer
from sparline.quarantine import (
    CrashTable,
    FactSource,
    InterruptedRequest,
    PartTable,
    RequestDigest,
    ServerEndDetector,
    ServerKind,
    Verdict,
)
from sparline.requests import Reason, RoutedRequest


@dataclass(frozen=True, slots=True)
class CrashTables:
    """Bundle what an instance knows of server exits."""

    contents: CrashTable  # exits by the content of requests
    parts: PartTable  # exits by the parts of prompts
    ends: ServerEndDetector  # detects whether servers have exited


@dataclass(frozen=True, slots=True)
class EarlierCrashes:
    """Describe the earlier exits that concern one attempt."""

    is_watched: bool = False  # whether a second connection must detect an exit of the server
    earlier_exits: int = 0  # known exits of the server under this request or its parts
    exited_at_ms: float = 0.0  # newest of them, 0 for none


class RequestCrashes:
    """Look up and record the exits under one request; digests are computed when they are needed."""

    def __init__(self, tables: CrashTables, request: RoutedRequest) -> None:
        """Use the tables of an instance."""
        self._tables = tables
        self._request = request
        self._digest: RequestDigest | None = None
        self._parts: tuple[PartDigest, ...] | None = None

    def _request_digest(self) -> RequestDigest:
        if self._digest is None:
            self._digest = self._request.digest()
        return self._digest

    def _shared_parts(self) -> tuple[PartDigest, ...]:
        if self._parts is None:
            self._parts = self._request.shared_parts()
        return self._parts

    def quarantine_reason(self) -> Reason | None:
        """Return why the request must not be sent, None if it may be."""
        tables = self._tables
        if not tables.parts.is_empty and tables.parts.quarantined_among(self._shared_parts()):
            return Reason.QUARANTINED_PART
        if self._content_verdict() is Verdict.QUARANTINED:
            return Reason.QUARANTINED
        return None

    def is_suspect(self) -> bool:
        """Tell whether the request may be sent once only, to a server with few others."""
        if self._content_verdict() is not Verdict.CLEAR:
            return True
        parts = self._tables.parts
        return not parts.is_empty and parts.is_suspect(self._shared_parts())

    def _content_verdict(self) -> Verdict:
        contents = self._tables.contents
        return Verdict.CLEAR if contents.is_empty else contents.verdict(self._request_digest())

    def earlier(self, server: BackendServer) -> EarlierCrashes:
        """Return the earlier exits that concern an attempt at a server."""
        contents, parts, ends = self._tables.contents, self._tables.parts, self._tables.ends
        if contents.is_empty and parts.is_empty and not ends.has_watched_requests:
            return EarlierCrashes()
        digest, shared_parts = self._request_digest(), self._shared_parts()
        earlier_exits = max(
            contents.earlier_exits(digest, server.id),
            parts.earlier_exits(shared_parts, server.id, self._kind(server.software_version)),
        )
        exited_at_ms = max(contents.exited_at_ms(digest), parts.exited_at_ms(shared_parts))
        is_watched = ends.has_unexplained_interruption(digest)
        return EarlierCrashes(
            is_watched or contents.ends(digest) > 0,
            earlier_exits,
            exited_at_ms if earlier_exits else 0.0,
        )

    def _kind(self, version: SoftwareVersion | None) -> ServerKind:
        return ServerKind(self._request.service, version)

    def _interrupted(self, server: BackendServer, sent_at_ms: float) -> InterruptedRequest:
        return InterruptedRequest(
            self._request_digest(),
            self._request.request_id,
            self._shared_parts(),
            self._kind(server.software_version),
            sent_at_ms,
        )

    def note_answered(self, server: BackendServer, proves_sound: bool) -> None:
        """Record that a server has answered the request.

        `proves_sound` says that the answer was successful and is certainly complete.
        """
        digest, parts = self._request_digest(), self._shared_parts()
        self._tables.contents.note_complete_answer(digest)
        self._tables.ends.note_complete_answer(digest)
        if proves_sound and parts:
            self._tables.parts.note_answered(parts, self._kind(server.software_version))

    def note_interrupted(
        self, server: BackendServer, sent_at_ms: float, liveness: Liveness
    ) -> None:
        """Record an interrupted answer of a server that may have exited."""
        interrupted = self._interrupted(server, sent_at_ms)
        self._tables.ends.note_interrupted_answer(interrupted, server.id, liveness)

    def note_exit(
        self,
        server: BackendServer,
        counted: BackendServerId,
        sent_at_ms: float,
        learnt: FactSource,
    ) -> None:
        """Record that a server exited under the request; its exit counts under an id."""
        interrupted = self._interrupted(server, sent_at_ms)
        self._tables.contents.note_end(interrupted.digest, counted, learnt)
        self._tables.parts.note_exit(interrupted, counted, learnt)
