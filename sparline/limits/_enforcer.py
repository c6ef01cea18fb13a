"""Limits of organisations, enforced here by a share that follows demand."""

from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import OrganisationId
from sparline.limits._bucket import Bucket
from sparline.schema._declarations import Organisation
from sparline.schema._messages import Demand

# An organisation without requests for so long gives its share back.
IDLE_MS = 10_000.0
DEMAND_WEIGHT = 0.5


@dataclass(slots=True)
class _Use:
    """Hold one organisation's use of this instance."""

    bucket: Bucket  # the share
    arrived: int = 0  # requests since the last report
    demand_per_s: float = 0.0  # smoothed rate of requests, refused ones too
    reported_at_ms: float = 0.0  # when demand was last counted
    last_request_ms: float = 0.0  # when the last request came


class LimitEnforcer:
    """Let requests through within this instance's share of each limit."""

    def __init__(self) -> None:
        """Start with no organisation; the first share is an even part of the limit."""
        self.instances_in_fleet = 1  # how many instances may take an organisation's requests
        self._uses: dict[OrganisationId, _Use] = {}

    def admit(self, organisation: Organisation) -> float | None:
        """Return None if a request may run, else the time until the next may, in milliseconds."""
        use = self._use(organisation)
        use.arrived += 1
        use.last_request_ms = now_ms()
        return None if use.bucket.take() else use.bucket.wait_ms()

    def _use(self, organisation: Organisation) -> _Use:
        use = self._uses.get(OrganisationId(organisation.id))
        if use is None:
            share = organisation.requests_per_s / self.instances_in_fleet
            bucket = Bucket(share, self._burst(organisation, share))
            use = _Use(bucket, reported_at_ms=now_ms())
            self._uses[OrganisationId(organisation.id)] = use
        return use

    def _burst(self, organisation: Organisation, share_per_s: float) -> float:
        return organisation.burst_requests * share_per_s / organisation.requests_per_s

    def demands(self) -> list[Demand]:
        """Return demand and shares to report; idle organisations are forgotten."""
        now = now_ms()
        found = []
        for organisation, use in list(self._uses.items()):
            if now - use.last_request_ms > IDLE_MS:
                del self._uses[organisation]
                continue
            elapsed_s = max(now - use.reported_at_ms, 1) / 1000
            use.demand_per_s += DEMAND_WEIGHT * (use.arrived / elapsed_s - use.demand_per_s)
            use.arrived = 0
            use.reported_at_ms = now
            found.append(
                Demand(organisation, round(use.demand_per_s, 3), round(use.bucket.rate_per_s, 3))
            )
        return found

    def note_share(self, organisation: Organisation, share_per_s: float) -> None:
        """Take the share that the owner gave; cut off, the last one stays."""
        use = self._uses.get(OrganisationId(organisation.id))
        if use is not None:
            share = min(share_per_s, organisation.requests_per_s)
            use.bucket.change(share, self._burst(organisation, share))

    def share_per_s(self, organisation: OrganisationId) -> float | None:
        """Return the share that is enforced now, None for an idle organisation."""
        use = self._uses.get(organisation)
        return use.bucket.rate_per_s if use else None

    def __len__(self) -> int:
        """Return how many organisations have a share here."""
        return len(self._uses)
