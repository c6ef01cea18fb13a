"""What is in force and seen at one instance, for operators."""

from typing import Any

from sparline._clock import now_ms
from sparline.declarations import RecordStore
from sparline.limits import LimitEnforcer
from sparline.peers import Membership
from sparline.routing import LoadTable, SummaryTable


class StatusBoard:
    """Tell operators what one instance holds and sees."""

    def __init__(
        self,
        store: RecordStore,
        membership: Membership,
        loads: LoadTable,
        summaries: SummaryTable,
        limits: LimitEnforcer,
    ) -> None:
        """Read from the tables of one instance."""
        self._store = store
        self._membership = membership
        self._loads = loads
        self._summaries = summaries
        self._limits = limits
        self._seen_at_ms: dict[tuple[str, int], float] = {}

    def note_records(self) -> None:
        """Note when versions came into force."""
        now = now_ms()
        records = [one.record for one in self._store.in_force()]
        records += [one.record for one in self._store.refused()]
        current = {(record.name, record.revision) for record in records}
        self._seen_at_ms = {key: self._seen_at_ms.get(key, now) for key in current}

    def status(self) -> dict[str, Any]:
        """Return everything as plain values."""
        own = self._membership.self_hello
        return {
            "instance_id": own.instance_id,
            "incarnation": own.incarnation,
            "region": own.region,
            "availability_zone": own.availability_zone,
            "state": self._membership.state.value,
            "uptime_ms": self._membership.uptime_ms(),
            "complete_revision": self._store.complete_revision,
            "digest": f"{self._store.digest:016x}",
            "files": self._files(),
            "refused_files": self._refused(),
            "instances": self._instances(),
            "backend_servers": self._backend_servers(),
            "zones": self._zones(),
            "organisations_active": len(self._limits),
        }

    def _files(self) -> list[dict[str, Any]]:
        accepted = sorted(self._store.in_force(), key=lambda one: one.record.name)
        return [
            {
                "name": one.record.name,
                "version": one.record.revision,
                "digest": f"{one.record.digest:016x}",
                "age_ms": self._age_ms(one.record.name, one.record.revision),
            }
            for one in accepted
            if not one.record.name.startswith("fleet/")
        ]

    def _refused(self) -> list[dict[str, Any]]:
        return [
            {
                "name": one.record.name,
                "version": one.record.revision,
                "path": one.refusal.path,
                "expected": one.refusal.expected,
                "found": one.refusal.found,
            }
            for one in self._store.refused()
        ]

    def _age_ms(self, name: str, revision: int) -> int:
        return int(now_ms() - self._seen_at_ms.get((name, revision), now_ms()))

    def _instances(self) -> list[dict[str, Any]]:
        return [
            {
                "instance_id": member.id,
                "availability_zone": member.availability_zone,
                "listed": member.state.value,
                "live": self._membership.is_live(member),
                "linked": self._membership.link_of(member.id) is not None,
            }
            for member in self._membership.catalog.instances.values()
        ]

    def _backend_servers(self) -> list[dict[str, Any]]:
        return [
            {
                "backend_server": backend.member.id,
                "listed": backend.member.state.value,
                "takes_work": backend.takes_work,
                "in_flight": backend.in_flight,
                "loaded": backend.report.loaded if backend.report else [],
                "failures": backend.failures,
            }
            for backend in self._loads.all()
        ]

    def _zones(self) -> list[dict[str, Any]]:
        return [
            {
                "availability_zone": held.summary.availability_zone,
                "region": held.summary.region,
                "age_ms": int(held.age_ms()),
                "room": {
                    one.target: {"short": one.short.room, "long": one.long.room}
                    for one in held.summary.targets
                },
            }
            for held in self._summaries.fresh()
        ]
