"""The answer that the caller of one request is sent."""

from dataclasses import dataclass
from enum import Enum

from sparline._ids import BackendServerId
from sparline.http import CallerConnection, Headers


class SentContent(Enum):
    """Enumerate what a caller has been sent of an answer."""

    NOTHING = "nothing"  # any server may answer
    EVENTS = "events"  # complete events of a stream
    BODY = "body"  # part of a body, or all of it


@dataclass(frozen=True, slots=True)
class AnswerOrigin:
    """Describe the head of a server's answer as it is sent on."""

    server_id: BackendServerId  # server that began the answer
    status: int  # HTTP status
    headers: Headers  # without those that concern a single connection
    is_unframed: bool  # whether only the end of the connection ends the answer


class CallerAnswer:
    """Write one answer to its caller, and keep what was sent."""

    def __init__(self, caller: CallerConnection) -> None:
        """Start with nothing sent."""
        self.content = SentContent.NOTHING
        self.sent_bytes = 0  # bytes of the body
        self.begun_by: BackendServerId | None = None  # None for an answer of this instance
        self._caller = caller

    @property
    def has_begun(self) -> bool:
        """Tell whether a head was sent."""
        return self.content is not SentContent.NOTHING

    def begin(self, origin: AnswerOrigin, content: SentContent) -> None:
        """Send the head of a server's answer whose body follows in parts."""
        self.content = content
        self.begun_by = origin.server_id
        if origin.is_unframed:
            self._caller.begin_unframed(origin.status, origin.headers)
        else:
            self._caller.begin(origin.status, origin.headers, None)

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        self.sent_bytes += len(data)
        self._caller.send(data)

    def finish(self) -> None:
        """Send the end of the body."""
        self._caller.finish()

    def send_complete(self, origin: AnswerOrigin, body: bytes) -> None:
        """Send a server's complete answer."""
        self.content = SentContent.BODY
        self.begun_by = origin.server_id
        self.sent_bytes += len(body)
        if origin.is_unframed:
            # An answer without framing must not look more complete than it did.
            self._caller.answer_unframed(origin.status, origin.headers, body)
        else:
            self._caller.answer(origin.status, origin.headers, body)

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer of this instance."""
        self.content = SentContent.BODY
        self.sent_bytes += len(body)
        self._caller.answer(status, headers, body)

    def abort(self) -> None:
        """End the connection without the end of the answer, so that the truncation is visible."""
        self._caller.closing = True
