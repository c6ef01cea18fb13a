"""Dispatch: slot reservation, attempts, retries and the single final outcome of a request."""

from sparline.dispatch._dispatcher import Dispatcher, DispatchParts
from sparline.dispatch._retry_budget import RetryBudget
from sparline.dispatch._waiting_room import WaitQueue

__all__ = ["DispatchParts", "Dispatcher", "RetryBudget", "WaitQueue"]
