"""Enforcement of organisations' rate limits by a share that follows local demand."""

from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import OrganisationId
from sparline.limits._bucket import Bucket
from sparline.schema._declarations import Organisation
from sparline.schema._messages import Demand

# An organisation's share is released after this long without requests (ms).
IDLE_MS = 10_000.0
DEMAND_WEIGHT = 0.5


@dataclass(slots=True)
class _Use:
    """Hold the state of one organisation on this instance."""

    bucket: Bucket  # enforces the share
    arrived: int = 0  # requests since the last report
    demand_per_s: float = 0.0  # smoothed request rate, including rejected requests
    reported_at_ms: float = 0.0  # when demand was last measured
    last_request_ms: float = 0.0  # when the last request arrived


class LimitEnforcer:
    """Admit requests within this instance's share of each limit."""

    def __init__(self) -> None:
        """Start without organisations; the initial share is the limit divided by all instances."""
        self.instances_in_fleet = 1  # instances that may receive an organisation's requests
        self._uses: dict[OrganisationId, _Use] = {}

    def admit(self, organisation: Organisation) -> float | None:
        """Return None if a request may run, else the milliseconds until the next one may."""
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
        """Return the demand and shares to report, dropping idle organisations."""
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
        """Apply a share granted by the owner; without contact the last share stays in force."""
        use = self._uses.get(OrganisationId(organisation.id))
        if use is not None:
            share = min(share_per_s, organisation.requests_per_s)
            use.bucket.change(share, self._burst(organisation, share))

    def share_per_s(self, organisation: OrganisationId) -> float | None:
        """Return the enforced share, or None for an idle organisation."""
        use = self._uses.get(organisation)
        return use.bucket.rate_per_s if use else None

    def __len__(self) -> int:
        """Return the number of organisations with a share on this instance."""
        return len(self._uses)
