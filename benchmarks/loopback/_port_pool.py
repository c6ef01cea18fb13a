"""Ports of loopback that no other process on this machine takes."""

import os
import socket
from typing import ClassVar

from gevent.monkey import get_original

HOST = "127.0.0.1"
FIRST_PORT = 10_000
PORTS_IN_BLOCK = 100
PORT_BLOCKS = 220


class PortPool:
    """Hand out ports that are free on every address of this machine, to one process only.

    The pools of a process share blocks of ports. A process claims a block by holding a socket
    bound to the block's first port until it ends, so that processes with pools never hand out
    the same port, whichever runs they belong to. The ports lie below those that the system gives
    to outgoing connections, which would otherwise take one between its choice and its use.
    """

    _claims: ClassVar[list[socket.socket]] = []
    _next: ClassVar[int] = 0  # port that is tried next
    _end: ClassVar[int] = 0  # first port behind the current block

    def take(self) -> int:
        """Return a port that is free now and was not handed out before.

        Once no block is left, the own blocks are used again, the oldest first. Raises `OSError`
        where other processes hold all blocks.
        """
        while True:
            if PortPool._next == PortPool._end:
                PortPool._claim_block()
            port = PortPool._next
            PortPool._next += 1
            # A patched socket may be closed a moment later, and would hold the port itself.
            with get_original("socket", "socket")() as probe:
                try:
                    probe.bind(("", port))
                except OSError:
                    continue
            return port

    @staticmethod
    def _claim_block() -> None:
        """Make the next free block the current one; a process starts its search by its id."""
        for number in range(PORT_BLOCKS):
            first = FIRST_PORT + (os.getpid() + number) % PORT_BLOCKS * PORTS_IN_BLOCK
            claim = get_original("socket", "socket")()
            try:
                claim.bind(("", first))
            except OSError:
                claim.close()
                continue
            break
        else:
            if not PortPool._claims:
                raise OSError(f"all {PORT_BLOCKS} blocks of ports are in use")
            claim = PortPool._claims.pop(0)
        PortPool._claims.append(claim)
        first = claim.getsockname()[1]
        PortPool._next, PortPool._end = first + 1, first + PORTS_IN_BLOCK
