"""Orders to engines: which models, versions and adapters they hold."""

from sparline.orders._plan import Order, OrderKind, wanted_orders
from sparline.orders._runner import OrderHooks, OrderResult, OrderRunner

__all__ = ["Order", "OrderHooks", "OrderKind", "OrderResult", "OrderRunner", "wanted_orders"]
