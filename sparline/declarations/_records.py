"""The records that the platform published, newest version of each."""

from dataclasses import dataclass
from enum import Enum

from result import Err, Ok, Result

from sparline._hashing import hash64
from sparline._ids import RecordName, Revision
from sparline.declarations._acceptance import Declaration, accept_file, accept_member
from sparline.declarations._strict_json import Refusal
from sparline.schema._fleet import FleetMember

# Names of fleet entries start so; all other records are files of the operators.
FLEET_PREFIX = "fleet/"


class RecordVerdict(Enum):
    """Say what became of a record that was offered to the store."""

    IN_FORCE = "in_force"
    REMOVED = "removed"
    REFUSED = "refused"
    OLDER = "older"
    SAME = "same"
    CONFLICT = "conflict"


@dataclass(frozen=True, slots=True)
class Record:
    """Hold one version of one published record."""

    name: RecordName  # name at the platform
    revision: Revision  # the platform's revision; orders versions
    body: str | None  # content as published, None for a removed record

    @property
    def digest(self) -> int:
        """Return a digest over name, revision and content."""
        content = "\0" if self.body is None else self.body
        return hash64(f"{self.name}\n{self.revision}\n{content}")


@dataclass(frozen=True, slots=True)
class AcceptedRecord:
    """Hold a record together with what was read from it."""

    record: Record  # as published
    content: Declaration | FleetMember | None  # None for a removed record


@dataclass(frozen=True, slots=True)
class RefusedRecord:
    """Hold the newest refused version of a record."""

    record: Record  # as published
    refusal: Refusal  # why it is not in force


class RecordStore:
    """Keep the newest accepted version of each record; never go back."""

    def __init__(self) -> None:
        """Start with nothing."""
        self._in_force: dict[RecordName, AcceptedRecord] = {}
        self._refused: dict[RecordName, RefusedRecord] = {}
        self.complete_revision = Revision(0)  # every record up to here is held
        self.digest = 0  # over the newest version of each record, refused ones too
        self.version = 0  # counts changes, so that views know when to refresh

    def offer(self, record: Record) -> RecordVerdict:
        """Take a record if it is newer than what is held."""
        newest = self._newest(record.name)
        if newest is not None and record.revision <= newest.revision:
            return self._judge_old(record, newest)
        accepted = _read(record)
        verdict = self._put(record, accepted)
        self._note_digest(newest, record)
        self.version += 1
        return verdict

    def _judge_old(self, record: Record, newest: Record) -> RecordVerdict:
        if record.revision == newest.revision:
            return RecordVerdict.SAME if record.body == newest.body else RecordVerdict.CONFLICT
        held = self._in_force.get(record.name)
        missed = record.name in self._refused and (
            held is None or held.record.revision < record.revision
        )
        if not missed:
            return RecordVerdict.OLDER
        # The newest version is refused; this older one may be the one in force.
        accepted = _read(record)
        if accepted.is_err():
            return RecordVerdict.OLDER
        self._in_force[record.name] = AcceptedRecord(record, accepted.unwrap())
        self.version += 1
        return RecordVerdict.IN_FORCE

    def _put(
        self, record: Record, accepted: Result[Declaration | FleetMember | None, Refusal]
    ) -> RecordVerdict:
        match accepted:
            case Err(refusal):
                self._refused[record.name] = RefusedRecord(record, refusal)
                return RecordVerdict.REFUSED
            case Ok(content):
                held = self._in_force.get(record.name)
                assert held is None or held.record.revision < record.revision, (
                    f"record {record.name} would go back to revision {record.revision}"
                )
                self._in_force[record.name] = AcceptedRecord(record, content)
                self._refused.pop(record.name, None)
        return RecordVerdict.REMOVED if record.body is None else RecordVerdict.IN_FORCE

    def _note_digest(self, before: Record | None, after: Record) -> None:
        if before is not None:
            self.digest ^= before.digest
        self.digest ^= after.digest

    def _newest(self, name: RecordName) -> Record | None:
        if name in self._refused:
            return self._refused[name].record
        held = self._in_force.get(name)
        return held.record if held else None

    def complete_up_to(self, revision: Revision) -> None:
        """Note that every record up to a revision was offered."""
        self.complete_revision = max(self.complete_revision, revision)

    def newer_than(self, since: Revision) -> list[Record]:
        """Return the records after a revision, oldest first, refused ones too."""
        records = [one.record for one in self._in_force.values()]
        records += [one.record for one in self._refused.values()]
        return sorted(
            (record for record in records if record.revision > since),
            key=lambda record: record.revision,
        )

    def in_force(self) -> list[AcceptedRecord]:
        """Return what is in force, removed records left out."""
        return [one for one in self._in_force.values() if one.content is not None]

    def refused(self) -> list[RefusedRecord]:
        """Return the newest refused versions."""
        return list(self._refused.values())

    def lacks_accepted(self) -> bool:
        """Tell whether a record is known only by a refused version."""
        return any(name not in self._in_force for name in self._refused)


def _read(record: Record) -> Result[Declaration | FleetMember | None, Refusal]:
    if record.body is None:
        return Ok(None)
    if record.name.startswith(FLEET_PREFIX):
        return accept_member(record.body)
    return accept_file(record.body)
