"""The state of one lookup of a stream's software version: what was asked and what was replied."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from gevent.event import AsyncResult, Event

from sparline._clock import now_ms
from sparline._ids import SoftwareVersion
from sparline.fleet import StreamKey
from sparline.routes import ServiceName
from sparline.schema._gossip import StreamVersionReply


@dataclass(slots=True)
class VersionLookup:
    """Collect what other instances and the store reply."""

    stream: StreamKey  # the stream whose version is wanted
    service: ServiceName  # its service
    is_told: bool = False  # whether an instance knows the stream
    # Whether this instance holds all of the store, by a read in this lookup; None before its end.
    is_current: bool | None = None
    versions: set[SoftwareVersion] = field(default_factory=set)  # of the service, as others know
    # Whether an instance has replied that read the store for this lookup and knows all versions.
    is_confirmed: bool = False
    _awaited: set[str] = field(default_factory=set)  # addresses that have not replied
    _changed: Event = field(default_factory=Event)

    def expect(self, peers: Iterable[str]) -> None:
        """Wait for the replies of some instances."""
        self._awaited |= set(peers)

    def take(self, reply: StreamVersionReply) -> None:
        """Take account of a reply."""
        self._awaited.discard(reply.ip)
        self.is_told |= reply.note is not None
        self.is_confirmed |= reply.confirmed
        self.versions |= set(map(SoftwareVersion, reply.versions))
        self._changed.set()

    def take_store_read(self, outcome: AsyncResult) -> None:
        """Take account of the end of this instance's read of the store."""
        self.is_current = bool(outcome.value)
        self._changed.set()

    def needs_no_reply(self) -> bool:
        """Return whether an instance knows the stream, or all that were asked have replied."""
        return self.is_told or not self._awaited

    def is_complete(self) -> bool:
        """Return whether all that were asked have replied and the read of the store has ended."""
        return not self._awaited and self.is_current is not None

    def wait(self, is_enough: Callable[[], bool], timeout_ms: float) -> None:
        """Block until enough is known, or too long."""
        until_ms = now_ms() + timeout_ms
        while not is_enough() and (left_ms := until_ms - now_ms()) > 0:
            self._changed.wait(left_ms / 1000)
            self._changed.clear()
