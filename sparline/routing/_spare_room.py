"""Per-sender shares of other zones' spare capacity, which keep senders from overloading a zone."""

import random
from dataclasses import dataclass

from sparline._backoff import doubled_ms
from sparline._clock import now_ms
from sparline._ids import ZoneName
from sparline.routing._summaries import StoredSummary

# Backoff for a zone after a refusal, doubled at each consecutive refusal.
MIN_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 4_000.0
# A limit decays by this factor with each new summary and grows by this increment with each accepted
# request. A sender with demand thereby gets a larger share, until the receiver refuses.
SHARE_DECAY = 0.8
SHARE_INCREMENT = 1.0
# Senders rarely need capacity all at once, so shares are overbooked; the receiver may refuse.
OVERBOOKING_FACTOR = 2.0
# Slow start: time over which the share of a newly seen zone ramps up.
SLOW_START_MS = 5_000.0


@dataclass(slots=True)
class _ShareUse:
    """Hold this instance's use of one zone's capacity under one key."""

    sequence: tuple[str, int] = ("", -1)  # reporter and sequence of the last summary applied
    limit: float = 0.0  # maximum number of outstanding requests
    room: int = 0  # free capacity according to the summary
    outstanding: int = 0  # requests from this instance in the zone
    refusals: int = 0  # consecutive refusals
    backoff_until_ms: float = 0.0  # no requests are sent before this time


class SpareCapacity:
    """Limit requests to this instance's share of the capacity that summaries advertise.

    Shares are kept by zone and by key, see `room_key`.
    """

    def __init__(self, rng: random.Random) -> None:
        """Create a table without outstanding requests."""
        self._rng = rng
        self._uses: dict[tuple[ZoneName, str], _ShareUse] = {}

    def available(self, stored: StoredSummary, key: str, room: int, senders: int) -> bool:
        """Return whether one more request may be sent to a zone."""
        use = self._use(stored, key, room, senders)
        return use.outstanding < use.limit and now_ms() >= use.backoff_until_ms

    def acquire(self, zone: ZoneName, key: str) -> None:
        """Count one outstanding request."""
        self._uses[zone, key].outstanding += 1

    def release(self, zone: ZoneName, key: str) -> None:
        """Subtract an outstanding request that has ended."""
        use = self._uses[zone, key]
        use.outstanding -= 1
        assert use.outstanding >= 0, "a share was released twice"

    def refused(self, zone: ZoneName, key: str) -> None:
        """Back off from a zone that refused a request, and halve the limit."""
        use = self._uses.setdefault((zone, key), _ShareUse())
        use.refusals += 1
        use.limit /= 2
        backoff_ms = doubled_ms(MIN_BACKOFF_MS, MAX_BACKOFF_MS, use.refusals)
        use.backoff_until_ms = now_ms() + backoff_ms * self._rng.uniform(0.75, 1.25)

    def accepted(self, zone: ZoneName, key: str) -> None:
        """Reset the refusal count and increase the limit."""
        use = self._uses.setdefault((zone, key), _ShareUse())
        use.refusals = 0
        use.limit = min(use.limit + SHARE_INCREMENT, use.outstanding + use.room)

    def _use(self, stored: StoredSummary, key: str, room: int, senders: int) -> _ShareUse:
        summary = stored.summary
        zone = ZoneName(summary.availability_zone)
        use = self._uses.setdefault((zone, key), _ShareUse())
        current = (f"{summary.reporter}/{summary.reporter_incarnation}", summary.sequence)
        if use.sequence != current:
            use.sequence = current
            use.room = room
            # The advertised room excludes the requests that already run there.
            share = use.outstanding + self._share(stored, room, senders)
            use.limit = min(max(use.limit * SHARE_DECAY, share), use.outstanding + room)
        return use

    def _share(self, stored: StoredSummary, room: int, senders: int) -> int:
        ramp = min((now_ms() - stored.first_seen_at_ms) / SLOW_START_MS + 0.1, 1.0)
        exact = room * ramp * OVERBOOKING_FACTOR / max(senders, 1)
        whole = int(exact)
        return whole + (self._rng.random() < exact - whole)
