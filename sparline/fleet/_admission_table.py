"""Admission levels that an instance holds, of its own region and of others."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from sparline._ids import RegionName
from sparline.decisions import BUCKET_KEYS, KEYS_PER_RANK, OPEN_LEVEL, OPENING_MS
from sparline.routes import ServiceName
from sparline.schema._gossip import AdmissionLevelNote, OrganisationShareNote

# A level of the own region that is not renewed for this long opens step by step (ms).
OWN_EXPIRY_MS = 2_000.0
# A level of another region that is not renewed for this long counts as open (ms).
OTHER_EXPIRY_MS = 4_000.0
# A level that is not renewed for this long is replaced by any that was set later, even if the clock
# of its coordinator is behind (ms): the coordinator has changed.
RENEWAL_MS = 1_000.0
# Number of levels over which the trend is determined: one second.
TREND_LEVELS = 4
# An open level is relayed for this long, so that it replaces the one before (ms).
RELAY_OPEN_MS = 1_000.0
# Maximum number of levels in a gossip datagram, of 60 bytes each. The newest are relayed.
MAX_RELAYED_LEVELS = 8


@dataclass(frozen=True, slots=True)
class ServiceRanks:
    """Describe the ranks of the requests for a service to which levels apply."""

    count: int  # number of ranks, from 0 to the least urgent
    patience_ms: Mapping[int, float]  # longest deadline of the requests of each rank


@dataclass(frozen=True, slots=True)
class LevelInForce:
    """Hold the level of a service in a region at one time."""

    level: int = OPEN_LEVEL  # lowest key that is not admitted
    floor: int = 0  # positions below it are admitted at any level
    shares: Mapping[int, int] = field(default_factory=dict)  # 128ths by organisation key
    age_ms: float = 0.0  # time since the coordinator set it
    is_rising: bool = False  # whether it has risen during the last rounds


OPEN = LevelInForce()


@dataclass(slots=True)
class _Held:
    note: AdmissionLevelNote
    shares: dict[int, int]
    set_at_ms: float
    earlier: list[int]  # levels before, oldest first


class AdmissionLevelTable:
    """Keeps the newest level of each service and region; the caller passes the time in (ms)."""

    def __init__(self, own_region: RegionName) -> None:
        """Start with all levels open."""
        self._own_region = own_region
        self._held: dict[tuple[ServiceName, RegionName], _Held] = {}

    def __len__(self) -> int:
        """Return the number of levels that are held."""
        return len(self._held)

    def take(self, note: AdmissionLevelNote, now: float) -> None:
        """Take a level unless it or a newer one is held.

        The age of a relayed level leaves out its time on the way, so it does not tell which of two
        is newer. Otherwise an old level would be renewed by each instance that relays it.
        """
        key = (ServiceName(note.service), RegionName(note.region))
        set_at_ms = now - max(note.age_ms, 0)
        held = self._held.get(key)
        if held is not None and not self._is_newer(note, set_at_ms, held, now):
            return
        if held is None and note.level >= OPEN_LEVEL:
            return
        earlier = [] if held is None else [*held.earlier, held.note.level][-TREND_LEVELS:]
        shares = {one.key: one.share for one in note.shares}
        self._held[key] = _Held(note, shares, set_at_ms, earlier)

    def _is_newer(
        self, note: AdmissionLevelNote, set_at_ms: float, held: _Held, now: float
    ) -> bool:
        if note.set_ms != held.note.set_ms and now - held.set_at_ms > RENEWAL_MS:
            return set_at_ms > held.set_at_ms
        return note.set_ms > held.note.set_ms

    def get(self, service: ServiceName, region: RegionName, ranks: int, now: float) -> LevelInForce:
        """Return the level in force; `ranks` is the number of ranks of the service."""
        held = self._held.get((service, region))
        if held is None:
            return OPEN
        age_ms = now - held.set_at_ms
        level = held.note.level
        if region != self._own_region:
            if age_ms > OTHER_EXPIRY_MS:
                return OPEN
        elif age_ms > OWN_EXPIRY_MS:
            level = opened(level, ranks, age_ms - OWN_EXPIRY_MS)
        if level >= OPEN_LEVEL:
            return OPEN
        is_rising = bool(held.earlier) and level - held.earlier[0] >= BUCKET_KEYS
        return LevelInForce(level, held.note.floor, held.shares, age_ms, is_rising)

    def regions(self, service: ServiceName) -> list[RegionName]:
        """Return the regions of which a level of a service is held."""
        return [region for held_service, region in self._held if held_service == service]

    def notes(self, now: float) -> list[AdmissionLevelNote]:
        """Return the newest levels that are not open or opened lately, to be relayed."""
        recent = [
            (now - held.set_at_ms, held)
            for held in self._held.values()
            if now - held.set_at_ms
            <= (OTHER_EXPIRY_MS if held.note.level < OPEN_LEVEL else RELAY_OPEN_MS)
        ]
        recent.sort(key=lambda one: one[0])
        return [
            AdmissionLevelNote(
                held.note.service,
                held.note.region,
                round(age_ms),
                held.note.level,
                held.note.floor,
                held.note.shares,
                held.note.set_ms,
            )
            for age_ms, held in recent[:MAX_RELAYED_LEVELS]
        ]

    def forget(self, known: Iterable[ServiceName], now: float) -> None:
        """Remove levels of unknown services, and those that have opened or expired."""
        services = set(known)
        longest_ms = OTHER_EXPIRY_MS + OPENING_MS
        self._held = {
            key: held
            for key, held in self._held.items()
            if key[0] in services
            and now - held.set_at_ms <= longest_ms
            and (held.note.level < OPEN_LEVEL or now - held.set_at_ms <= RELAY_OPEN_MS)
        }


def opened(level: int, ranks: int, time_ms: float) -> int:
    """Return the level to which a level opens in a time, at the usual slope."""
    top = ranks * KEYS_PER_RANK
    level += int(time_ms / OPENING_MS * top)
    return OPEN_LEVEL if level >= top else level


def share_notes(shares: Mapping[int, int]) -> list[OrganisationShareNote]:
    """Return the shares of organisations as they are sent."""
    return [OrganisationShareNote(key, share) for key, share in shares.items()]
