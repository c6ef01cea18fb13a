"""A proxy on loopback that delays, silences, cuts and resets connections."""

import socket
from dataclasses import dataclass, field

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection
from gevent.socket import socket as GeventSocket

READ_BYTES = 65_536
# Closing with this set resets the connection instead of ending it.
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
SILENT_STEP_S = 0.02


@dataclass(slots=True)
class ProxyFaults:
    """Hold the faults that are switched on."""

    refuse: bool = False  # reset new connections
    silent_to: bool = False  # hold bytes towards the target
    silent_from: bool = False  # hold bytes from the target
    delay_ms: float = 0.0  # hold each read for this long


@dataclass(slots=True)
class LoopbackProxy:
    """Pass connections on to one target."""

    address: tuple[str, int]
    target: tuple[str, int]
    faults: ProxyFaults = field(default_factory=ProxyFaults)
    _server: StreamServer | None = None
    _open: set[GeventSocket] = field(default_factory=set)
    _silent: set[GeventSocket] = field(default_factory=set)  # open ones that pass nothing on

    def start(self) -> None:
        """Open the port."""
        self._server = StreamServer(self.address, self._serve)
        self._server.start()

    def stop(self) -> None:
        """Close the port and every connection."""
        if self._server is not None:
            self._server.stop(timeout=0)
        self.reset_all()

    def reset_all(self) -> None:
        """Reset every connection."""
        for one in list(self._open):
            _reset(one)

    def silence_open(self) -> None:
        """Let the open connections go silent for good; new ones work."""
        self._silent |= self._open

    def _serve(self, near: GeventSocket, _address: object) -> None:
        if self.faults.refuse:
            _reset(near)
            return
        try:
            far = create_connection(self.target, 5)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        self._open |= {near, far}
        back = gevent.spawn(self._pump, far, near, False)
        try:
            self._pump(near, far, True)
            back.join()
        finally:
            self._open -= {near, far}
            self._silent -= {near, far}
            near.close()
            far.close()

    def _pump(self, source: GeventSocket, sink: GeventSocket, towards: bool) -> None:
        try:
            while data := source.recv(READ_BYTES):
                if self.faults.delay_ms:
                    gevent.sleep(self.faults.delay_ms / 1000)
                while self.faults.silent_to if towards else self.faults.silent_from:
                    gevent.sleep(SILENT_STEP_S)
                if sink in self._silent:
                    continue
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            _reset(sink)


def _reset(connection: GeventSocket) -> None:
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()
    except OSError:
        # It was closed before.
        return
