"""The socket of a connection to a backend server or a peer, and what it has shown of its end."""

import errno
import fcntl
import os
import socket
import struct
import termios

from gevent.socket import socket as GeventSocket

READ_BYTES = 65_536
# Unanswered bytes end a connection after this long, so that a dark machine shows (ms).
UNACKNOWLEDGED_MS = 4_000
# Errors of a connection whose way fails; they say nothing of the process at the other end.
WAY_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH)

Address = tuple[str, int]


class BackendSocket:
    """Read from and write to one other machine; an error that any call meets is remembered.

    The kernel tells the error of a connection once, to whichever call comes first. All later reads
    find what looks like a clean end.
    """

    def __init__(self, address: Address, timeout_s: float) -> None:
        """Connect; `OSError` where that fails."""
        # Whether the other side has ended the connection, other than as the end of an answer.
        self.is_lost = False
        self.is_way_broken = False  # whether the way to the other side has failed
        self._error: OSError | None = None  # first error that a call has met
        self._socket = _connect(address, timeout_s)
        self._socket.settimeout(None)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)

    @property
    def is_closed(self) -> bool:
        """Tell whether this side has closed it."""
        return self._socket.closed

    def has_failed(self) -> bool:
        """Tell whether any call has met an error, or the next one would."""
        return self._known_error() is not None

    def _known_error(self) -> OSError | None:
        if self._error is None and not self._socket.closed:
            number = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if number:
                self.note_error(OSError(number, os.strerror(number)))
        return self._error

    def note_error(self, error: OSError) -> None:
        """Record an error of the connection, unless it is that this side has closed it."""
        if self._socket.closed:
            return
        self._error = self._error or error
        if error.errno in WAY_ERRORS:
            self.is_way_broken = True
        else:
            self.is_lost = True

    def receive(self) -> bytes:
        """Wait for bytes, empty for a clean end of the connection; `OSError` where it has failed."""
        try:
            return self._socket.recv(READ_BYTES) or self._clean_end()
        except OSError as error:
            self.note_error(error)
            raise

    def receive_now(self, max_bytes: int, flags: int = 0) -> bytes | None:
        """Receive without waiting; None for nothing yet, otherwise as `receive`."""
        try:
            self._socket.setblocking(False)
            return self._socket.recv(max_bytes, flags) or self._clean_end()
        except BlockingIOError:
            return None
        except OSError as error:
            self.note_error(error)
            raise
        finally:
            self._socket.settimeout(None)

    def _clean_end(self) -> bytes:
        """Return the empty read of a clean end; `OSError` if another call has met an error."""
        error = self._known_error()
        if error is not None:
            raise OSError(error.errno, error.strerror)
        return b""

    def write_now(self, data: bytes) -> int:
        """Write without waiting; return how many bytes were taken, `OSError` where it has failed."""
        try:
            self._socket.setblocking(False)
            return self._socket.send(data)
        except BlockingIOError:
            return 0
        except OSError as error:
            self.note_error(error)
            raise
        finally:
            self._socket.settimeout(None)

    def write(self, data: memoryview) -> None:
        """Write all bytes; `OSError` where it has failed."""
        try:
            self._socket.sendall(data)
        except OSError as error:
            self.note_error(error)
            raise

    def is_acknowledged(self) -> bool:
        """Tell whether the other machine has acknowledged all that was written, or it is closed."""
        try:
            unacknowledged = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, bytes(4))
        except (OSError, ValueError):
            # It is closed, so that the kernel no longer knows.
            return True
        return struct.unpack("i", unacknowledged)[0] == 0

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def _connect(address: Address, timeout_s: float) -> GeventSocket:
    """Return a connection to an IPv4 address; `OSError` where that fails.

    `create_connection` would ask the resolver, a thread, even for a numeric address.
    """
    connection = GeventSocket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        connection.settimeout(timeout_s)
        connection.connect(address)
    except BaseException:
        connection.close()
        raise
    return connection
