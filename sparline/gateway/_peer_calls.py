"""Small calls of other instances, each on a connection of its own."""

from sparline.fleet import Member
from sparline.http import BackendConnection

OK_STATUS = 200


class CallRefused(Exception):
    """Signal that a peer answered a call with another status than 200."""


def call_peer(
    peer: Member, port: int, target: bytes, connect_timeout_ms: float, max_bytes: int
) -> bytes:
    """Return the body of a peer's answer.

    `OSError` or `ConnectionBroken` without a whole answer of at most `max_bytes`, `CallRefused` where
    its status is not 200.
    """
    connection = BackendConnection((peer.note.ip, port), connect_timeout_ms / 1000)
    try:
        connection.send(b"GET " + target + b" HTTP/1.1\r\nhost: peer\r\n\r\n", b"")
        answer = connection.read_head(lambda _answer: True)
        if answer.status != OK_STATUS:
            raise CallRefused(f"expected status {OK_STATUS}, found {answer.status}")
        return connection.read_body(answer, max_bytes)
    finally:
        connection.close()
