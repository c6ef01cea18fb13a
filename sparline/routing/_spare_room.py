"""Shares of other zones' spare room, so that many senders don't take it all at once."""

import random
from dataclasses import dataclass

from sparline._backoff import doubled_ms
from sparline._clock import now_ms
from sparline._ids import ZoneName
from sparline.routing._summaries import HeldSummary

# After a refusal a zone is left alone for so long, doubled at each refusal in a row.
BACKOFF_FIRST_MS = 250.0
BACKOFF_LONGEST_MS = 4_000.0
# The part of a share that stays when a new summary comes, and what a taken request adds:
# whoever needs room finds more of it, the receiver's refusals end the growth.
KEPT_SHARE = 0.8
GROWTH = 1.0
# Not all senders need room at once: shares sum to more than the room, the receiver refuses.
OVERBOOKED = 2.0
# Room in a zone that has just come into sight is used bit by bit over so long.
RAMP_MS = 5_000.0


@dataclass(slots=True)
class _Use:
    """Hold what this instance did with one zone's room for one target."""

    sequence: tuple[str, int] = ("", -1)  # summary that the limit belongs to
    limit: float = 0.0  # requests that may be there at once
    room: int = 0  # room that the summary tells of
    outstanding: int = 0  # requests from here that are there now
    refusals: int = 0  # refusals in a row
    closed_until_ms: float = 0.0  # no sending before then


class SpareRoom:
    """Give out this instance's share of the room that summaries tell of."""

    def __init__(self, chance: random.Random) -> None:
        """Start with no room used."""
        self._chance = chance
        self._uses: dict[tuple[ZoneName, str], _Use] = {}

    def available(self, held: HeldSummary, target: str, room: int, senders: int) -> bool:
        """Tell whether one more request may be sent to a zone."""
        use = self._use(held, target, room, senders)
        return use.outstanding < use.limit and now_ms() >= use.closed_until_ms

    def take(self, zone: ZoneName, target: str) -> None:
        """Use one place of the share."""
        self._uses[zone, target].outstanding += 1

    def give_back(self, zone: ZoneName, target: str) -> None:
        """Return a place once its request has ended."""
        use = self._uses[zone, target]
        use.outstanding -= 1
        assert use.outstanding >= 0, "a place was given back twice"

    def refused(self, zone: ZoneName, target: str) -> None:
        """Leave a zone alone that gave a request back, and use less of it."""
        use = self._uses.setdefault((zone, target), _Use())
        use.refusals += 1
        use.limit /= 2
        pause_ms = doubled_ms(BACKOFF_FIRST_MS, BACKOFF_LONGEST_MS, use.refusals)
        use.closed_until_ms = now_ms() + pause_ms * self._chance.uniform(0.75, 1.25)

    def accepted(self, zone: ZoneName, target: str) -> None:
        """End the count of refusals and use a little more."""
        use = self._uses.setdefault((zone, target), _Use())
        use.refusals = 0
        use.limit = min(use.limit + GROWTH, use.outstanding + use.room)

    def _use(self, held: HeldSummary, target: str, room: int, senders: int) -> _Use:
        summary = held.summary
        zone = ZoneName(summary.availability_zone)
        use = self._uses.setdefault((zone, target), _Use())
        current = (f"{summary.reporter}/{summary.reporter_incarnation}", summary.sequence)
        if use.sequence != current:
            use.sequence = current
            use.room = room
            # The room told of is what is left beside the requests already there.
            share = use.outstanding + self._share(held, room, senders)
            use.limit = min(max(use.limit * KEPT_SHARE, share), use.outstanding + room)
        return use

    def _share(self, held: HeldSummary, room: int, senders: int) -> int:
        ramp = min((now_ms() - held.first_seen_ms) / RAMP_MS + 0.1, 1.0)
        exact = room * ramp * OVERBOOKED / max(senders, 1)
        whole = int(exact)
        return whole + (self._chance.random() < exact - whole)
