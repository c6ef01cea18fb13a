"""Conversion of crash facts to and from the messages between instances."""

from sparline.quarantine._crash_table import CrashFact
from sparline.quarantine._digest import RequestDigest
from sparline.schema._gossip import CrashNote


def to_crash_note(fact: CrashFact) -> CrashNote:
    """Convert a fact to its message form."""
    return CrashNote(fact.digest, sorted(fact.ended), sorted(fact.cleared), round(fact.age_ms))


def to_crash_fact(note: CrashNote) -> CrashFact:
    """Convert a peer's message to a fact."""
    return CrashFact(
        RequestDigest(note.digest), frozenset(note.ended), frozenset(note.cleared), note.age_ms
    )
