"""Conversion of facts on exits to and from the messages between instances."""

from sparline._ids import PartDigest
from sparline.quarantine._crash_table import CrashFact
from sparline.quarantine._digest import RequestDigest
from sparline.quarantine._part_table import PartFact
from sparline.quarantine._request_sample import make_sample
from sparline.schema._gossip import CrashNote, PartNote


def to_crash_note(fact: CrashFact) -> CrashNote:
    """Convert a fact to its message form."""
    return CrashNote(fact.digest, sorted(fact.ended), sorted(fact.cleared), round(fact.age_ms))


def to_crash_fact(note: CrashNote) -> CrashFact:
    """Convert a peer's message to a fact."""
    return CrashFact(
        RequestDigest(note.digest), frozenset(note.ended), frozenset(note.cleared), note.age_ms
    )


def to_part_note(fact: PartFact) -> PartNote:
    """Convert a fact on a part to its message form."""
    return PartNote(
        fact.part,
        sorted(fact.exits),
        sorted(fact.cleared),
        sorted(fact.overlapping),
        sorted(fact.carriers.hashes),
        sorted(fact.bystanders.hashes),
        round(fact.age_ms),
        fact.answers_beside,
    )


def to_part_fact(note: PartNote) -> PartFact:
    """Convert a peer's message to a fact on a part."""
    return PartFact(
        PartDigest(note.part),
        frozenset(note.ended),
        frozenset(note.cleared),
        frozenset(note.overlapping),
        make_sample(note.carriers),
        make_sample(note.bystanders),
        note.age_ms,
        note.answers_beside,
    )
