"""Framing of the answers of the stand-in for backend servers, and how they are cut."""

import socket

from gevent.socket import socket as GeventSocket

from standins._sealed_types import SealedFaults

LAST_CHUNK = b"0\r\n\r\n"
# Closing with this set resets the connection instead of ending it.
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


def long_body(server_id: str, length: int) -> bytes:
    """Return the body of a plain answer that repeats the name of its server."""
    line = f"{server_id}\n".encode()
    return (line * (length // len(line) + 1))[:length]


def as_chunk(data: bytes) -> bytes:
    """Return data as one chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def framed(data: bytes, faults: SealedFaults) -> bytes:
    """Return a part of a stream as it is sent."""
    return data if faults.unframed else as_chunk(data)


def reset_when_closed(connection: GeventSocket) -> None:
    """Make the close of a connection reset it instead of ending it."""
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)


def cut_answer(connection: GeventSocket, faults: SealedFaults) -> None:
    """Prepare the close of a connection in the middle of an answer."""
    if not faults.breaks_cleanly:
        reset_when_closed(connection)
    elif not faults.unframed and not faults.break_after_bytes:
        connection.sendall(LAST_CHUNK)
