"""The operators' interface."""

from sparline.operations._app import OperationsApp
from sparline.operations._explain import Explainer
from sparline.operations._status import StatusBoard

__all__ = ["Explainer", "OperationsApp", "StatusBoard"]
