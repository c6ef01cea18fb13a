"""Charges requests to the quotas of their organisations and reports the charges."""

from collections.abc import Callable

import gevent

from sparline._ids import RequestId
from sparline._logging import LineLevel, log
from sparline.fleet import FleetState, GossipPort, QuotaExchange
from sparline.gateway._log_output import LineBudget
from sparline.gateway._metrics import GatewayMetrics
from sparline.quotas import QuotaParameters, QuotaTolerance, make_quota_parameters, quota_key
from sparline.requests import KnownCaller, Prompt, RoutedRequest
from sparline.routes import Configuration, Organisation

# Round trip to the region's quota coordinator, with a margin (ms).
COORDINATOR_ROUND_TRIP_MS = 8.0
# Log lines per second and instance about requests over a quota.
QUOTA_REFUSAL_LINES_PER_S = 20.0


class QuotaParameterTable:
    """Looks up the parameters of quotas in the configuration in force."""

    def __init__(self, fleet: FleetState, tolerance: QuotaTolerance) -> None:
        """Create a table that follows the configuration of a fleet."""
        self._fleet = fleet
        self._tolerance = tolerance
        self._configuration: Configuration | None = None
        self._by_key: dict[int, QuotaParameters] = {}

    def parameters_of(self, key: int) -> QuotaParameters | None:
        """Return a quota's parameters, None if the organisation is unknown or has no quota."""
        configuration = self._fleet.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self._by_key = self._read(configuration)
        return self._by_key.get(key)

    def _read(self, configuration: Configuration | None) -> dict[int, QuotaParameters]:
        known = configuration.organisations if configuration else None
        if known is None:
            return {}
        return {
            quota_key(one.id): make_quota_parameters(one.quota, self._tolerance)
            for one in known.by_id.values()
            if one.quota is not None
        }


class Quotas:
    """Charge requests on admission, and adjust the charge to how often they ran."""

    def __init__(
        self,
        exchange: QuotaExchange,
        gossip: Callable[[], GossipPort],
        metrics: GatewayMetrics,
    ) -> None:
        """Charge the quotas of an exchange; `gossip` returns the port that sends the charges."""
        self._exchange = exchange
        self._gossip = gossip
        self._metrics = metrics
        self._lines = LineBudget(QUOTA_REFUSAL_LINES_PER_S)

    def admit(
        self, request_id: RequestId, caller: KnownCaller | None, prompt: Prompt | None
    ) -> float | None:
        """Charge a request; return None if it may run, else the retry delay (ms)."""
        if caller is None or caller.organisation.quota is None:
            return None
        organisation = caller.organisation
        cost = quota_cost(organisation, prompt)
        wait_ms = self._charge(organisation, cost)
        if wait_ms is not None and self._exchange.is_estimate(organisation.id):
            # The coordinator's answer may show units that were returned or refilled meanwhile.
            gevent.sleep(COORDINATOR_ROUND_TRIP_MS / 1000)
            wait_ms = self._charge(organisation, cost)
        if wait_ms is not None:
            self._note_refused(request_id, organisation, wait_ms)
        return wait_ms

    def _charge(self, organisation: Organisation, cost: float) -> float | None:
        wait_ms = self._exchange.admit(organisation, cost)
        self._gossip().send_immediately(self._exchange.due())
        return wait_ms

    def _note_refused(
        self, request_id: RequestId, organisation: Organisation, wait_ms: float
    ) -> None:
        self._metrics.quota_refusals.labels(organisation.id).inc()
        if not self._lines.take() or not log.is_written(LineLevel.INFO):
            return
        left = self._exchange.left(organisation.id)
        assert left is not None, "expected an account of a quota that refused a request"
        log.bind(
            request_id=request_id,
            organisation=organisation.id,
            per_s=organisation.quota.per_s if organisation.quota else None,
            left=round(left.units),
            whole_fleet=left.is_fleet_wide,
            word_age_ms=round(left.word_age_ms) if left.word_age_ms is not None else None,
            retry_after_ms=round(wait_ms),
        ).info("over_quota")

    def settle(self, request: RoutedRequest, runs: int) -> None:
        """Charge each further run of a request, or refund a request that did not run."""
        if request.caller is None or request.caller.organisation.quota is None or runs == 1:
            return
        organisation = request.caller.organisation
        self._exchange.settle(
            organisation.id, (runs - 1) * quota_cost(organisation, request.prompt)
        )


def quota_cost(organisation: Organisation, prompt: Prompt | None) -> float:
    """Return the units that a request takes from the quota of its organisation."""
    assert organisation.quota is not None, "expected an organisation with a quota"
    return organisation.quota.cost(prompt.held_tokens if prompt else None)
