"""The answer that the caller of one request is sent: its parts come from one server.

Only a stream of events may be continued by another server, behind the last event that was sent.
"""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from sparline._ids import BackendServerId
from sparline.http import CallerConnection, Headers


class SentContent(Enum):
    """Enumerate what a caller has been sent of an answer."""

    NOTHING = "nothing"  # any server may answer
    EVENTS = "events"  # complete events; any server that resumes the stream may send the next ones
    BODY = "body"  # part of a body, which only the server that began it can continue, or all of it


class ContentMismatch(Exception):
    """Signal that an answer does not continue what its caller has been sent."""


@dataclass(frozen=True, slots=True)
class ServerAnswerHead:
    """Describe the head of a server's answer as it is sent on."""

    server_id: BackendServerId  # server that began the answer
    status: int  # HTTP status
    headers: Headers  # without those that concern a single connection
    is_unframed: bool  # whether only the end of the connection ends the answer


class CallerAnswer:
    """Write one answer to its caller; raise `ContentMismatch` for a part of another answer."""

    def __init__(self, caller: CallerConnection) -> None:
        """Start with nothing sent."""
        self.content = SentContent.NOTHING
        self.status = 0  # HTTP status that was sent, 0 for none
        self.sent_bytes = 0  # bytes of the body
        self.begun_by: BackendServerId | None = None  # None for an answer of this instance
        self._caller = caller

    @property
    def has_begun(self) -> bool:
        """Tell whether a head was sent."""
        return self.content is not SentContent.NOTHING

    def may_continue(self, status: int, content: SentContent) -> bool:
        """Tell whether a server's answer may be sent behind what the caller has been sent."""
        if not self.has_begun:
            return True
        return self.content is content is SentContent.EVENTS and status == self.status

    def send_events(self, head: ServerAnswerHead, data: bytes) -> None:
        """Send complete events of a server's stream, behind its head if they are the first."""
        if not self.may_continue(head.status, SentContent.EVENTS):
            raise ContentMismatch(f"expected nothing or events sent, found {self.content.value}")
        if not self.has_begun:
            self._begin(head, SentContent.EVENTS)
        self._send(data)

    def finish_events(self) -> None:
        """Send the end of a stream."""
        self._caller.finish()

    def begin_body(self, head: ServerAnswerHead) -> "AnswerBody":
        """Send the head of a server's answer; its body is written through the returned object."""
        self._begin(head, SentContent.BODY)
        return AnswerBody(self._send, self._caller.finish)

    def begin_whole_body(self, head: ServerAnswerHead, length_bytes: int) -> "AnswerBody":
        """Send the head of a server's complete answer; its body follows in parts."""
        self._begin(head, SentContent.BODY, length_bytes)
        return AnswerBody(self._send, self._caller.finish)

    def send_complete(self, head: ServerAnswerHead, body: bytes) -> None:
        """Send a server's complete answer."""
        self._take(head.status, SentContent.BODY, head.server_id)
        self.sent_bytes += len(body)
        if head.is_unframed:
            # An answer without framing must not look more complete than it did.
            self._caller.answer_unframed(head.status, head.headers, body)
        else:
            self._caller.answer(head.status, head.headers, body)

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer of this instance."""
        self._take(status, SentContent.BODY, None)
        self.sent_bytes += len(body)
        self._caller.answer(status, headers, body)

    def abort(self) -> None:
        """End the connection without the end of the answer, so that the truncation is visible."""
        self._caller.closing = True

    def _begin(
        self, head: ServerAnswerHead, content: SentContent, length_bytes: int | None = None
    ) -> None:
        self._take(head.status, content, head.server_id)
        if head.is_unframed:
            self._caller.begin_unframed(head.status, head.headers)
        else:
            self._caller.begin(head.status, head.headers, length_bytes)

    def _take(self, status: int, content: SentContent, server_id: BackendServerId | None) -> None:
        """Bind the answer to the one whose head is about to be sent."""
        if self.has_begun:
            raise ContentMismatch(f"expected no head sent, found {self.content.value} behind one")
        self.content = content
        self.status = status
        self.begun_by = server_id

    def _send(self, data: bytes) -> None:
        self.sent_bytes += len(data)
        self._caller.send(data)


@dataclass(frozen=True, slots=True)
class AnswerBody:
    """Write the body of the answer whose head was sent."""

    send: Callable[[bytes], None]  # sends a part
    finish: Callable[[], None]  # sends the end
