"""Enforcement of organisations' rate limits by a share that follows local demand."""

from dataclasses import dataclass

from sparline._clock import now_ms
from sparline._ids import OrganisationId
from sparline.limits._bucket import TokenBucket
from sparline.schema._declarations import Organisation
from sparline.schema._messages import Demand

# An organisation's share is released after this long without requests (ms).
IDLE_TIMEOUT_MS = 10_000.0
# Weight of the latest measurement in the exponentially smoothed demand (0 to 1).
DEMAND_SMOOTHING = 0.5


@dataclass(slots=True)
class _OrganisationState:
    """Hold the state of one organisation on this instance."""

    bucket: TokenBucket  # enforces the share
    arrivals: int = 0  # requests since the last report
    demand_per_s: float = 0.0  # smoothed request rate, including rejected requests
    measured_at_ms: float = 0.0  # when demand was last measured
    last_request_at_ms: float = 0.0  # when the last request arrived


class LimitEnforcer:
    """Admit requests within this instance's share of each limit."""

    def __init__(self) -> None:
        """Start without organisations; the initial share is the limit divided by all instances."""
        self.instances_in_fleet = 1  # instances that may receive an organisation's requests
        self._states: dict[OrganisationId, _OrganisationState] = {}

    def admit(self, organisation: Organisation) -> float | None:
        """Return None if a request may run, else the milliseconds until the next one may."""
        state = self._organisation_state(organisation)
        state.arrivals += 1
        state.last_request_at_ms = now_ms()
        return None if state.bucket.take() else state.bucket.wait_ms()

    def _organisation_state(self, organisation: Organisation) -> _OrganisationState:
        state = self._states.get(OrganisationId(organisation.id))
        if state is None:
            share = organisation.requests_per_s / self.instances_in_fleet
            bucket = TokenBucket(share, self._burst(organisation, share))
            state = _OrganisationState(bucket, measured_at_ms=now_ms())
            self._states[OrganisationId(organisation.id)] = state
        return state

    def _burst(self, organisation: Organisation, share_per_s: float) -> float:
        return organisation.burst_requests * share_per_s / organisation.requests_per_s

    def demands(self) -> list[Demand]:
        """Return the demand and shares to report, dropping idle organisations."""
        now = now_ms()
        found = []
        for organisation, state in list(self._states.items()):
            if now - state.last_request_at_ms > IDLE_TIMEOUT_MS:
                del self._states[organisation]
                continue
            elapsed_s = max(now - state.measured_at_ms, 1) / 1000
            state.demand_per_s += DEMAND_SMOOTHING * (
                state.arrivals / elapsed_s - state.demand_per_s
            )
            state.arrivals = 0
            state.measured_at_ms = now
            found.append(
                Demand(
                    organisation, round(state.demand_per_s, 3), round(state.bucket.rate_per_s, 3)
                )
            )
        return found

    def note_share(self, organisation: Organisation, share_per_s: float) -> None:
        """Apply a share granted by the owner; without contact the last share stays in force."""
        state = self._states.get(OrganisationId(organisation.id))
        if state is not None:
            share = min(share_per_s, organisation.requests_per_s)
            state.bucket.change(share, self._burst(organisation, share))

    def share_per_s(self, organisation: OrganisationId) -> float | None:
        """Return the enforced share, or None for an idle organisation."""
        state = self._states.get(organisation)
        return state.bucket.rate_per_s if state else None

    def __len__(self) -> int:
        """Return the number of organisations with a share on this instance."""
        return len(self._states)
