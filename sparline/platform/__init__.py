"""The platform's read-only services."""

from sparline.platform._client import PlatformAnswer, PlatformClient
from sparline.platform._reader import PlatformReader, ReaderHooks

__all__ = ["PlatformAnswer", "PlatformClient", "PlatformReader", "ReaderHooks"]
