"""The software version at which a stream began, as this instance knows it or others tell it."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from enum import Enum

from gevent.event import Event

from sparline._clock import now_ms
from sparline._ids import SoftwareVersion
from sparline.fleet import (
    VERSION_RETENTION_MS,
    Members,
    SoftwareVersions,
    StreamKey,
    StreamVersionCallbacks,
    StreamVersionDatagram,
    StreamVersionExchange,
    likely_holders,
    other_instances,
    service_key,
    stream_key,
)
from sparline.requests import Origin, RoutedRequest
from sparline.routes import ServiceName
from sparline.schema._gossip import StreamVersionReply

# How long a stream is remembered beyond the deadline of its request (ms): a caller may resume it
# with a later deadline.
STREAM_RETENTION_MS = 20_000.0
# How long replies of other instances are waited for (ms). The round trip between regions takes
# some 110 ms, and a busy instance replies late.
REPLY_TIMEOUT_MS = 200.0
# Maximum number of instances that are asked beside the likely holders whether a service has had one
# version only.
MAX_WITNESSES = 8


class VersionSource(Enum):
    """Name how the version of a resumed stream is known."""

    HELD = "held"  # this instance served the stream or was told of it
    TOLD = "told"  # another instance replied
    ONLY = "only"  # the service has had no other version lately
    UNKNOWN = "unknown"  # none of these


@dataclass(frozen=True, slots=True)
class FoundVersion:
    """Hold the software version at which a stream began, and how it is known."""

    version: SoftwareVersion | None  # None if unknown
    source: VersionSource  # how it is known


@dataclass(frozen=True, slots=True)
class StreamVersionSources:
    """Hold the callbacks of the lookup."""

    send: Callable[[Iterable[StreamVersionDatagram]], None]  # sends datagrams
    is_outdated: Callable[[], bool]  # whether others may know newer entries of the store
    is_store_reached: Callable[[], bool]  # whether the store answered this instance lately
    note_found: Callable[
        [RoutedRequest, FoundVersion, float], None
    ]  # logs it and its duration (ms)


@dataclass(slots=True)
class _Query:
    """Collect the replies about one stream."""

    awaited: set[str]  # addresses of the instances that have not replied
    only: SoftwareVersion | None  # version that this instance takes to be the only one, if any
    # Versions that the service has had, as those that replied know.
    versions: set[str] = field(default_factory=set)
    is_answered: bool = False  # whether any has replied
    is_confirmed: bool = False  # whether one that knows all versions knows `only` alone
    done: Event = field(default_factory=Event)  # set once nothing more has to be waited for

    def take(self, reply: StreamVersionReply) -> None:
        """Count a reply; the wait ends if it tells enough or is the last one."""
        if reply.ip not in self.awaited:
            return
        self.awaited.remove(reply.ip)
        self.versions |= set(reply.versions)
        self.is_answered = True
        self.is_confirmed |= reply.complete and reply.versions == [self.only]
        if reply.note is not None or self.is_confirmed or not self.awaited:
            self.done.set()

    def is_in_doubt(self) -> bool:
        """Tell whether others may know more: the service may have had several versions."""
        return self.only is None or bool(self.versions - {self.only})


UNKNOWN_VERSION = FoundVersion(None, VersionSource.UNKNOWN)


class StreamVersions:
    """Remember the versions of streams and look up those of streams that callers resume."""

    def __init__(
        self,
        members: Members,
        versions: SoftwareVersions,
        sources: StreamVersionSources,
        is_first_start: bool,
    ) -> None:
        """Know no stream; unless at the first start, some may have begun before this process."""
        self.exchange = StreamVersionExchange(
            members, versions, StreamVersionCallbacks(self._take_reply, self.is_complete)
        )
        self._members = members
        self._versions = versions
        self._sources = sources
        # Until when a service may have had versions lately that this process has not seen.
        self._missed_until_ms = 0.0 if is_first_start else now_ms() + VERSION_RETENTION_MS
        # Services of which another instance has told all versions.
        self._caught_up: set[ServiceName] = set()
        self._queries: dict[StreamKey, list[_Query]] = {}

    def note_begun(self, request: RoutedRequest, version: SoftwareVersion) -> None:
        """Record the version that the first event of a stream came from, before it is sent on."""
        stream = stream_key(request.stream_id)
        left_ms = max(request.left_ms(), 0.0) + STREAM_RETENTION_MS
        if request.origin is Origin.RELAY:
            self.exchange.note_relayed(stream, request.service, version, left_ms)
            return
        self._sources.send(self.exchange.note_begun(stream, request.service, version, left_ms))

    def find(self, request: RoutedRequest) -> SoftwareVersion | None:
        """Return the version at which a resumed stream began, None if nobody knows.

        Blocks for some hundred milliseconds at most, if others have to be asked.
        """
        began_ms = now_ms()
        found = self._find(stream_key(request.stream_id), request.service)
        self._sources.note_found(request, found, now_ms() - began_ms)
        return found.version

    def _find(self, stream: StreamKey, service: ServiceName) -> FoundVersion:
        held = self._held(stream, service, VersionSource.HELD)
        if held is not None:
            return held
        only = self._versions.only(service)
        if only is not None and self.is_complete(service):
            return FoundVersion(only, VersionSource.ONLY)
        peers = likely_holders(stream, self._members)
        if only is not None:
            # One that knows all versions is enough.
            peers += other_instances(self._members, peers)[:MAX_WITNESSES]
        query = self._ask(stream, service, only, peers)
        held = self._held(stream, service, VersionSource.TOLD)
        if held is None and query.is_in_doubt():
            self._ask(stream, service, only, other_instances(self._members, peers))
            held = self._held(stream, service, VersionSource.TOLD)
        return held or self._without_record(query)

    def _held(
        self, stream: StreamKey, service: ServiceName, source: VersionSource
    ) -> FoundVersion | None:
        held = self.exchange.table.find(stream)
        if held is None:
            return None
        if held.service != service_key(service):
            # Its route has another service since then, which cannot go on with it.
            return UNKNOWN_VERSION
        return FoundVersion(held.version, source)

    def is_complete(self, service: ServiceName) -> bool:
        """Tell whether this instance knows all versions that a service has had lately."""
        has_caught_up = now_ms() >= self._missed_until_ms or service in self._caught_up
        return has_caught_up and not self._sources.is_outdated()

    def _without_record(self, query: _Query) -> FoundVersion:
        """Return the only version that anyone knows the service to have had, if there is one."""
        is_in_touch = query.is_answered or self._sources.is_store_reached()
        if query.is_in_doubt() or not is_in_touch:
            return UNKNOWN_VERSION
        return FoundVersion(query.only, VersionSource.ONLY)

    def _ask(
        self,
        stream: StreamKey,
        service: ServiceName,
        only: SoftwareVersion | None,
        peers: list[str],
    ) -> _Query:
        """Ask some instances; wait until one tells enough, all have replied, or too long."""
        query = _Query(set(peers), only)
        if not peers:
            return query
        queries = self._queries.setdefault(stream, [])
        queries.append(query)
        try:
            self._sources.send(self.exchange.query(stream, service, peers))
            query.done.wait(REPLY_TIMEOUT_MS / 1000)
        finally:
            # Runs also when this greenlet is killed.
            queries.remove(query)
            if not queries:
                self._queries.pop(stream, None)
        if query.is_confirmed:
            self._caught_up.add(service)
        return query

    def _take_reply(self, reply: StreamVersionReply) -> None:
        for query in self._queries.get(StreamKey(reply.stream), ()):
            query.take(reply)
