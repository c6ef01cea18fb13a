"""Dispatch: slot reservation, attempts, retries and the single final outcome of a request."""

from sparline.dispatch._dispatcher import Dispatcher, DispatcherDependencies
from sparline.dispatch._retry_budget import RetryBudget
from sparline.dispatch._waiting_room import WaitQueue

__all__ = ["DispatcherDependencies", "Dispatcher", "RetryBudget", "WaitQueue"]
