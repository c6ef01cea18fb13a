"""The product's own publication service: its client, and which instance reads it."""

from sparline.publication._client import PlatformAnswer, PlatformClient
from sparline.publication._reader import PlatformReader, ReaderHooks

__all__ = ["PlatformAnswer", "PlatformClient", "PlatformReader", "ReaderHooks"]
