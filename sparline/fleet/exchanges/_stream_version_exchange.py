"""Exchange of the software versions at which streams began.

A stream can only go on at the version that began it, and its caller may resume it at any instance.
An instance tells two others of each stream that begins, also while it knows one version only: it may
be the one that has not heard of another. Whoever is to resume a stream that it does not know asks
those that may have been told.
"""

from collections.abc import Callable
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
    # Called with queries of unknown streams that ask for a read of the store; replies later.
    on_confirm: Callable[[StreamVersionQuery], None]


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

    def note_begun(
        self, stream: StreamKey, service: ServiceName, version: SoftwareVersion, left_ms: float
    ) -> list[StreamVersionDatagram]:
        """Record a stream of this instance that may be resumed for `left_ms`; tell its holders."""
        self.table.note(stream, service_key(service), version, left_ms)
        note = StreamVersionNote(stream, service_key(service), version, round(left_ms))
        peers = holders_of(stream, self._members)
        return [StreamVersionDatagram(peers, StreamVersionNews([note]))] if peers else []

    def query(
        self, stream: StreamKey, service: ServiceName, peers: list[str], confirm: bool = False
    ) -> list[StreamVersionDatagram]:
        """Return the datagram that asks some instances for the version of a stream.

        With `confirm`, those that do not know the stream read the store before they reply.
        """
        message = StreamVersionQuery(self._members.own.ip, stream, service, confirm)
        return [StreamVersionDatagram(peers, message)] if peers else []

    def take(self, message: StreamVersionMessage) -> list[StreamVersionDatagram]:
        """Process a message; return the datagrams to send in reply, if any."""
        match message:
            case StreamVersionNews():
                for note in message.streams:
                    self._take_note(note)
            case StreamVersionQuery():
                if message.confirm and self.table.find(StreamKey(message.stream)) is None:
                    self._callbacks.on_confirm(message)
                    return []
                return self.reply(message, is_confirmed=False)
            case StreamVersionReply():
                if message.note is not None:
                    self._take_note(message.note)
                self._callbacks.on_reply(message)
        return []

    def reply(self, query: StreamVersionQuery, is_confirmed: bool) -> list[StreamVersionDatagram]:
        """Return the reply to a query, with whether a read of the store confirms the versions."""
        stream, service = StreamKey(query.stream), ServiceName(query.service)
        held = self.table.find(stream)
        message = StreamVersionReply(
            self._members.own.ip,
            stream,
            _note_of(stream, held) if held is not None else None,
            sorted(self._versions.known(service)),
            complete=is_confirmed,
            confirmed=is_confirmed,
        )
        return [StreamVersionDatagram([query.ip], message)]

    def forget_old(self) -> None:
        """Remove the streams that no caller resumes any more."""
        self.table.forget_old()

    def _take_note(self, note: StreamVersionNote) -> None:
        self.table.note(
            StreamKey(note.stream),
            ServiceKey(note.service),
            SoftwareVersion(note.version),
            note.left_ms,
        )


def _note_of(stream: StreamKey, held: StreamVersion) -> StreamVersionNote:
    return StreamVersionNote(stream, held.service, held.version, round(held.until_ms - now_ms()))
