"""Orders to engines to load and unload models, versions and adapters."""

from sparline.orders._plan import Order, OrderKind, wanted_orders
from sparline.orders._runner import OrderHooks, OrderResult, OrderRunner

__all__ = ["Order", "OrderHooks", "OrderKind", "OrderResult", "OrderRunner", "wanted_orders"]
