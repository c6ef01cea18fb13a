"""End the port where peers connect."""

import socket

from websockets.sync.server import Server


def stop_serving(server: Server) -> None:
    """Close a port that `serve_forever` serves, and every connection of it.

    The event loop aborts the process where a socket is closed while it is still watched, once its
    number is used again. The server closes both of its sockets and ends the watch only of the one
    that woke it, so both are made to wake it, in one step, before they are closed.
    """
    try:
        server.shutdown_notifier.send(b"x")
        server.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It was stopped before; then nothing is watched any more.
        return
    server.socket_closed.wait()
    server.shutdown()
