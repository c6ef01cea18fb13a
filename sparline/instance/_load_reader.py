"""Load reports, each backend server read by one instance of its zone."""

import gevent
import msgspec
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError

from sparline._ids import BackendServerId
from sparline.peers import Membership, highest_ranked
from sparline.routing import BackendState, LoadTable
from sparline.schema._fleet import FleetMember, FleetRole
from sparline.schema._messages import EngineReport

READ_TIMEOUT_S = 0.8


class _ReportNode(msgspec.Struct, frozen=True):
    """Read a load report as engines send it."""

    draining: bool = False
    incarnation: str = ""
    slots: int = 0
    running: int = 0
    waiting: int = 0
    prefill_tokens_per_s: float = 0.0
    token_interval_ms: float = 0.0
    loaded: list[str] = []


class LoadReader:
    """Read the load reports that fall to this instance."""

    def __init__(self, membership: Membership, loads: LoadTable) -> None:
        """Read into one table."""
        self._membership = membership
        self._loads = loads
        self._clients: dict[tuple[str, int], HTTPClient] = {}

    def read_here(self) -> list[BackendServerId]:
        """Return the backend servers whose reports fall to this instance."""
        zone = self._membership.self_hello.availability_zone
        live = self._membership.live_in_zone(zone) or [self._membership.self_id]
        # Plain services tell no load; what is known of them is first-hand.
        ids = (
            BackendServerId(backend.member.id)
            for backend in self._loads.all()
            if backend.member.role is FleetRole.engine
        )
        return [
            one for one in ids if highest_ranked(f"load/{one}", live) == self._membership.self_id
        ]

    def read_due(self) -> None:
        """Read all reports that fall to this instance, side by side."""
        self._read_all([self._loads.get(one) for one in self.read_here()])

    def read_first(self) -> None:
        """Read every engine of the zone once: a start does not wait for siblings to tell."""
        engines = (one for one in self._loads.all() if one.member.role is FleetRole.engine)
        self._read_all(list(engines))

    def _read_all(self, backends: list[BackendState | None]) -> None:
        gevent.joinall([gevent.spawn(self.read, backend) for backend in backends if backend])

    def read(self, backend: BackendState) -> bool:
        """Read one report now; tell whether it came."""
        try:
            answer = self._client(backend.member).get("/load")
            content = answer.read()
        except (OSError, HTTPParseError):
            self._loads.note_unreachable(backend)
            return False
        if answer.status_code != 200:
            self._loads.note_unreachable(backend)
            return False
        return self._take(backend, bytes(content))

    def _client(self, member: FleetMember) -> HTTPClient:
        """Return a client whose connection stays open; a report may be asked for twice."""
        address = member.ip, member.port
        if address not in self._clients:
            self._clients[address] = HTTPClient(
                *address,
                concurrency=2,
                connection_timeout=READ_TIMEOUT_S,
                network_timeout=READ_TIMEOUT_S,
            )
        return self._clients[address]

    def forget_gone(self) -> None:
        """Close the connections to engines that are not in the list any more."""
        known = {(one.member.ip, one.member.port) for one in self._loads.all()}
        for address in [one for one in self._clients if one not in known]:
            self._clients.pop(address).close()

    def _take(self, backend: BackendState, content: bytes) -> bool:
        try:
            node = msgspec.json.decode(content, type=_ReportNode)
        except (msgspec.DecodeError, RecursionError):
            return False
        report = EngineReport(
            incarnation=node.incarnation or backend.member.incarnation,
            age_ms=0,
            slots=node.slots,
            running=node.running,
            waiting=node.waiting,
            prefill_tokens_per_s=node.prefill_tokens_per_s,
            token_interval_ms=node.token_interval_ms,
            loaded=node.loaded,
            draining=node.draining,
        )
        self._loads.note_report(BackendServerId(backend.member.id), report)
        return True
