"""What a client of a crowd sends, and whether it reads."""

from collections.abc import Iterator
from dataclasses import dataclass

from benchmarks.crowds._site import CROWD_TARGET, LONG_TARGET, MAX_BODY_BYTES
from standins import request_lines

# Bytes of one write, and of one chunk.
PIECE_BYTES = 65_536
PIECE = b"x" * PIECE_BYTES
# A body far over the limit: bytes that are announced, and bytes that are sent.
ANNOUNCED_BYTES = 1_000_000_000
SENT_BYTES = 8 * MAX_BODY_BYTES
LAST_CHUNK = b"0\r\n\r\n"


@dataclass(frozen=True, slots=True)
class Behaviour:
    """Describe the one request of a client."""

    target: str  # path
    body_bytes: int = 0  # bytes of the body that are sent
    announced_bytes: int | None = 0  # value of Content-Length, None for chunks
    ends_chunks: bool = False  # whether the last chunk is sent
    ends_head: bool = True  # whether the empty line after the headers is sent
    reads: bool = True  # whether the client reads the answer

    @property
    def is_whole(self) -> bool:
        """Tell whether the server can know the request's end."""
        if self.announced_bytes is None:
            return self.ends_chunks
        return self.ends_head and self.body_bytes == self.announced_bytes

    def head(self, request_id: str) -> bytes:
        """Return the request line and the headers."""
        method = "POST" if self.body_bytes else "GET"
        framing = (
            "Transfer-Encoding: chunked"
            if self.announced_bytes is None
            else f"Content-Length: {self.announced_bytes}"
        )
        lines = [*request_lines(method, self.target, request_id), framing]
        text = "\r\n".join(lines) + "\r\n"
        return text.encode() + (b"\r\n" if self.ends_head else b"")

    def pieces(self) -> Iterator[bytes]:
        """Yield the body as it is written, piece by piece."""
        left = self.body_bytes
        while left:
            piece = PIECE[:left]
            left -= len(piece)
            if self.announced_bytes is None:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            yield piece
        if self.ends_chunks:
            yield LAST_CHUNK


def stops_short() -> Behaviour:
    """Send a body of the full legal size but for its last byte."""
    return Behaviour(CROWD_TARGET, MAX_BODY_BYTES - 1, MAX_BODY_BYTES)


def stops_in_chunks() -> Behaviour:
    """Send chunks up to the full legal size, without the last one."""
    return Behaviour(CROWD_TARGET, MAX_BODY_BYTES, None)


def whole_body() -> Behaviour:
    """Send a whole body of the full legal size."""
    return Behaviour(CROWD_TARGET, MAX_BODY_BYTES, MAX_BODY_BYTES)


def too_much_announced() -> Behaviour:
    """Announce a body far over the limit, and send on as long as the connection takes it."""
    return Behaviour(CROWD_TARGET, SENT_BYTES, ANNOUNCED_BYTES)


def sends_too_much() -> Behaviour:
    """Send chunks far over the limit, as long as the connection takes them."""
    return Behaviour(CROWD_TARGET, SENT_BYTES, None, ends_chunks=True)


def unread_answer() -> Behaviour:
    """Ask for a long answer and read nothing of it."""
    return Behaviour(LONG_TARGET, reads=False)


def half_a_head() -> Behaviour:
    """Send headers without their end."""
    return Behaviour(CROWD_TARGET, ends_head=False)
