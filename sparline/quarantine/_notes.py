"""Facts of crashes as instances tell them to each other."""

from sparline.quarantine._crash_table import CrashFact
from sparline.quarantine._digest import RequestDigest
from sparline.schema._gossip import CrashNote


def note_of(fact: CrashFact) -> CrashNote:
    """Return a fact as it is told."""
    return CrashNote(fact.digest, sorted(fact.ended), sorted(fact.cleared), round(fact.age_ms))


def fact_of(note: CrashNote) -> CrashFact:
    """Return what a peer told."""
    return CrashFact(
        RequestDigest(note.digest), frozenset(note.ended), frozenset(note.cleared), note.age_ms
    )
