"""Planning of the orders that bring an engine to its declared models."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from sparline._ids import BackendServerId, TargetName
from sparline.declarations import Catalog
from sparline.routing import BackendState
from sparline.schema._fleet import FleetRole, FleetState


class OrderKind(Enum):
    """Enumerate the kinds of orders."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """Describe one order, derived only from the declaration files and the engine's report."""

    backend_server: BackendServerId  # engine that receives it
    kind: OrderKind
    what: str  # model as name@version, or adapter as name+adapter
    weights: str  # name in the weight store, empty for an unload
    replaces: tuple[str, ...]  # older versions to unload for it
    fence: int  # fencing token: newest declaration file revision it derives from
    target: TargetName  # model that it concerns


def wanted_orders(backend: BackendState, catalog: Catalog) -> list[Order]:
    """Return the orders that bring one engine to its declared state."""
    if backend.member.role is not FleetRole.engine or backend.report is None:
        return []
    server_id = BackendServerId(backend.member.id)
    detail = catalog.backend_details.get(server_id)
    orders: list[Order] = []
    for name in detail.models if detail else ():
        orders += _model_orders(backend, server_id, TargetName(name), catalog)
    return orders


def _model_orders(
    backend: BackendState, server_id: BackendServerId, name: TargetName, catalog: Catalog
) -> list[Order]:
    model = catalog.models.get(name)
    if model is None or backend.report is None:
        return []
    fence = max(catalog.model_revisions[name], catalog.placement_revisions[server_id])
    weights = {version.version: version.weights for version in model.versions}
    current = f"{name}@{model.current_version}"
    loaded = backend.report.loaded
    old_versions = tuple(one for one in loaded if one.startswith(f"{name}@") and one != current)
    if current not in loaded:
        return [
            Order(
                server_id,
                OrderKind.LOAD,
                current,
                weights[model.current_version],
                old_versions,
                fence,
                name,
            )
        ]
    orders = [Order(server_id, OrderKind.UNLOAD, one, "", (), fence, name) for one in old_versions]
    for adapter in model.adapters:
        what = f"{name}+{adapter.name}"
        if what not in loaded:
            orders.append(Order(server_id, OrderKind.LOAD, what, adapter.weights, (), fence, name))
    known = {f"{name}+{adapter.name}" for adapter in model.adapters}
    undeclared = [one for one in loaded if one.startswith(f"{name}+") and one not in known]
    return orders + [
        Order(server_id, OrderKind.UNLOAD, one, "", (), fence, name) for one in undeclared
    ]


def interrupts_serving(order: Order) -> bool:
    """Tell whether the engine can't serve the model during the order."""
    return order.kind is OrderKind.LOAD and bool(order.replaces)


def has_other_replica(order: Order, backends: Iterable[BackendState]) -> bool:
    """Tell whether another engine in the zone can serve the model during the order."""
    return any(
        backend.member.id != order.backend_server
        and backend.takes_work
        and backend.member.state is FleetState.live
        and backend.has_loaded(order.target, "")
        for backend in backends
    )
