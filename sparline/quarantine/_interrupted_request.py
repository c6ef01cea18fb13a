"""A request that was running on a backend server when its answer broke off."""

from dataclasses import dataclass

from sparline._hashing import hash64
from sparline._ids import PartDigest, RequestId, SoftwareVersion
from sparline.quarantine._digest import RequestDigest

# Bits of the key of a kind of server.
KIND_BITS = 8


@dataclass(frozen=True, slots=True)
class ServerKind:
    """Identify servers that answer a part of a prompt alike."""

    service: str
    software_version: SoftwareVersion | None  # None if it is unknown

    @property
    def key(self) -> int:
        """Return a key of `KIND_BITS`, equal in each instance."""
        return hash64(f"{self.service}/{self.software_version}") % (1 << KIND_BITS)


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """Describe a request to which an answer broke off."""

    digest: RequestDigest  # digest of its content
    request_id: RequestId  # as the caller sent it
    parts: tuple[PartDigest, ...]  # parts of its prompt that others may share
    kind: ServerKind  # kind of the server
    sent_at_ms: float  # when it was sent to the server
