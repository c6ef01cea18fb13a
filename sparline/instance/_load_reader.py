"""Load reports, each backend server read by one instance of its zone."""

import gevent
import msgspec
from result import Ok

from sparline._ids import BackendServerId
from sparline.backends import BackendAddress, call_json
from sparline.peers import Membership, first
from sparline.routing import BackendState, LoadTable
from sparline.schema._fleet import FleetRole
from sparline.schema._messages import EngineReport

READ_TIMEOUT_MS = 800.0


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
        return [one for one in ids if first(f"load/{one}", live) == self._membership.self_id]

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
        address = BackendAddress(backend.member.ip, backend.member.port)
        answer = call_json(address, "GET", "/load", b"", READ_TIMEOUT_MS)
        match answer:
            case Ok((200, content)):
                return self._take(backend, content)
        self._loads.note_unreachable(backend)
        return False

    def _take(self, backend: BackendState, content: bytes) -> bool:
        try:
            node = msgspec.json.decode(content, type=_ReportNode)
        except msgspec.DecodeError:
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
