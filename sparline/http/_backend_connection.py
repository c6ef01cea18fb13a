"""A kept connection to a backend server or a peer: one request at a time, sent once."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import gevent

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RequestId
from sparline._read_turn import ReadTurn
from sparline.http._answer_parser import MIN_FINAL_STATUS, AnswerParser
from sparline.http._backend_socket import READ_BYTES, Address, BackendSocket
from sparline.http._messages import EndlessMessage, HttpAnswer, MalformedMessage

# A body that the first write does not take is written beside the reading of an early answer.
FIRST_WRITE_BYTES = 65_536
# A kept connection is given up this long before the other side would close it (s).
IDLE_MARGIN_S = 1.0
# Without a word from the other side, a connection is kept this long (s).
IDLE_DEFAULT_S = 4.0
# Longest number of seconds that the other side may tell (digits).
MAX_IDLE_DIGITS = 9
# Least bytes of an answer: its status line and an empty one.
MIN_ANSWER_BYTES = 19
# Reads of what a resting connection has been sent unasked before its end is looked for (count).
MAX_UNASKED_READS = 16
# Bytes of other requests' answers that are dropped before the one that is waited for.
MAX_DROPPED_BYTES = 1_048_576
# Longest body that is dropped to keep a connection (bytes), and how long that may take (ms).
MAX_SKIPPED_BYTES = 65_536
MAX_SKIP_MS = 200.0
# Requests with an id after which a connection is not reused, as it remembers the ids of all (count).
MAX_CARRIED_IDS = 256


class ConnectionBroken(Exception):
    """Say that a connection ended before the answer was whole."""


class BodyTooLong(ConnectionBroken):
    """Say that a body is longer than what its reader keeps."""


@dataclass(frozen=True, slots=True)
class ConnectionUse:
    """Describe what a connection had carried when a request was answered on it."""

    requests: int  # requests sent on it so far, the answered one included
    is_id_repeated: bool  # whether one before had the same id
    dropped_answers: int  # answers to other requests that came before the one that was taken
    dropped_bytes: int  # bytes of these


class BackendConnection:
    """Carry one request after the other; any doubt makes the connection unfit for reuse."""

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Connect; `OSError` where that fails, and then nothing was sent."""
        self.address = address
        self.reusable = True  # whether another request may follow
        self._in_use = False  # whether an answer is awaited
        self._has_ended_answer = False  # whether its end was the end of an answer
        self.proven_at_ms = 0.0  # when the server itself last answered on it, 0 if never
        self.uses = 0  # requests sent
        self.idle_until_ms = 0.0  # when a kept connection is too old to use
        self._dropped_bytes = 0  # of other requests' answers since the last request
        self._dropped_answers = 0  # the number of these
        self._carried_ids: set[int] = set()  # hashes, as callers choose how long an id is
        self._is_id_repeated = False  # whether the last request's id had been sent before
        self._parser = AnswerParser()
        self._malformed: MalformedMessage | None = None  # what came that is no answer
        self._turn = ReadTurn()
        self._sender: gevent.Greenlet | None = None
        self._socket = BackendSocket(address, timeout_s)

    def rest(self) -> None:
        """Let a new connection be kept without a request."""
        self.idle_until_ms = now_ms() + IDLE_DEFAULT_S * 1000

    def is_quiet(self) -> bool:
        """Tell whether a kept connection is still open and has had no unasked bytes."""
        return self.reusable and now_ms() < self.idle_until_ms and self._peek() is None

    def is_lost(self) -> bool:
        """Tell whether the other side has ended the connection; False where this side did.

        False also where that ended an answer, where the way has failed, and where the connection
        has rested so long, for example while this process was suspended, that the other side closes
        it as a matter of course.
        """
        if not (self._socket.is_lost or self._socket.is_closed or self._has_expired()):
            self._look_for_end()
        return self._socket.is_lost

    def _look_for_end(self) -> None:
        if self._in_use:
            self._peek()
            return
        # The end of the connection only shows behind what nobody has asked for.
        for _ in range(MAX_UNASKED_READS):
            if not self._receive_now(READ_BYTES):
                return
            self.reusable = False

    def _has_expired(self) -> bool:
        return not self._in_use and now_ms() >= self.idle_until_ms

    def is_received(self) -> bool:
        """Tell whether the other machine has acknowledged all bytes that were sent."""
        is_sending = self._sender is not None and not self._sender.ready()
        if is_sending or self._socket.is_way_broken:
            return False
        return self._socket.is_acknowledged()

    def is_end_refuted(self) -> bool:
        """Tell whether the connection has failed, so that its end, however clean, ends no answer.

        A process that ends, or closes its side, while a request is still written ends the connection
        cleanly first and resets it as more of the request arrives.
        """
        return self._socket.has_failed()

    def note_cut(self) -> None:
        """Record that the end of the connection was not the end of its answer."""
        self._socket.is_lost = True

    def note_proven(self) -> None:
        """Record that the server itself, not something on the way, has answered on it."""
        self.proven_at_ms = now_ms()

    def _peek(self) -> bytes | None:
        """Return what could be read, empty for the end of the connection and None for nothing yet."""
        return self._receive_now(1, socket.MSG_PEEK)

    def _receive_now(self, max_bytes: int, flags: int = 0) -> bytes | None:
        """Receive without waiting, empty for the end of the connection and None for nothing yet."""
        try:
            found = self._socket.receive_now(max_bytes, flags)
        except OSError:
            return b""
        if found == b"" and not self._ends_answer():
            self._socket.is_lost = True
        return found

    def _ends_answer(self) -> bool:
        """Tell whether a clean end of the connection is the end of an answer."""
        answer = self._newest_head()
        return self._has_ended_answer or (answer is not None and answer.ends_with_connection)

    def has_carried(self, request_id: RequestId | None) -> bool:
        """Tell whether a request with an id was sent on it, so that a late copy of its answer may come."""
        return request_id is not None and hash64(request_id) in self._carried_ids

    def use(self) -> ConnectionUse:
        """Return what the connection had carried when the last request was answered."""
        return ConnectionUse(
            self.uses, self._is_id_repeated, self._dropped_answers, self._dropped_bytes
        )

    def send(self, head: bytes, body: bytes, request_id: RequestId | None = None) -> None:
        """Send one request; a large body goes on in the background.

        The id, if any, is that of the request; its server repeats it in each answer.
        """
        self.uses += 1
        self._is_id_repeated = self.has_carried(request_id)
        if request_id is not None:
            self._carried_ids.add(hash64(request_id))
        self._in_use = True
        self._dropped_bytes = 0
        self._dropped_answers = 0
        self._sender = None
        try:
            first_bytes = max(FIRST_WRITE_BYTES - len(head), 0)
            first = head + body[:first_bytes]
            taken = self._socket.write_now(first)
            if taken < len(first) or len(body) > first_bytes:
                rest = (memoryview(first)[taken:], memoryview(body)[first_bytes:])
                self._sender = gevent.spawn(self._send_rest, *rest)
        except OSError as error:
            self.reusable = False
            raise ConnectionBroken(f"expected to send, found: {error}") from error

    def _send_rest(self, *parts: memoryview) -> None:
        try:
            for part in parts:
                self._socket.write(part)
        except OSError:
            # The socket remembers the error for whoever reads the answer.
            self.reusable = False

    def read_head(self, belongs: Callable[[HttpAnswer], bool]) -> HttpAnswer:
        """Wait for the head of the answer; answers to earlier requests are dropped."""
        while True:
            answer = self._newest_head()
            while answer is None:
                self._read_some()
                answer = self._newest_head()
            if answer.status < MIN_FINAL_STATUS:
                self._parser.answers.remove(answer)
            elif belongs(answer):
                return answer
            else:
                self.reusable = False
                self._drop(answer)

    def _newest_head(self) -> HttpAnswer | None:
        answers = self._parser.answers
        return answers[0] if answers and answers[0].head_done else None

    def _drop(self, answer: HttpAnswer) -> None:
        while not answer.complete:
            if answer.ends_with_connection:
                raise ConnectionBroken("expected the answer, found another request's")
            self._note_dropped(len(answer.take()))
            self._read_some()
        self._note_dropped(len(answer.take()) + MIN_ANSWER_BYTES)
        # A call may be interrupted before this and begin again.
        self._dropped_answers += 1
        self._parser.answers.remove(answer)

    def _note_dropped(self, dropped_bytes: int) -> None:
        self._dropped_bytes += dropped_bytes
        if self._dropped_bytes > MAX_DROPPED_BYTES:
            raise ConnectionBroken("expected the answer, found too many bytes of other requests'")

    def read_piece(self, answer: HttpAnswer) -> bytes | None:
        """Return the next bytes of the body, None once it is whole.

        A call that is interrupted loses nothing: the next one goes on.
        """
        while True:
            piece = answer.take()
            if piece:
                return piece
            if answer.complete or not self._read_some(answer):
                self._finish(answer)
                return None

    def read_body(self, answer: HttpAnswer, max_bytes: int) -> bytes:
        """Return the whole body; `BodyTooLong` where it has more than `max_bytes`."""
        body = bytearray()
        while (piece := self.read_piece(answer)) is not None:
            body += piece
            if len(body) > max_bytes:
                self.reusable = False
                raise BodyTooLong(f"expected a body of at most {max_bytes} bytes, found more")
        return bytes(body)

    def skip_body(self, answer: HttpAnswer) -> None:
        """Read the body and drop it; where it is long, late or broken the connection is not reused."""
        limit = gevent.Timeout(MAX_SKIP_MS / 1000)
        try:
            with limit:
                self._skip_some(answer)
        except gevent.Timeout as timeout:
            if timeout is not limit:
                raise
            self.reusable = False
        except ConnectionBroken:
            # The head has told all that there is to know.
            self.reusable = False

    def _skip_some(self, answer: HttpAnswer) -> None:
        skipped_bytes = 0
        while (piece := self.read_piece(answer)) is not None:
            skipped_bytes += len(piece)
            if skipped_bytes > MAX_SKIPPED_BYTES:
                self.reusable = False
                return

    def _read_some(self, answer: HttpAnswer | None = None) -> bool:
        """Read once; False where a clean close is the proper end of the answer."""
        if self._malformed is not None:
            # It came behind a whole answer that was not the last one to be read.
            raise ConnectionBroken(str(self._malformed))
        self._turn.pause_if_due()
        try:
            data = self._socket.receive()
        except OSError as error:
            self.reusable = False
            raise ConnectionBroken(f"expected an answer, found: {error}") from error
        if not data:
            self.reusable = False
            if answer is not None and answer.head_done and answer.ends_with_connection:
                self._has_ended_answer = True
                return False
            self._socket.is_lost = True
            raise ConnectionBroken("expected an answer, found the end of the connection")
        self._turn.note_read(len(data))
        try:
            self._parser.feed(data)
        except EndlessMessage as error:
            self.reusable = False
            raise ConnectionBroken(str(error)) from error
        except MalformedMessage as error:
            self.reusable = False
            self._malformed = error
            whole = self._parser.answers and self._parser.answers[0].complete
            if not whole:
                raise ConnectionBroken(str(error)) from error
        return True

    def _finish(self, answer: HttpAnswer) -> None:
        """Keep the connection only if nothing is left of either message."""
        self._parser.answers.remove(answer)
        unsent = self._sender is not None and not self._sender.ready()
        surplus = bool(self._parser.answers)
        is_used_up = len(self._carried_ids) >= MAX_CARRIED_IDS
        if unsent or surplus or is_used_up or not answer.keeps_connection:
            self.reusable = False
        # A parser serves one answer, so that nothing of it can shape the next one.
        self._parser = AnswerParser()
        self._in_use = False
        self.idle_until_ms = now_ms() + _idle_s(answer) * 1000

    def close(self) -> None:
        """Close the connection; the other side stops what it does for it."""
        self.reusable = False
        if self._sender is not None:
            self._sender.kill(block=False)
        self._socket.close()


def _idle_s(answer: HttpAnswer) -> float:
    """Return how long a connection may rest, from what the other side tells."""
    told = answer.header(b"keep-alive") or b""
    for part in told.split(b","):
        name, _, value = part.strip().partition(b"=")
        if name.lower() == b"timeout" and value.isdigit() and len(value) <= MAX_IDLE_DIGITS:
            return max(int(value) - IDLE_MARGIN_S, 0.0)
    return IDLE_DEFAULT_S
