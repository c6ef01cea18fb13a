"""The callers' interface."""

from sparline.entry._app import EntryApp, EntryParts
from sparline.entry._caller_request import organisation_of
from sparline.entry._locate import Advice, Locator

__all__ = ["Advice", "EntryApp", "EntryParts", "Locator", "organisation_of"]
