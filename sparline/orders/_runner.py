"""Delivery of orders to the engines of this zone by a single owner, one order at a time."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import msgspec
from result import Err, Ok

from sparline._clock import now_ms
from sparline._ids import BackendServerId, ZoneName
from sparline._logging import log
from sparline._metrics import Metrics
from sparline.backends import BackendAddress, call_json
from sparline.declarations import Catalog
from sparline.orders._plan import Order, has_other_replica, interrupts_serving, wanted_orders
from sparline.peers import Membership
from sparline.routing import BackendState, LoadTable, SummaryTable
from sparline.schema._declarations import OrderCheck

# Timeout for an engine's response to an order (ms).
ORDER_TIMEOUT_MS = 120_000.0
READ_TIMEOUT_MS = 1_000.0
# Maximum wait, per preceding zone, before a zone takes its last loaded replica out of service (ms).
ZONE_STAGGER_MS = 30_000.0


class OrderResult(Enum):
    """Enumerate the results of an order."""

    DONE = "done"  # confirmed by the engine
    STALE_FENCE = "stale_fence"  # rejected by the engine, which has seen a newer fence
    FAILED = "failed"
    NOT_OWNER = "not_owner"  # not the owner, or not for long enough
    NOT_NEEDED = "not_needed"  # no longer wanted when it was about to be sent
    HELD_BACK = "held_back"  # would take the last loaded replica out of service


@dataclass(frozen=True, slots=True)
class OrderHooks:
    """Bundle what the order runner needs from the instance."""

    read_report: Callable[[BackendState], bool]  # fetches an engine's report; False on failure
    takeover_ms: float  # wait of a new owner before it sends to unfenced engines


class OrderRunner:
    """Bring the engines of this zone to their declared state."""

    def __init__(
        self,
        membership: Membership,
        loads: LoadTable,
        summaries: SummaryTable,
        hooks: OrderHooks,
        metrics: Metrics,
    ) -> None:
        """Start without ownership of the zone's orders."""
        self.catalog = Catalog()  # replaced when the declaration files change
        self._membership = membership
        self._loads = loads
        self._summaries = summaries
        self._hooks = hooks
        self._metrics = metrics
        self._owner_since_ms: float | None = None
        self._last_active_at_ms = now_ms()
        self._blocked_since_ms: dict[Order, float] = {}

    def tick(self) -> list[OrderResult]:
        """Send the orders that are due and return the result of each."""
        self._update_ownership()
        results = []
        for backend in self._loads.all():
            for order in wanted_orders(backend, self.catalog):
                result = self._process(order, backend)
                self._metrics.orders.labels(order.kind.value, result.value).inc()
                results.append(result)
                if result is not OrderResult.DONE:
                    break
        return results

    def _update_ownership(self) -> None:
        # While this instance was suspended, another one may have become the owner unnoticed.
        was_suspended = now_ms() - self._last_active_at_ms > self._hooks.takeover_ms / 2
        self._last_active_at_ms = now_ms()
        if not self._membership.has_zone_duty("orders"):
            self._owner_since_ms = None
        elif self._owner_since_ms is None or was_suspended:
            self._owner_since_ms = now_ms()

    def _may_send(self, backend: BackendState) -> bool:
        if self._owner_since_ms is None:
            return False
        detail = self.catalog.backend_details.get(BackendServerId(backend.member.id))
        if detail is not None and detail.orders is OrderCheck.fenced:
            return True
        return now_ms() - self._owner_since_ms >= self._hooks.takeover_ms

    def _process(self, order: Order, backend: BackendState) -> OrderResult:
        if not self._may_send(backend):
            return OrderResult.NOT_OWNER
        if interrupts_serving(order) and not self._may_interrupt_serving(order):
            return OrderResult.HELD_BACK
        return self._send(order, backend)

    def _may_interrupt_serving(self, order: Order) -> bool:
        """Tell whether a loaded replica remains in the zone or the preceding zones are finished."""
        if has_other_replica(order, self._loads.all()):
            return True
        since_ms = self._blocked_since_ms.setdefault(order, now_ms())
        preceding = self._preceding_zones(order)
        waiting = [zone for zone in preceding if not self._zone_has_version(zone, order)]
        return not waiting or now_ms() - since_ms > ZONE_STAGGER_MS * len(preceding)

    def _preceding_zones(self, order: Order) -> list[ZoneName]:
        own = self._membership.self_hello.availability_zone
        zones = (ZoneName(held.summary.availability_zone) for held in self._summaries.fresh())
        return [zone for zone in zones if zone < own and self._zone_versions(zone, order)]

    def _zone_has_version(self, zone: ZoneName, order: Order) -> bool:
        return order.what.partition("@")[2] in self._zone_versions(zone, order)

    def _zone_versions(self, zone: ZoneName, order: Order) -> list[str]:
        held = self._summaries.get(zone)
        targets = held.summary.targets if held else []
        return next((one.versions for one in targets if one.target == order.target), [])

    def _send(self, order: Order, backend: BackendState) -> OrderResult:
        """Recheck ownership, declarations and engine, send the order, then reread the engine."""
        if not self._hooks.read_report(backend):
            return OrderResult.FAILED
        if order not in wanted_orders(backend, self.catalog):
            return OrderResult.NOT_NEEDED
        if not self._membership.has_zone_duty("orders") or not self._may_send(backend):
            return OrderResult.NOT_OWNER
        body = json.dumps(
            {
                "fence": order.fence,
                "kind": order.kind.value,
                "what": order.what,
                "weights": order.weights,
                "replaces": list(order.replaces),
            }
        ).encode()
        log.info("orders: {} {} at {}", order.kind.value, order.what, order.backend_server)
        address = BackendAddress(backend.member.ip, backend.member.port)
        answer = call_json(address, "POST", "/orders", body, ORDER_TIMEOUT_MS)
        self._last_active_at_ms = now_ms()
        self._hooks.read_report(backend)
        match answer:
            case Ok((200, _)):
                self._blocked_since_ms.pop(order, None)
                return OrderResult.DONE
            case Ok((409, content)):
                log.warning(
                    "orders: {} has a newer fence: {}",
                    order.backend_server,
                    _reported_fence(content),
                )
                return OrderResult.STALE_FENCE
            case Ok(_) | Err(_):
                return OrderResult.FAILED
        return OrderResult.FAILED


def _reported_fence(content: bytes) -> object:
    try:
        return msgspec.json.decode(content).get("fence")
    except (msgspec.DecodeError, AttributeError):
        return "unreadable"
