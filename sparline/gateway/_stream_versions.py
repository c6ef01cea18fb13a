"""Lookup of the software version at which a stream began, here or at other instances.

A version is known by a record of the stream, or because its service has had one version only. The
second counts only if a read of the store confirms it that began after the caller's request arrived:
an instance that knows no other version may be cut off from the news of it.
"""

from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from enum import Enum

import gevent
from gevent.event import AsyncResult
from result import Err, Ok, Result

from sparline._clock import now_ms
from sparline._ids import RequestId, SoftwareVersion
from sparline.fleet import (
    VERSION_RETENTION_MS,
    Members,
    SoftwareVersions,
    StreamKey,
    StreamVersionCallbacks,
    StreamVersionDatagram,
    StreamVersionExchange,
    instances_near_and_far,
    likely_holders,
    other_instances,
    service_key,
    stream_key,
)
from sparline.gateway._version_lookup import VersionLookup
from sparline.requests import Origin, Reason, RoutedRequest
from sparline.routes import ServiceName
from sparline.schema._gossip import StreamVersionQuery, StreamVersionReply

# How long a stream is remembered beyond the deadline of its request (ms): a caller may resume it
# with a later deadline.
STREAM_RETENTION_MS = 20_000.0
# How long replies of other instances are waited for (ms). The round trip between regions takes
# some 110 ms, and a busy instance replies late.
REPLY_TIMEOUT_MS = 200.0
# How long the likely holders have to reply before the store is read, too (ms): a sibling replies
# within some milliseconds, and each call of the store is charged.
HOLDERS_FIRST_MS = 30.0
# How long the store has to answer before other instances are asked to read it (ms).
STORE_FIRST_MS = 300.0
# How long instances that read the store have to reply (ms): their call and a round trip.
CONFIRM_TIMEOUT_MS = 300.0
# Delays before each query for what came and went before this process (ms), from when it is live.
CATCH_UP_DELAYS_MS = (500.0, 1_000.0, 2_000.0, 4_000.0, 8_000.0, 16_000.0)
# Maximum number of instances of the own region, and of all others, that are asked to read the store.
MAX_CONFIRMING = 2


class VersionSource(Enum):
    """Name how the version of a resumed stream is known."""

    HELD = "held"  # this instance has a record: it served the stream or received one
    TOLD = "told"  # another instance replied
    ONLY = "only"  # the service has had no other version lately, as the store confirms
    UNKNOWN = "unknown"  # none of these
    # This instance knows one version only and cannot confirm that there was no other; another
    # instance may know more.
    UNCONFIRMED = "unconfirmed"


@dataclass(frozen=True, slots=True)
class FoundVersion:
    """Hold the software version at which a stream began, and how it is known."""

    version: SoftwareVersion | None  # None if unknown
    source: VersionSource  # how it is known


@dataclass(frozen=True, slots=True)
class StreamVersionSources:
    """Hold the callbacks of the lookup."""

    send: Callable[[Iterable[StreamVersionDatagram]], None]  # sends datagrams
    # Begins a read of the store; its outcome is whether this instance then holds all of it.
    read_store: Callable[[], AsyncResult]
    may_store_answer: Callable[[], bool]  # whether an answer of the store is likely
    # When entries may last have appeared and been deleted unseen (process clock), 0 for never.
    skipped_at_ms: Callable[[], float]
    has_no_route_moved: Callable[[], bool]  # whether routes lead to the same services as lately
    # Logs what was found and its duration (ms).
    note_found: Callable[[RoutedRequest, FoundVersion, float], None]


UNKNOWN_VERSION = FoundVersion(None, VersionSource.UNKNOWN)
UNCONFIRMED_VERSION = FoundVersion(None, VersionSource.UNCONFIRMED)


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
            members, versions, StreamVersionCallbacks(self._take_reply, self._confirm_for_peer)
        )
        self._members = members
        self._versions = versions
        self._sources = sources
        # Start of this process, 0 if no version can have been in use and removed before it.
        self._started_at_ms = 0.0 if is_first_start else now_ms()
        # When another instance last reported all versions that a service has had.
        self._caught_up_at_ms: dict[ServiceName, float] = {}
        self._lookups: dict[StreamKey, list[VersionLookup]] = {}

    def note_begun(self, request: RoutedRequest, version: SoftwareVersion) -> None:
        """Record the version that the first event of a stream came from, before it is sent on.

        The instance that relayed a request records it, as it alone knows what the caller gets: the
        event may be lost on its way there, and another version then begin the stream.
        """
        if request.origin is Origin.RELAY:
            return
        stream = stream_key(request.stream_id)
        left_ms = max(request.left_ms(), 0.0) + STREAM_RETENTION_MS
        self._sources.send(self.exchange.note_begun(stream, request.service, version, left_ms))

    def find(self, request: RoutedRequest) -> Result[SoftwareVersion, Reason]:
        """Return the version at which a resumed stream began, or why it is not known.

        Blocks for some hundred milliseconds at most, if others or the store have to be asked.
        """
        began_ms = now_ms()
        found = self._find(stream_key(request.stream_id), request.service)
        if found.version is not None:
            self._learn_servers(request.service, found.version)
        self._sources.note_found(request, found, now_ms() - began_ms)
        if found.version is not None:
            return Ok(found.version)
        if found.source is VersionSource.UNCONFIRMED:
            return Err(Reason.SOFTWARE_VERSION_UNCONFIRMED)
        return Err(Reason.SOFTWARE_VERSION_UNKNOWN)

    def _learn_servers(self, service: ServiceName, version: SoftwareVersion) -> None:
        """Read the store if no server of a version is known here: it may list some by now."""
        if version not in self._versions.known(service):
            self._sources.read_store().wait(STORE_FIRST_MS / 1000)

    def _find(self, stream: StreamKey, service: ServiceName) -> FoundVersion:
        held = self._held(stream, service, VersionSource.HELD)
        if held is not None:
            return held
        with self._registered_lookup(stream, service) as lookup:
            for ask in (self._ask_holders, self._ask_store, self._ask_others):
                ask(lookup)
                found = self._held(stream, service, VersionSource.TOLD) or self._only(lookup)
                if found is not None:
                    return found
            return self._unfound(lookup)

    @contextmanager
    def _registered_lookup(
        self, stream: StreamKey, service: ServiceName
    ) -> Iterator[VersionLookup]:
        """Start a lookup that takes replies until the block ends."""
        lookup = VersionLookup(stream, service)
        lookups = self._lookups.setdefault(stream, [])
        lookups.append(lookup)
        try:
            yield lookup
        finally:
            # Runs also when this greenlet is killed.
            lookups.remove(lookup)
            if not lookups:
                self._lookups.pop(stream, None)

    def _held(
        self, stream: StreamKey, service: ServiceName, source: VersionSource
    ) -> FoundVersion | None:
        held = self.exchange.table.find(stream)
        if held is None:
            return None
        if held.service != service_key(service):
            # Its route has another service by now, which cannot resume it.
            return UNKNOWN_VERSION
        return FoundVersion(held.version, source)

    def _only(self, lookup: VersionLookup) -> FoundVersion | None:
        """Return the only version that the service has had, if that has been confirmed."""
        only = self._versions.only(lookup.service)
        if only is None or lookup.versions - {only}:
            return None
        is_confirmed_here = bool(lookup.is_current) and self._has_history(lookup.service)
        if is_confirmed_here or lookup.is_confirmed:
            return FoundVersion(only, VersionSource.ONLY)
        return None

    def _unfound(self, lookup: VersionLookup) -> FoundVersion:
        """Return why the version is not known."""
        only = self._versions.only(lookup.service)
        is_in_doubt = only is None or bool(lookup.versions - {only})
        return UNKNOWN_VERSION if is_in_doubt else UNCONFIRMED_VERSION

    def _has_history(self, service: ServiceName) -> bool:
        """Return whether this instance knows all versions that were removed recently."""
        missed_at_ms = max(self._started_at_ms, self._sources.skipped_at_ms())
        if not missed_at_ms or now_ms() - missed_at_ms >= VERSION_RETENTION_MS:
            return True
        return self._caught_up_at_ms.get(service, 0.0) > missed_at_ms

    def catch_up(self, services: Callable[[], Iterable[ServiceName]]) -> None:
        """Ask others which versions were removed before this process started, until some reply.

        When all instances are restarted in turn, each learns it from one that still knows.
        """
        for delay_ms in CATCH_UP_DELAYS_MS:
            gevent.sleep(delay_ms / 1000)
            missing = [one for one in services() if not self._has_history(one)]
            if not missing:
                return
            for service in missing:
                with self._registered_lookup(_catch_up_key(service), service) as lookup:
                    self._ask_to_confirm(
                        lookup, instances_near_and_far(self._members, MAX_CONFIRMING)
                    )

    def _ask_holders(self, lookup: VersionLookup) -> None:
        """Ask the instances that have a record of the stream if any has one."""
        has_one = self._versions.only(lookup.service) is not None
        self._send_query(lookup, likely_holders(lookup.stream, self._members))
        lookup.wait(lookup.needs_no_reply, HOLDERS_FIRST_MS if has_one else REPLY_TIMEOUT_MS)

    def _ask_store(self, lookup: VersionLookup) -> None:
        """Read the store, which shows whether there is a version that this instance does not know.

        Several known versions need a record; the store has none.
        """
        if self._versions.only(lookup.service) is None:
            return
        self._sources.read_store().rawlink(lookup.take_store_read)
        if self._sources.may_store_answer():
            lookup.wait(lambda: lookup.is_told or lookup.is_current is not None, STORE_FIRST_MS)

    def _ask_others(self, lookup: VersionLookup) -> None:
        """Ask all others for a record, and some to read the store if there seems to be one version."""
        asked = likely_holders(lookup.stream, self._members)
        if self._versions.only(lookup.service) is None:
            self._send_query(lookup, other_instances(self._members, asked))
            lookup.wait(lookup.needs_no_reply, REPLY_TIMEOUT_MS)
            return
        confirming = instances_near_and_far(self._members, MAX_CONFIRMING)
        self._send_query(lookup, other_instances(self._members, [*asked, *confirming]))
        self._ask_to_confirm(lookup, confirming)

    def _ask_to_confirm(self, lookup: VersionLookup, peers: list[str]) -> None:
        """Ask others to read the store, and learn from them what this process has missed."""
        self._send_query(lookup, peers, confirm=True)
        lookup.wait(
            lambda: lookup.is_told or lookup.is_complete() or lookup.is_confirmed,
            CONFIRM_TIMEOUT_MS,
        )
        if lookup.is_confirmed and not self._has_history(lookup.service):
            self._versions.note_former(lookup.service, lookup.versions)
            self._caught_up_at_ms[lookup.service] = now_ms()

    def _send_query(self, lookup: VersionLookup, peers: list[str], confirm: bool = False) -> None:
        lookup.expect(peers)
        query = self.exchange.query(lookup.stream, lookup.service, peers, confirm)
        self._sources.send(query)

    def _take_reply(self, reply: StreamVersionReply) -> None:
        for lookup in self._lookups.get(StreamKey(reply.stream), ()):
            lookup.take(reply)

    def _confirm_for_peer(self, query: StreamVersionQuery) -> None:
        """Read the store and reply, in the background."""
        gevent.spawn(self._reply_after_read, query)

    def _reply_after_read(self, query: StreamVersionQuery) -> None:
        # Without the history, a read would confirm nothing.
        has_history = self._has_history(ServiceName(query.service))
        is_current = has_history and self._sources.read_store().wait(CONFIRM_TIMEOUT_MS / 1000)
        is_confirmed = bool(is_current) and self._sources.has_no_route_moved()
        self._sources.send(self.exchange.reply(query, is_confirmed))


def _catch_up_key(service: ServiceName) -> StreamKey:
    """Return a key under which replies to a query about a service alone are found."""
    return stream_key(RequestId(f"catch-up/{service}"))
