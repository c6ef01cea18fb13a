"""Refusals that a backend server sends once more on the connection of the first one."""

from dataclasses import dataclass, field
from enum import Enum

from gevent.socket import socket as GeventSocket

ID_NAME = b"attempt-id"


class CopyTime(Enum):
    """Enumerate when the copy of a refusal is sent."""

    AT_ONCE = "at_once"  # behind the refusal, in the same write
    WITH_NEXT = "with_next"  # once the next request on the connection has arrived


@dataclass(slots=True)
class RefusalCopies:
    """Send each refusal of a server once more."""

    time: CopyTime = CopyTime.WITH_NEXT
    without_id: bool = False  # leave the id of the refused request out of the copy
    sent: int = 0  # copies so far
    _owed: dict[GeventSocket, bytes] = field(default_factory=dict)  # copy by its connection

    def refuse(self, connection: GeventSocket, head: bytes) -> None:
        """Send a refusal, and its copy now or later."""
        copy = _without_id(head) if self.without_id else head
        if self.time is CopyTime.AT_ONCE:
            self.sent += 1
            connection.sendall(head + copy)
            return
        self._owed[connection] = copy
        connection.sendall(head)

    def send_owed(self, connection: GeventSocket) -> None:
        """Send the copy that a connection is still to get, if any."""
        copy = self._owed.pop(connection, None)
        if copy is not None:
            self.sent += 1
            connection.sendall(copy)


def _without_id(head: bytes) -> bytes:
    lines = head.split(b"\r\n")
    return b"\r\n".join(line for line in lines if not line.lower().startswith(ID_NAME))
