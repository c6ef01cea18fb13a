"""Exchange of the software versions at which streams began.

A stream can only go on at the version that began it, and its caller may resume it at any instance.
Where a service's servers have several versions, an instance tells two others of each stream that
begins. Whoever is to resume a stream that it does not know asks those that may have been told.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from sparline._clock import now_ms
from sparline._ids import SoftwareVersion
from sparline.fleet._members import Members
from sparline.fleet._stream_holders import holders_of
from sparline.fleet._stream_versions import (
    ServiceKey,
    StreamKey,
    StreamVersion,
    StreamVersionTable,
    service_key,
)
from sparline.routes import ServiceName
from sparline.schema._gossip import (
    StreamVersionNews,
    StreamVersionNote,
    StreamVersionQuery,
    StreamVersionReply,
)

# Maximum number of streams in a datagram, about 30 bytes each.
MAX_NOTES = 30

StreamVersionMessage = StreamVersionNews | StreamVersionQuery | StreamVersionReply


class KnownVersions(Protocol):
    """Tell which software versions a service's servers have or had lately."""

    def known(self, service: ServiceName) -> frozenset[SoftwareVersion]:
        """Return the versions of a service."""
        ...


@dataclass(frozen=True, slots=True)
class StreamVersionCallbacks:
    """Hold the callbacks of the exchange."""

    on_reply: Callable[[StreamVersionReply], None]  # called with replies to queries
    # Whether this instance knows all versions that a service has had lately.
    is_complete: Callable[[ServiceName], bool]


@dataclass(frozen=True, slots=True)
class StreamVersionDatagram:
    """Hold a datagram to send and its recipients."""

    peers: list[str]  # recipient addresses
    message: StreamVersionMessage  # content


class StreamVersionExchange:
    """Select the messages about streams to send and process those received; sends nothing itself."""

    def __init__(
        self,
        members: Members,
        versions: KnownVersions,
        callbacks: StreamVersionCallbacks,
    ) -> None:
        """Create an exchange that knows no stream."""
        self.table = StreamVersionTable()  # all known streams
        self._members = members
        self._versions = versions
        self._callbacks = callbacks
        # Streams of this instance that no other was told of, since there was one version only.
        self._untold: dict[ServiceName, set[StreamKey]] = {}

    def note_begun(
        self, stream: StreamKey, service: ServiceName, version: SoftwareVersion, left_ms: float
    ) -> list[StreamVersionDatagram]:
        """Record a stream of this instance that may be resumed for `left_ms`; tell its holders."""
        self.table.note(stream, service_key(service), version, left_ms)
        if len(self._versions.known(service)) > 1:
            return self._tell([stream])
        self._untold.setdefault(service, set()).add(stream)
        return []

    def note_relayed(
        self, stream: StreamKey, service: ServiceName, version: SoftwareVersion, left_ms: float
    ) -> None:
        """Record a stream for another instance, which tells the holders."""
        self.table.note(stream, service_key(service), version, left_ms)

    def query(
        self, stream: StreamKey, service: ServiceName, peers: list[str]
    ) -> list[StreamVersionDatagram]:
        """Return the datagram that asks some instances for the version of a stream."""
        message = StreamVersionQuery(self._members.own.ip, stream, service)
        return [StreamVersionDatagram(peers, message)] if peers else []

    def round(self) -> list[StreamVersionDatagram]:
        """Return the datagrams to send in a round.

        They tell of the streams of services whose servers have several versions since then.
        """
        datagrams: list[StreamVersionDatagram] = []
        for service in [one for one in self._untold if len(self._versions.known(one)) > 1]:
            datagrams += self._tell(self._untold.pop(service))
        return datagrams

    def take(self, message: StreamVersionMessage) -> list[StreamVersionDatagram]:
        """Process a message; return the datagrams to send in reply, if any."""
        match message:
            case StreamVersionNews():
                for note in message.streams:
                    self._take_note(note)
            case StreamVersionQuery():
                return [StreamVersionDatagram([message.ip], self._reply_to(message))]
            case StreamVersionReply():
                if message.note is not None:
                    self._take_note(message.note)
                self._callbacks.on_reply(message)
        return []

    def forget_old(self) -> None:
        """Remove the streams that no caller resumes any more."""
        self.table.forget_old()
        for service, streams in list(self._untold.items()):
            streams -= {one for one in streams if self.table.find(one) is None}
            if not streams:
                del self._untold[service]

    def _tell(self, streams: Iterable[StreamKey]) -> list[StreamVersionDatagram]:
        notes_by_peer: dict[str, list[StreamVersionNote]] = {}
        for stream in streams:
            held = self.table.find(stream)
            if held is None:
                continue
            for ip in holders_of(stream, self._members):
                notes_by_peer.setdefault(ip, []).append(_note_of(stream, held))
        return [
            StreamVersionDatagram([ip], StreamVersionNews(notes[start : start + MAX_NOTES]))
            for ip, notes in notes_by_peer.items()
            for start in range(0, len(notes), MAX_NOTES)
        ]

    def _take_note(self, note: StreamVersionNote) -> None:
        self.table.note(
            StreamKey(note.stream),
            ServiceKey(note.service),
            SoftwareVersion(note.version),
            note.left_ms,
        )

    def _reply_to(self, query: StreamVersionQuery) -> StreamVersionReply:
        stream, service = StreamKey(query.stream), ServiceName(query.service)
        held = self.table.find(stream)
        return StreamVersionReply(
            self._members.own.ip,
            stream,
            _note_of(stream, held) if held is not None else None,
            sorted(self._versions.known(service)),
            self._callbacks.is_complete(service),
        )


def _note_of(stream: StreamKey, held: StreamVersion) -> StreamVersionNote:
    return StreamVersionNote(stream, held.service, held.version, round(held.until_ms - now_ms()))
