"""Table of the software versions at which streams began, for as long as callers may resume them."""

from dataclasses import dataclass
from typing import NewType

from sparline._clock import now_ms
from sparline._hashing import hash64
from sparline._ids import RequestId, SoftwareVersion
from sparline.routes import ServiceName

# Maximum number of remembered streams, about 0.3 kB each; the oldest is evicted first.
MAX_STREAMS = 20_000
# Maximum time for which a stream is remembered (ms), whatever another instance states.
MAX_KEPT_MS = 3_600_000.0

# Hash of the id of the request that brought a stream's first event, 64 bits.
StreamKey = NewType("StreamKey", int)
# Hash of the name of a service, 32 bits.
ServiceKey = NewType("ServiceKey", int)


def stream_key(request_id: RequestId) -> StreamKey:
    """Return the key of the stream whose first event a request brought."""
    return StreamKey(hash64(request_id))


def service_key(service: ServiceName) -> ServiceKey:
    """Return the key of a service in messages about streams."""
    return ServiceKey(hash64(service) & 0xFFFF_FFFF)


@dataclass(frozen=True, slots=True)
class StreamVersion:
    """Hold where a stream began."""

    service: ServiceKey  # service that it is a stream of
    version: SoftwareVersion  # software version that its first event came from
    until_ms: float  # when no caller resumes it any more (process clock)


class StreamVersionTable:
    """Remember streams until no caller resumes them any more."""

    def __init__(self) -> None:
        """Remember nothing."""
        self._streams: dict[StreamKey, StreamVersion] = {}

    def __len__(self) -> int:
        return len(self._streams)

    def note(
        self, stream: StreamKey, service: ServiceKey, version: SoftwareVersion, left_ms: float
    ) -> None:
        """Record a stream that may be resumed for `left_ms` from now on."""
        until_ms = now_ms() + min(max(left_ms, 0.0), MAX_KEPT_MS)
        # The order of the dictionary is that in which streams are evicted.
        self._streams.pop(stream, None)
        self._streams[stream] = StreamVersion(service, version, until_ms)
        if len(self._streams) > MAX_STREAMS:
            del self._streams[next(iter(self._streams))]

    def find(self, stream: StreamKey) -> StreamVersion | None:
        """Return where a stream began, None if that is unknown."""
        held = self._streams.get(stream)
        return held if held is not None and now_ms() < held.until_ms else None

    def forget_old(self) -> None:
        """Remove the streams that no caller resumes any more."""
        now = now_ms()
        if any(now >= one.until_ms for one in self._streams.values()):
            self._streams = {
                stream: one for stream, one in self._streams.items() if now < one.until_ms
            }
