"""What the engines of a zone should hold, and the next order that brings them there."""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

from sparline._ids import BackendServerId, TargetName
from sparline.declarations import Catalog
from sparline.routing import BackendState
from sparline.schema._fleet import FleetRole, FleetState


class OrderKind(Enum):
    """Name what an order asks of an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class Order:
    """Hold one order; its content follows from the files and the engine alone."""

    backend_server: BackendServerId  # engine that it is for
    kind: OrderKind  # load or unload
    what: str  # model as name@version, or adapter as name+adapter
    weights: str  # name in the weight store, empty for an unload
    replaces: tuple[str, ...]  # older versions that make place for it
    fence: int  # revision of the newest file that it follows from
    target: TargetName  # model that it is about


def wanted_orders(backend: BackendState, catalog: Catalog) -> list[Order]:
    """Return the orders that bring one engine to what the files say."""
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
    old = tuple(one for one in loaded if one.startswith(f"{name}@") and one != current)
    if current not in loaded:
        return [
            Order(
                server_id, OrderKind.LOAD, current, weights[model.current_version], old, fence, name
            )
        ]
    orders = [Order(server_id, OrderKind.UNLOAD, one, "", (), fence, name) for one in old]
    for adapter in model.adapters:
        what = f"{name}+{adapter.name}"
        if what not in loaded:
            orders.append(Order(server_id, OrderKind.LOAD, what, adapter.weights, (), fence, name))
    known = {f"{name}+{adapter.name}" for adapter in model.adapters}
    gone = [one for one in loaded if one.startswith(f"{name}+") and one not in known]
    return orders + [Order(server_id, OrderKind.UNLOAD, one, "", (), fence, name) for one in gone]


def takes_warm_replica(order: Order) -> bool:
    """Tell whether the engine can't serve the model while the order is carried out."""
    return order.kind is OrderKind.LOAD and bool(order.replaces)


def warm_elsewhere(order: Order, backends: Iterable[BackendState]) -> bool:
    """Tell whether another engine of the zone serves the model meanwhile."""
    return any(
        backend.member.id != order.backend_server
        and backend.takes_work
        and backend.member.state is FleetState.live
        and backend.has_loaded(order.target, "")
        for backend in backends
    )
