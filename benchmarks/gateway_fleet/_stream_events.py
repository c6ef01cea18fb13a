"""The events of streams, and the software versions of the backend servers that wrote them."""

import re
from collections.abc import Iterable

from standins import Got, SealedRun, SealedServer

EVENT_ID = re.compile(rb"(?:^|(?<=\n))id: (\d+)\ndata: [^\n]*\n\n")


def event_ids(got: Got) -> list[int]:
    """Return the ids of the whole events of an answer."""
    return [int(number) for number in EVENT_ID.findall(got.body)]


class EventWriters:
    """Know which run of a request wrote an event."""

    def __init__(self, servers: Iterable[SealedServer]) -> None:
        """Take the runs so far."""
        self._runs: dict[str, list[SealedRun]] = {}
        for run in sorted((one for of in servers for one in of.runs), key=lambda one: one.at_ms):
            self._runs.setdefault(run.request_id, []).append(run)

    def versions(self, request_id: str, got: Got) -> set[str]:
        """Return the software versions that wrote the events of an answer."""
        versions = set()
        for number in event_ids(got):
            # The run that was begun last for the event wrote it.
            writers = [run for run in self._runs.get(request_id, []) if run.first_event <= number]
            versions |= {run.version for run in writers[-1:]}
        return versions
