"""Callers of a soak that take up broken streams, and what is held against the servers' versions."""

import random
from collections.abc import Iterable, Mapping

from benchmarks.gateway_fleet import EventWriters, event_ids
from benchmarks.gateway_soak._judge import CRASHING, Record
from standins import SealedServer, resumption

RESUMABLE_TARGET = "/stream/x"
# A caller takes one stream up at most so often (count).
MAX_RESUMPTIONS = 3
# Share of the callers that leave a stream in its middle to go on elsewhere, and after which event.
LEAVING_SHARE = 0.2
LEAVE_AFTER_EVENTS = 2


def events_wanted(record: Record, chance: random.Random) -> int:
    """Return after how many events the caller of a request leaves, 0 for never."""
    if record.target != RESUMABLE_TARGET or record.resumptions:
        return 0
    return LEAVE_AFTER_EVENTS if chance.random() < LEAVING_SHARE else 0


def next_try(record: Record) -> Record | None:
    """Return the request that takes up a stream where an answer ended, None if there is none."""
    if record.target != RESUMABLE_TARGET or record.body == CRASHING or record.got is None:
        return None
    is_over = record.got.whole or record.got.status != 200
    if is_over or record.resumptions == MAX_RESUMPTIONS:
        return None
    received = event_ids(record.got)
    if not received and record.resumes is None:
        return None
    first_id = record.resumes or record.request_id
    count = record.resumptions + 1
    return Record(
        f"{first_id}-{count}",
        record.target,
        record.body,
        resumes=first_id,
        resume_after=received[-1] if received else record.resume_after,
        resumptions=count,
    )


def resume_headers(record: Record) -> dict[str, str]:
    """Return the headers by which a request takes up a stream, none for other requests."""
    if record.resumes is None:
        return {}
    return resumption(record.resumes, record.resume_after)


def judge_versions(records: Iterable[Record], servers: Mapping[str, SealedServer]) -> list[str]:
    """Return the streams that hold events of several software versions."""
    writers = EventWriters(servers.values())
    versions: dict[str, set[str]] = {}
    for record in records:
        if record.target != RESUMABLE_TARGET or record.got is None or record.got.status != 200:
            continue
        held = versions.setdefault(record.resumes or record.request_id, set())
        held |= writers.versions(record.request_id, record.got)
    return [
        f"{stream} holds events of {sorted(of)}" for stream, of in versions.items() if len(of) > 1
    ]
