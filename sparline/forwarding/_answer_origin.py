"""Where a response on a connection comes from: the request that waits for it, or an earlier one."""

from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import RequestId
from sparline.forwarding._wire import IdMatch, Wire
from sparline.http import BackendConnection, ConnectionUse, HttpAnswer


@dataclass(frozen=True, slots=True)
class AnswerOrigin:
    """Describe what a response was taken from, so that a log shows whether it may be another's."""

    id_match: IdMatch  # the request id that it carries
    after_ms: float  # time since the request was sent
    use: ConnectionUse  # what the connection had carried


@dataclass(frozen=True, slots=True)
class OriginCheck:
    """Accept only what nothing but one request can have caused.

    A backend server may answer a request more than once, and the surplus answer may come late. A peer
    answers each request once.
    """

    wire: Wire  # protocol of the connection
    request_id: RequestId  # of the request that waits for an answer
    is_from_peer: bool  # whether the other side is another instance

    @property
    def connection_id(self) -> RequestId | None:
        """Return the id that a connection carries once only, None if it may carry it again."""
        return None if self.is_from_peer else self.request_id

    def is_answer(self, connection: BackendConnection, answer: HttpAnswer) -> bool:
        """Tell whether only this request can have caused a response."""
        if not self.wire.belongs(self.request_id, answer):
            return False
        if self.is_from_peer or self._id_match(answer) is IdMatch.SAME:
            return True
        # Without an id it may be a copy of what an earlier request on the connection got.
        connection.reusable = False
        return connection.uses == 1

    def origin(
        self, connection: BackendConnection, answer: HttpAnswer, sent_at_ms: float
    ) -> AnswerOrigin:
        """Describe what a response was taken from."""
        return AnswerOrigin(self._id_match(answer), now_ms() - sent_at_ms, connection.use())

    def _id_match(self, answer: HttpAnswer) -> IdMatch:
        return self.wire.id_match(self.request_id, answer)
