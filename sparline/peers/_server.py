"""Shutdown of the server that accepts peer connections."""

import socket

from websockets.sync.server import Server


def stop_serving(server: Server) -> None:
    """Stop a server that runs `serve_forever` and close all its connections.

    If a socket is closed while the event loop still watches it, the loop aborts the process once
    the file descriptor is reused. The server closes both of its sockets but removes the watcher
    only of the one that became ready, so both are made ready at once before they are closed.
    """
    try:
        server.shutdown_notifier.send(b"x")
        server.socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        # Already stopped; no watcher remains.
        return
    server.socket_closed.wait()
    server.shutdown()
