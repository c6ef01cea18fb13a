"""Sockets whose way to others can be cut.

A cut shows by silence only: datagrams are lost, and bytes of connections wait until the way is there
again. A file says which ways are cut; it is read again when it changes. Connections are cut where
they were opened, since only that side knows both addresses.
"""

import errno
import json
import time
from pathlib import Path
from typing import Any
from weakref import WeakSet

import gevent
from gevent.socket import MSG_PEEK, SHUT_RDWR
from gevent.socket import socket as GeventSocket

# Environment variable that names the file of cuts.
CUTS_FILE = "CUTS_FILE"
STEP_S = 0.005
# Time after which unacknowledged bytes end a connection, as instances ask of the system (s).
UNACKNOWLEDGED_S = 4.0
# Names of a file's lists: addresses to and from which datagrams or bytes of connections are cut.
DATAGRAMS_TO, DATAGRAMS_FROM = "datagrams_to", "datagrams_from"
BYTES_TO, BYTES_FROM = "bytes_to", "bytes_from"

_recv, _send, _sendall = GeventSocket.recv, GeventSocket.send, GeventSocket.sendall
_connect, _sendto, _recvfrom = GeventSocket.connect, GeventSocket.sendto, GeventSocket.recvfrom


class CutWays:
    """Know which ways are cut, and which connections have not survived that."""

    def __init__(self, path: Path) -> None:
        """Read the file at each use if it has changed."""
        self._path = path
        self._changed_ns = 0
        self._ways: dict[str, list[str]] = {}
        self.expired: WeakSet[GeventSocket] = WeakSet()

    def is_cut(self, way: str, ip: str) -> bool:
        """Tell whether a way to or from an address is cut."""
        return ip in self._current().get(way, ())

    def is_connection_cut(self, way: str, connection: GeventSocket) -> bool:
        """Tell whether a way to or from the other end of a connection is cut."""
        if not self._current().get(way):
            return False
        try:
            return self.is_cut(way, connection.getpeername()[0])
        except OSError:
            return False

    def _current(self) -> dict[str, list[str]]:
        changed_ns = self._path.stat().st_mtime_ns
        if changed_ns != self._changed_ns:
            self._changed_ns = changed_ns
            self._ways = json.loads(self._path.read_text())
        return self._ways


def _hold_sending(ways: CutWays, connection: GeventSocket) -> None:
    """Wait while the way to the other end is cut, as bytes in the system's buffers do."""
    since_s = time.monotonic()
    while ways.is_connection_cut(BYTES_TO, connection):
        if connection.gettimeout() == 0:
            raise BlockingIOError(errno.EWOULDBLOCK, "the way is cut")
        if time.monotonic() - since_s > UNACKNOWLEDGED_S:
            ways.expired.add(connection)
            connection.shutdown(SHUT_RDWR)
            raise TimeoutError(errno.ETIMEDOUT, "the way is cut")
        gevent.sleep(STEP_S)


def cut_sockets(ways: CutWays, kind: type[GeventSocket] = GeventSocket) -> None:
    """Let all sockets of a kind follow the cuts."""

    def recv(self: GeventSocket, *args: Any) -> bytes:
        if self.gettimeout() == 0 and ways.is_connection_cut(BYTES_FROM, self):
            raise BlockingIOError(errno.EWOULDBLOCK, "the way is cut")
        # A reader that is interrupted while it waits must not have taken any bytes.
        _recv(self, 1, MSG_PEEK)
        while ways.is_connection_cut(BYTES_FROM, self):
            gevent.sleep(STEP_S)
        if self in ways.expired:
            raise TimeoutError(errno.ETIMEDOUT, "the way was cut")
        return _recv(self, *args)

    def send(self: GeventSocket, *args: Any) -> int:
        _hold_sending(ways, self)
        return _send(self, *args)

    def sendall(self: GeventSocket, *args: Any) -> None:
        _hold_sending(ways, self)
        _sendall(self, *args)

    def connect(self: GeventSocket, address: tuple[str, int]) -> None:
        began_s = time.monotonic()
        while any(ways.is_cut(way, address[0]) for way in (BYTES_TO, BYTES_FROM)):
            timeout_s = self.gettimeout()
            if timeout_s is not None and time.monotonic() - began_s >= timeout_s:
                raise TimeoutError("timed out")
            gevent.sleep(STEP_S)
        _connect(self, address)

    def sendto(self: GeventSocket, data: bytes, *args: Any) -> int:
        if ways.is_cut(DATAGRAMS_TO, args[-1][0]):
            return len(data)
        return _sendto(self, data, *args)

    def recvfrom(self: GeventSocket, *args: Any) -> tuple[bytes, tuple[str, int]]:
        while True:
            data, sender = _recvfrom(self, *args)
            if not ways.is_cut(DATAGRAMS_FROM, sender[0]):
                return data, sender

    for function in (recv, send, sendall, connect, sendto, recvfrom):
        setattr(kind, function.__name__, function)
